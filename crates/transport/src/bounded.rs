//! Bounded reads of responses, since a faulty server may send bytes without end.
//!
//! Whatever goes on beyond the bound occupies the memory and the connection of the instance until
//! the deadline of a request.

use crate::memory::{Full, Grant};
use coordination::memory;
use futures_util::StreamExt;
use reqwest::Response;
use serde::de::DeserializeOwned;

/// Maximum length of the body of an answer, in bytes.
pub(crate) const RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum length of a report about a backend server or a list of them, in bytes.
pub(crate) const REPORT_BYTES: usize = 1024 * 1024;

/// Maximum length of one line of a stream, in bytes. Those of engines are far shorter, and an
/// instance of 88 MB may relay several hundred streams.
pub(crate) const LINE_BYTES: usize = 64 * 1024;

/// Reason why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The connection was lost.
    #[error("the body ended early: {0}")]
    Lost(#[from] reqwest::Error),
    /// The body is too long.
    #[error("the body has more than {0} bytes")]
    TooLong(usize),
    /// There is no memory for the body.
    #[error(transparent)]
    Full(#[from] Full),
    /// The body is not of the expected type.
    #[error("the body cannot be decoded: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Reads a whole body of at most `limit` bytes, which `grant` allows.
///
/// # Errors
///
/// Returns an error if the connection is lost, or the body is longer than allowed.
pub(crate) async fn collect(
    response: Response,
    limit: usize,
    grant: &mut Grant,
) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    let mut stream = response.bytes_stream();
    while let Some(bytes) = stream.next().await {
        let bytes = bytes?;
        if body.len() + bytes.len() > limit {
            return Err(Error::TooLong(limit));
        }
        grant.grow_response(memory::counted(body.len() + bytes.len(), 1))?;
        body.extend_from_slice(&bytes);
    }
    Ok(body)
}

/// Reads and decodes a whole JSON body of at most `limit` bytes.
///
/// # Errors
///
/// As [`collect`], and if the body is not of the type `T`.
pub(crate) async fn json<T: DeserializeOwned>(
    response: Response,
    limit: usize,
    grant: &mut Grant,
) -> Result<T, Error> {
    Ok(serde_json::from_slice(&collect(response, limit, grant).await?)?)
}
