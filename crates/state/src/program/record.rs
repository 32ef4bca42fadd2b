//! Records that a shard stores for each program and its calls.

use crate::budget::{Amount, Budget};
use crate::error::Kind;
use crate::history::Locator;
use crate::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Outcome of a settled call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call was executed and its answer is complete.
    Answered,
    /// The call was not executed and never will be.
    NotExecuted(Kind),
    /// The call was executed and failed.
    Failed(Kind),
    /// The call may have been executed.
    Unknown(Kind),
}

/// A settled call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Digest of service, content and limits.
    pub digest: id::Digest,
    /// Number of the attempt that settled the call; 0 if no attempt was begun.
    pub attempt: u32,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Total amount that all attempts spent.
    pub spent: Amount,
    /// Location of the call's messages in the history.
    pub messages: Locator,
    /// Location of the answer in the history.
    pub answer: Locator,
}

/// The latest attempt of a call that is not settled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Attempt number, counted from 1; 0 if no attempt was begun.
    pub number: u32,
    /// Digest of service, content and limits.
    pub digest: id::Digest,
    /// Lease holder that dispatches the attempt; `None` if it was abandoned.
    pub holder: Option<id::Holder>,
    /// Name of the service.
    pub service: String,
    /// Name of the backend server.
    pub server: String,
    /// Whether the call may be executed more than once.
    pub is_idempotent: bool,
    /// Amount reserved for the attempt.
    pub reservation: Amount,
    /// Amount charged for earlier attempts whose outcome is unknown.
    pub charged: Amount,
    /// Location of the call's messages in the history.
    pub messages: Locator,
}

/// State of one program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Limit, reserved and spent amounts.
    pub budget: Budget,
    /// Time at which the program was opened, in milliseconds since the Unix epoch;
    /// distinguishes it from an earlier program of the same name.
    pub opened_ms: u64,
    /// Time after which no new call begins, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Labels that restrict the placement of the program's calls.
    pub labels: Vec<String>,
    /// Settled calls; the call with sequence number `n` is at `n - 1`.
    pub settled: Vec<Settlement>,
    /// Latest attempt of the next call, if one was begun.
    pub current: Option<Attempt>,
    /// Names of the backend servers that may hold memory for the program.
    pub held: BTreeSet<String>,
    /// Time of the last begin, end or close, in milliseconds since the Unix epoch.
    pub last_used_ms: u64,
    /// Whether the program has ended.
    pub is_closed: bool,
}

impl Program {
    /// Sequence number of the next call.
    pub fn next_seq(&self) -> u64 {
        self.settled.len() as u64 + 1
    }

    /// The settled call with sequence number `seq`; `None` if that call is not settled.
    pub fn settled_call(&self, seq: u64) -> Option<&Settlement> {
        let index = usize::try_from(seq.checked_sub(1)?).ok()?;
        self.settled.get(index)
    }
}
