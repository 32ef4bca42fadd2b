//! Helpers shared by the HTTP handlers of callers and operators.
//!
//! They read tokens, path parameters and bodies, and write results and refusals as JSON.

use bytes::Bytes;
use protocol::answer::Refusal;
use salvo::http::{ParseError, StatusCode};
use salvo::writing::Json;
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use state::error::{Executed, Kind};
use std::time::Duration;

/// Result of a handler; an error is sent as a refusal.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;

/// Writes the value or the refusal as JSON.
pub(crate) fn write<T: Serialize + Send>(response: &mut Response, result: Result<T>) {
    match result {
        Ok(value) => response.render(Json(value)),
        Err(refusal) => refuse(response, refusal),
    }
}

/// Writes a refusal as JSON, with the HTTP status of its kind.
pub(crate) fn refuse(response: &mut Response, refusal: Refusal) {
    let status = StatusCode::from_u16(refusal.status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.render(Json(refusal));
}

/// Creates the refusal of a request of which nothing was executed.
pub(crate) fn unexecuted(kind: Kind, detail: impl Into<String>) -> Refusal {
    Refusal::new(kind, Executed::No, detail)
}

/// Creates the refusal of a request to which the journal did not respond in time.
///
/// The request may have been executed.
pub(crate) fn unreachable() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Executed::Unknown,
        "the journal did not respond within the timeout",
    )
}

/// Returns the bearer token of a request.
pub(crate) fn bearer(request: &Request) -> Option<String> {
    let header = request.headers().get("authorization")?.to_str().ok()?;
    header.strip_prefix("Bearer ").map(str::to_owned)
}

/// Reads the body, of at most `limit` bytes, within `timeout`.
async fn body(request: &mut Request, limit: usize, timeout: Duration) -> Result<Bytes> {
    match tokio::time::timeout(timeout, request.payload_with_max_size(limit)).await {
        Err(_) => {
            let detail = format!("the body was not received within {} ms", timeout.as_millis());
            Err(unexecuted(Kind::SlowSender, detail))
        }
        Ok(Err(ParseError::PayloadTooLarge)) => {
            Err(unexecuted(Kind::TooLarge, format!("accepted: a body of at most {limit} bytes")))
        }
        Ok(Err(_)) => Err(unexecuted(Kind::Malformed, "the body is incomplete")),
        Ok(Ok(bytes)) => Ok(bytes.clone()),
    }
}

/// Reads a JSON body, of at most `limit` bytes, within `timeout`.
pub(crate) async fn json<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
    timeout: Duration,
) -> Result<T> {
    let bytes = body(request, limit, timeout).await?;
    serde_json::from_slice(&bytes).map_err(|error| unexecuted(Kind::Malformed, error.to_string()))
}

/// Returns a required path parameter.
pub(crate) fn param(request: &Request, name: &str) -> Result<String> {
    let value = request.param::<String>(name);
    value.ok_or_else(|| unexecuted(Kind::Malformed, format!("path parameter {name} is missing")))
}
