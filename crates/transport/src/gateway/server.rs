//! The address for callers.

use crate::gateway::entry::Entry;
use crate::gateway::flow;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Connections of callers at a time; below the descriptors of the smallest machines, which
/// have 4,100, with room for connections to backend servers and instances.
const CONNECTIONS: usize = 2_500;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Read buffer beyond the largest head, in bytes.
const BUFFER_ROOM: usize = 4 * 1024;

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No stop.
    Serving,
    /// New connections are served, idle ones are closed.
    Closing,
    /// No new connections.
    Closed,
}

/// Accepts connections until the stop is complete.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
) {
    let count = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = reached(&mut phase, Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) if count.load(Ordering::Relaxed) < CONNECTIONS => {
                count.fetch_add(1, Ordering::Relaxed);
                let (entry, phase, count) = (entry.clone(), phase.clone(), count.clone());
                tokio::spawn(async move {
                    serve_caller(entry, stream, phase).await;
                    count.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Ok((_, from)) => {
                tracing::warn!(%from, limit = CONNECTIONS, "caller refused: too many");
            }
            Err(error) => {
                tracing::warn!(%error, "a caller's connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(entry: Arc<Entry>, stream: TcpStream, mut phase: watch::Receiver<Phase>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "socket option of a caller's connection was refused");
    }
    let limits = entry.table().map(|table| *table.limits()).unwrap_or_default();
    let service = service_fn(move |request| flow::answer(entry.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counted from the end of the last answer, so it bounds idle connections, too.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes + BUFFER_ROOM)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = reached(&mut phase, Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection of a caller ended");
    }
}

/// Waits until the stop has come as far as `wanted`, or the gateway is gone.
async fn reached(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    drop(phase.wait_for(|phase| *phase >= wanted).await);
}
