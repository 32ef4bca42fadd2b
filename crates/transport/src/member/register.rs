//! Presence of the other instances, as one control instance observes it.
//!
//! An instance is present while its last heartbeat is recent enough.

use crate::clock::millis;
use coordination::Millis;
use coordination::membership::Candidate;
use coordination::pace::{Averages, Step};
use coordination::placement::Listing;
use coordination::routing;
use protocol::presence::{Entry, Heartbeat, RateLimit, Replica, Role, Roster};
use state::collections::Map;
use state::registry::Registry;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout with which earlier builds wait for a reply. A registry that was put into a reply counts as
/// lost after it.
const EARLIER_REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Last heartbeat of one instance.
#[derive(Debug, Clone)]
struct Instance {
    heartbeat: Heartbeat,
    /// Digest of its address for callers, or 0 without one.
    digest: u64,
    received_at: Instant,
    /// Time since when its heartbeats name an older registry.
    behind_since: Option<Instant>,
    /// Time at which the registry was last put into a reply to it.
    registry_sent_at: Option<Instant>,
}

/// Last heartbeats of all instances, by name.
#[derive(Debug)]
pub(crate) struct Tracker {
    timeout: Duration,
    instances: Map<String, Instance>,
    /// Paces of the backend servers, as all instances observe them.
    paces: Averages,
}

impl Tracker {
    pub(crate) fn new(timeout: Duration) -> Self {
        Self { timeout, instances: Map::default(), paces: Averages::default() }
    }

    /// Records a heartbeat; returns `true` if the instance was absent, or of another build, before.
    pub(crate) fn record(&mut self, mut heartbeat: Heartbeat, clock: Millis) -> bool {
        self.paces.extend(clock, &std::mem::take(&mut heartbeat.paces));
        let digest =
            heartbeat.callers.as_ref().map_or(0, |address| routing::digest(address.as_bytes()));
        let build = heartbeat.build;
        let now = Instant::now();
        let old = self.instances.remove(&heartbeat.name);
        let (behind_since, registry_sent_at) =
            old.as_ref().map_or((None, None), |old| (old.behind_since, old.registry_sent_at));
        let name = heartbeat.name.clone();
        let received_at = now;
        let instance = Instance { heartbeat, digest, received_at, behind_since, registry_sent_at };
        self.instances.insert(name, instance);
        old.is_none_or(|old| {
            old.received_at.elapsed() > self.timeout || old.heartbeat.build != build
        })
    }

    /// Whether the reply to the last heartbeat of `name`, which does not fetch the registry in parts,
    /// must contain it. Each control instance sends one copy at a time, and they take turns: `turn` is
    /// the position of this one for the instance.
    pub(crate) fn is_registry_due(
        &mut self,
        name: &str,
        registry: &Registry,
        turn: impl FnOnce(&str) -> usize,
    ) -> bool {
        let control = self.heartbeats(Role::Control).count().max(1);
        let Some(instance) = self.instances.get_mut(name) else {
            return false;
        };
        if instance.heartbeat.revision >= registry.revision {
            (instance.behind_since, instance.registry_sent_at) = (None, None);
            return false;
        }
        let now = Instant::now();
        let since = *instance.behind_since.get_or_insert(now);
        let turns = |count: usize| {
            EARLIER_REPLY_TIMEOUT.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
        };
        let due_at = instance
            .registry_sent_at
            .map_or_else(|| since + turns(turn(name)), |sent_at| sent_at + turns(control));
        let is_due = now >= due_at;
        if is_due {
            instance.registry_sent_at = Some(now);
        }
        is_due
    }

    /// Returns the present instances of a role.
    fn present(&self, role: Role) -> impl Iterator<Item = &Instance> {
        let now = Instant::now();
        let is_present = move |i: &&Instance| now.duration_since(i.received_at) <= self.timeout;
        self.instances
            .values()
            .filter(move |instance| instance.heartbeat.role == role)
            .filter(is_present)
    }

    /// Returns the last heartbeats of the present instances of a role.
    fn heartbeats(&self, role: Role) -> impl Iterator<Item = &Heartbeat> {
        self.present(role).map(|instance| &instance.heartbeat)
    }

    /// Returns the peer address of an instance of the role, present or not; `None` if it never
    /// sent a heartbeat.
    pub(crate) fn address(&self, role: Role, name: &str) -> Option<&str> {
        let instance =
            self.instances.get(name).filter(|instance| instance.heartbeat.role == role)?;
        Some(&instance.heartbeat.address)
    }

    /// Whether an instance of the role at this peer address ever sent a heartbeat.
    pub(crate) fn knows(&self, role: Role, address: &str) -> bool {
        let mut heartbeats = self.instances.values().map(|instance| &instance.heartbeat);
        heartbeats.any(|heartbeat| heartbeat.role == role && heartbeat.address == address)
    }

    /// Returns the peer addresses of the present instances of a role, sorted.
    pub(crate) fn addresses(&self, role: Role) -> Vec<String> {
        let mut all: Vec<String> =
            self.heartbeats(role).map(|heartbeat| heartbeat.address.clone()).collect();
        all.sort_unstable();
        all
    }

