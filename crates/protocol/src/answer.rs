//! The HTTP response to each kind of error: its status, its body, and whether the caller may
//! send the request again.

use serde::{Deserialize, Serialize};
use state::error::{Executed, Kind};

/// HTTP response to one kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// The kind of error.
    pub kind: Kind,
    /// HTTP status code.
    pub status: u16,
    /// Whether the caller may send the same request again.
    pub may_resend: bool,
}

const fn row(kind: Kind, status: u16, may_resend: bool) -> Row {
    Row { kind, status, may_resend }
}

/// The responses to all kinds of errors, one row per kind.
pub const TABLE: [Row; 26] = [
    row(Kind::Malformed, 400, false),
    row(Kind::TooLarge, 413, false),
    row(Kind::SlowSender, 408, true),
    row(Kind::Unauthorized, 401, false),
    row(Kind::RateLimited, 429, true),
    row(Kind::UnknownProgram, 404, false),
    row(Kind::UnknownCall, 404, true),
    row(Kind::UnknownService, 404, false),
    row(Kind::NotFound, 404, false),
    row(Kind::OutOfOrder, 409, true),
    row(Kind::Conflict, 409, false),
    row(Kind::Stale, 409, false),
    row(Kind::Invalid, 422, false),
    row(Kind::Closed, 410, false),
    row(Kind::Busy, 409, true),
    row(Kind::BudgetExhausted, 402, false),
    row(Kind::DeadlineExceeded, 408, false),
    row(Kind::PlacementForbidden, 403, false),
    row(Kind::Overloaded, 503, true),
    row(Kind::Quarantined, 422, false),
    row(Kind::Stopping, 503, true),
    row(Kind::Unavailable, 503, true),
    row(Kind::Rejected, 502, false),
    row(Kind::Cancelled, 410, false),
    row(Kind::Unknown, 504, true),
    row(Kind::Failed, 502, false),
];

/// Returns the row of `kind`; a kind without a row is answered with status 500.
pub fn row_of(kind: Kind) -> Row {
    let row = TABLE.iter().find(|row| row.kind == kind);
    row.copied().unwrap_or(Row { kind, status: 500, may_resend: false })
}

/// JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind of error.
    pub error: Kind,
    /// Whether the request was executed.
    pub ran: Executed,
    /// Description of what was found and what would be accepted.
    pub detail: String,
    /// Whether the caller may send the same request again.
    pub may_resend: bool,
}

impl Refusal {
    /// Creates the body for an error of `kind`.
    pub fn new(kind: Kind, ran: Executed, detail: impl Into<String>) -> Self {
        Self { error: kind, ran, detail: detail.into(), may_resend: row_of(kind).may_resend }
    }

    /// Returns the HTTP status code of the response.
    pub fn status(&self) -> u16 {
        row_of(self.error).status
    }
}
