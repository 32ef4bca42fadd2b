//! Framed connections between instances that find each other from a few addresses.
//!
//! One connection to each peer carries calls, their replies and the journals' one-way
//! messages as length-delimited postcard frames. JSON-RPC over HTTP (see `links`) took most
//! of the processor time of a commit (docs/CAPACITY.md), so the commit path goes without.
//! A peer that stops answering is noticed by pings; the connection is then opened anew.

use crate::journal::Unreachable;
use crate::replica::MessageSender;
use crate::rpc::Handler;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::StreamExt;
use protocol::wire::{Envelope, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{SockRef, TcpKeepalive};
use state::collections::Map;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// First bytes of each connection; other bytes close it.
const PREFACE: [u8; 8] = *b"BKSHELF1";

/// Time for a connection to a peer; some round trips between failure domains.
const CONNECT_TIME: Duration = Duration::from_millis(250);

/// Pause after a connection failed, so that a peer that is down is not asked in a loop.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Time between pings while something is unanswered.
const PING_TIME: Duration = Duration::from_millis(250);

/// Silence after which a connection with something unanswered is given up; four pings.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Time for the kernel to deliver what was written; as [`SILENCE`], with a round trip more.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the kernel probes a connection; a peer may be gone for good.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Largest frame, in bytes: a configuration of 4 MiB and what surrounds it, with room.
const FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Frames that may wait for one peer; more are dropped, as a network may.
const QUEUE: usize = 2_048;

/// Bytes of one-way messages that may wait for one peer; more are dropped. A peer that is
/// cut off must not fill the memory of a small machine.
const QUEUE_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that are written at once, about; bounds the buffer of a burst.
const BURST_BYTES: usize = 256 * 1024;

/// Connections from other instances at a time: three for each of 340 instances.
const CONNECTIONS: usize = 1_024;

/// What a frame holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Kind {
    /// The sender's address.
    Hello = 1,
    /// A request without an answer.
    Cast = 2,
    /// A request.
    Call = 3,
    /// The answer to the call of the same number.
    Reply = 4,
    /// Asks for a pong.
    Ping = 5,
    /// Answers a ping.
    Pong = 6,
}

impl Kind {
    fn of(byte: u8) -> Option<Self> {
        let all = [Self::Hello, Self::Cast, Self::Call, Self::Reply, Self::Ping, Self::Pong];
        all.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// Appends one frame: length, kind, number, body.
fn put_frame<T: Serialize>(buffer: &mut BytesMut, kind: Kind, number: u64, body: &T) -> bool {
    let Ok(body) = postcard::to_stdvec(body) else {
        return false;
    };
    let len = body.len() + 9;
    let Some(len) = u32::try_from(len).ok().filter(|_| len <= FRAME_BYTES) else {
        return false;
    };
    buffer.reserve(body.len() + 13);
    buffer.put_u32(len);
    buffer.put_u8(kind as u8);
    buffer.put_u64(number);
    buffer.put_slice(&body);
    true
}

fn encode<T: Serialize>(kind: Kind, number: u64, body: &T) -> Option<Bytes> {
    let mut buffer = BytesMut::new();
    put_frame(&mut buffer, kind, number, body).then(|| buffer.freeze())
}

fn parse(frame: &[u8]) -> Option<(Kind, u64, &[u8])> {
    let kind = Kind::of(*frame.first()?)?;
    let number = u64::from_be_bytes(frame.get(1..9)?.try_into().ok()?);
    Some((kind, number, &frame[9..]))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    postcard::from_bytes(body).ok()
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES).new_codec()
}

/// Something to send to a peer.
enum Order {
    Cast(Bytes),
    Call { number: u64, frame: Bytes, reply: oneshot::Sender<Response> },
}

/// The queue of one peer.
struct Queue {
    orders: mpsc::Sender<Order>,
    /// Bytes of the one-way messages in it.
    bytes: Arc<AtomicUsize>,
}

/// All connections of one instance.
pub(crate) struct Transport {
    address: String,
    runtime: tokio::runtime::Handle,
    peers: Mutex<Map<String, Queue>>,
    handler: OnceLock<Arc<dyn Handler>>,
    next: AtomicU64,
}

impl Transport {
    /// The connections of the instance that others reach at `address`.
    pub(crate) fn new(address: &str) -> Arc<Self> {
        Arc::new(Self {
            address: address.to_owned(),
            runtime: tokio::runtime::Handle::current(),
            peers: Mutex::default(),
            handler: OnceLock::new(),
            next: AtomicU64::new(1),
        })
    }

    /// Sets what answers requests, the own ones included.
    pub(crate) fn set_handler(&self, handler: Arc<dyn Handler>) {
        drop(self.handler.set(handler));
    }

