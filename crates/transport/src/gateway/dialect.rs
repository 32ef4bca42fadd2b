//! What a platform must translate for the gateway.

use bytes::Bytes;
use http::{HeaderMap, Response, request, response};
use http_body_util::Full;
use protocol::routes::Config;
use state::error::Kind;
use std::time::Duration;

/// What a request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ask {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Host that it names.
    pub host: String,
    /// How long the caller waits, from now on.
    pub deadline: Option<Duration>,
    /// Program that it belongs to.
    pub program: Option<String>,
    /// Key of the cached prefix that it shares with others of its session.
    pub session: Option<String>,
    /// Claim on the program's token budget.
    pub budget: Option<Budget>,
    /// Turn that it continues from.
    pub previous: Option<String>,
}

/// Tokens of a program and of one turn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Budget {
    /// Tokens that all turns of the program may draw.
    pub total: u64,
    /// The most that this turn can draw.
    pub most: u64,
}

/// An attempt on a backend server.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Id of the backend server.
    pub server: &'a str,
    /// Time that is left.
    pub left: Duration,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answers the request.
    Answer,
    /// The server has no room, and did not run the request.
    Full,
    /// Another server has the address, and did not run the request.
    Gone,
    /// It answers another request.
    Foreign,
}

/// An answer of the gateway's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// What was found, for the log and the caller.
    pub detail: String,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, retry_after: None, detail: detail.into() }
    }

    /// A refusal of a request that has not run and may come back after `pause`.
    pub fn later(kind: Kind, pause: Duration, detail: impl Into<String>) -> Self {
        Self { kind, retry_after: Some(pause), detail: detail.into() }
    }
}

/// Translates between the gateway and one platform's protocol.
pub trait Dialect: Send + Sync {
    /// Reads what a request says of itself.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that contradicts itself.
    fn ask(&self, head: &request::Parts) -> Result<Ask, Refusal>;

    /// Headers of the request for the backend server; connection headers are gone already.
    fn outbound(&self, headers: HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Judges the head of an answer.
    fn verdict(&self, head: &response::Parts, dispatch: &Dispatch<'_>) -> Verdict;

    /// Renders a refusal; `id` is the request's, if it could be read.
    fn refuse(&self, id: Option<&str>, refusal: &Refusal) -> Response<Full<Bytes>>;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn config(&self, content: &[u8]) -> Result<Config, String>;
}
