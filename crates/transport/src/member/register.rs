//! Who is present, as one control instance hears it.

use coordination::membership::Candidate;
use protocol::presence::{Beat, Held, Role};
use state::collections::Map;
use state::registry::Registry;
use std::time::Duration;
use tokio::time::Instant;

/// The last sign of life of one instance.
#[derive(Debug, Clone)]
struct Seen {
    beat: Beat,
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
    pub(crate) fn hear(&mut self, beat: Beat) -> bool {
        let seen = Seen { beat, at: Instant::now() };
        let old = self.seen.insert(seen.beat.name.clone(), seen);
        old.is_none_or(|old| old.at.elapsed() > self.absent_after)
    }

    fn present(&self, role: Role) -> impl Iterator<Item = &Beat> {
        self.seen
            .values()
            .filter(move |seen| seen.at.elapsed() <= self.absent_after)
            .map(|seen| &seen.beat)
            .filter(move |beat| beat.role == role)
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
        let candidate = |beat: &Beat| {
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
    pub(crate) fn leader(&self, role: Role) -> Option<(&str, &Held)> {
        let held = |beat: &'_ Beat| beat.replica.clone().filter(|held| held.is_leader);
        let leaders = self.present(role).filter(|beat| held(beat).is_some());
        let leader = leaders.max_by_key(|beat| beat.replica.as_ref().map(|held| held.term))?;
        Some((&leader.address, leader.replica.as_ref()?))
    }

    /// Addresses for callers: of ready entries in `failure_domain`, or of all if it has
    /// fewer than two.
    pub(crate) fn entries(&self, failure_domain: &str) -> Vec<String> {
        let ready: Vec<&Beat> = self.present(Role::Entry).filter(|beat| beat.is_ready).collect();
        let near: Vec<&Beat> =
            ready.iter().copied().filter(|b| b.failure_domain == failure_domain).collect();
        let chosen = if near.len() < 2 { ready } else { near };
        chosen.into_iter().filter_map(|beat| beat.callers.clone()).collect()
    }

    /// Requests that all entries but `name` have outstanding, by backend server.
    pub(crate) fn loads(&self, name: &str) -> Vec<(String, u32)> {
        let mut sums: Map<&str, u32> = Map::default();
        for beat in self.present(Role::Entry).filter(|beat| beat.name != name) {
            for (server, load) in &beat.loads {
                *sums.entry(server).or_default() += load;
            }
        }
        sums.into_iter().map(|(server, load)| (server.to_owned(), load)).collect()
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
