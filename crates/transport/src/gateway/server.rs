//! HTTP server for callers.
//!
//! Accepts connections up to a limit, serves their requests, and closes them gracefully when
//! the gateway stops.

use crate::gateway::entry::Entry;
use crate::gateway::flow::{self, Source};
use http::{Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of concurrent connections of callers. The smallest machines allow 4,100 file
/// descriptors, and connections to backend servers and other instances need some of them.
const MAX_CONNECTIONS: usize = 2_500;

/// Pause after an error in accepting a connection, so that the error does not recur in a tight
/// loop.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

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
    let count = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_phase(&mut phase, Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) if count.load(Ordering::Relaxed) < MAX_CONNECTIONS => {
                count.fetch_add(1, Ordering::Relaxed);
                let (entry, phase, count) = (entry.clone(), phase.clone(), count.clone());
                tokio::spawn(async move {
                    serve_caller(entry, stream, phase, source).await;
                    count.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Ok((_, from)) => {
                tracing::warn!(%from, limit = MAX_CONNECTIONS, "caller refused: limit reached");
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection of a caller");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(
    entry: Arc<Entry>,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
    source: Source,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set socket options of a connection of a caller");
    }
    let limits = entry.table().map(|table| *table.limits()).unwrap_or_default();
    let knows_chunks = AtomicBool::new(true);
    let service = service_fn(|request: Request<Incoming>| {
        knows_chunks.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
        flow::respond(entry.clone(), request, source)
    });
    // A connection that is opened during a stop serves one request. A graceful shutdown before that
    // would close it unread.
    let is_stopping = *phase.borrow() >= Phase::Closing;
    let last_phase = if is_stopping { Phase::Closed } else { Phase::Closing };
    let mut connection = http1::Builder::new()
        .keep_alive(!is_stopping)
        .timer(TokioTimer::new())
        // hyper counts this timeout from the end of the last response, so it also limits how
        // long a connection may be idle.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes + BUFFER_MARGIN)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = wait_for_phase(&mut phase, last_phase) => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection of a caller ended");
        if !knows_chunks.load(Ordering::Relaxed) {
            // The end of the connection would complete the body.
            reset(connection.into_parts().io.inner());
        }
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(%error, "a broken-off response may look complete to its caller");
    }
}

/// Waits until the stop has reached the phase `wanted` or the gateway has been dropped.
pub(crate) async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    drop(phase.wait_for(|phase| *phase >= wanted).await);
}
