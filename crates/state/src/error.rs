//! The closed list of error kinds.
//!
//! Every refusal that leaves a process names one [`Kind`]. The table from a kind to its
//! HTTP status lives one layer up, in the protocol crate, so that the list stays free of
//! rendering.

use serde::{Deserialize, Serialize};

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The body is not what the call accepts.
    Malformed,
    /// The body or a header is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    SlowSender,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The caller sends more than its share.
    RateLimited,
    /// No program has this id.
    UnknownProgram,
    /// No call has this sequence number.
    UnknownCall,
    /// No service has this name.
    UnknownService,
    /// No ticket, instance or quarantine entry has this name.
    NotFound,
    /// The sequence number is not the next one.
    OutOfOrder,
    /// The same id was used before with other content.
    Conflict,
    /// The ticket number is not above the last one for one of its objects.
    Stale,
    /// The ticket or settings contradict themselves.
    Invalid,
    /// The program has ended.
    Closed,
    /// Another attempt of the same call is under way.
    Busy,
    /// The budget does not cover the call.
    BudgetExhausted,
    /// The program's time is over.
    DeadlineExceeded,
    /// No backend server may run the call under the placement rules.
    PlacementForbidden,
    /// The queue is full or the deadline cannot be met.
    Overloaded,
    /// The content is quarantined because it crashed backend servers.
    Quarantined,
    /// The instance is stopping.
    Stopping,
    /// The instance holds no lease, or the journal has no leader.
    Unavailable,
    /// The backend server refused the call before it ran.
    Rejected,
    /// The call was cancelled.
    Cancelled,
    /// The outcome cannot be known.
    Unknown,
    /// The backend server failed after the call had started.
    Failed,
}

/// Whether the refused call was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// It was not executed and never will be.
    No,
    /// It was executed.
    Yes,
    /// It may have been executed.
    Unknown,
}

/// A damaged or unusable data folder.
#[derive(Debug, thiserror::Error)]
pub enum Storage {
    /// The operating system refused an operation.
    #[error("data folder: {0}")]
    Io(#[from] std::io::Error),
    /// A record inside the journal fails its checksum.
    #[error("journal {file}: damaged record at byte {offset}")]
    Corrupt {
        /// File name without its folder.
        file: String,
        /// Offset of the first damaged byte.
        offset: u64,
    },
    /// A record cannot be decoded.
    #[error("journal: record cannot be decoded: {0}")]
    Codec(#[from] postcard::Error),
    /// An earlier sync failed, so nothing may be acknowledged any more.
    #[error("journal: an earlier sync failed; the replica has stopped")]
    Stopped,
}
