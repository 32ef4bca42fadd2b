//! Leases that permit the entry of an instance to dispatch.
//!
//! The entry holds a [`Lease`], which runs from the time at which its renewal was sent. It
//! therefore expires before the control leader's [`Registry`] considers it expired. A change of
//! the control state is in force once each live instance has acknowledged its version or has
//! lost its lease.

use crate::Millis;
use serde::{Deserialize, Serialize};
use state::collections::Map;
use state::control::{Snapshot, Standing};
use state::id::Holder;

/// Duration and renewal interval of leases, and the leader's margin for clock drift.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Duration of a lease, in milliseconds.
    pub length_ms: Millis,
    /// Interval between renewals, in milliseconds.
    pub renew_ms: Millis,
    /// Time beyond `length_ms` after which the leader considers a lease expired, in milliseconds.
    pub margin_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self { length_ms: 2_000, renew_ms: 400, margin_ms: 200 }
    }
}

/// An entry's permission to dispatch, limited in time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lease {
    holder: Option<Holder>,
    expires_at: Millis,
}

impl Lease {
    /// Applies a grant of `length` milliseconds for a renewal that was sent at `sent_at`.
    ///
    /// A new incarnation does not inherit the remaining time of the previous one.
    pub fn renew(&mut self, holder: Holder, sent_at: Millis, length: Millis) {
        if self.holder.as_ref() != Some(&holder) {
            self.expires_at = 0;
        }
        self.holder = Some(holder);
        self.expires_at = self.expires_at.max(sent_at + length);
    }

    /// Releases the lease, which expires at once.
    pub fn release(&mut self) {
        self.expires_at = 0;
    }

    /// Lease holder, which names the instance and its incarnation, if it is registered.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Lease holder, if the lease permits it to dispatch now.
    pub fn valid_holder(&self, now: Millis) -> Option<&Holder> {
        self.holder.as_ref().filter(|_| now < self.expires_at)
    }

    /// Time at which the lease expires, or 0 if there is none.
    pub fn expires_at(&self) -> Millis {
        self.expires_at
    }
}

/// State of one lease, as known to the control leader.
#[derive(Debug, Clone, Default)]
struct Record {
    /// Versions of the control state sent with grants, each with the time at which the last
    /// grant of that version expires.
    ///
    /// A grant lost in transit extends nothing, so the instance may still act on any of these
    /// versions.
    grants: Vec<(u64, Millis)>,
    /// Highest version that the instance has acknowledged.
    acknowledged: u64,
    /// Time since which the instance has not acknowledged the version sent with its grants.
    lagging_since: Option<Millis>,
}

impl Record {
    /// Time at which the last grant expires, or 0 without grants.
    fn expires_at(&self) -> Millis {
        self.grants.iter().map(|(_, expires_at)| *expires_at).max().unwrap_or(0)
    }

    /// Lowest version on which the instance may act; `None` if it may not dispatch.
    fn lowest_version(&self, now: Millis) -> Option<u64> {
        let unexpired = self.grants.iter().filter(|(_, expires_at)| now < *expires_at);
        let lowest = unexpired.map(|(version, _)| *version).min()?;
        Some(lowest.max(self.acknowledged))
    }
}

/// All leases, as known to the control leader.
#[derive(Debug)]
pub struct Registry {
    settings: Settings,
    /// Time at which the current control leader began its term.
    leader_since: Millis,
    /// Lease of each live incarnation that has renewed under the current leader.
    records: Map<Holder, Record>,
    /// Time at which each live incarnation was first seen in the control state.
    first_seen: Map<Holder, Millis>,
}

impl Registry {
    /// Creates the registry of a new control leader, which knows no grant made before `now`.
    pub fn new(settings: Settings, now: Millis) -> Self {
        Self { settings, leader_since: now, records: Map::default(), first_seen: Map::default() }
    }

    /// Time from a grant until the leader considers the lease expired, in milliseconds.
    fn expiry_ms(&self) -> Millis {
        self.settings.length_ms + self.settings.margin_ms
    }

    /// Grants or extends a lease along with the snapshot of `version`.
    ///
    /// Returns `false` if the instance keeps renewing without acknowledging the version sent to
    /// it, as when it does not receive replies; its lease is then left to expire.
    pub fn grant(&mut self, now: Millis, holder: &Holder, acknowledged: u64, version: u64) -> bool {
        let expiry_ms = self.expiry_ms();
        // An earlier leader may have granted a lease under any version.
        let unknown_grants = vec![(0, self.leader_since + expiry_ms)];
        let record = self
            .records
            .entry(holder.clone())
            .or_insert_with(|| Record { grants: unknown_grants, ..Record::default() });
        record.acknowledged = record.acknowledged.max(acknowledged);
        if acknowledged >= version {
            record.lagging_since = None;
        } else if now >= *record.lagging_since.get_or_insert(now) + expiry_ms {
            return false;
        }
        record.grants.retain(|(granted, expires_at)| now < *expires_at && *granted != version);
        record.grants.push((version, now + expiry_ms));
        true
    }

    /// Whether the lease of this incarnation has certainly expired.
    pub fn is_expired(&self, now: Millis, holder: &Holder) -> bool {
        match self.records.get(holder) {
            Some(record) => now >= record.expires_at(),
            None => now >= self.leader_since + self.expiry_ms(),
        }
    }

    /// Records that the instance released its lease.
    pub fn release(&mut self, holder: &Holder) {
        self.records.insert(holder.clone(), Record::default());
    }

    /// Incarnations whose lease has expired but which `snapshot` does not show as expired.
    ///
    /// An incarnation that has just registered has the duration of one lease, plus the margin,
    /// for its first renewal.
    pub fn overdue(&mut self, now: Millis, snapshot: &Snapshot) -> Vec<Holder> {
        let expiry_ms = self.expiry_ms();
        self.first_seen.retain(|holder, _| snapshot.is_current(holder));
        self.records.retain(|holder, _| snapshot.is_current(holder));
        let mut overdue = Vec::new();
        for holder in holders(snapshot) {
            let first_seen = *self.first_seen.entry(holder.clone()).or_insert(now);
            let was_released =
                self.records.get(&holder).is_some_and(|record| record.grants.is_empty());
            let had_time_to_renew = now >= first_seen + expiry_ms || was_released;
            if had_time_to_renew && self.is_expired(now, &holder) {
                overdue.push(holder);
            }
        }
        overdue
    }

    /// Highest version of the control state that is in force: every instance that may dispatch
    /// acts on it or on a later one.
    pub fn in_force(&self, now: Millis, snapshot: &Snapshot) -> u64 {
        holders(snapshot)
            .filter_map(|holder| match self.records.get(&holder) {
                Some(record) => record.lowest_version(now),
                None => (!self.is_expired(now, &holder)).then_some(0),
            })
            .min()
            .unwrap_or(snapshot.version)
            .min(snapshot.version)
    }

    /// Name and remaining lease time in milliseconds of each live instance, for diagnostics.
    pub fn remaining(&self, now: Millis, snapshot: &Snapshot) -> Vec<(String, Millis)> {
        holders(snapshot)
            .map(|holder| {
                let expires_at = self.records.get(&holder).map_or(0, Record::expires_at);
                (holder.instance, expires_at.saturating_sub(now))
            })
            .collect()
    }
}

/// Holders that the control state does not show as expired.
fn holders(snapshot: &Snapshot) -> impl Iterator<Item = Holder> {
    let live = snapshot.instances.iter().filter(|(_, i)| i.standing != Standing::Expired);
    live.map(|(name, instance)| Holder { instance: name.clone(), epoch: instance.epoch })
}
