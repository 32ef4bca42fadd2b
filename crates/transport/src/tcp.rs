//! Peer transport over framed TCP, for instances that discover each other from seed addresses.
//!
//! One connection to each peer carries calls, their replies and one-way consensus messages as
//! length-delimited postcard frames. Commits avoid JSON-RPC over HTTP (see [`crate::rpc`]), which
//! used most of their processor time (docs/CAPACITY.md). Pings detect a peer that does not
//! respond; its connection is then closed and opened again.

use crate::connections::{Connection, Connections};
use crate::frame::{self, Buffer, Frame, Kind, codec, decode, parse};
use crate::journal::Unreachable;
use crate::memory::{self, Budget, Grant};
use crate::metered::{Broken, Metered};
use crate::replica::MessageSender;
use crate::rpc::Handler;
use futures_util::StreamExt;
use protocol::wire::{Envelope, Request, Response};
use socket2::{SockRef, TcpKeepalive};
use state::collections::Map;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// First bytes of each connection; a connection that starts with other bytes is closed.
const PREFACE: [u8; 8] = *b"BKSHELF1";

/// Timeout for connecting to a peer; covers several round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause after a failed connection attempt, so that a peer that is down is not contacted in a
/// tight loop.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Interval between pings while a response is outstanding.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Time without data from the peer after which a connection with an outstanding response is
/// closed; four ping intervals. Also the timeout for a write and for reading the preface.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time that written data may stay unacknowledged before the kernel closes the connection;
/// exceeds [`RESPONSE_TIMEOUT`] by a round trip.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the kernel probes a connection, and the interval of its probes; they detect
/// a peer that is gone for good.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of frames that wait for one peer; further ones are dropped, as on a lossy
/// network.
const MAX_QUEUED_FRAMES: usize = 2_048;

/// Maximum size of the one-way messages that wait for one peer, in bytes; further ones are
/// dropped, so that a partitioned peer does not exhaust the memory of a small instance. A larger
/// message is sent if no other one waits.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Size at which the write buffer takes no further frame, in bytes; bounds its memory when many
/// frames are queued.
const WRITE_BUFFER_BYTES: usize = 256 * 1024;

/// Frame to send to a peer.
enum Outgoing {
    OneWay(Frame),
    Call { number: u64, frame: Frame, reply: oneshot::Sender<Response> },
}

/// Queue of the frames for one peer.
struct Queue {
    sender: mpsc::Sender<Outgoing>,
    /// Size of the queued one-way messages, in bytes.
    queued_bytes: Arc<AtomicUsize>,
}

/// Connections of this instance to its peers, and the server for theirs.
pub(crate) struct Transport {
    address: String,
    runtime: tokio::runtime::Handle,
    peers: Mutex<Map<(String, usize), Queue>>,
    handler: OnceLock<Arc<dyn Handler>>,
    /// Number of the next call.
    next_call: AtomicU64,
    /// Memory for messages that have not arrived in full.
    budget: Arc<Budget>,
    /// Connections from other instances.
    connections: Arc<Connections>,
}

impl Transport {
    /// Creates the transport of the instance that other instances reach at `address`, of which at
    /// most `limit` connections are accepted.
    pub(crate) fn new(address: &str, budget: Arc<Budget>, limit: usize) -> Arc<Self> {
        Arc::new(Self {
            address: address.to_owned(),
            runtime: tokio::runtime::Handle::current(),
            peers: Mutex::default(),
            handler: OnceLock::new(),
            next_call: AtomicU64::new(1),
            budget,
            connections: Connections::new("peers", limit),
        })
    }

