//! Small HTTP addresses: readiness, directory, operators, metrics.

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

/// Time for a head to arrive, and for which a connection may be idle.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An answer under way.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send + 'a>>;

/// Answers the requests of one address.
pub trait Handler: Send + Sync {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> ResponseFuture<'_>;
}

/// Serves an address for as long as the process runs.
///
/// # Errors
///
/// Returns the error of binding the address.
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
                    .header_read_timeout(IDLE_TIME)
                    .serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move {
                    if let Err(error) = connection.await {
                        tracing::debug!(%error, "connection to a small address ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "a connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
