//! Which backend server runs a request.
//!
//! Load pattern: many instances decide alone, each for the callers of its failure domain,
//! and a burst fills some servers before others. A server's load is what this instance has
//! outstanding there and what the others said some hundred milliseconds ago.
//!
//! A program's requests go to the backend server that ran its last turn, whose cache holds
//! what was said, until reading all of it again elsewhere would take less time than the wait
//! there. Others go to the less loaded of two servers that the session's name picks: better
//! than the least loaded of all, whom all instances would choose at once until they hear of
//! each other. Where both are crowded, the least loaded of all is better. Requests without a session go to the server with the least load. Servers of
//! the own failure domain come first, until they are clearly more loaded than others.
//!
//! Source of the two choices: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
//! Balancing", 2001.

use crate::Millis;
use crate::routing;
use serde::{Deserialize, Serialize};
use state::collections::Map;

/// Bounds of the decision.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Load up to which a program stays with its server, in percent of the slots: waiting for
    /// one place after another costs less than reading the program's context again, which
    /// also delays all others there.
    pub stay_percent: u32,
    /// Load from which more servers than the first two, and those of other failure domains,
    /// are looked at, in percent of the slots; below it steps of an engine take little longer
    /// than alone.
    pub spill_percent: u32,
    /// By how much a server of another failure domain must be less loaded, in percent of the
    /// slots; covers the age of what is known.
    pub spill_margin_percent: u32,
    /// First suspension of a server that could not be reached, in milliseconds; a few
    /// connection attempts long.
    pub suspend_ms: Millis,
    /// Longest suspension, in milliseconds; servers that crashed are back after seconds.
    pub suspend_most_ms: Millis,
    /// Suspension after a server refused a request for lack of room, in milliseconds; the
    /// time in which about one of its requests ends.
    pub full_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            stay_percent: 200,
            spill_percent: 75,
            spill_margin_percent: 25,
            suspend_ms: 250,
            suspend_most_ms: 2_000,
            full_ms: 50,
        }
    }
}

/// A backend server as the platform's list shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its id.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Whether it is about to stop and must get no new requests.
    pub is_draining: bool,
}

/// How an attempt on a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It could not be reached, or broke off.
    Failed,
    /// It refused for lack of room.
    Full,
    /// Another server has its address.
    Gone,
    /// The caller left.
    Cancelled,
}

/// What a request asks of its server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Wish<'a> {
    /// The service.
    pub service: &'a str,
    /// Session whose cache the server should hold.
    pub session: Option<&'a str>,
    /// Server that ran the session's last request.
    pub holder: Option<&'a str>,
    /// Servers that have been tried.
    pub tried: &'a [String],
}

/// One known backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// The list's entry.
    pub listed: Listed,
    digest: u64,
    /// Requests of this instance that it runs.
    pub outstanding: u32,
    /// Requests of the other instances, as they said last.
    pub others: u32,
    failures: u32,
    suspended_until: Millis,
}

impl Server {
    /// Requests that it runs, as far as is known.
    pub fn load(&self) -> u32 {
        self.outstanding.saturating_add(self.others)
    }

    /// Load in percent of the slots.
    fn percent(&self) -> u32 {
        self.load().saturating_mul(100) / self.listed.slots.max(1)
    }

    /// Whether it may be chosen at `now`.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.listed.is_draining && self.suspended_until <= now
    }
}

/// A difference between two lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A server takes requests of its service.
    Ready(String, String),
    /// A server is about to stop.
    Draining(String, String),
    /// A server is no longer listed.
    Gone(String),
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Ready(id, service) => write!(f, "{id} of {service} is ready"),
            Self::Draining(id, service) => write!(f, "{id} of {service} is draining"),
            Self::Gone(id) => write!(f, "{id} is gone"),
        }
    }
}

/// The backend servers as one instance sees them.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    failure_domain: String,
    servers: Map<String, Server>,
    by_service: Map<String, Vec<String>>,
    listed_at: Option<Millis>,
}

impl Fleet {
    /// A fleet without servers, seen from `failure_domain`.
    pub fn new(settings: Settings, failure_domain: &str) -> Self {
        Self {
            settings,
            failure_domain: failure_domain.to_owned(),
            servers: Map::default(),
            by_service: Map::default(),
            listed_at: None,
        }
    }

