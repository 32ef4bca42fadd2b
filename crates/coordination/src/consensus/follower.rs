//! Handling of the leader's messages on a follower.
//!
//! Appends entries that continue the local log, truncates conflicting ones, and replies with
//! the index from which the leader should resume.

use crate::consensus::log::{Entry, Payload};
use crate::consensus::message::Message;
use crate::consensus::replica::{Id, Replica};

impl Replica {
    /// Accepts `from` as the leader of `term`; returns `false` if the term is outdated.
    pub(crate) fn accept_leader(&mut self, from: Id, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        debug_assert!(!self.is_leader(), "two leaders in term {term}");
        self.become_follower(term, Some(from));
        self.last_leader_contact = Some(self.now);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        from: Id,
        term: u64,
        previous: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        if !self.accept_leader(from, term) {
            self.reply_append(from, false, self.log.last_index(), round);
            return;
        }
        let (prev_index, prev_term) = previous;
        if prev_index < self.log.base_index() {
            self.reply_append(from, true, self.log.base_index(), round);
            return;
        }
        if self.log.term(prev_index) != Some(prev_term) {
            let hint = self.log.last_index().min(prev_index.saturating_sub(1)).max(self.commit);
            self.reply_append(from, false, hint, round);
            return;
        }
        let last_new = prev_index + entries.len() as u64;
        entries.into_iter().for_each(|entry| self.append_entry(entry));
        self.commit = self.commit.max(commit.min(last_new));
        self.reply_append(from, true, last_new, round);
    }

    pub(crate) fn reply_append(&mut self, to: Id, is_ok: bool, index: u64, round: u64) {
        let term = self.hard_state.term;
        self.ready
            .persisted_messages
            .push((to, Message::AppendReply { term, is_ok, index, round }));
    }

    fn append_entry(&mut self, entry: Entry) {
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_from(entry.index),
            None if entry.index <= self.log.base_index() => return,
            None => {}
        }
        let changes_members = matches!(entry.payload, Payload::Members(_));
        self.ready.entries.push(entry.clone());
        self.log.push(entry);
        if changes_members {
            self.refresh_members();
        }
    }

    fn truncate_from(&mut self, index: u64) {
        debug_assert!(index > self.commit, "truncation of committed entry {index}");
        self.log.truncate(index);
        self.synced = self.synced.min(index - 1);
        self.ready.entries.retain(|entry| entry.index < index);
        let first = self.ready.truncate.map_or(index, |earlier| earlier.min(index));
        self.ready.truncate = Some(first);
        self.refresh_members();
    }
}
