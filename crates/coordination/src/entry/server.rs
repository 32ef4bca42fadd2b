//! What an entry knows of the backend servers.

use crate::Millis;
use crate::entry::input::Load;
use state::collections::{Map, Set};
use state::control::{Snapshot, Standing};

/// Time without a load report after which a backend server counts as leaving, in
/// milliseconds.
const SILENT_MS: Millis = 3_000;

/// Failures in a row that eject a backend server.
const EJECT_FAILURES: u32 = 3;

/// First time of an ejection, in milliseconds.
const EJECT_MS: Millis = 1_000;

/// Longest time of an ejection, in milliseconds.
const EJECT_MOST_MS: Millis = 10_000;

/// Largest share of a service's backend servers that may be ejected, as a divisor.
const EJECT_SHARE: usize = 2;

/// Prefixes remembered for one backend server.
const PREFIXES_KEPT: usize = 4_096;

/// One backend server.
#[derive(Debug, Default)]
pub struct Server {
    /// Calls that this entry has there.
    pub outstanding: u32,
    /// Last load report and its time.
    pub load: Option<(Millis, Load)>,
    /// Whether the instance list or the backend server itself says that it leaves.
    pub is_leaving: bool,
    silent_since: Option<Millis>,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    /// Programs and prefixes that its cache should hold, with the time of last use.
    warm: Map<u64, Millis>,
}

impl Server {
    /// Whether it may get new calls.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.is_leaving && now >= self.ejected_until && !self.is_silent(now)
    }

    fn is_silent(&self, now: Millis) -> bool {
        self.silent_since.is_some_and(|since| since + SILENT_MS <= now)
    }

    /// Number of its life, as last reported.
    pub fn incarnation(&self) -> u64 {
        self.load.map_or(0, |(_, load)| load.incarnation)
    }

    /// When `key` was last used there, if its cache should still hold it.
    pub fn warm(&self, key: u64) -> Option<Millis> {
        self.warm.get(&key).copied()
    }

    /// Notes that `key` is in its cache.
    pub fn touch(&mut self, now: Millis, key: u64) {
        if self.warm.len() >= PREFIXES_KEPT
            && let Some(oldest) = self.warm.iter().min_by_key(|(_, at)| **at).map(|(k, _)| *k)
        {
            self.warm.remove(&oldest);
        }
        self.warm.insert(key, now);
    }

    /// Notes a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    fn report(&mut self, at: Millis, load: Option<Load>) {
        let Some(load) = load else {
            self.silent_since.get_or_insert(at);
            return;
        };
        self.silent_since = None;
        if self.incarnation() != load.incarnation {
            self.warm.clear();
        }
        self.load = Some((at, load));
    }
}

/// All backend servers by name.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: Map<String, Server>,
    listed_leaving: Set<String>,
}

impl Fleet {
    /// One backend server.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// One backend server, for changes.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Server> {
        self.servers.get_mut(name)
    }

    /// Follows a new configuration.
    pub fn configure(&mut self, snapshot: &Snapshot) {
        let config = &snapshot.config;
        self.servers
            .retain(|name, server| config.servers.contains_key(name) || server.outstanding > 0);
        for name in config.servers.keys() {
            self.servers.entry(name.clone()).or_default();
        }
    }

    /// Takes a load report.
    pub fn report(&mut self, name: &str, at: Millis, load: Option<Load>) {
        let is_listed = self.listed_leaving.contains(name);
        if let Some(server) = self.servers.get_mut(name) {
            server.report(at, load);
            server.is_leaving = is_listed || load.is_some_and(|load| load.is_leaving);
        }
    }

    /// Takes the instance list's leaving backend servers.
    pub fn leaving(&mut self, names: Vec<String>) {
        self.listed_leaving = names.into_iter().collect();
        for name in &self.listed_leaving {
            if let Some(server) = self.servers.get_mut(name) {
                server.is_leaving = true;
            }
        }
    }

    /// Notes a failure of a backend server; ejects it after several in a row.
    pub fn fail(&mut self, now: Millis, name: &str, snapshot: &Snapshot) {
        let may_eject = self.may_eject(now, name, snapshot);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.failures += 1;
        if server.failures >= EJECT_FAILURES && may_eject {
            let length = EJECT_MS.saturating_mul(1 << server.ejections.min(8)).min(EJECT_MOST_MS);
            server.ejected_until = now + length;
            server.ejections += 1;
            server.failures = 0;
        }
    }

    /// Notes that a backend server's life ended; its cache is gone.
    pub fn crash(&mut self, now: Millis, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.warm.clear();
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
        (ejected + 1) * EJECT_SHARE <= all
    }

    /// Iterates over all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Server)> {
        self.servers.iter()
    }
}

/// Number of instances that may dispatch, at least 1.
pub fn dispatchers(snapshot: &Snapshot) -> u32 {
    let live = snapshot.instances.values().filter(|i| i.standing != Standing::Expired).count();
    u32::try_from(live.max(1)).unwrap_or(u32::MAX)
}
