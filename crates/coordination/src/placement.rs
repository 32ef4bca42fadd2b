//! Placement of requests on backend servers.
//!
//! Many instances decide independently, each for the callers of its failure domain, and a burst
//! fills some servers before others. The load of a server is the number of requests that this
//! instance has outstanding there plus the numbers that the other instances reported, which are
//! some hundred milliseconds old.
//!
//! A program's requests stay on the backend server that executed its last turn, because its cache
//! holds the conversation, until the wait there exceeds the time for computing the context again
//! elsewhere. Other requests of a session go to the less loaded of two servers that rendezvous
//! hashing of the session chooses. Choosing the least loaded of all servers would send the
//! requests of all instances to the same server until the next reports arrive; it is done only
//! if both of the two are crowded. Requests without a session go to the least loaded server.
//! Servers of the local failure domain are preferred until they are clearly more loaded than
//! remote ones.
//!
//! Two choices: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.

use crate::Millis;
use crate::limit::{self, Limit, Observation, Sharers};
use crate::routing;
use crate::versions::{History, Settled};
use serde::{Deserialize, Serialize};
use state::collections::Map;

/// Age up to which the reported loads of other instances count as occupied slots, in milliseconds:
/// several heartbeats. Beyond, an instance that is cut off would refuse requests for loads that
/// ended long ago.
const REMOTE_LOAD_MAX_AGE_MS: Millis = 1_500;

/// Thresholds of the placement decision and durations of suspensions.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Load below which a program stays on its server, in percent of the slots. Up to there the
    /// wait for a slot is shorter than computing the program's context again, which would also
    /// delay all other requests on the new server.
    pub stay_percent: u32,
    /// Load from which a server is sent no further requests, in percent of the slots, except those
    /// that stay on it. More would only wait there, regardless of priorities; engines admit several
    /// times their slots.
    pub full_percent: u32,
    /// Slots that are kept free of new programs, in percent of the square root of all slots; half
    /// of the slots at most. The number of requests of programs under way varies by about that
    /// root, so servers with few slots need a larger part of them as a reserve.
    pub reserve_percent: u32,
    /// Load from which a server counts as crowded, in percent of the slots: then more servers
    /// than the two chosen ones, and servers of other failure domains, are considered. Below it
    /// an engine's steps take little longer than for a single request.
    pub spill_percent: u32,
    /// By how much a server of another failure domain must be less loaded than a local one, in
    /// percent of the slots. The margin allows for the age of the reported loads.
    pub spill_margin_percent: u32,
    /// First suspension of a server that could not be reached, in milliseconds; the time of a
    /// few connection attempts.
    pub suspend_ms: Millis,
    /// Maximum suspension, in milliseconds; servers that crashed return within seconds.
    pub suspend_most_ms: Millis,
    /// Suspension after a server refused a request because it was full, in milliseconds;
    /// roughly the time until one of its requests ends.
    pub full_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            stay_percent: 200,
            full_percent: 125,
            reserve_percent: 140,
            spill_percent: 75,
            spill_margin_percent: 25,
            suspend_ms: 250,
            suspend_most_ms: 2_000,
            full_ms: 50,
        }
    }
}

/// A backend server as described by the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Identifier that is unique in the list.
    pub id: String,
    /// Name of the service that it provides.
    pub service: String,
    /// IP address and port for requests.
    pub address: String,
    /// Failure domain in which it runs.
    pub failure_domain: String,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Whether it is about to stop and must not be sent new requests.
    pub is_draining: bool,
    /// Version of its software. Servers of several versions may provide one service.
    pub software_version: String,
}

/// Splits off the entries of `list` that have the id of another one. The entry with the service and
/// address that `known` has under the id stays, otherwise the first one.
pub fn split_duplicates<'a>(
    list: Vec<Listing>,
    known: impl Fn(&str) -> Option<&'a Listing>,
) -> (Vec<Listing>, Vec<Listing>) {
    let mut positions: Map<String, usize> = Map::default();
    let (mut unique, mut duplicates): (Vec<Listing>, Vec<Listing>) = (Vec::new(), Vec::new());
    for mut listed in list {
        let Some(position) = positions.get(&listed.id) else {
            positions.insert(listed.id.clone(), unique.len());
            unique.push(listed);
            continue;
        };
        let kept = &mut unique[*position];
        let is_known = |entry: &Listing| {
            let known = known(&entry.id);
            known.is_some_and(|k| k.service == entry.service && k.address == entry.address)
        };
        if !is_known(kept) && is_known(&listed) {
            std::mem::swap(kept, &mut listed);
        }
        duplicates.push(listed);
    }
    (unique, duplicates)
}

