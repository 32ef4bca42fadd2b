//! Log entries, group members and the in-memory log.
//!
//! The in-memory log holds the entries that follow the last snapshot; everything up to the
//! snapshot's index has been compacted away.

use crate::consensus::Id;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Replicas of one group by identity, each with the name or address of its instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count towards a quorum.
    pub voters: BTreeMap<Id, String>,
    /// Replicas that receive entries but do not vote.
    pub learners: BTreeMap<Id, String>,
}

impl Members {
    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica is a voter.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, id: Id) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// All voters and learners except `id`.
    pub fn others(&self, id: Id) -> Vec<Id> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|other| *other != id).collect()
    }

    /// Identity of the replica on `instance`; `None` if it has none.
    pub fn on_instance(&self, instance: &str) -> Option<Id> {
        let mut all = self.voters.iter().chain(self.learners.iter());
        all.find(|(_, name)| *name == instance).map(|(id, _)| *id)
    }
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; a new leader appends one to commit the entries of earlier terms.
    Empty,
    /// An encoded command for the replicated state machine; copies of the entry share it.
    Data(Bytes),
    /// New group members; they take effect when the entry is appended, before it commits.
    Members(Members),
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: u64,
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Command, membership change or nothing.
    pub payload: Payload,
}

impl Entry {
    /// Approximate encoded size, in bytes.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Data(data) => data.len() + 16,
            Payload::Empty | Payload::Members(_) => 64,
        }
    }
}

/// In-memory log of the entries after the last snapshot.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    /// Last index covered by the snapshot, or 0 without one.
    base_index: u64,
    /// Term of the entry at `base_index`.
    base_term: u64,
    entries: Vec<Entry>,
    /// Total size up to and including each of `entries`, in bytes, counted from `base_bytes`.
    ends: Vec<u64>,
    /// Total size of the entries that were removed from the front, in bytes.
    base_bytes: u64,
}

impl Log {
    pub(crate) fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        let mut log = Self { base_index, base_term, ..Self::default() };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    /// Total size of all entries up to `index` since the log was created, in bytes; entries that
    /// are compacted or not yet appended are left out.
    fn end(&self, index: u64) -> u64 {
        let count = usize::try_from(index.saturating_sub(self.base_index)).unwrap_or(usize::MAX);
        let last = count.min(self.ends.len()).checked_sub(1);
        last.and_then(|last| self.ends.get(last)).copied().unwrap_or(self.base_bytes)
    }

    /// Size of the entries after `from` up to and including `to`, in bytes.
    pub(crate) fn bytes_between(&self, from: u64, to: u64) -> u64 {
        self.end(to).saturating_sub(self.end(from))
    }

    /// Lowest index after which the entries up to `to` have at most `max_bytes` in total.
    pub(crate) fn index_within(&self, to: u64, max_bytes: u64) -> u64 {
        let start = self.end(to).saturating_sub(max_bytes);
        if start <= self.base_bytes {
            return self.base_index;
        }
        let count = self.ends.partition_point(|end| *end < start) as u64;
        self.base_index + count + 1
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    /// Position of `index` in `entries`; it may lie past the end.
    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base_index + 1)?).ok()
    }

    /// Term of the entry at `index`; `None` if it is compacted or not yet appended.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        Some(self.entries.get(self.position(index)?)?.term)
    }

    /// Entries from index `from` on, at most `max_bytes` in total but at least one if any
    /// exist.
    pub(crate) fn slice(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let mut size = 0;
        let rest = self.entries.iter().skip(start);
        rest.take_while(|entry| {
            let is_first = size == 0;
            size += entry.size();
            is_first || size <= max_bytes
        })
        .cloned()
        .collect()
    }

    /// Entries with indices from `from` to `to`, inclusive.
    pub(crate) fn range(&self, from: u64, to: u64) -> Vec<Entry> {
        let (Some(start), Some(end)) = (self.position(from), self.position(to + 1)) else {
            return Vec::new();
        };
        self.entries.get(start..end.min(self.entries.len())).unwrap_or_default().to_vec()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.ends.push(self.end(self.last_index()) + entry.size() as u64);
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
            self.ends.truncate(position);
        }
    }

    /// Removes the entries up to and including `index`, which a snapshot now covers.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else {
            return;
        };
        let count = usize::try_from(index - self.base_index).unwrap_or(0);
        self.base_bytes = self.end(index);
        self.entries.drain(..count);
        self.ends.drain(..count);
        self.base_index = index;
        self.base_term = term;
    }

    /// Discards all entries in favour of a snapshot that ends at `index`.
    pub(crate) fn reset(&mut self, index: u64, term: u64) {
        *self = Self::new(index, term, Vec::new());
    }

    /// Members set by the last membership entry at or before `index`, if the log has one.
    pub(crate) fn members_at(&self, index: u64) -> Option<&Members> {
        let entries = self.entries.iter().rev().filter(|entry| entry.index <= index);
        entries.into_iter().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            Payload::Empty | Payload::Data(_) => None,
        })
    }

    /// Index of the last membership entry, or 0 if the log has none.
    pub(crate) fn members_index(&self) -> u64 {
        let is_change = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        self.entries.iter().rev().find(is_change).map_or(0, |entry| entry.index)
    }
}
