//! Who is present, as one control instance hears it.

use coordination::membership::Candidate;
use coordination::placement::Listing;
use coordination::routing;
use protocol::presence::{Heartbeat, ReplicaStatus, Role, Roster};
use state::collections::Map;
use state::registry::Registry;
use std::time::Duration;
use tokio::time::Instant;

/// The last sign of life of one instance.
#[derive(Debug, Clone)]
struct Seen {
    beat: Heartbeat,
    /// Digest of its address for callers.
    digest: u64,
    at: Instant,
}

/// All instances that were heard.
#[derive(Debug)]
pub(crate) struct Register {
    absent_after: Duration,
    seen: Map<String, Seen>,
}

impl Register {
    pub(crate) fn new(absent_after: Duration) -> Self {
        Self { absent_after, seen: Map::default() }
    }

    /// Takes a sign of life; `true` if the instance was absent.
    pub(crate) fn hear(&mut self, beat: Heartbeat) -> bool {
        let digest = beat.callers.as_ref().map_or(0, |address| routing::digest(address.as_bytes()));
        let seen = Seen { beat, digest, at: Instant::now() };
        let old = self.seen.insert(seen.beat.name.clone(), seen);
        old.is_none_or(|old| old.at.elapsed() > self.absent_after)
    }

    fn seen(&self, role: Role) -> impl Iterator<Item = &Seen> {
        let now = Instant::now();
        let is_present = move |seen: &&Seen| now.duration_since(seen.at) <= self.absent_after;
        self.seen.values().filter(move |seen| seen.beat.role == role).filter(is_present)
    }

    fn present(&self, role: Role) -> impl Iterator<Item = &Heartbeat> {
        self.seen(role).map(|seen| &seen.beat)
    }

    /// Whether an instance of the role was ever heard, and its address.
    pub(crate) fn address(&self, role: Role, name: &str) -> Option<&str> {
        let seen = self.seen.get(name).filter(|seen| seen.beat.role == role)?;
        Some(&seen.beat.address)
    }

    /// Addresses of present instances.
    pub(crate) fn addresses(&self, role: Role) -> Vec<String> {
        let mut all: Vec<String> = self.present(role).map(|beat| beat.address.clone()).collect();
        all.sort_unstable();
        all
    }

    /// Present instances that can hold the journal of `role`.
    pub(crate) fn candidates(&self, role: Role, registry: &Registry) -> Vec<Candidate> {
        let candidate = |beat: &Heartbeat| {
            Some(Candidate {
                id: beat.replica.as_ref()?.id,
                address: beat.address.clone(),
                failure_domain: beat.failure_domain.clone(),
                is_leaving: registry.retiring.contains_key(&beat.name),
            })
        };
        self.present(role).filter_map(candidate).collect()
    }

    /// The replica that leads the journal of `role`, with its address.
    pub(crate) fn leader(&self, role: Role) -> Option<(&str, &ReplicaStatus)> {
        let held = |beat: &'_ Heartbeat| beat.replica.clone().filter(|held| held.is_leader);
        let leaders = self.present(role).filter(|beat| held(beat).is_some());
        let leader = leaders.max_by_key(|beat| beat.replica.as_ref().map(|held| held.term))?;
        Some((&leader.address, leader.replica.as_ref()?))
    }

    /// The ready entries, unless `known` is their digest.
    pub(crate) fn roster(&self, known: u64) -> Option<Roster> {
        let ready = || self.seen(Role::Entry).filter(|seen| seen.beat.is_ready);
        let digest = ready().fold(0_u64, |sum, seen| sum.wrapping_add(seen.digest));
        if digest == known {
            return None;
        }
        let entry =
            |seen: &Seen| Some((seen.beat.failure_domain.clone(), seen.beat.callers.clone()?));
        Some(Roster { digest, entries: ready().filter_map(entry).collect() })
    }

    /// Requests that all entries but `name` have outstanding on each of `servers`.
    pub(crate) fn loads(&self, name: &str, servers: &[Listing]) -> Vec<u32> {
        let mut sums: Map<&str, u32> = Map::default();
        for beat in self.present(Role::Entry).filter(|beat| beat.name != name) {
            for (server, load) in &beat.in_flight {
                *sums.entry(server).or_default() += load;
            }
        }
        servers.iter().map(|server| sums.get(server.id.as_str()).copied().unwrap_or(0)).collect()
    }

    /// Names, roles and ages of all instances, for an operator.
    pub(crate) fn dump(&self) -> Vec<serde_json::Value> {
        self.seen
            .values()
            .map(|seen| {
                let beat = &seen.beat;
                serde_json::json!({
                    "name": beat.name, "role": format!("{:?}", beat.role),
                    "address": beat.address, "failure_domain": beat.failure_domain,
                    "is_ready": beat.is_ready, "age_ms": seen.at.elapsed().as_millis(),
                    "leads": beat.replica.as_ref().is_some_and(|held| held.is_leader),
                    "revision": beat.revision,
                })
            })
            .collect()
    }
}