/// How an attempt on a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It could not be reached, or the connection was lost.
    Failed,
    /// It refused the request because it had no free slot.
    Full,
    /// Another server has taken over its address.
    Gone,
    /// The caller disconnected.
    Cancelled,
}

/// Query for a backend server: requirements and preferences of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Query<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Session of the request, which is kept on the same servers for their caches.
    pub session: Option<&'a str>,
    /// Identifier of the server that executed the session's last request.
    pub last_server: Option<&'a str>,
    /// Whether the request begins a program.
    pub is_new: bool,
    /// Identifiers of the servers that have been attempted and are not chosen again.
    pub attempted: &'a [String],
    /// Software version that the server must have; `None` for any.
    pub software_version: Option<&'a str>,
    /// Whether the request takes up a stream, which servers of other versions cannot do.
    pub is_resumption: bool,
}

impl Query<'_> {
    /// Whether a listed server, which may be unavailable now, satisfies the requirements.
    fn admits(&self, server: &Server) -> bool {
        let listed = &server.listed;
        let has_version =
            self.software_version.is_none_or(|version| version == listed.software_version);
        !server.is_leaving() && has_version && !self.attempted.contains(&listed.id)
    }
}

/// Local state of one backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its entry in the platform's list.
    pub listed: Listing,
    digest: u64,
    /// Requests that this instance has outstanding there.
    pub outstanding: u32,
    /// Requests that the other instances have outstanding there, by their last reports.
    pub remote_outstanding: u32,
    /// Rate limit that it announces.
    pub limit: Limit,
    /// Whether it said in a response that it is about to stop.
    announced_leaving: bool,
    /// Whether an invalid announcement of it was reported.
    has_reported_invalid: bool,
    failures: u32,
    suspended_until: Millis,
}

impl Server {
    /// Known number of requests of all instances that it processes.
    pub fn load(&self) -> u32 {
        self.outstanding.saturating_add(self.remote_outstanding)
    }

    /// Whether it is about to stop, as the list shows or it said itself. It is sent nothing new.
    fn is_leaving(&self) -> bool {
        self.listed.is_draining || self.announced_leaving
    }

    /// Load, in percent of the slots.
    fn load_percent(&self) -> u32 {
        self.load().saturating_mul(100) / self.listed.slots.max(1)
    }

    /// Whether it may be chosen at `now`.
    pub fn is_available(&self, now: Millis) -> bool {
        !self.is_leaving() && self.suspended_until <= now && self.limit.permits(now) > 0
    }
}

/// A difference between two consecutive lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The server accepts requests.
    Ready(Listing),
    /// The server is about to stop.
    Draining(Listing),
    /// The server with this identifier is no longer listed.
    Gone(String),
    /// The entry has the identifier of another server and is ignored.
    Duplicate(Listing),
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Ready(Listing { id, service, software_version, .. }) => {
                write!(f, "{id} of {service} is ready with version {software_version}")
            }
            Self::Draining(Listing { id, service, .. }) => {
                write!(f, "{id} of {service} is draining")
            }
            Self::Gone(id) => write!(f, "{id} is gone"),
            Self::Duplicate(Listing { id, service, address, .. }) => {
                write!(f, "{id} is listed twice; the entry of {service} at {address} is ignored")
            }
        }
    }
}

/// One instance's view of the listed backend servers.
#[derive(Debug, Clone)]
pub struct Fleet {
    settings: Settings,
    failure_domain: String,
    servers: Map<String, Server>,
    by_service: Map<String, Vec<String>>,
    versions: History,
    listed_at: Option<Millis>,
    sharers: Sharers,
    /// Time of the last report of the other instances' loads.
    loads_at: Millis,
}

impl Fleet {
    /// Creates an empty fleet for the instance with this `address` in `failure_domain`.
    pub fn new(settings: Settings, failure_domain: &str, address: &str) -> Self {
        Self {
            settings,
            failure_domain: failure_domain.to_owned(),
            servers: Map::default(),
            by_service: Map::default(),
            versions: History::default(),
            listed_at: None,
            sharers: Sharers::new(address),
            loads_at: 0,
        }
    }

