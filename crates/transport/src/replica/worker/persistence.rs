//! The log file of a replica and its replacement by snapshots.

use super::Worker;
use coordination::consensus::{Entry, Id, Meta};
use state::error::Storage;
use state::journal::{Record, Records};
use state::machine;
use std::time::Instant;

impl Worker {
    pub(super) fn persist(&mut self, records: Records<'_>) -> Result<(), Storage> {
        let before = (Instant::now(), self.log.bytes());
        self.log.extend(records)?;
        let time = before.0.elapsed();
        self.tolerance.observe_sync(time);
        self.status.syncs += 1;
        self.status.sync_micros += u64::try_from(time.as_micros()).unwrap_or(0);
        self.status.bytes_written += self.log.bytes().saturating_sub(before.1);
        Ok(())
    }

    /// Replaces the state and the log by the received snapshot.
    pub(super) fn install(&mut self, meta: &Meta) -> Result<(), Storage> {
        let import = self.import.take().ok_or(Storage::Stopped)?;
        self.state_machine.import(&import.finish()?)?;
        self.applied = meta.index;
        tracing::info!(group = self.group, index = meta.index, "snapshot installed");
        let saved = self.state_machine.save()?;
        self.rewrite(meta, saved)
    }

    /// Replaces the log by a snapshot once its entries exceed the configured size.
    pub(super) fn compact_if_large(&mut self) -> Result<(), Storage> {
        let added = self.log.bytes().saturating_sub(self.rewritten_bytes);
        if added < self.compact_bytes || self.applied <= self.replica.base_index() {
            return Ok(());
        }
        let saved = self.state_machine.save()?;
        self.replica.set_state_bytes(self.state_machine.export_bytes(&saved));
        let meta = self.replica.meta_at(self.applied);
        self.replica.compact(self.replica.compactable(self.applied));
        let sent = self.replica.snapshots().map(|(_, index)| index).min();
        if sent.is_some_and(|index| index < self.replica.base_index()) {
            tracing::warn!(
                group = self.group,
                log_bytes = self.replica.log_bytes(),
                "a replica needs another snapshot: too many bytes since the one it is sent"
            );
        }
        self.rewrite(&meta, saved)
    }

    /// Rewrites the log file to hold a snapshot and the entries that follow it.
    fn rewrite(&mut self, meta: &Meta, state: Vec<u8>) -> Result<(), Storage> {
        let hard_state = self.replica.hard_state();
        let snapshot = Record::Snapshot { index: meta.index, meta: machine::encode(meta)?, state };
        let entries = self.replica.entries_after(meta.index);
        let rest = records(Some((hard_state.term, hard_state.vote)), None, &entries);
        self.log.replace(&mut std::iter::once(Ok(snapshot)).chain(rest))?;
        self.rewritten_bytes = self.log.bytes();
        self.state_machine.prune()
    }
}

/// Encodes a change of the consensus state as records of the log file, one after the other.
pub(super) fn records(
    hard_state: Option<(u64, Option<Id>)>,
    truncate: Option<u64>,
    entries: &[Entry],
) -> impl Iterator<Item = Result<Record, Storage>> {
    let hard_state = hard_state.map(|(term, vote)| {
        let hard_state = coordination::consensus::HardState { term, vote };
        Ok(Record::Meta(machine::encode(&hard_state)?))
    });
    let truncate = truncate.map(|from| Ok(Record::Truncate(from)));
    let entries = entries
        .iter()
        .map(|entry| Ok(Record::Entry { index: entry.index, body: machine::encode(entry)? }));
    hard_state.into_iter().chain(truncate).chain(entries)
}
