//! How the body of a response is delimited, as its head announces it.

use http::{HeaderMap, header};

/// What marks the end of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A content length.
    Length,
    /// The last chunk of a chunked transfer coding.
    Chunks,
    /// Only the end of the connection, which a server that crashes closes as well.
    Connection,
}

impl Framing {
    /// Returns the framing that the headers of a response announce.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
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
