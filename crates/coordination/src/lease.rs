//! Leases that permit an entry to dispatch.
//!
//! A [`Lease`] is the entry's side. It counts from the moment the renewal was sent, so it
//! ends before the [`Registry`], the control leader's side, thinks so. A change is in
//! force once each live instance has acknowledged its version or its lease is over.

use crate::Millis;
use serde::{Deserialize, Serialize};
use state::collections::Map;
use state::control::{Snapshot, Standing};
use state::id::Holder;

/// Length of a lease and the leader's allowance for clock drift.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Length, in milliseconds.
    pub length_ms: Millis,
    /// Time between renewals, in milliseconds.
    pub renew_ms: Millis,
    /// What the leader waits beyond the length, in milliseconds.
    pub margin_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self { length_ms: 2_000, renew_ms: 400, margin_ms: 200 }
    }
}

/// An entry's permission to dispatch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lease {
    holder: Option<Holder>,
    expires_at: Millis,
}

impl Lease {
    /// Takes a grant for a renewal that was sent at `sent`.
    pub fn renew(&mut self, holder: Holder, sent: Millis, length: Millis) {
        if self.holder.as_ref() != Some(&holder) {
            self.expires_at = 0;
        }
        self.holder = Some(holder);
        self.expires_at = self.expires_at.max(sent + length);
    }

    /// Gives the lease back.
    pub fn release(&mut self) {
        self.expires_at = 0;
    }

    /// The life of the instance, if it is registered.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// The life of the instance, if it may dispatch now.
    pub fn valid_holder(&self, now: Millis) -> Option<&Holder> {
        self.holder.as_ref().filter(|_| now < self.expires_at)
    }

    /// When it ends.
    pub fn expires_at(&self) -> Millis {
        self.expires_at
    }
}

/// What the control leader knows of one lease.
#[derive(Debug, Clone, Default)]
struct Seen {
    /// Versions that went with grants, each with the end of its last grant.
    ///
    /// A grant that was lost on its way extends nothing, so the instance may still live
    /// under any of these.
    grants: Vec<(u64, Millis)>,
    acknowledged: u64,
    /// Since when the instance has not acknowledged what its grants carried.
    behind_since: Option<Millis>,
}

impl Seen {
    fn until(&self) -> Millis {
        self.grants.iter().map(|(_, until)| *until).max().unwrap_or(0)
    }

    /// Lowest version under which the instance may dispatch; `None` if it may not.
    fn obeys(&self, now: Millis) -> Option<u64> {
        let running = self.grants.iter().filter(|(_, until)| now < *until);
        let lowest = running.map(|(version, _)| *version).min()?;
        Some(lowest.max(self.acknowledged))
    }
}

/// All leases, as the control leader sees them.
#[derive(Debug)]
pub struct Registry {
    settings: Settings,
    since: Millis,
    seen: Map<Holder, Seen>,
    /// When each life without a grant was first met.
    met: Map<Holder, Millis>,
}

impl Registry {
    /// Starts with a new control leader, which knows of no grant made before `now`.
    pub fn new(settings: Settings, now: Millis) -> Self {
        Self { settings, since: now, seen: Map::default(), met: Map::default() }
    }

    fn patience(&self) -> Millis {
        self.settings.length_ms + self.settings.margin_ms
    }

    /// Grants or extends a lease along with the snapshot of `version`.
    ///
    /// Returns `false` for an instance that asks but does not acknowledge what it is sent:
    /// it cannot be heard and heard from, so its lease runs out.
    pub fn grant(&mut self, now: Millis, holder: &Holder, acknowledged: u64, version: u64) -> bool {
        let patience = self.patience();
        // An earlier leader may have granted a lease under any version.
        let inherited = vec![(0, self.since + patience)];
        let seen = self
            .seen
            .entry(holder.clone())
            .or_insert_with(|| Seen { grants: inherited, ..Seen::default() });
        seen.acknowledged = seen.acknowledged.max(acknowledged);
        if acknowledged >= version {
            seen.behind_since = None;
        } else if now >= *seen.behind_since.get_or_insert(now) + patience {
            return false;
        }
        seen.grants.retain(|(granted, until)| now < *until && *granted != version);
        seen.grants.push((version, now + patience));
        true
    }

    /// Whether the lease of this life is surely over.
    pub fn is_expired(&self, now: Millis, holder: &Holder) -> bool {
        match self.seen.get(holder) {
            Some(seen) => now >= seen.until(),
            None => now >= self.since + self.patience(),
        }
    }

    /// Notes that the instance gave its lease back.
    pub fn release(&mut self, holder: &Holder) {
        self.seen.insert(holder.clone(), Seen::default());
    }

    /// Lives whose lease is over but which the journal does not show as expired.
    ///
    /// A life that has just registered gets the time of one lease for its first renewal.
    pub fn overdue(&mut self, now: Millis, snapshot: &Snapshot) -> Vec<Holder> {
        let patience = self.patience();
        self.met.retain(|holder, _| snapshot.is_current(holder));
        self.seen.retain(|holder, _| snapshot.is_current(holder));
        let mut overdue = Vec::new();
        for holder in holders(snapshot) {
            let met = *self.met.entry(holder.clone()).or_insert(now);
            let was_given_back = self.seen.get(&holder).is_some_and(|seen| seen.grants.is_empty());
            let had_time = now >= met + patience || was_given_back;
            if had_time && self.is_expired(now, &holder) {
                overdue.push(holder);
            }
        }
        overdue
    }

    /// Highest version that each instance that may dispatch obeys.
    pub fn in_force(&self, now: Millis, snapshot: &Snapshot) -> u64 {
        holders(snapshot)
            .filter_map(|holder| match self.seen.get(&holder) {
                Some(seen) => seen.obeys(now),
                None => (!self.is_expired(now, &holder)).then_some(0),
            })
            .min()
            .unwrap_or(snapshot.version)
            .min(snapshot.version)
    }

    /// Time since the last grant ends, per live instance, for a dump: name and milliseconds left.
    pub fn remaining(&self, now: Millis, snapshot: &Snapshot) -> Vec<(String, Millis)> {
        holders(snapshot)
            .map(|holder| {
                let until = self.seen.get(&holder).map_or(0, Seen::until);
                (holder.instance, until.saturating_sub(now))
            })
            .collect()
    }
}

fn holders(snapshot: &Snapshot) -> impl Iterator<Item = Holder> {
    let live = snapshot.instances.iter().filter(|(_, i)| i.standing != Standing::Expired);
    live.map(|(name, instance)| Holder { instance: name.clone(), epoch: instance.epoch })
}
