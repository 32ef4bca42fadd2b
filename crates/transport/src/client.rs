//! A client for the platform's own HTTP addresses.

use crate::gateway::pool::{Pool, SendError};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use std::time::Duration;

/// Largest answer, in bytes: a page of a list of backend servers, with room.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, or it broke off.
    #[error("{0} cannot be reached: {1}")]
    Unreachable(String, String),
    /// No answer came in time.
    #[error("{0} did not answer within {1:?}")]
    Late(String, Duration),
}

/// Keeps connections open between requests.
#[derive(Default)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Gets `path` from `address`.
    ///
    /// # Errors
    ///
    /// Returns why no whole answer came; an answer with any status is one.
    pub async fn get(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        match tokio::time::timeout(timeout, self.try_get(address, path)).await {
            Ok(result) => result.map_err(|detail| Error::Unreachable(address.to_owned(), detail)),
            Err(_) => Err(Error::Late(address.to_owned(), timeout)),
        }
    }

    async fn try_get(&self, address: &str, path: &str) -> Result<(StatusCode, Bytes), String> {
        loop {
            let found = self.pool.get(address).await;
            let (mut connection, is_new) = found.ok_or_else(|| "no connection".to_owned())?;
            let request = Request::get(path)
                .header(http::header::HOST, address)
                .body(Full::new(Bytes::new()))
                .map_err(|error| error.to_string())?;
            let response = match connection.send(request).await {
                Ok(response) => response,
                // The server closed an idle connection; a new one is tried once.
                Err(_) if !is_new => continue,
                Err(SendError::NotSent) => return Err("the connection was closed".to_owned()),
                Err(SendError::NoResponse(detail)) => return Err(detail),
            };
            let (head, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            self.pool.put(address, connection, &head.headers);
            return Ok((head.status, body));
        }
    }
}