    /// Sets the handler of requests, including those that this instance sends to itself.
    pub(crate) fn set_handler(&self, handler: Arc<dyn Handler>) {
        drop(self.handler.set(handler));
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no response is received within `timeout`; the request may or may
    /// not have been executed.
    pub(crate) async fn call(
        &self,
        to: &str,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, Unreachable> {
        if to == self.address {
            let handler = self.handler.get().cloned().ok_or(Unreachable)?;
            let response = handler.handle(to.to_owned(), request.clone());
            return tokio::time::timeout(timeout, response).await.map_err(|_| Unreachable);
        }
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let frame = Frame::encode(Kind::Call, number, request).ok_or(Unreachable)?;
        let (reply, response) = oneshot::channel();
        self.send(0, to, Outgoing::Call { number, frame, reply })?;
        let response = tokio::time::timeout(timeout, response).await.map_err(|_| Unreachable)?;
        response.map_err(|_| Unreachable)
    }

    /// Queues a frame for a peer. Starts the task that connects to the peer on first use; each lane
    /// has a connection of its own.
    fn send(&self, lane: usize, to: &str, outgoing: Outgoing) -> Result<(), Unreachable> {
        let mut peers = self.peers.lock().map_err(|_| Unreachable)?;
        let queue = peers.entry((to.to_owned(), lane)).or_insert_with(|| {
            let (sender, inbox) = mpsc::channel(MAX_QUEUED_FRAMES);
            let queued_bytes = Arc::new(AtomicUsize::new(0));
            let (local, peer) = (self.address.clone(), to.to_owned());
            self.runtime
                .spawn(Client { local, peer, inbox, queued_bytes: queued_bytes.clone() }.run());
            Queue { sender, queued_bytes }
        });
        let size = outgoing.queued_bytes();
        let queued = queue.queued_bytes.load(Ordering::Relaxed);
        if size > 0 && queued > 0 && queued + size > MAX_QUEUED_BYTES {
            return Err(Unreachable);
        }
        queue.queued_bytes.fetch_add(size, Ordering::Relaxed);
        queue.sender.try_send(outgoing).map_err(|_| {
            queue.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            Unreachable
        })
    }

    /// Accepts connections from other instances for as long as the process runs.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let Some(connection) = self.connections.add() else {
                        let limit = self.connections.limit();
                        tracing::warn!(%from, limit, "peer connection refused: limit reached");
                        continue;
                    };
                    let transport = self.clone();
                    tokio::spawn(async move {
                        let served = tokio::select! {
                            served = transport.serve_peer(stream, &connection) => served,
                            () = connection.closed() => Err("it makes room for another one"),
                        };
                        if let Err(reason) = served {
                            tracing::warn!(%from, reason, "closed the connection of a peer");
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a peer connection");
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one connection until it ends. Returns the reason if the peer violated the protocol
    /// or this instance cannot serve it yet.
    async fn serve_peer(
        self: &Arc<Self>,
        stream: TcpStream,
        connection: &Connection,
    ) -> Result<(), &'static str> {
        set_socket_options(&stream);
        let (mut input, output) = stream.into_split();
        let mut preface = [0; PREFACE.len()];
        let read = tokio::time::timeout(RESPONSE_TIMEOUT, input.read_exact(&mut preface)).await;
        if !matches!(read, Ok(Ok(_))) || preface != PREFACE {
            return Err("the connection does not start with the preface");
        }
        let (replies, outbox) = mpsc::channel(MAX_QUEUED_FRAMES);
        tokio::spawn(write_frames(output, outbox));
        let leave = Arc::new(Notify::new());
        let mut frames = FramedRead::new(input, Metered::new(codec(), &self.budget, &leave));
        let mut from = String::new();
        loop {
            let frame = tokio::select! {
                frame = frames.next() => frame,
                () = leave.notified() => {
                    self.budget.metrics.give_up("message behind");
                    return Err("its message arrives too slowly and gives way to others");
                }
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(Broken::Full)) => {
                    self.budget.metrics.give_up("message without memory");
                    return Err("there is no memory for its message");
                }
                Some(Err(Broken::Io(error))) => {
                    tracing::debug!(%error, "connection of a peer ended");
                    return Ok(());
                }
                None => return Ok(()),
            };
            connection.touch();
            let (kind, number, body) = parse(&frame).ok_or("frame of unknown kind")?;
            match kind {
                Kind::Hello => from = decode(body).ok_or("hello cannot be decoded")?,
                Kind::OneWay => {
                    let request = decode(body).ok_or("one-way message cannot be decoded")?;
                    if let Some(handler) = self.handler.get() {
                        handler.handle(from.clone(), request).await;
                    }
                }
                Kind::Call => {
                    let handler = self.handler.get().cloned().ok_or("the instance is starting")?;
                    let grant = self.grant_call(body.len());
                    let request = match &grant {
                        Ok(_) => Some(decode(body).ok_or("call cannot be decoded")?),
                        Err(memory::Full) => None,
                    };
                    let (from, replies) = (from.clone(), replies.clone());
                    let busy = Response::NotLeader(Some(self.address.clone()));
                    tokio::spawn(async move {
                        let response = match request {
                            Some(request) => handler.handle(from, request).await,
                            // The sender repeats it after a pause, as if the leader were behind.
                            None => busy,
                        };
                        drop(grant);
                        if let Some(frame) = Frame::encode(Kind::Reply, number, &response) {
                            // The queue is full if the peer does not read. The reply is then
                            // dropped; the peer repeats its request.
                            drop(replies.try_send(frame));
                        }
                    });
                }
                Kind::Ping => {
                    if let Some(frame) = Frame::encode(Kind::Pong, number, &()) {
                        drop(replies.try_send(frame));
                    }
                }
                Kind::Reply | Kind::Pong => return Err("unexpected reply"),
            }
        }
    }

    /// Takes the memory for a call that has arrived, until it is answered. At most half of what is left,
    /// so that others can arrive meanwhile.
    fn grant_call(&self, bytes: usize) -> Result<Grant, memory::Full> {
        let mut grant = self.budget.grant(memory::Kind::Message);
        if bytes >= frame::MIN_PART_BYTES {
            grant.grow_response(bytes)?;
        }
        Ok(grant)
    }
}

impl MessageSender for Transport {
    fn send(&self, to: &str, envelope: Envelope) {
        self.send_on(0, to, envelope);
    }

    fn send_on(&self, lane: usize, to: &str, envelope: Envelope) {
        let request = Request::Consensus(vec![envelope]);
        if let Some(frame) = Frame::encode(Kind::OneWay, 0, &request) {
            // A message may be lost; consensus repeats it.
            let _ = Transport::send(self, lane, to, Outgoing::OneWay(frame));
        }
    }
}

impl crate::leaders::Client for Transport {
    fn call<'a>(
        &'a self,
        to: &'a str,
        request: &'a Request,
        timeout: Duration,
    ) -> crate::leaders::ResponseFuture<'a> {
        Box::pin(self.call(to, request, timeout))
    }
}

