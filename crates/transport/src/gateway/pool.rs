//! Connections to backend servers.
//!
//! A connection carries one request at a time and is used again after a whole answer. One
//! whose request ended in any other way is closed, which also stops the work behind it.

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use state::collections::Map;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time for a connection to a backend server; several round trips and a busy listener.
const CONNECT_TIME: Duration = Duration::from_millis(250);

/// Idle time of a connection whose server names none: below a second, since servers name
/// whole seconds.
const IDLE_TIME: Duration = Duration::from_millis(900);

/// Margin before the idle time that a server names, for the way there.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

/// Longest idle time, whatever a server names.
const IDLE_MOST: Duration = Duration::from_secs(8);

/// Time for the kernel to deliver what was written; servers may go silent.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Initial read buffer of a connection, in bytes: some events, or a short answer.
const BUFFER_BYTES: usize = 16 * 1024;

/// An open connection; dropping it closes it.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How sending a request failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of it has left.
    NotSent,
    /// It may have run.
    Lost(String),
}

impl Connection {
    async fn open(address: &str) -> Option<Self> {
        let address: SocketAddr = address.parse().ok()?;
        let stream = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        let tuned = stream
            .set_nodelay(true)
            .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT)));
        if let Err(error) = tuned {
            tracing::warn!(%error, "socket options towards a backend server were refused");
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES).writev(true);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to a backend server ended");
            }
        });
        Some(Self { sender, task: task.abort_handle() })
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        if self.sender.ready().await.is_err() {
            return Err(Failure::NotSent);
        }
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => Failure::NotSent,
                None => Failure::Lost(error.into_error().to_string()),
            }
        })
    }
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<Map<String, Vec<Idle>>>,
}

impl Pool {
    /// An idle connection to `address`, or a new one; the flag says whether it is new.
    pub(crate) async fn get(&self, address: &str) -> Option<(Connection, bool)> {
        if let Some(connection) = self.take(address) {
            return Some((connection, false));
        }
        Some((Connection::open(address).await?, true))
    }

    fn take(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.lock().ok()?;
        let list = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(Idle { connection, until }) = list.pop() {
            if until > now && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer had these headers.
    pub(crate) fn put(&self, address: &str, connection: Connection, headers: &HeaderMap) {
        if connection.sender.is_closed() || says_close(headers) {
            return;
        }
        let until = Instant::now() + idle_time(headers);
        if let Ok(mut idle) = self.idle.lock() {
            idle.entry(address.to_owned()).or_default().push(Idle { connection, until });
        }
    }

    /// Closes connections that have been idle for too long, and those to addresses that
    /// `is_known` rejects.
    pub(crate) fn sweep(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        if let Ok(mut idle) = self.idle.lock() {
            idle.retain(|address, list| {
                list.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
                !list.is_empty() && is_known(address)
            });
        }
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

fn idle_time(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| {
        let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
        let (_, seconds) = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
        seconds.trim().parse::<u64>().ok()
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(IDLE_MOST),
        None => IDLE_TIME,
    }
}
