//! Pool of HTTP/1.1 connections to backend servers.
//!
//! A connection carries one request at a time and is reused after a complete response. If a
//! request ends in any other way its connection is closed, which also stops the work on the
//! server.

use crate::clock::Clock;
use crate::gateway::connector::{Connector, Direct};
use crate::gateway::error;
use crate::gateway::peer::Peer;
use bytes::Bytes;
use coordination::Millis;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use state::collections::Map;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Timeout for opening a connection to a backend server. It covers several round trips and a
/// busy listener.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum idle time of a connection whose server announces no keep-alive timeout. It is below
/// one second, since servers announce timeouts in whole seconds.
const DEFAULT_IDLE: Duration = Duration::from_millis(900);

/// Margin before the keep-alive timeout that a server announces, so that no request arrives
/// just after the server has closed the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

/// Upper bound of the idle time, whatever timeout a server announces.
const MAX_IDLE: Duration = Duration::from_secs(8);

/// TCP user timeout: time for sent data to be acknowledged before the kernel closes the connection.
/// It ends connections that nothing uses any more, and exceeds the time that callers wait: the kernel
/// also counts the time in which a server that pauses has no room for the rest of a body.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time before the kernel probes a connection, and the interval of its probes. A machine that has
/// started again resets the connections that it doesn't know; one whose server pauses answers for it,
/// and without an answer [`TCP_USER_TIMEOUT`] applies.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum read buffer of a connection, in bytes: several events, or a short response.
const BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of bytes that a server may send before the head of its response is complete,
/// interim responses included. It covers some body that is read along with the head.
const HEAD_BYTES: usize = 128 * 1024;

/// An open connection, which is closed when it is dropped.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    allowance: Arc<Allowance>,
    pub(super) peer: Arc<Peer>,
    pub(super) opened_at: Millis,
}

/// Number of bytes that a connection may still receive.
struct Allowance(AtomicUsize);

impl Allowance {
    /// Allows a response head.
    fn limit(&self) {
        self.0.store(HEAD_BYTES, Ordering::Relaxed);
    }

    /// Allows a body of any length, which its reader limits.
    fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Deducts received bytes; `false` if there are more than allowed.
    fn deduct(&self, count: usize) -> bool {
        let deduct = |left: usize| match left {
            usize::MAX => Some(left),
            _ => left.checked_sub(count),
        };
        self.0.try_update(Ordering::Relaxed, Ordering::Relaxed, deduct).is_ok()
    }
}

/// Stream that fails once the [`Allowance`] is used up.
struct Metered {
    stream: TcpStream,
    /// Number of bytes received on all connections of the pool.
    received: Arc<AtomicU64>,
    allowance: Arc<Allowance>,
    peer: Arc<Peer>,
    opened_at: Millis,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - filled;
        self.received.fetch_add(count as u64, Ordering::Relaxed);
        if count > 0 {
            self.peer.hear(self.opened_at);
        }
        if self.allowance.deduct(count) {
            return Poll::Ready(Ok(()));
        }
        let detail = format!("more than {HEAD_BYTES} bytes without a complete response head");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reason why a request got no response on a connection.
#[derive(Debug)]
pub(crate) enum SendError {
    /// Nothing of the request was sent.
    NotSent,
    /// The connection failed after the request was sent at least in part; it may have been
    /// executed. Carries the cause.
    NoResponse(String),
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the cause if the server does not accept it in time.
    async fn open(
        connector: Arc<dyn Connector>,
        address: String,
        received: Arc<AtomicU64>,
        peer: Arc<Peer>,
    ) -> io::Result<Self> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connector.connect(address)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
        let is_refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        peer.observe_opening(stream.as_ref().is_err_and(is_refused));
        let stream = stream?;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        let configured = stream
            .set_nodelay(true)
            .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)))
            .and_then(|()| SockRef::from(&stream).set_tcp_keepalive(&keepalive));
        if let Err(error) = configured {
            tracing::warn!(%error, "cannot set socket options of a connection to a backend server");
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES).writev(true);
        let allowance = Arc::new(Allowance(AtomicUsize::new(HEAD_BYTES)));
        let opened_at = peer.now();
        let stream = Metered {
            stream,
            received,
            allowance: allowance.clone(),
            peer: peer.clone(),
            opened_at,
        };
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to a backend server ended");
            }
        });
        let task = task.abort_handle();
        Ok(Self { sender, task, allowance, peer, opened_at })
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.allowance.limit();
        self.peer.ask();
        let response =
            self.sender.try_send_request(request).await.map_err(|mut error| {
                match error.take_message() {
                    Some(_) => SendError::NotSent,
                    None => SendError::NoResponse(error::chain(&error.into_error())),
                }
            })?;
        self.allowance.lift();
        Ok(response)
    }
}

