//! Server for simple HTTP endpoints, such as readiness, directory, operators and metrics.
//!
//! Each endpoint has its own address and a [`Handler`] that returns complete responses.

use bytes::Bytes;
use http::{Request, Response};
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
use tokio::net::TcpListener;

/// Timeout for receiving the head of a request, which also limits how long a connection may be
/// idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

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

/// Serves an address for as long as the process runs.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(address: &str, handler: Arc<dyn Handler>) -> Result<(), crate::Error> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| crate::Error::new(format!("{address}: {error}")))?;
    tokio::spawn(accept(listener, handler));
    Ok(())
}

async fn accept(listener: TcpListener, handler: Arc<dyn Handler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                let service = service_fn(move |request| {
                    let handler = handler.clone();
                    async move { Ok::<_, Infallible>(handler.handle(request).await) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move {
                    if let Err(error) = connection.await {
                        tracing::debug!(%error, "connection to an endpoint ended with an error");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection to an endpoint");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
