//! Bytes that a replica holds for others: the log that it keeps, the entries that it accepts and
//! those that it has in flight.
//!
//! Load patterns: many changes of one large object, such as the configuration, after which a new
//! replica needs the newest only; and a replica that is receiving a snapshot while proposals go
//! on. Entries differ in size by four orders of magnitude, so every limit counts bytes:
//!
//! - The log keeps the applied entries that a replica may lack after a short interruption, but
//!   never more than the state itself has: past that size the state is sent instead.
//! - A replica that lacks more bytes of committed entries than the state has is sent the state.
//! - Entries after a snapshot that is being sent are kept up to a limit. Beyond it the receiver
//!   needs another snapshot, and the sender keeps its memory.
//! - A proposal is refused while too many bytes wait for a quorum.

use crate::consensus::replica::{Id, Refusal, Replica};

/// Size that a state is taken to have at least, in bytes: below it the entries are sent, since a
/// snapshot costs its receiver a rewrite of the log file.
const MIN_STATE_BYTES: u64 = 1024 * 1024;

impl Replica {
    /// Tells the size of the state machine's export, in bytes, when the caller learns it.
    pub fn set_state_bytes(&mut self, bytes: u64) {
        self.state_bytes = bytes;
    }

    /// Size of the entries in memory, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes_between(self.log.base_index(), self.log.last_index())
    }

    /// Index up to which the log may be compacted once a snapshot of the state that includes the
    /// entry `applied` is durable.
    pub fn compactable(&self, applied: u64) -> u64 {
        let settings = &self.settings;
        let bytes = settings.trailing_bytes.min(self.state_bytes.max(MIN_STATE_BYTES));
        let trailing = applied
            .saturating_sub(settings.trailing_entries)
            .max(self.log.index_within(applied, bytes));
        // A replica that is receiving a snapshot needs the entries that follow it next.
        match self.snapshots().map(|(_, index)| index).min() {
            Some(sent) => {
                sent.min(trailing).max(self.log.index_within(applied, settings.pinned_bytes))
            }
            None => trailing,
        }
    }

    /// Whether a replica that is sent the entries from `next` on is better sent the state.
    pub(crate) fn needs_state(&self, next: u64) -> bool {
        let lacking = self.log.bytes_between(next.saturating_sub(1), self.commit);
        lacking > self.state_bytes.max(MIN_STATE_BYTES)
    }

    /// Whether the entries in flight to a replica leave no room for the next one.
    pub(crate) fn is_window_full(&self, to: Id) -> bool {
        let Some(peer) = self.leadership().and_then(|leadership| leadership.peers.get(&to)) else {
            return true;
        };
        let sent = self.log.bytes_between(peer.first_unconfirmed(), peer.next.saturating_sub(1));
        let next = self.log.bytes_between(peer.next.saturating_sub(1), peer.next);
        peer.in_flight >= self.settings.window
            || (peer.in_flight > 0 && sent + next > self.settings.window_bytes)
    }

    /// Checks that an entry of `len` bytes may be added to those that wait for a quorum.
    pub(crate) fn check_room(&self, len: usize) -> Result<(), Refusal> {
        let waiting = self.log.bytes_between(self.commit, self.log.last_index());
        let is_full = waiting > 0 && waiting + len as u64 > self.settings.uncommitted_bytes;
        if self.is_leader() && is_full { Err(Refusal::Full) } else { Ok(()) }
    }
}