    /// Takes a new list; servers that it does not name are forgotten. Returns what changed.
    pub fn update(&mut self, now: Millis, list: Vec<Listed>) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut servers = Map::default();
        let mut by_service: Map<String, Vec<String>> = Map::default();
        for listed in list {
            by_service.entry(listed.service.clone()).or_default().push(listed.id.clone());
            let old = self.servers.remove(&listed.id);
            let was_draining = old.as_ref().map(|old| old.listed.is_draining);
            if was_draining != Some(listed.is_draining) {
                let (id, service) = (listed.id.clone(), listed.service.clone());
                changes.push(match listed.is_draining {
                    true => Change::Draining(id, service),
                    false => Change::Ready(id, service),
                });
            }
            let server = match old.filter(|old| old.listed.address == listed.address) {
                Some(old) => Server { listed, ..old },
                None => Server {
                    digest: routing::digest(listed.id.as_bytes()),
                    listed,
                    outstanding: 0,
                    others: 0,
                    failures: 0,
                    suspended_until: 0,
                },
            };
            servers.insert(server.listed.id.clone(), server);
        }
        changes.extend(std::mem::take(&mut self.servers).into_keys().map(Change::Gone));
        self.servers = servers;
        self.by_service = by_service;
        self.listed_at = Some(now);
        changes
    }

    /// The same list was read again.
    pub fn confirm(&mut self, now: Millis) {
        self.listed_at = Some(now);
    }

    /// Takes what the other instances have outstanding on each server.
    pub fn share(&mut self, loads: &[(String, u32)]) {
        for server in self.servers.values_mut() {
            server.others = 0;
        }
        for (id, load) in loads {
            if let Some(server) = self.servers.get_mut(id) {
                server.others = *load;
            }
        }
    }

    /// What this instance has outstanding, for the others.
    pub fn loads(&self) -> Vec<(String, u32)> {
        let busy = self.servers.iter().filter(|(_, server)| server.outstanding > 0);
        busy.map(|(id, server)| (id.clone(), server.outstanding)).collect()
    }

    /// Age of the list, in milliseconds; `None` before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        Some(now.saturating_sub(self.listed_at?))
    }

    /// One server.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Whether a service has a server with room that has not been tried.
    pub fn has_room(&self, now: Millis, service: &str, tried: &[String]) -> bool {
        let ids = self.by_service.get(service).into_iter().flatten();
        let mut untried = ids.filter(|id| !tried.contains(id)).filter_map(|id| self.get(id));
        untried.any(|server| server.is_open(now) && server.load() < server.listed.slots)
    }

    /// Chooses a server; the caller reports its use with [`Fleet::begin`].
    pub fn choose(&self, now: Millis, wish: &Wish<'_>) -> Option<&Listed> {
        let ids = self.by_service.get(wish.service)?;
        let open: Vec<&Server> = ids
            .iter()
            .filter_map(|id| self.servers.get(id))
            .filter(|server| server.is_open(now) && !wish.tried.contains(&server.listed.id))
            .collect();
        let holder = open.iter().find(|server| wish.holder == Some(server.listed.id.as_str()));
        if let Some(holder) = holder.filter(|s| s.percent() < self.settings.stay_percent) {
            return Some(&holder.listed);
        }
        let is_near = |server: &&Server| server.listed.failure_domain == self.failure_domain;
        let (near, far): (Vec<&Server>, Vec<&Server>) = open.into_iter().partition(is_near);
        let (near, far) = (self.best(&near, wish.session), self.best(&far, wish.session));
        let server = match (near, far) {
            (Some(near), Some(far)) => {
                let margin = self.settings.spill_margin_percent;
                let is_crowded = near.percent() >= self.settings.spill_percent;
                let is_better = far.percent() + margin <= near.percent();
                if is_crowded && is_better { Some(far) } else { Some(near) }
            }
            (near, far) => near.or(far),
        };
        server.map(|server| &server.listed)
    }

    /// The best of servers that are equally near.
    fn best<'a>(&self, pool: &[&'a Server], session: Option<&str>) -> Option<&'a Server> {
        let Some(session) = session else {
            let key = routing::digest(self.failure_domain.as_bytes());
            return pool.iter().copied().min_by_key(|s| (s.load(), routing::mix(key, s.digest)));
        };
        let key = routing::digest(session.as_bytes());
        let mut two = [None; 2];
        for server in pool.iter().copied() {
            let scored = Some((routing::mix(key, server.digest), server));
            let score = |two: Option<(u64, &Server)>| two.map(|(score, _)| score);
            if score(scored) > score(two[0]) {
                two = [scored, two[0]];
            } else if score(scored) > score(two[1]) {
                two[1] = scored;
            }
        }
        let two = two.into_iter().flatten().map(|(_, server)| server);
        let better = two.min_by_key(|server| server.percent())?;
        if better.percent() < self.settings.spill_percent {
            return Some(better);
        }
        pool.iter().copied().min_by_key(|s| (s.percent(), routing::mix(key, s.digest)))
    }

    /// A request was sent to a server.
    pub fn begin(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.outstanding += 1;
        }
    }

    /// A request has ended; a server that fails is suspended for longer each time.
    pub fn finish(&mut self, now: Millis, id: &str, outcome: Outcome) {
        let settings = &self.settings;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.outstanding = server.outstanding.saturating_sub(1);
        match outcome {
            Outcome::Answered => server.failures = 0,
            Outcome::Failed => {
                server.failures += 1;
                let doublings = server.failures.saturating_sub(1).min(8);
                let pause = (settings.suspend_ms << doublings).min(settings.suspend_most_ms);
                server.suspended_until = server.suspended_until.max(now + pause);
            }
            Outcome::Full => {
                server.suspended_until = server.suspended_until.max(now + settings.full_ms);
            }
            Outcome::Gone => server.suspended_until = now + settings.suspend_most_ms,
            Outcome::Cancelled => {}
        }
    }
}
