//! Error kinds of refused and failed requests, and storage errors.
//!
//! Every refusal that leaves a process carries one [`Kind`]. The protocol crate, one layer up,
//! maps kinds to HTTP status codes, so that this list does not depend on a protocol.

use serde::{Deserialize, Serialize};

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be parsed, or has invalid values.
    Malformed,
    /// The body or a header exceeds the size limit.
    TooLarge,
    /// The body was not received within the timeout.
    SlowSender,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The caller exceeds its request rate limit.
    RateLimited,
    /// There is no program with this id.
    UnknownProgram,
    /// There is no call with this sequence number.
    UnknownCall,
    /// There is no service with this name.
    UnknownService,
    /// There is no such ticket, instance or quarantine entry.
    NotFound,
    /// The sequence number is not the next one of the program.
    OutOfOrder,
    /// The id was used before with different content.
    Conflict,
    /// The ticket number is not higher than the last one for one of the ticket's objects.
    Stale,
    /// The ticket or the settings are invalid or inconsistent.
    Invalid,
    /// The program has ended.
    Closed,
    /// Another attempt of the call, or another exclusive operation, is in progress.
    Busy,
    /// The remaining budget does not cover the call.
    BudgetExhausted,
    /// The program's deadline has passed.
    DeadlineExceeded,
    /// The placement rules allow no backend server for the call.
    PlacementForbidden,
    /// The queue is full, or the deadline cannot be met.
    Overloaded,
    /// The content is quarantined because it crashed backend servers.
    Quarantined,
    /// The instance is stopping.
    Stopping,
    /// The instance holds no lease, or the journal has no reachable leader.
    Unavailable,
    /// The backend server refused the call before it was executed.
    Rejected,
    /// The call was cancelled.
    Cancelled,
    /// The outcome of the call cannot be determined.
    Unknown,
    /// The backend server failed after the execution had started.
    Failed,
}

/// Whether the refused call was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// The call was not executed and never will be.
    No,
    /// The call was executed.
    Yes,
    /// The call may have been executed.
    Unknown,
}

/// Storage error: the data folder is corrupt or unusable.
#[derive(Debug, thiserror::Error)]
pub enum Storage {
    /// An operation of the operating system failed.
    #[error("data folder: {0}")]
    Io(#[from] std::io::Error),
    /// A record does not match its checksum, or is incomplete.
    #[error("journal {file}: corrupt record at byte {offset}")]
    Corrupt {
        /// File name without its folder.
        file: String,
        /// Offset of the corrupt record, in bytes.
        offset: u64,
    },
    /// The data folder was written in a format that this build does not know.
    #[error("data folder has format {found}, this build reads up to format {known}")]
    Format {
        /// Format of the data folder.
        found: u32,
        /// Latest format that this build reads.
        known: u32,
    },
    /// The file that holds the format of the data folder does not hold a number.
    #[error("data folder: {found:?} in the file `format` is not a format number")]
    UnreadableFormat {
        /// Content of the file.
        found: String,
    },
    /// A record cannot be encoded or decoded.
    #[error("journal: record cannot be decoded: {0}")]
    Codec(#[from] postcard::Error),
    /// An earlier write or sync failed, so nothing may be acknowledged any more.
    #[error("journal: an earlier sync failed; the replica has stopped")]
    Stopped,
}
