//! Server for simple HTTP endpoints, such as readiness, directory, operators and metrics.
//!
//! Each endpoint has its own address and a [`Handler`] that returns complete responses. A response takes
//! memory from the budget until it is written, and its connection ends if nobody reads it.

use crate::body::Held;
use crate::connections::{Connection, Connections};
use crate::memory::{Budget, Kind};
use crate::unread::Unread;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
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

/// Time for which a response may wait until its caller reads on; callers give up far earlier.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Size up to which a response takes no memory from the budget, in bytes.
const MIN_GRANTED_BYTES: usize = 16 * 1024;

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

/// Serves an address with at most `limit` connections for as long as the process runs. Responses take
/// their memory from `budget`, unless there is none.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(
    address: &str,
    handler: Arc<dyn Handler>,
    limit: usize,
    budget: Option<Arc<Budget>>,
) -> Result<(), crate::Error> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| crate::Error::new(format!("{address}: {error}")))?;
    let endpoint = Arc::new(Endpoint { handler, budget });
    tokio::spawn(accept(listener, endpoint, Connections::new("endpoint", limit)));
    Ok(())
}

/// What the connections of one address share.
struct Endpoint {
    handler: Arc<dyn Handler>,
    budget: Option<Arc<Budget>>,
}

impl Endpoint {
    /// Returns the response to one request, or a refusal without the memory for it.
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let response = self.handler.handle(request).await;
        let size = response.body().size_hint().exact().unwrap_or(0);
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        let Some(budget) = self.budget.as_ref().filter(|_| size > MIN_GRANTED_BYTES) else {
            return response;
        };
        let mut grant = budget.grant(Kind::Response);
        if grant.grow_response(size).is_err() {
            tracing::warn!(size, "no memory for the response of an endpoint");
            let mut refusal = Response::new(Full::from("no memory for the response\n"));
            *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return refusal;
        }
        let (head, body) = response.into_parts();
        // A complete body doesn't wait, and has no error.
        let content = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        Response::from_parts(head, Full::new(Bytes::from_owner(Held::new(content, grant))))
    }
}

async fn accept(listener: TcpListener, endpoint: Arc<Endpoint>, connections: Arc<Connections>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => match connections.add() {
                Some(connection) => {
                    drop(tokio::spawn(answer(stream, endpoint.clone(), connection)))
                }
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
async fn answer(stream: TcpStream, endpoint: Arc<Endpoint>, connection: Connection) {
    let service = service_fn(|request: Request<Incoming>| async {
        connection.touch();
        // An upload may stall, and makes room for others then.
        let _busy = request.body().is_end_stream().then(|| connection.busy());
        Ok::<_, Infallible>(endpoint.respond(request).await)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(Unread::new(stream, WRITE_TIMEOUT)), service);
    tokio::select! {
        served = served => {
            if let Err(error) = served {
                tracing::debug!(%error, "connection to an endpoint ended with an error");
            }
        }
        () = connection.closed() => {}
    }
}
