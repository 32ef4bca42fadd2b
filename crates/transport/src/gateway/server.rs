//! HTTP server for callers.
//!
//! Accepts connections up to a limit, serves their requests, and closes them gracefully when
//! the gateway stops.

use crate::connections::{Connection, Connections};
use crate::gateway::dialect::Refusal;
use crate::gateway::entry::Entry;
use crate::gateway::exchange::{Activity, Guarded, Stream};
use crate::gateway::flow::{self, RETRY_AFTER, Source};
use crate::gateway::relay::Abort;
use crate::memory::Kind as Purpose;
use bytes::Bytes;
use http::{Request, Version};
use http_body_util::{BodyExt, Collected};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use state::error::Kind;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Maximum number of concurrent connections of callers, however many descriptors the machine has.
/// Connections to backend servers and other instances need some of them.
const MAX_CONNECTIONS: usize = 2_500;

/// Pause after an error in accepting a connection, so that the error does not recur in a tight
/// loop.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Memory of a connection that has sent something, in bytes: its buffers with a head of ordinary
/// size, and its task.
const CONNECTION_BYTES: usize = 10 * 1024;

/// Assumed time that a caller waits for the configuration, before its request is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time in which what a caller sends after a refusal is dropped: some round trips.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of bytes that are dropped after a refusal. A caller that goes on for longer sends at the
/// limit of bodies or beyond it.
const LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Number of connections for each one that is being refused at the same time. Further ones are closed
/// unread.
const CONNECTIONS_PER_REFUSAL: usize = 16;

/// Size of the buffer into which bytes are dropped.
const LINGER_BUFFER_BYTES: usize = 4 * 1024;

/// Size of the read buffer beyond the largest request head, in bytes.
const BUFFER_MARGIN: usize = 4 * 1024;

/// Phases of a stop, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The gateway is not stopping.
    Serving,
    /// New connections are served, idle connections are closed.
    Closing,
    /// No new connections are accepted, and no new requests are sent on.
    Closed,
    /// The process is about to end: requests without a response are answered.
    Ended,
}

/// Accepts connections until the stop is complete.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
    source: Source,
) {
    let limits = entry.member.settings.connections;
    let connections = match source {
        Source::Callers => Connections::new("callers", limits.callers.min(MAX_CONNECTIONS)),
        Source::Entries => Connections::new("forwarded requests", limits.relays),
    };
    let refusals = (connections.limit() / CONNECTIONS_PER_REFUSAL).max(1);
    let refusals = Arc::new(Semaphore::new(refusals));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_phase(&mut phase, Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, from)) => match connections.add() {
                Some(connection) => {
                    let (entry, phase) = (entry.clone(), phase.clone());
                    tokio::spawn(serve_caller(entry, stream, phase, source, connection));
                }
                None => {
                    entry.member.budget.metrics.give_up("connection over the limit");
                    let limit = connections.limit();
                    tracing::warn!(%from, limit, "caller refused: limit reached");
                    if let Ok(permit) = refusals.clone().try_acquire_owned() {
                        tokio::spawn(refuse_over_limit(entry.clone(), stream, permit));
                    }
                }
            },
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection of a caller");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves a connection once its first bytes have arrived. Before that, it holds nothing but a socket.
async fn serve_caller(
    entry: Arc<Entry>,
    stream: TcpStream,
    phase: watch::Receiver<Phase>,
    source: Source,
    connection: Connection,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set socket options of a connection of a caller");
    }
    let connection = Arc::new(connection);
    let idle_timeout = entry.limits().idle_timeout;
    let mut stopping = phase.clone();
    // The socket may be reported as readable before anything has arrived.
    let mut first = [0; 1];
    let has_bytes = tokio::select! {
        peeked = tokio::time::timeout(idle_timeout, stream.peek(&mut first)) => {
            matches!(peeked, Ok(Ok(1..)))
        }
        () = connection.closed() => false,
        // A connection that was opened during the stop is served in any case.
        () = wait_for_change(&mut stopping) => true,
    };
    let mut grant = entry.member.budget.grant(Purpose::Connection);
    if !has_bytes {
        entry.member.budget.metrics.give_up("silent connection");
        return;
    }
    if grant.resize(CONNECTION_BYTES).await.is_err() {
        entry.member.budget.metrics.give_up("connection without memory");
        tracing::info!(limit = entry.member.budget.limit(), "caller refused: no memory is left");
        refuse_unread(&entry, &stream, "there is no memory for the connection").await;
        return;
    }
    // The limits on heads are part of the configuration. What has arrived may be a complete request.
    connection.touch();
    let busy = connection.busy();
    entry.await_start("", DEFAULT_TIMEOUT).await;
    drop(busy);
    Box::pin(serve_requests(entry, stream, phase, source, connection)).await;
    drop(grant);
}

