//! Interface between the gateway and the protocol of one platform.
//!
//! The gateway forwards requests and responses without knowing the platform's headers. An
//! [`Adapter`] reads request metadata from them, sets the headers for a backend server and
//! classifies its response.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, request, response};
use http_body_util::Full;
use protocol::routes::Config;
use state::error::Kind;
use std::time::Duration;

/// What the head of a caller's request says about its handling.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Request id, unique to this attempt of the caller.
    pub id: String,
    /// Host name that the request is addressed to.
    pub host: String,
    /// How long the caller waits, counted from the arrival of the request.
    pub timeout: Option<Duration>,
    /// Program that the request belongs to.
    pub program: Option<String>,
    /// Key of the cached prefix that is shared by the requests of one session.
    pub session: Option<String>,
    /// Digest of the name of the object that the request is about.
    pub object: Option<u64>,
    /// Digest of the parts of the prompt that other requests share; `None` if there are none.
    pub shared_prompt: Option<u64>,
    /// Tokens to reserve from the program's budget.
    pub budget: Option<Budget>,
    /// Id of the turn that this request continues from.
    pub previous: Option<String>,
    /// Stream that this request takes up after it broke off.
    pub resumption: Option<Resumption>,
}

/// Stream that a request takes up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the request that brought the first event of the stream; `None` if the caller does
    /// not name it.
    pub origin: Option<String>,
}

/// Token limits of a program and of one of its turns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Budget {
    /// Tokens that all turns of the program together may use.
    pub total: u64,
    /// Upper bound of the tokens that this turn can use.
    pub max: u64,
}

/// One attempt of a request on a backend server.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// Request id.
    pub id: &'a str,
    /// Id of the backend server that the request is sent to.
    pub server: &'a str,
    /// Time remaining until the deadline of the request.
    pub remaining: Duration,
    /// Whose request it is.
    pub identity: Identity<'a>,
}

/// Whose request it is, as far as keys are checked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Identity<'a> {
    /// No keys are checked: what the caller sent is passed on.
    #[default]
    Unchecked,
    /// The route needs no key.
    Public,
    /// The organisation of this name holds the key that the caller presented.
    Organisation(&'a str),
}

/// Classification of a backend server's response by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The response answers the request.
    Answer,
    /// The server has no free slot and did not execute the request.
    Full,
    /// Another server has taken over the address and did not execute the request.
    Gone,
    /// The response belongs to another request.
    Foreign,
}

/// An error response that the gateway itself sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Error kind, which determines the status of the response.
    pub kind: Kind,
    /// Time after which the caller may send the request again.
    pub retry_after: Option<Duration>,
    /// Human-readable cause, for the log and the response body.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, retry_after: None, detail: detail.into() }
    }

    /// Creates a refusal of a request that was not executed and may be sent again after
    /// `pause`.
    pub fn retryable(kind: Kind, pause: Duration, detail: impl Into<String>) -> Self {
        Self { kind, retry_after: Some(pause), detail: detail.into() }
    }
}

/// Translates between the gateway and one platform's protocol.
pub trait Adapter: Send + Sync {
    /// Reads the metadata of a request from its head.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the head is malformed or contradicts itself.
    fn metadata(&self, head: &request::Parts) -> Result<Metadata, Refusal>;

    /// Returns the key of an organisation that the caller presents; `None` unless there is exactly
    /// one.
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]>;

    /// Returns the headers of the request to the backend server, given the caller's headers
    /// without the hop-by-hop ones.
    fn request_headers(&self, headers: HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Sets the time that the caller waits, in a request that is forwarded to another entry.
    fn set_timeout(&self, headers: &mut HeaderMap, remaining: Duration);

    /// Classifies a backend server's response by its head.
    fn verdict(&self, head: &response::Parts, dispatch: &Dispatch<'_>) -> Verdict;

    /// Whether a backend server's response names the request that it belongs to.
    fn names_request(&self, head: &response::Parts) -> bool;

    /// Whether a response with this status says that the request was not executed.
    fn denies_execution(&self, status: StatusCode) -> bool;

    /// Returns the pause after which a response invites the sender to return; `None` without one.
    fn retry_after(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Reads the rate limit that a backend server announces with a response, in requests per
    /// second of all instances together; `None` if it announces none.
    ///
    /// # Errors
    ///
    /// Returns what was found instead of a rate.
    fn rate_limit(&self, head: &response::Parts) -> Result<Option<f64>, String>;

    /// Whether a backend server announces with a response that it is about to stop.
    ///
    /// # Errors
    ///
    /// Returns what was found instead of an announcement.
    fn announces_leaving(&self, head: &response::Parts) -> Result<bool, String>;

    /// Renders a refusal as a response. `id` is the request id if it could be read.
    fn refusal_response(&self, id: Option<&str>, refusal: &Refusal) -> Response<Full<Bytes>>;

    /// Decodes the platform's configuration.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the configuration is invalid.
    fn decode_config(&self, content: &[u8]) -> Result<Config, String>;
}
