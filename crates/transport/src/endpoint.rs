//! Server for simple HTTP endpoints, such as readiness, directory, operators and metrics.
//!
//! Each endpoint has its own address and a [`Handler`] that returns complete responses.

use crate::connections::{Connection, Connections};
use bytes::Bytes;
use http::{Request, Response};
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Timeout for receiving the head of a request, which also limits how long a connection may be
/// idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of the buffers of a connection, in bytes; also that of the largest head of a request.
const BUFFER_BYTES: usize = 16 * 1024;

/// Pause after an error in accepting a connection, so that the error does not recur in a tight
/// loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Pending response to a request.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send + 'a>>;

/// Handles the requests to one address.
pub trait Handler: Send + Sync {
    /// Returns the response to one request.
    fn handle(&self, request: Request<Incoming>) -> ResponseFuture<'_>;
}

/// Serves an address with at most `limit` connections for as long as the process runs.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(
    address: &str,
    handler: Arc<dyn Handler>,
    limit: usize,
) -> Result<(), crate::Error> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| crate::Error::new(format!("{address}: {error}")))?;
    tokio::spawn(accept(listener, handler, Connections::new("endpoint", limit)));
    Ok(())
}

async fn accept(listener: TcpListener, handler: Arc<dyn Handler>, connections: Arc<Connections>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => match connections.add() {
                Some(connection) => drop(tokio::spawn(answer(stream, handler.clone(), connection))),
                None => {
                    let limit = connections.limit();
                    tracing::warn!(%from, limit, "connection to an endpoint refused");
                }
            },
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection to an endpoint");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the requests on one connection.
async fn answer(stream: TcpStream, handler: Arc<dyn Handler>, connection: Connection) {
    let service = service_fn(|request: Request<Incoming>| async {
        connection.touch();
        // An upload may stall, and makes room for others then.
        let _busy = request.body().is_end_stream().then(|| connection.busy());
        Ok::<_, Infallible>(handler.handle(request).await)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        served = served => {
            if let Err(error) = served {
                tracing::debug!(%error, "connection to an endpoint ended with an error");
            }
        }
        () = connection.closed() => {}
    }
}
