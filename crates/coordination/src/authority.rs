//! Lease on the configuration: how long an entry may accept the keys that it knows.
//!
//! A key that a configuration takes away must not be accepted any more some time after that
//! configuration was acknowledged, by an entry that is cut off, was frozen or doesn't receive newer
//! configurations either. The leader of the control journal therefore confirms, by a read that a
//! quorum takes part in, which revision of the registry is the newest. A confirmation counts from the
//! begin of that read: what is acknowledged later may be missing from it, what was acknowledged before
//! is not. An entry that has applied the confirmed revision holds the lease from then on, for a length
//! that is shorter than the time in which keys have to be refused.
//!
//! Times are those of a clock that goes on while the machine is suspended.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Part of the time in which keys have to be refused that the lease leaves for clocks that run at
/// different rates, as a divisor.
const MARGIN_DIVISOR: Millis = 10;

/// Number of confirmed revisions that an entry remembers until it has applied them. With more
/// configurations in quick succession, it counts the newest ones.
const MAX_PENDING: usize = 32;

/// Returns the length of the lease if keys have to be refused within `revoke_ms` of the
/// acknowledgement of the configuration that takes them away.
pub fn lease_ms(revoke_ms: Millis) -> Millis {
    revoke_ms - revoke_ms / MARGIN_DIVISOR
}

/// Statement of a control instance that a revision of the registry was the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Revision of the registry.
    pub revision: u64,
    /// Time since the begin of the read that confirmed it, in milliseconds.
    pub age_ms: Millis,
}

/// What an instance knows of the newest revision.
#[derive(Debug, Clone, Default)]
pub struct Authority {
    /// Revision that this instance has applied.
    applied: u64,
    /// Revisions that were confirmed and the times at which they were; increasing in both.
    confirmed: VecDeque<(u64, Millis)>,
    /// Begin of the lease: the last time at which the applied revision was certainly the newest.
    held_since: Option<Millis>,
}

impl Authority {
    /// Records that `revision` was the newest one at the time `at`.
    pub fn confirm(&mut self, revision: u64, at: Millis) {
        let is_outdated = |(known, known_at): &(u64, Millis)| *known > revision || *known_at >= at;
        if self.confirmed.back().is_some_and(is_outdated) {
            return;
        }
        if self.confirmed.back().is_some_and(|(known, _)| *known == revision) {
            self.confirmed.pop_back();
        }
        self.confirmed.push_back((revision, at));
        if self.confirmed.len() > MAX_PENDING {
            self.confirmed.pop_front();
        }
        self.extend();
    }

    /// Records a confirmation in the reply to a message that was sent at `sent_at`. The reply may
    /// have been under way for any time since.
    pub fn receive(&mut self, sent_at: Millis, confirmation: Confirmation) {
        self.confirm(confirmation.revision, sent_at.saturating_sub(confirmation.age_ms));
    }

    /// Records that this instance has applied `revision`.
    pub fn apply(&mut self, revision: u64) {
        self.applied = self.applied.max(revision);
        self.extend();
    }

    fn extend(&mut self) {
        let applied = self.applied;
        let usable = self.confirmed.iter().rev().find(|(revision, _)| *revision <= applied);
        self.held_since = self.held_since.max(usable.map(|(_, at)| *at));
        // The newest one is kept, to be passed on.
        while self.confirmed.len() > 1 && self.confirmed[0].0 <= applied {
            self.confirmed.pop_front();
        }
    }

    /// Returns the newest confirmation, to be passed on; `None` if there is none.
    pub fn relay(&self, now: Millis) -> Option<Confirmation> {
        let (revision, at) = *self.confirmed.back()?;
        Some(Confirmation { revision, age_ms: now.saturating_sub(at) })
    }

    /// Returns the time since the begin of the lease; `None` if there was never one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.held_since.map(|since| now.saturating_sub(since))
    }

    /// Whether a lease of `length` is held.
    pub fn is_held(&self, now: Millis, length: Millis) -> bool {
        self.age(now).is_some_and(|age| age < length)
    }

    /// Whether a newer revision than the applied one was confirmed, so that keys which are unknown
    /// here may be known there.
    pub fn is_behind(&self) -> bool {
        self.confirmed.back().is_some_and(|(revision, _)| *revision > self.applied)
    }
}
