//! What a shard remembers of a program.

use crate::budget::{Amount, Budget};
use crate::error::Kind;
use crate::history::Locator;
use crate::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It was executed and its answer is whole.
    Answered,
    /// It was not executed and never will be.
    NotRun(Kind),
    /// It was executed and failed.
    Failed(Kind),
    /// It may have been executed.
    Unknown(Kind),
}

/// A settled call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Digest of service, content and limits.
    pub digest: id::Digest,
    /// Attempt that settled it.
    pub attempt: u32,
    /// How it ended.
    pub verdict: Verdict,
    /// What it drew.
    pub spent: Amount,
    /// Where its messages lie.
    pub messages: Locator,
    /// Where its answer lies.
    pub answer: Locator,
}

/// The attempt under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Current {
    /// Attempt number.
    pub attempt: u32,
    /// Digest of service, content and limits.
    pub digest: id::Digest,
    /// The entry that dispatches it; `None` once it was taken back.
    pub holder: Option<id::Holder>,
    /// Name of the service.
    pub service: String,
    /// Name of the backend server.
    pub server: String,
    /// Whether the call may be executed again.
    pub is_idempotent: bool,
    /// What is reserved for it.
    pub reserve: Amount,
    /// What its lost attempts were charged.
    pub charged: Amount,
    /// Where its messages lie.
    pub messages: Locator,
}

/// One program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Limit, reservations and expenses.
    pub budget: Budget,
    /// When it was opened, in milliseconds since the Unix epoch; tells it from an
    /// earlier program of the same name.
    pub opened_ms: u64,
    /// End of its time, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Labels for placement.
    pub labels: Vec<String>,
    /// Settled calls; the call with sequence number `n` is at `n - 1`.
    pub entries: Vec<Entry>,
    /// The attempt under way.
    pub current: Option<Current>,
    /// Backend servers that may hold memory for it.
    pub held: BTreeSet<String>,
    /// When it was last used, in milliseconds since the Unix epoch.
    pub used_ms: u64,
    /// Whether it has ended.
    pub is_closed: bool,
}

impl Program {
    /// Sequence number of the next call.
    pub fn next_seq(&self) -> u64 {
        self.entries.len() as u64 + 1
    }

    /// The settled call `seq`.
    pub fn entry(&self, seq: u64) -> Option<&Entry> {
        let index = usize::try_from(seq.checked_sub(1)?).ok()?;
        self.entries.get(index)
    }
}