/// Sets the socket options of a peer connection. If one is refused, the connection is used without
/// it and those after it.
fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = result {
        tracing::warn!(%error, "cannot set the socket options of a peer connection");
    }
}

/// Writes queued frames, several at once if possible. Ends when the queue is closed or a write
/// fails.
async fn write_frames(mut output: OwnedWriteHalf, mut outbox: mpsc::Receiver<Frame>) {
    let mut buffer = Buffer::default();
    while let Some(frame) = outbox.recv().await {
        buffer.push(frame);
        while buffer.len() < WRITE_BUFFER_BYTES
            && let Ok(frame) = outbox.try_recv()
        {
            buffer.push(frame);
        }
        if write(&mut output, &mut buffer).await.is_err() {
            return;
        }
    }
}

/// Writes what is in the buffer; each part is released once it is written.
async fn write(output: &mut OwnedWriteHalf, buffer: &mut Buffer) -> std::io::Result<()> {
    for part in buffer.take() {
        output.write_all(&part).await?;
    }
    Ok(())
}

/// Connects to one peer whenever there is something to send.
struct Client {
    /// Address of this instance.
    local: String,
    /// Address of the peer.
    peer: String,
    inbox: mpsc::Receiver<Outgoing>,
    queued_bytes: Arc<AtomicUsize>,
}

impl Outgoing {
    /// Number of bytes that count towards [`MAX_QUEUED_BYTES`].
    fn queued_bytes(&self) -> usize {
        match self {
            Self::OneWay(frame) => frame.len(),
            Self::Call { .. } => 0,
        }
    }
}

impl Client {
    async fn next(&mut self) -> Option<Outgoing> {
        let outgoing = self.inbox.recv().await?;
        self.queued_bytes.fetch_sub(outgoing.queued_bytes(), Ordering::Relaxed);
        Some(outgoing)
    }

    fn try_next(&mut self) -> Option<Outgoing> {
        let outgoing = self.inbox.try_recv().ok()?;
        self.queued_bytes.fetch_sub(outgoing.queued_bytes(), Ordering::Relaxed);
        Some(outgoing)
    }