async fn serve_requests(
    entry: Arc<Entry>,
    socket: TcpStream,
    mut phase: watch::Receiver<Phase>,
    source: Source,
    connection: Arc<Connection>,
) {
    let knows_chunks = AtomicBool::new(true);
    let activity = Arc::new(Activity::default());
    let service = service_fn(|request: Request<Incoming>| {
        knows_chunks.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
        connection.touch();
        let guard = activity.begin();
        let response = flow::respond(entry.clone(), request, source, connection.clone());
        async { Ok::<_, Abort>(response.await?.map(|body| Guarded::new(body, guard))) }
    });
    // A connection that is opened during a stop serves one request. A graceful shutdown before that
    // would close it unread.
    let is_stopping = *phase.borrow() >= Phase::Closing;
    let last_phase = if is_stopping { Phase::Closed } else { Phase::Closing };
    let mut stream = Stream { socket, received: Bytes::new(), activity: activity.clone() };
    let (ended, stream) = loop {
        let limits = entry.limits();
        let mut served = http1::Builder::new()
            .keep_alive(!is_stopping)
            .timer(TokioTimer::new())
            // hyper counts this timeout from the end of the last response, so it also limits how
            // long a connection may be idle.
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.head_bytes + BUFFER_MARGIN)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), &service);
        let are_limits_replaced = async {
            entry.limits_other_than(&limits).await;
            activity.idle().await;
            if connection.has_unread_body() {
                // It is about to be closed.
                std::future::pending::<()>().await;
            }
        };
        let ended = tokio::select! {
            ended = &mut served => ended,
            () = are_limits_replaced => {
                let parts = served.into_parts();
                stream = Stream { received: parts.read_buf, ..parts.io.into_inner() };
                continue;
            }
            () = connection.closed() => {
                entry.member.budget.metrics.give_up("idle connection");
                return;
            }
            () = wait_for_phase(&mut phase, last_phase) => {
                Pin::new(&mut served).graceful_shutdown();
                (&mut served).await
            }
        };
        break (ended, served.into_parts().io.into_inner());
    };
    match ended {
        Ok(()) if connection.has_unread_body() => linger(&stream.socket).await,
        Ok(()) => {}
        // It was refused by the protocol handler, while the caller may still be sending.
        Err(error) if error.is_parse() => {
            tracing::info!(%error, "head of a request refused");
            linger(&stream.socket).await;
        }
        Err(error) => {
            tracing::debug!(%error, "connection of a caller ended");
            if !knows_chunks.load(Ordering::Relaxed) {
                // The end of the connection would complete the body.
                reset(&stream.socket);
            }
        }
    }
}

/// Refuses the request of a connection over the limit once it arrives.
async fn refuse_over_limit(entry: Arc<Entry>, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let mut first = [0; 1];
    let peeked = tokio::time::timeout(LINGER_TIMEOUT, stream.peek(&mut first)).await;
    if matches!(peeked, Ok(Ok(1..))) {
        refuse_unread(&entry, &stream, "all connections have requests").await;
    }
    drop(permit);
}

/// Refuses the request of a connection without reading it.
async fn refuse_unread(entry: &Entry, stream: &TcpStream, detail: &str) {
    let refusal = Refusal::retryable(Kind::Overloaded, RETRY_AFTER, detail);
    let (head, body) = entry.adapter.refusal_response(None, &refusal).into_parts();
    let Ok(body) = body.collect().await.map(Collected::to_bytes);
    let status = head.status;
    let mut response = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in &head.headers {
        response.extend_from_slice(name.as_str().as_bytes());
        response.extend_from_slice(b": ");
        response.extend_from_slice(value.as_bytes());
        response.extend_from_slice(b"\r\n");
    }
    let length = body.len();
    let end = format!("content-length: {length}\r\nconnection: close\r\n\r\n");
    response.extend_from_slice(end.as_bytes());
    response.extend_from_slice(&body);
    // It fits into the empty buffer of the socket.
    match stream.try_write(&response) {
        Ok(written) if written == response.len() => {
            // The caller may have closed the connection.
            drop(SockRef::from(stream).shutdown(Shutdown::Write));
            linger(stream).await;
        }
        written => tracing::debug!(?written, "refusal of a caller not sent"),
    }
}

/// Drops what a caller goes on sending after its request was refused. A connection that is closed
/// with unread bytes is reset, and the caller may lose the refusal.
async fn linger(stream: &TcpStream) {
    let drain = async {
        let mut buffer = [0; LINGER_BUFFER_BYTES];
        let mut dropped = 0;
        while dropped < LINGER_BYTES {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => dropped += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    // A caller that is not done by then loses the refusal.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(%error, "a broken-off response may look complete to its caller");
    }
}

/// Waits until the stop has begun, if it has not begun yet.
async fn wait_for_change(phase: &mut watch::Receiver<Phase>) {
    if *phase.borrow() >= Phase::Closing {
        return std::future::pending().await;
    }
    wait_for_phase(phase, Phase::Closing).await;
}

/// Waits until the stop has reached the phase `wanted` or the gateway has been dropped.
pub(crate) async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    drop(phase.wait_for(|phase| *phase >= wanted).await);
}