    /// Replaces the list and returns the changes.
    ///
    /// Servers that are no longer listed are removed. A server that has a new address starts
    /// with fresh state. One that was draining and is ready has started again, so that what its
    /// last run said of leaving no longer holds.
    pub fn update(&mut self, now: Millis, list: Vec<Listing>) -> Vec<Change> {
        let known = |id: &str| self.servers.get(id).map(|server| &server.listed);
        let (list, duplicates) = split_duplicates(list, known);
        let mut changes: Vec<Change> = duplicates.into_iter().map(Change::Duplicate).collect();
        let mut servers = Map::default();
        let mut by_service: Map<String, Vec<String>> = Map::default();
        for listed in list {
            by_service.entry(listed.service.clone()).or_default().push(listed.id.clone());
            let old = self.servers.remove(&listed.id);
            let was_draining = old.as_ref().map(|old| old.listed.is_draining);
            if was_draining != Some(listed.is_draining) {
                changes.push(match listed.is_draining {
                    true => Change::Draining(listed.clone()),
                    false => Change::Ready(listed.clone()),
                });
            }
            let server = match old.filter(|old| old.listed.address == listed.address) {
                Some(old) => {
                    let has_restarted = old.listed.is_draining && !listed.is_draining;
                    let announced_leaving = old.announced_leaving && !has_restarted;
                    Server { listed, announced_leaving, ..old }
                }
                None => Server {
                    digest: routing::digest(listed.id.as_bytes()),
                    listed,
                    outstanding: 0,
                    remote_outstanding: 0,
                    limit: Limit::default(),
                    announced_leaving: false,
                    has_reported_invalid: false,
                    failures: 0,
                    suspended_until: 0,
                },
            };
            servers.insert(server.listed.id.clone(), server);
        }
        changes.extend(std::mem::take(&mut self.servers).into_keys().map(Change::Gone));
        self.servers = servers;
        self.by_service = by_service;
        let listed = self.servers.values().map(|server| &server.listed);
        let versions = listed.map(|l| (l.service.as_str(), l.software_version.as_str()));
        self.versions.update(now, versions);
        self.listed_at = Some(now);
        changes
    }

    /// Adds what another instance knows of the servers' software versions.
    pub fn extend_versions(&mut self, now: Millis, settled: &[Settled]) {
        self.versions.extend(now, settled);
    }

    /// Records that the list was read again at `now` and has not changed.
    pub fn confirm(&mut self, now: Millis) {
        self.listed_at = Some(now);
    }

    /// Replaces the numbers of requests that the other instances have outstanding on each server,
    /// as reported at `now`.
    pub fn set_remote_loads(&mut self, now: Millis, loads: &[(String, u32)]) {
        self.loads_at = now;
        for server in self.servers.values_mut() {
            server.remote_outstanding = 0;
        }
        for (id, load) in loads {
            if let Some(server) = self.servers.get_mut(id) {
                server.remote_outstanding = *load;
            }
        }
    }

    /// Requests that this instance has outstanding on each server, to be sent to the others.
    pub fn local_loads(&self) -> Vec<(String, u32)> {
        let busy = self.servers.iter().filter(|(_, server)| server.outstanding > 0);
        busy.map(|(id, server)| (id.clone(), server.outstanding)).collect()
    }