    /// Returns the present instances that can hold a replica of the journal of `role`.
    pub(crate) fn candidates(&self, role: Role, registry: &Registry) -> Vec<Candidate> {
        let candidate = |heartbeat: &Heartbeat| {
            Some(Candidate {
                id: heartbeat.replica.as_ref()?.id,
                address: heartbeat.address.clone(),
                failure_domain: heartbeat.failure_domain.clone(),
                is_leaving: registry.retiring.contains_key(&heartbeat.name),
            })
        };
        self.heartbeats(role).filter_map(candidate).collect()
    }

    /// Returns the leader of the journal of `role`, with its peer address.
    pub(crate) fn leader(&self, role: Role) -> Option<(&str, &Replica)> {
        let leading =
            |sent: &'_ Heartbeat| sent.replica.clone().filter(|replica| replica.is_leader);
        let leaders = self.heartbeats(role).filter(|heartbeat| leading(heartbeat).is_some());
        let leader = leaders
            .max_by_key(|heartbeat| heartbeat.replica.as_ref().map(|replica| replica.term))?;
        Some((&leader.address, leader.replica.as_ref()?))
    }

    /// Returns the ready entries, or `None` if their digest equals `known`. Entries that reach no
    /// backend server are left out, unless none of the entries does.
    pub(crate) fn roster(&self, known: u64) -> Option<Roster> {
        let ready = || self.present(Role::Entry).filter(|instance| instance.heartbeat.is_ready);
        let has_reach = ready().any(|instance| !instance.heartbeat.is_partitioned);
        let listed = || ready().filter(|i| !(has_reach && i.heartbeat.is_partitioned));
        let digest = |i: &Instance| routing::mix(i.digest, u64::from(i.heartbeat.is_partitioned));
        let digest = listed().fold(0_u64, |sum, instance| sum.wrapping_add(digest(instance)));
        if digest == known {
            return None;
        }
        let entry = |instance: &Instance| {
            let heartbeat = &instance.heartbeat;
            Some(Entry {
                failure_domain: heartbeat.failure_domain.clone(),
                address: heartbeat.callers.clone()?,
                relay: heartbeat.relay.clone(),
                is_partitioned: heartbeat.is_partitioned,
            })
        };
        Some(Roster { digest, entries: listed().filter_map(entry).collect() })
    }

    /// Returns the number of requests that all entries except `name` have outstanding on each of
    /// `servers`. Those of an entry that reaches no server are left out: most have not arrived, and a
    /// server that executes one refuses what is too much for it.
    pub(crate) fn loads(&self, name: &str, servers: &[Listing]) -> Vec<u32> {
        let mut sums: Map<&str, u32> = Map::default();
        let counts = |entry: &&Heartbeat| entry.name != name && !entry.is_partitioned;
        for heartbeat in self.heartbeats(Role::Entry).filter(counts) {
            for (server, load) in &heartbeat.in_flight {
                *sums.entry(server).or_default() += load;
            }
        }
        servers.iter().map(|server| sums.get(server.id.as_str()).copied().unwrap_or(0)).collect()
    }

    /// Returns the paces of `servers`; nothing if none is known.
    pub(crate) fn paces(&self, servers: &[Listing], now: Millis) -> Vec<Step> {
        let paces: Vec<Step> = servers.iter().map(|s| self.paces.step(now, &s.id)).collect();
        if paces.iter().any(|step| step.is_known()) { paces } else { Vec::new() }
    }

    /// Returns the newest observations that all entries except `name` reported of backend servers'
    /// rate limits.
    pub(crate) fn rate_limits(&self, name: &str) -> Vec<RateLimit> {
        let mut newest: Map<&str, RateLimit> = Map::default();
        for instance in self.present(Role::Entry).filter(|i| i.heartbeat.name != name) {
            let elapsed = millis(instance.received_at.elapsed());
            for limit in &instance.heartbeat.rate_limits {
                let age_ms = limit.age_ms + elapsed;
                let known = newest.get(limit.server.as_str());
                if known.is_none_or(|known| age_ms < known.age_ms) {
                    newest.insert(&limit.server, RateLimit { age_ms, ..limit.clone() });
                }
            }
        }
        newest.into_values().collect()
    }

    /// Returns the state of all instances as JSON, for operators.
    pub(crate) fn dump(&self) -> Vec<serde_json::Value> {
        self.instances
            .values()
            .map(|instance| {
                let heartbeat = &instance.heartbeat;
                serde_json::json!({
                    "name": heartbeat.name, "role": format!("{:?}", heartbeat.role),
                    "address": heartbeat.address, "failure_domain": heartbeat.failure_domain,
                    "is_ready": heartbeat.is_ready,
                    "is_partitioned": heartbeat.is_partitioned,
                    "age_ms": instance.received_at.elapsed().as_millis(),
                    "leads": heartbeat.replica.as_ref().is_some_and(|replica| replica.is_leader),
                    "revision": heartbeat.revision,
                    "build": heartbeat.build.to_string(),
                    "format": heartbeat.build.format,
                })
            })
            .collect()
    }
}
