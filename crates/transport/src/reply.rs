//! Reading requests and writing answers over HTTP.

use bytes::Bytes;
use protocol::answer::Refusal;
use salvo::http::{ParseError, StatusCode};
use salvo::writing::Json;
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use state::error::{Executed, Kind};
use std::time::Duration;

/// Result of a handler.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;

/// Writes the result as JSON.
pub(crate) fn write<T: Serialize + Send>(response: &mut Response, result: Result<T>) {
    match result {
        Ok(value) => response.render(Json(value)),
        Err(refusal) => refuse(response, refusal),
    }
}

/// Writes a refusal with its status.
pub(crate) fn refuse(response: &mut Response, refusal: Refusal) {
    let status = StatusCode::from_u16(refusal.status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.render(Json(refusal));
}

/// A refusal of a request of which nothing was executed.
pub(crate) fn not_run(kind: Kind, detail: impl Into<String>) -> Refusal {
    Refusal::new(kind, Executed::No, detail)
}

/// A refusal because the journal gave no answer.
pub(crate) fn unreachable() -> Refusal {
    Refusal::new(Kind::Unavailable, Executed::Unknown, "the journal gave no answer in time")
}

/// Bearer token of a request.
pub(crate) fn bearer(request: &Request) -> Option<String> {
    let header = request.headers().get("authorization")?.to_str().ok()?;
    header.strip_prefix("Bearer ").map(str::to_owned)
}

/// Reads the body within a size and a time.
async fn body(request: &mut Request, limit: usize, time: Duration) -> Result<Bytes> {
    match tokio::time::timeout(time, request.payload_with_max_size(limit)).await {
        Err(_) => {
            let detail = format!("the body did not arrive within {} ms", time.as_millis());
            Err(not_run(Kind::SlowSender, detail))
        }
        Ok(Err(ParseError::PayloadTooLarge)) => {
            Err(not_run(Kind::TooLarge, format!("accepted: {limit} bytes")))
        }
        Ok(Err(_)) => Err(not_run(Kind::Malformed, "the body was cut off")),
        Ok(Ok(bytes)) => Ok(bytes.clone()),
    }
}

/// Reads a JSON body within a size and a time.
pub(crate) async fn json<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
    time: Duration,
) -> Result<T> {
    let bytes = body(request, limit, time).await?;
    serde_json::from_slice(&bytes).map_err(|error| not_run(Kind::Malformed, error.to_string()))
}

/// A required path parameter.
pub(crate) fn param(request: &Request, name: &str) -> Result<String> {
    let found = request.param::<String>(name);
    found.ok_or_else(|| not_run(Kind::Malformed, format!("{name} is missing in the path")))
}