    async fn run(mut self) {
        while let Some(first) = self.next().await {
            let connect = async {
                let address: SocketAddr = self.peer.parse().ok()?;
                TcpStream::connect(address).await.ok()
            };
            match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
                Ok(Some(stream)) => {
                    tracing::info!(peer = self.peer, "connected to a peer");
                    let reason = self.run_session(stream, first).await;
                    tracing::info!(peer = self.peer, reason, "connection to a peer ended");
                }
                Ok(None) | Err(_) => {
                    tracing::debug!(peer = self.peer, "cannot connect to a peer");
                    drop(first);
                    // Drop the frames queued meanwhile, which would be lost as well; their
                    // calls fail without waiting for their timeout.
                    while self.try_next().is_some() {}
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    /// Exchanges frames over a new connection until it ends; returns the reason for its end.
    async fn run_session(&mut self, stream: TcpStream, first: Outgoing) -> &'static str {
        set_socket_options(&stream);
        let (input, output) = stream.into_split();
        let mut session = Session {
            frames: FramedRead::new(input, codec()),
            output,
            buffer: Buffer::default(),
            pending: Map::default(),
            awaits_response: false,
            last_received: Instant::now(),
        };
        session.buffer.put(&PREFACE);
        if let Some(hello) = Frame::encode(Kind::Hello, 0, &self.local) {
            session.buffer.push(hello);
        }
        session.push(first);
        let mut pings = tokio::time::interval(PING_INTERVAL);
        pings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            if !session.flush().await {
                return "write failed";
            }
            tokio::select! {
                outgoing = self.next() => {
                    let Some(outgoing) = outgoing else {
                        return "transport stopped";
                    };
                    session.push(outgoing);
                    while session.buffer.len() < WRITE_BUFFER_BYTES
                        && let Some(outgoing) = self.try_next()
                    {
                        session.push(outgoing);
                    }
                }
                frame = session.frames.next() => {
                    let Some(Ok(frame)) = frame else {
                        return "closed by the peer";
                    };
                    if !session.handle_frame(&frame) {
                        return "frame cannot be decoded";
                    }
                }
                _ = pings.tick(), if session.awaits_response => {
                    if session.last_received.elapsed() > RESPONSE_TIMEOUT {
                        return "the peer is silent";
                    }
                    if let Some(ping) = Frame::encode(Kind::Ping, 0, &()) {
                        session.buffer.push(ping);
                    }
                }
            }
        }
    }
}

/// An open connection to a peer.
struct Session {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    output: OwnedWriteHalf,
    buffer: Buffer,
    /// Reply channels of the unanswered calls, by call number.
    pending: Map<u64, oneshot::Sender<Response>>,
    /// Whether the peer has yet to send a reply or a pong.
    awaits_response: bool,
    /// Time of the last frame from the peer; or of the first frame sent since then, if a response
    /// was not awaited before.
    last_received: Instant,
}

impl Session {
    /// Adds a frame to the write buffer.
    fn push(&mut self, outgoing: Outgoing) {
        if matches!(&outgoing, Outgoing::Call { reply, .. } if reply.is_closed()) {
            // Its sender has given up while it was queued.
            return;
        }
        if !self.awaits_response {
            self.awaits_response = true;
            self.last_received = Instant::now();
        }
        match outgoing {
            Outgoing::OneWay(frame) => self.buffer.push(frame),
            Outgoing::Call { number, frame, reply } => {
                self.buffer.push(frame);
                self.pending.retain(|_, reply| !reply.is_closed());
                self.pending.insert(number, reply);
            }
        }
    }

    /// Writes the buffered frames; returns `false` if that fails or times out.
    async fn flush(&mut self) -> bool {
        if self.buffer.is_empty() {
            return true;
        }
        let written = write(&mut self.output, &mut self.buffer);
        matches!(tokio::time::timeout(RESPONSE_TIMEOUT, written).await, Ok(Ok(())))
    }

    /// Handles a frame from the peer; returns `false` if it is invalid.
    fn handle_frame(&mut self, frame: &[u8]) -> bool {
        self.last_received = Instant::now();
        match parse(frame) {
            Some((Kind::Reply, number, body)) => {
                let Some(response) = decode(body) else {
                    return false;
                };
                if let Some(reply) = self.pending.remove(&number) {
                    // Sending fails if the requester timed out.
                    drop(reply.send(response));
                }
                self.awaits_response = !self.pending.is_empty();
                true
            }
            Some((Kind::Pong, ..)) => {
                self.awaits_response = !self.pending.is_empty();
                true
            }
            _ => false,
        }
    }
}