    /// Sends a request and waits for the answer.
    pub(crate) async fn call(
        &self,
        to: &str,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, Unreachable> {
        if to == self.address {
            let handler = self.handler.get().cloned().ok_or(Unreachable)?;
            let answer = handler.handle(to.to_owned(), request.clone());
            return tokio::time::timeout(timeout, answer).await.map_err(|_| Unreachable);
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let frame = encode(Kind::Call, number, request).ok_or(Unreachable)?;
        let (reply, answer) = oneshot::channel();
        self.send(to, Order::Call { number, frame, reply })?;
        let answer = tokio::time::timeout(timeout, answer).await.map_err(|_| Unreachable)?;
        answer.map_err(|_| Unreachable)
    }

    fn send(&self, to: &str, order: Order) -> Result<(), Unreachable> {
        let mut peers = self.peers.lock().map_err(|_| Unreachable)?;
        let queue = peers.entry(to.to_owned()).or_insert_with(|| {
            let (orders, inbox) = mpsc::channel(QUEUE);
            let bytes = Arc::new(AtomicUsize::new(0));
            let (own, peer) = (self.address.clone(), to.to_owned());
            self.runtime.spawn(Link { own, peer, inbox, bytes: bytes.clone() }.run());
            Queue { orders, bytes }
        });
        let size = order.cast_bytes();
        if size > 0 && queue.bytes.load(Ordering::Relaxed) + size > QUEUE_BYTES {
            return Err(Unreachable);
        }
        queue.bytes.fetch_add(size, Ordering::Relaxed);
        queue.orders.try_send(order).map_err(|_| {
            queue.bytes.fetch_sub(size, Ordering::Relaxed);
            Unreachable
        })
    }

    /// Serves other instances for as long as the process runs.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let count = Arc::new(AtomicUsize::new(0));
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    if count.fetch_add(1, Ordering::Relaxed) >= CONNECTIONS {
                        count.fetch_sub(1, Ordering::Relaxed);
                        tracing::warn!(%from, limit = CONNECTIONS, "peer refused: too many");
                        continue;
                    }
                    let (transport, count) = (self.clone(), count.clone());
                    tokio::spawn(async move {
                        if let Err(reason) = transport.serve_peer(stream).await {
                            tracing::warn!(%from, reason, "connection of a peer closed");
                        }
                        count.fetch_sub(1, Ordering::Relaxed);
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "a peer's connection was not accepted");
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_peer(self: Arc<Self>, stream: TcpStream) -> Result<(), &'static str> {
        tune(&stream);
        let (mut input, output) = stream.into_split();
        let mut preface = [0; PREFACE.len()];
        let read = tokio::time::timeout(SILENCE, input.read_exact(&mut preface)).await;
        if !matches!(read, Ok(Ok(_))) || preface != PREFACE {
            return Err("foreign bytes instead of the preface");
        }
        let (answers, outbox) = mpsc::channel(QUEUE);
        tokio::spawn(write_all(output, outbox));
        let mut frames = FramedRead::new(input, codec());
        let mut from = String::new();
        while let Some(frame) = frames.next().await {
            let Ok(frame) = frame else {
                return Ok(());
            };
            let (kind, number, body) = parse(&frame).ok_or("a frame of unknown kind")?;
            match kind {
                Kind::Hello => from = decode(body).ok_or("a hello that cannot be decoded")?,
                Kind::Cast => {
                    let request = decode(body).ok_or("a message that cannot be decoded")?;
                    if let Some(handler) = self.handler.get() {
                        handler.handle(from.clone(), request).await;
                    }
                }
                Kind::Call => {
                    let request = decode(body).ok_or("a call that cannot be decoded")?;
                    let handler = self.handler.get().cloned().ok_or("the instance is starting")?;
                    let (from, answers) = (from.clone(), answers.clone());
                    tokio::spawn(async move {
                        let response = handler.handle(from, request).await;
                        if let Some(frame) = encode(Kind::Reply, number, &response) {
                            // A full queue means that the peer does not read; it asks again.
                            drop(answers.try_send(frame));
                        }
                    });
                }
                Kind::Ping => {
                    if let Some(frame) = encode(Kind::Pong, number, &()) {
                        drop(answers.try_send(frame));
                    }
                }
                Kind::Reply | Kind::Pong => return Err("an answer that was not asked for"),
            }
        }
        Ok(())
    }
}

impl MessageSender for Transport {
    fn send(&self, to: &str, envelope: Envelope) {
        if let Some(frame) = encode(Kind::Cast, 0, &Request::Consensus(vec![envelope])) {
            // A lost message is sent again by the journal itself.
            let _ = Transport::send(self, to, Order::Cast(frame));
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

fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    let tuned = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = tuned {
        tracing::warn!(%error, "socket options of a peer's connection were refused");
    }
}

/// Writes frames, as many as have gathered at once; ends with the queue or the peer.
async fn write_all(mut output: OwnedWriteHalf, mut outbox: mpsc::Receiver<Bytes>) {
    let mut buffer = BytesMut::new();
    while let Some(frame) = outbox.recv().await {
        buffer.extend_from_slice(&frame);
        while buffer.len() < BURST_BYTES
            && let Ok(frame) = outbox.try_recv()
        {
            buffer.extend_from_slice(&frame);
        }
        if output.write_all(&buffer).await.is_err() {
            return;
        }
        buffer.clear();
    }
}

/// The connection to one peer.
struct Link {
    own: String,
    peer: String,
    inbox: mpsc::Receiver<Order>,
    bytes: Arc<AtomicUsize>,
}

impl Order {
    /// Bytes that count against the queue.
    fn cast_bytes(&self) -> usize {
        match self {
            Self::Cast(frame) => frame.len(),
            Self::Call { .. } => 0,
        }
    }
}

impl Link {
    async fn next(&mut self) -> Option<Order> {
        let order = self.inbox.recv().await?;
        self.bytes.fetch_sub(order.cast_bytes(), Ordering::Relaxed);
        Some(order)
    }

    fn try_next(&mut self) -> Option<Order> {
        let order = self.inbox.try_recv().ok()?;
        self.bytes.fetch_sub(order.cast_bytes(), Ordering::Relaxed);
        Some(order)
    }

    async fn run(mut self) {
        while let Some(first) = self.next().await {
            let connect = async {
                let address: SocketAddr = self.peer.parse().ok()?;
                TcpStream::connect(address).await.ok()
            };
            match tokio::time::timeout(CONNECT_TIME, connect).await {
                Ok(Some(stream)) => {
                    tracing::info!(peer = self.peer, "connected to a peer");
                    let reason = self.talk(stream, first).await;
                    tracing::info!(peer = self.peer, reason, "connection to a peer ended");
                }
                Ok(None) | Err(_) => {
                    tracing::debug!(peer = self.peer, "peer cannot be reached");
                    drop(first);
                    // What has gathered meanwhile would fail as well.
                    while self.try_next().is_some() {}
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    async fn talk(&mut self, stream: TcpStream, first: Order) -> &'static str {
        tune(&stream);
        let (input, output) = stream.into_split();
        let mut session = Session {
            frames: FramedRead::new(input, codec()),
            output,
            buffer: BytesMut::new(),
            pending: Map::default(),
            owes: false,
            heard: Instant::now(),
        };
        session.buffer.put_slice(&PREFACE);
        put_frame(&mut session.buffer, Kind::Hello, 0, &self.own);
        session.push(first);
        let mut pings = tokio::time::interval(PING_TIME);
        pings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            if !session.flush().await {
                return "write failed";
            }
            tokio::select! {
                order = self.next() => {
                    let Some(order) = order else {
                        return "no longer needed";
                    };
                    session.push(order);
                    while session.buffer.len() < BURST_BYTES
                        && let Some(order) = self.try_next()
                    {
                        session.push(order);
                    }
                }
                frame = session.frames.next() => {
                    let Some(Ok(frame)) = frame else {
                        return "closed by the peer";
                    };
                    if !session.take(&frame) {
                        return "a frame that cannot be decoded";
                    }
                }
                _ = pings.tick(), if session.owes => {
                    if session.heard.elapsed() > SILENCE {
                        return "the peer is silent";
                    }
                    put_frame(&mut session.buffer, Kind::Ping, 0, &());
                }
            }
        }
    }
}

/// An open connection to a peer.
struct Session {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    output: OwnedWriteHalf,
    buffer: BytesMut,
    pending: Map<u64, oneshot::Sender<Response>>,
    /// Whether something was sent since the peer was last heard.
    owes: bool,
    heard: Instant,
}

impl Session {
    fn push(&mut self, order: Order) {
        if !self.owes {
            self.owes = true;
            self.heard = Instant::now();
        }
        match order {
            Order::Cast(frame) => self.buffer.put_slice(&frame),
            Order::Call { number, frame, reply } => {
                self.buffer.put_slice(&frame);
                self.pending.retain(|_, reply| !reply.is_closed());
                self.pending.insert(number, reply);
            }
        }
    }

    async fn flush(&mut self) -> bool {
        if self.buffer.is_empty() {
            return true;
        }
        let written = tokio::time::timeout(SILENCE, self.output.write_all(&self.buffer)).await;
        self.buffer.clear();
        matches!(written, Ok(Ok(())))
    }

    fn take(&mut self, frame: &[u8]) -> bool {
        self.heard = Instant::now();
        match parse(frame) {
            Some((Kind::Reply, number, body)) => {
                let Some(response) = decode(body) else {
                    return false;
                };
                if let Some(reply) = self.pending.remove(&number) {
                    // The asker may have given up.
                    drop(reply.send(response));
                }
                self.owes = !self.pending.is_empty();
                true
            }
            Some((Kind::Pong, ..)) => {
                self.owes = !self.pending.is_empty();
                true
            }
            _ => false,
        }
    }
}
