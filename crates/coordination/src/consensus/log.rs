//! Entries since the last snapshot.

use crate::consensus::Id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Replicas of one journal, by identity, with the names of their instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count for a quorum.
    pub voters: BTreeMap<Id, String>,
    /// Replicas that only receive.
    pub learners: BTreeMap<Id, String>,
}

impl Members {
    /// Voters needed for a decision.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica counts for a quorum.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the replica belongs to the journal.
    pub fn contains(&self, id: Id) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// All replicas except `id`.
    pub fn others(&self, id: Id) -> Vec<Id> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|other| *other != id).collect()
    }

    /// Identity of the replica on `instance`.
    pub fn on_instance(&self, instance: &str) -> Option<Id> {
        let mut all = self.voters.iter().chain(self.learners.iter());
        all.find(|(_, name)| *name == instance).map(|(id, _)| *id)
    }
}

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; starts a leader's term.
    Empty,
    /// A command for the machine.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// New members, in effect as soon as the entry is appended.
    Members(Members),
}

/// One entry of the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: u64,
    /// Position, counted from 1.
    pub index: u64,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size, in bytes.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Data(data) => data.len() + 16,
            Payload::Empty | Payload::Members(_) => 64,
        }
    }
}

/// Entries after a snapshot, in memory.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        Self { base_index, base_term, entries }
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

    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base_index + 1)?).ok()
    }

    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        Some(self.entries.get(self.position(index)?)?.term)
    }

    /// Entries from `from` on, up to `bytes` of them but at least one.
    pub(crate) fn slice(&self, from: u64, bytes: usize) -> Vec<Entry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let mut size = 0;
        let rest = self.entries.iter().skip(start);
        rest.take_while(|entry| {
            let is_first = size == 0;
            size += entry.size();
            is_first || size <= bytes
        })
        .cloned()
        .collect()
    }

    /// Entries from `from` to `to`, both included.
    pub(crate) fn range(&self, from: u64, to: u64) -> Vec<Entry> {
        let (Some(start), Some(end)) = (self.position(from), self.position(to + 1)) else {
            return Vec::new();
        };
        self.entries.get(start..end.min(self.entries.len())).unwrap_or_default().to_vec()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Drops entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Drops entries up to `index`.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else {
            return;
        };
        let count = usize::try_from(index - self.base_index).unwrap_or(0);
        self.entries.drain(..count);
        self.base_index = index;
        self.base_term = term;
    }

    /// Replaces everything by a snapshot that ends at `index`.
    pub(crate) fn reset(&mut self, index: u64, term: u64) {
        *self = Self::new(index, term, Vec::new());
    }

    /// Members of the last membership entry at or before `index`.
    pub(crate) fn members_at(&self, index: u64) -> Option<&Members> {
        let entries = self.entries.iter().rev().filter(|entry| entry.index <= index);
        entries.into_iter().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            Payload::Empty | Payload::Data(_) => None,
        })
    }

    /// Index of the last membership entry, or 0.
    pub(crate) fn members_index(&self) -> u64 {
        let is_change = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        self.entries.iter().rev().find(is_change).map_or(0, |entry| entry.index)
    }
}
