//! An entry's view of the backend servers: load, availability and expected cache contents.
//!
//! A [`Server`] that fails several times in a row is ejected for a time that doubles with each
//! ejection, so that its calls go elsewhere while it recovers.

use crate::Millis;
use crate::entry::input::Load;
use state::collections::{Map, Set};
use state::control::{Snapshot, Standing};

/// Time since the first of consecutive unanswered load polls after which a backend server is
/// unavailable, in milliseconds.
const LOAD_TIMEOUT_MS: Millis = 3_000;

/// Consecutive failures that eject a backend server.
const EJECT_FAILURES: u32 = 3;

/// Duration of the first ejection, in milliseconds.
const EJECT_MS: Millis = 1_000;

/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECT_MS: Millis = 10_000;

/// Divisor that limits how many backend servers of a service are ejected at a time; 2 means at
/// most half of them.
const EJECT_DIVISOR: usize = 2;

/// Maximum number of cached prefixes that are tracked for one backend server.
const MAX_PREFIXES: usize = 4_096;

/// Local state of one backend server.
#[derive(Debug, Default)]
pub struct Server {
    /// Calls that this entry has outstanding there.
    pub outstanding: u32,
    /// Last load report and the time at which it was polled.
    pub load: Option<(Millis, Load)>,
    /// Whether the instance list or the backend server itself reports that it is leaving.
    pub is_leaving: bool,
    unresponsive_since: Option<Millis>,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    /// Keys of the prefixes that its cache is expected to hold, with the time of last use.
    cached_prefixes: Map<u64, Millis>,
}

impl Server {
    /// Whether it may be sent new calls.
    pub fn is_available(&self, now: Millis) -> bool {
        !self.is_leaving && now >= self.ejected_until && !self.is_unresponsive(now)
    }

    fn is_unresponsive(&self, now: Millis) -> bool {
        self.unresponsive_since.is_some_and(|since| since + LOAD_TIMEOUT_MS <= now)
    }

    /// Incarnation in its last load report; 0 before the first.
    pub fn incarnation(&self) -> u64 {
        self.load.map_or(0, |(_, load)| load.incarnation)
    }

    /// When the prefix with `key` was last used there, if its cache is expected to hold it.
    pub fn last_used(&self, key: u64) -> Option<Millis> {
        self.cached_prefixes.get(&key).copied()
    }

    /// Records that the prefix with `key` is in its cache; drops the least recently used one at
    /// the limit.
    pub fn touch(&mut self, now: Millis, key: u64) {
        if self.cached_prefixes.len() >= MAX_PREFIXES
            && let Some(oldest) =
                self.cached_prefixes.iter().min_by_key(|(_, at)| **at).map(|(k, _)| *k)
        {
            self.cached_prefixes.remove(&oldest);
        }
        self.cached_prefixes.insert(key, now);
    }

    /// Records a success, which resets the counts of failures and ejections.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    fn record_load(&mut self, at: Millis, load: Option<Load>) {
        let Some(load) = load else {
            self.unresponsive_since.get_or_insert(at);
            return;
        };
        self.unresponsive_since = None;
        if self.incarnation() != load.incarnation {
            self.cached_prefixes.clear();
        }
        self.load = Some((at, load));
    }
}

/// The backend servers of the configuration, by name.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: Map<String, Server>,
    listed_leaving: Set<String>,
}

impl Fleet {
    /// State of the backend server `name`.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Mutable state of the backend server `name`.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Server> {
        self.servers.get_mut(name)
    }

    /// Applies a new configuration.
    ///
    /// A removed backend server stays until its outstanding calls have ended.
    pub fn configure(&mut self, snapshot: &Snapshot) {
        let config = &snapshot.config;
        self.servers
            .retain(|name, server| config.servers.contains_key(name) || server.outstanding > 0);
        for name in config.servers.keys() {
            self.servers.entry(name.clone()).or_default();
        }
    }

    /// Records the result of a load poll; `None` if the backend server did not answer.
    pub fn record_load(&mut self, name: &str, at: Millis, load: Option<Load>) {
        let is_listed_leaving = self.listed_leaving.contains(name);
        if let Some(server) = self.servers.get_mut(name) {
            server.record_load(at, load);
            server.is_leaving = is_listed_leaving || load.is_some_and(|load| load.is_leaving);
        }
    }

    /// Marks the backend servers that the instance list shows as leaving.
    pub fn set_leaving(&mut self, names: Vec<String>) {
        self.listed_leaving = names.into_iter().collect();
        for name in &self.listed_leaving {
            if let Some(server) = self.servers.get_mut(name) {
                server.is_leaving = true;
            }
        }
    }

    /// Records a failure of a backend server; ejects it after several in a row.
    pub fn record_failure(&mut self, now: Millis, name: &str, snapshot: &Snapshot) {
        let may_eject = self.may_eject(now, name, snapshot);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.failures += 1;
        if server.failures >= EJECT_FAILURES && may_eject {
            let length = EJECT_MS.saturating_mul(1 << server.ejections.min(8)).min(MAX_EJECT_MS);
            server.ejected_until = now + length;
            server.ejections += 1;
            server.failures = 0;
        }
    }

    /// Records a crash of a backend server, which loses its cache; ejects it for the duration of a
    /// first ejection.
    pub fn record_crash(&mut self, now: Millis, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.cached_prefixes.clear();
            server.ejected_until = now + EJECT_MS;
        }
    }

    fn may_eject(&self, now: Millis, name: &str, snapshot: &Snapshot) -> bool {
        let servers = &snapshot.config.servers;
        let Some(service) = servers.get(name).map(|server| &server.service) else {
            return false;
        };
        let peers = servers.iter().filter(|(_, server)| server.service == *service);
        let (mut all, mut ejected) = (0, 0);
        for (peer, _) in peers {
            all += 1;
            ejected += usize::from(self.get(peer).is_some_and(|s| now < s.ejected_until));
        }
        (ejected + 1) * EJECT_DIVISOR <= all
    }

    /// Names and states of all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Server)> {
        self.servers.iter()
    }
}

/// Number of instances that may dispatch, at least 1.
pub fn dispatcher_count(snapshot: &Snapshot) -> u32 {
    let live = snapshot.instances.values().filter(|i| i.standing != Standing::Expired).count();
    u32::try_from(live.max(1)).unwrap_or(u32::MAX)
}