/// An idle connection, with the time at which it must no longer be used.
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by server address.
pub(crate) struct Pool {
    connector: Arc<dyn Connector>,
    clock: Clock,
    received: Arc<AtomicU64>,
    idle: Mutex<Map<String, Vec<Idle>>>,
    peers: Mutex<Map<String, Arc<Peer>>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(Arc::new(Direct), Clock::new())
    }
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(connector: Arc<dyn Connector>, clock: Clock) -> Self {
        Self {
            connector,
            clock,
            received: Arc::default(),
            idle: Mutex::default(),
            peers: Mutex::default(),
        }
    }

    /// Returns what the connections to `address` show of the server.
    pub(super) fn peer(&self, address: &str) -> Arc<Peer> {
        let Ok(mut peers) = self.peers.lock() else {
            return Arc::new(Peer::new(self.clock));
        };
        if let Some(peer) = peers.get(address) {
            return peer.clone();
        }
        let peer = Arc::new(Peer::new(self.clock));
        peers.insert(address.to_owned(), peer.clone());
        peer
    }

    /// Closes the idle connections to a server that has ended.
    pub(super) fn close_idle(&self, address: &str) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.remove(address);
        }
    }

    /// Returns an idle connection to `address` or opens one; the flag is `true` for a new
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns the cause if no connection can be opened.
    pub(crate) async fn get(&self, address: &str) -> io::Result<(Connection, bool)> {
        if let Some(connection) = self.take(address) {
            return Ok((connection, false));
        }
        Ok((self.open(address).await?, true))
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the cause if no connection can be opened.
    async fn open(&self, address: &str) -> io::Result<Connection> {
        self.opening(address).await
    }

    /// Begins to open a connection.
    pub(super) fn opening(
        &self,
        address: &str,
    ) -> impl Future<Output = io::Result<Connection>> + Send + use<> {
        let peer = self.peer(address);
        Connection::open(self.connector.clone(), address.to_owned(), self.received.clone(), peer)
    }

    /// Opens a connection that the next request to `address` can use.
    ///
    /// # Errors
    ///
    /// Returns the cause if no connection can be opened.
    pub(crate) async fn warm_up(&self, address: &str) -> io::Result<()> {
        let connection = self.open(address).await?;
        self.put(address, connection, &HeaderMap::new());
        Ok(())
    }

    /// Opens a connection to `address` and closes it.
    ///
    /// # Errors
    ///
    /// Returns the cause if no connection can be opened.
    pub(crate) async fn probe(&self, address: &str) -> io::Result<()> {
        self.open(address).await.map(drop)
    }

    /// Number of bytes that were ever received on the connections.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(super) fn take(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(Idle { connection, expires_at }) = connections.pop() {
            if expires_at > now && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, unless `headers`, those of its last response, announce
    /// that the server closes it.
    pub(crate) fn put(&self, address: &str, connection: Connection, headers: &HeaderMap) {
        if connection.sender.is_closed() || requests_close(headers) {
            return;
        }
        let expires_at = Instant::now() + idle_time(headers);
        if let Ok(mut idle) = self.idle.lock() {
            idle.entry(address.to_owned()).or_default().push(Idle { connection, expires_at });
        }
    }

    /// Closes connections that have been idle for too long or to addresses for which
    /// `is_known` returns `false`.
    pub(crate) fn remove_expired(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        if let Ok(mut idle) = self.idle.lock() {
            idle.retain(|address, connections| {
                connections
                    .retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
                !connections.is_empty() && is_known(address)
            });
        }
        if let Ok(mut peers) = self.peers.lock() {
            peers.retain(|address, peer| Arc::strong_count(peer) > 1 || is_known(address));
        }
    }
}

/// Whether the headers of a response announce that the server closes the connection.
fn requests_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Returns how long the connection may be idle after a response with these headers.
fn idle_time(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| {
        let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
        let (_, seconds) = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
        seconds.trim().parse::<u64>().ok()
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(MAX_IDLE),
        None => DEFAULT_IDLE,
    }
}
