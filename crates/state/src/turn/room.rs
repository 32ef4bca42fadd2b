//! Room for the content of retained turns.
//!
//! What is retained stays until its time is over, so that the room is given out when turns begin. A
//! turn gets at most one part in [`SHARES`] of what is left: turns with large inputs are refused
//! while there is room for thousands of ordinary ones, however many callers send them. New programs
//! leave a reserve to those under way, whose earlier turns would be wasted.
//!
//! Only the leader asks, before it appends a begin; its answers need not agree with those of other
//! replicas. What turns in progress are going to need is known to a replica since its start.
//!
//! Load patterns: a caller sends turns with the largest input one after the other while others run
//! ordinary programs; ordinary programs alone fill the room within their retention.

use crate::collections::Map;
use crate::turn::command::Need;
use std::collections::BTreeMap;

/// Part of the room that is left that one turn may take.
const SHARES: u64 = 8;

/// Part of the whole room that new programs leave to those under way.
const RESERVE_SHARES: u64 = 8;

/// Width of the intervals by which expiring bytes are counted, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Shortest time after which a refused turn may come back, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;

/// A turn in progress whose content is going to be retained.
#[derive(Debug, Clone, Copy)]
struct Expected {
    bytes: u64,
    /// Time after which its end is no longer expected, in milliseconds since the Unix epoch.
    expires_ms: u64,
}

/// Bytes that are retained, and that turns in progress are going to add.
#[derive(Debug)]
pub(crate) struct Room {
    max: u64,
    retained: u64,
    expected: Map<String, Expected>,
    expected_bytes: u64,
    /// Retained bytes by the interval in which they expire, as of the last [`Room::count`].
    expiring: BTreeMap<u64, u64>,
}

impl Room {
    /// Creates an empty room of `max` bytes.
    pub(crate) fn new(max: u64) -> Self {
        let (expected, expiring) = (Map::default(), BTreeMap::new());
        Self { max, retained: 0, expected, expected_bytes: 0, expiring }
    }

    /// Bytes that are retained.
    pub(crate) fn retained(&self) -> u64 {
        self.retained
    }

    /// Counts what is retained anew, from the time at which each content expires and its size.
    pub(crate) fn count(&mut self, now_ms: u64, contents: impl Iterator<Item = (u64, u64)>) {
        self.retained = 0;
        self.expiring.clear();
        for (expires_ms, bytes) in contents {
            self.retained += bytes;
            *self.expiring.entry(expires_ms.div_ceil(INTERVAL_MS)).or_default() += bytes;
        }
        self.expected.retain(|_, expected| expected.expires_ms > now_ms);
        self.expected_bytes = self.expected.values().map(|expected| expected.bytes).sum();
    }

    /// Adds the content of a turn that has ended.
    pub(crate) fn add(&mut self, expires_ms: u64, bytes: u64) {
        self.retained += bytes;
        *self.expiring.entry(expires_ms.div_ceil(INTERVAL_MS)).or_default() += bytes;
    }

    /// Records that a turn has begun. Its end is expected until `expires_ms`.
    pub(crate) fn expect(&mut self, turn: &str, need: Need, expires_ms: u64) {
        if let Need::Retained(bytes) = need
            && self.expected.insert(turn.to_owned(), Expected { bytes, expires_ms }).is_none()
        {
            self.expected_bytes += bytes;
        }
    }

    /// Records that a turn has ended.
    pub(crate) fn settle(&mut self, turn: &str) {
        if let Some(expected) = self.expected.remove(turn) {
            self.expected_bytes = self.expected_bytes.saturating_sub(expected.bytes);
        }
    }

    /// Number of bytes by which the room is too small for a turn; 0 if it may begin. `continues` tells
    /// whether its program is under way.
    pub(crate) fn lack(&self, need: Need, continues: bool) -> u64 {
        let bytes = match need {
            Need::Nothing => return 0,
            Need::Retained(bytes) => bytes,
            Need::Unknown => 0,
        };
        let taken = self.retained + self.expected_bytes;
        if taken == 0 {
            return 0;
        }
        let reserve = if continues { 0 } else { self.max / RESERVE_SHARES };
        let wanted = bytes.saturating_mul(SHARES).max(1).saturating_add(reserve);
        wanted.saturating_sub(self.max.saturating_sub(taken))
    }

    /// Time after which `lack` bytes are expected to have expired, in milliseconds.
    pub(crate) fn retry_ms(&self, now_ms: u64, lack: u64) -> u64 {
        let mut freed = 0;
        let expires_ms = self.expiring.iter().find_map(|(interval, bytes)| {
            freed += bytes;
            (freed >= lack).then_some(interval * INTERVAL_MS)
        });
        let last_ms = self.expiring.last_key_value().map(|(interval, _)| interval * INTERVAL_MS);
        let expires_ms = expires_ms.or(last_ms).unwrap_or(now_ms);
        expires_ms.saturating_sub(now_ms).max(MIN_RETRY_MS)
    }
}
