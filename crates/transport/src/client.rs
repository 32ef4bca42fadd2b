//! HTTP client for the platform's own endpoints.
//!
//! Connections are pooled; a request that fails on a reused connection is sent again.

use crate::gateway::pool::{Pool, SendError};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use std::time::Duration;

/// Maximum size of a response body, in bytes; well above a page of the backend server list.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Reason why a request got no complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, or it was lost; holds the address and the cause.
    #[error("{0} cannot be reached: {1}")]
    Unreachable(String, String),
    /// The response was not received in time; holds the address and the timeout.
    #[error("{0} did not answer within {1:?}")]
    Timeout(String, Duration),
}

/// Client that keeps connections open between requests.
#[derive(Default)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Gets `path` from `address`; returns the status and the body, also for error statuses.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received within `timeout`.
    pub async fn get(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        match tokio::time::timeout(timeout, self.try_get(address, path)).await {
            Ok(result) => result.map_err(|detail| Error::Unreachable(address.to_owned(), detail)),
            Err(_) => Err(Error::Timeout(address.to_owned(), timeout)),
        }
    }

    async fn try_get(&self, address: &str, path: &str) -> Result<(StatusCode, Bytes), String> {
        loop {
            let pooled = self.pool.get(address).await;
            let (mut connection, is_new) =
                pooled.map_err(|error| format!("cannot connect: {error}"))?;
            let request = Request::get(path)
                .header(http::header::HOST, address)
                .body(Full::new(Bytes::new()))
                .map_err(|error| error.to_string())?;
            let response = match connection.send(request).await {
                Ok(response) => response,
                // The server may have closed an idle connection; a failure of a new one is final.
                Err(_) if !is_new => continue,
                Err(SendError::NotSent) => return Err("the connection was closed".to_owned()),
                Err(SendError::NoResponse(detail)) => return Err(detail),
            };
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            self.pool.put(address, connection, &head.headers);
            return Ok((head.status, body));
        }
    }
}
