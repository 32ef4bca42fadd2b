//! How the body of a response is delimited.

use http::{HeaderMap, header};
use http_body::Body;

/// What marks the end of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A known length, which is 0 if the response has no body.
    Length,
    /// The last chunk of a chunked transfer coding.
    Chunks,
    /// Only the end of the connection, which a server that crashes closes as well.
    Connection,
}

impl Framing {
    /// Returns the framing of a body that is not read yet, given the headers of its response.
    pub(crate) fn of(body: &impl Body, headers: &HeaderMap) -> Self {
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }

    /// Name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