    /// Age of the list, in milliseconds; `None` before the first list.
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        Some(now.saturating_sub(self.listed_at?))
    }

    /// State of the server with the identifier `id`.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// States of all listed servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Whether a service has an available server with a free slot that has not been attempted.
    pub fn has_capacity(&self, now: Millis, service: &str, attempted: &[String]) -> bool {
        let mut unattempted =
            self.of_service(service).filter(|server| !attempted.contains(&server.listed.id));
        unattempted.any(|server| server.is_available(now) && server.load() < server.listed.slots)
    }

    /// Number of requests that can be placed now, `u32::MAX` at most.
    pub fn room(&self, now: Millis, query: &Query<'_>) -> u32 {
        let room = self.available(now, query).into_iter().map(|s| self.room_on(s, now, query));
        room.fold(0, u32::saturating_add)
    }

    /// Whether a listed server satisfies the query, though it may have no room now.
    pub fn has_candidate(&self, query: &Query<'_>) -> bool {
        self.of_service(query.service).any(|server| query.admits(server))
    }

    /// Software versions of the servers with room for a request, that of the chosen one first.
    pub fn versions(&self, now: Millis, query: &Query<'_>) -> Vec<&str> {
        let chosen = self.choose(now, query).map(|listed| listed.software_version.as_str());
        let mut versions: Vec<&str> = chosen.into_iter().collect();
        for server in self.available(now, query) {
            let version = server.listed.software_version.as_str();
            if !versions.contains(&version) && self.room_on(server, now, query) > 0 {
                versions.push(version);
            }
        }
        versions
    }

    /// The software version that all servers of a service have had for at least `period`
    /// milliseconds; see [`History::only`].
    pub fn only_version(&self, now: Millis, service: &str, period: Millis) -> Option<&str> {
        self.versions.only(now, service, period)
    }

    /// States of the servers that satisfy the query and may be chosen. If all servers that can take
    /// up a stream are suspended, they may be chosen all the same: no other one can replace them.
    fn available(&self, now: Millis, query: &Query<'_>) -> Vec<&Server> {
        let admitted = || self.of_service(query.service).filter(|s| query.admits(s));
        let available: Vec<&Server> = admitted().filter(|s| s.is_available(now)).collect();
        if !available.is_empty() || !query.is_resumption {
            return available;
        }
        admitted().filter(|server| server.limit.permits(now) > 0).collect()
    }

    /// States of the listed servers of a service.
    fn of_service(&self, service: &str) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.servers.get(id))
    }

    /// Number of requests that can be placed on an available server now.
    fn room_on(&self, server: &Server, now: Millis, query: &Query<'_>) -> u32 {
        let is_last = query.last_server == Some(server.listed.id.as_str());
        let all = server.listed.slots;
        let slots = match (is_last, query.is_new) {
            (true, _) => all.saturating_mul(self.settings.stay_percent) / 100,
            (false, false) => all.saturating_mul(self.settings.full_percent) / 100,
            (false, true) => all - self.reserve(all),
        };
        let is_recent = now < self.loads_at + REMOTE_LOAD_MAX_AGE_MS;
        let load = if is_recent { server.load() } else { server.outstanding };
        slots.saturating_sub(load).min(server.limit.permits(now))
    }

    /// Number of `slots` that are kept free of new programs.
    fn reserve(&self, slots: u32) -> u32 {
        let root = f64::from(slots).sqrt();
        let reserve = root * f64::from(self.settings.reserve_percent) / 100.0;
        (reserve.round() as u32).min(slots / 2)
    }

    /// Chooses a server, or `None` if none is available.
    ///
    /// [`Fleet::begin`] must be called before another request is placed.
    pub fn choose(&self, now: Millis, query: &Query<'_>) -> Option<&Listing> {
        let mut available = self.available(now, query);
        available.retain(|server| self.room_on(server, now, query) > 0);
        let last_server =
            available.iter().find(|s| query.last_server == Some(s.listed.id.as_str()));
        if let Some(last_server) =
            last_server.filter(|s| s.load_percent() < self.settings.stay_percent)
        {
            return Some(&last_server.listed);
        }
        let is_local = |server: &&Server| server.listed.failure_domain == self.failure_domain;
        let (local, remote): (Vec<&Server>, Vec<&Server>) =
            available.into_iter().partition(is_local);
        let (local, remote) = (self.best(&local, query.session), self.best(&remote, query.session));
        let server = match (local, remote) {
            (Some(local), Some(remote)) => {
                let margin = self.settings.spill_margin_percent;
                let is_crowded = local.load_percent() >= self.settings.spill_percent;
                let is_better = remote.load_percent() + margin <= local.load_percent();
                if is_crowded && is_better { Some(remote) } else { Some(local) }
            }
            (local, remote) => local.or(remote),
        };
        server.map(|server| &server.listed)
    }

    /// Chooses among servers that are all local or all remote.
    fn best<'a>(&self, candidates: &[&'a Server], session: Option<&str>) -> Option<&'a Server> {
        let Some(session) = session else {
            let key = routing::digest(self.failure_domain.as_bytes());
            return candidates
                .iter()
                .copied()
                .min_by_key(|s| (s.load(), routing::mix(key, s.digest)));
        };
        let key = routing::digest(session.as_bytes());
        let mut best_two = [None; 2];
        for server in candidates.iter().copied() {
            let scored = Some((routing::mix(key, server.digest), server));
            let score = |entry: Option<(u64, &Server)>| entry.map(|(score, _)| score);
            if score(scored) > score(best_two[0]) {
                best_two = [scored, best_two[0]];
            } else if score(scored) > score(best_two[1]) {
                best_two[1] = scored;
            }
        }
        let best_two = best_two.into_iter().flatten().map(|(_, server)| server);
        let better = best_two.min_by_key(|server| server.load_percent())?;
        if better.load_percent() < self.settings.spill_percent {
            return Some(better);
        }
        candidates.iter().copied().min_by_key(|s| (s.load_percent(), routing::mix(key, s.digest)))
    }

    /// Replaces the addresses of the present instances, which share the rate limits.
    pub fn set_sharers<'a>(&mut self, now: Millis, present: impl Iterator<Item = &'a str>) {
        self.sharers.update(now, present);
        self.divide_limits(now);
    }

    /// Divides the rate limits again if an instance left some time ago.
    pub fn expire_sharers(&mut self, now: Millis) {
        if self.sharers.expire(now) {
            self.divide_limits(now);
        }
    }

    fn divide_limits(&mut self, now: Millis) {
        for server in self.servers.values_mut() {
            server.limit.divide(server.digest, &self.sharers, now);
        }
    }

    /// Records the rate limit that the server `id` announced with a response; returns the previous
    /// one if it differs.
    pub fn observe_limit(&mut self, id: &str, seen: Observation) -> Option<Option<f64>> {
        let server = self.servers.get_mut(id)?;
        server.limit.observe(server.digest, &self.sharers, seen)
    }

    /// Records the rate limit that another instance observed on the server `id`; returns the
    /// previous one if it differs.
    pub fn observe_relayed_limit(
        &mut self,
        id: &str,
        seen: Observation,
        now: Millis,
    ) -> Option<Option<f64>> {
        let server = self.servers.get_mut(id)?;
        server.limit.observe_relayed(server.digest, &self.sharers, seen, now)
    }

    /// What this instance observed of the servers' rate limits, to be sent to the others.
    pub fn local_limits(&self, now: Millis) -> Vec<(String, Observation)> {
        let report =
            |(id, server): (&String, &Server)| Some((id.clone(), server.limit.report(now)?));
        self.servers.iter().filter_map(report).collect()
    }

    /// Sum of the rate limits of a service's servers; `None` if none is limited.
    pub fn limit_status(&self, now: Millis, service: &str) -> Option<limit::Status> {
        let limits = self.of_service(service).filter_map(|server| server.limit.status(now));
        limits.reduce(limit::Status::plus)
    }

    /// Records that the server `id` said in a response that it is about to stop; returns it unless that
    /// was known.
    pub fn announce_leaving(&mut self, id: &str) -> Option<&Listing> {
        let server = self.servers.get_mut(id)?;
        let was_known = std::mem::replace(&mut server.announced_leaving, true);
        (!was_known).then_some(&server.listed)
    }

    /// Whether an invalid announcement of the server `id` is the first one and should be reported.
    pub fn report_invalid(&mut self, id: &str) -> bool {
        let server = self.servers.get_mut(id);
        server.is_some_and(|server| !std::mem::replace(&mut server.has_reported_invalid, true))
    }

    /// Whether the server `id` said in a response that it is about to stop.
    pub fn has_announced_leaving(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|server| server.announced_leaving)
    }

    /// Numbers of servers that leave: as the list shows, and as they said themselves.
    pub fn leaving_counts(&self) -> (usize, usize) {
        let listed = self.servers.values().filter(|server| server.listed.is_draining);
        let announced = self.servers.values().filter(|server| server.announced_leaving);
        (listed.count(), announced.count())
    }

    /// Number of listed servers with a rate limit.
    pub fn limited_count(&self, now: Millis) -> usize {
        self.servers.values().filter(|server| server.limit.per_second(now).is_some()).count()
    }

    /// Records that a request was sent to the server `id`.
    pub fn begin(&mut self, now: Millis, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.outstanding += 1;
            server.limit.take(now);
        }
    }

    /// Records that a request on the server `id` ended with `outcome`.
    ///
    /// A server that fails repeatedly is suspended for twice as long each time, up to the maximum.
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
                let suspension = (settings.suspend_ms << doublings).min(settings.suspend_most_ms);
                server.suspended_until = server.suspended_until.max(now + suspension);
            }
            Outcome::Full => {
                server.suspended_until = server.suspended_until.max(now + settings.full_ms);
            }
            Outcome::Gone => server.suspended_until = now + settings.suspend_most_ms,
            Outcome::Cancelled => {}
        }
    }
}
