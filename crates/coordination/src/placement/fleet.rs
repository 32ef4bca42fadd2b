//! One instance's view of the backend servers.

use crate::Millis;
use crate::crossing::{self, Offer};
use crate::limit::Limit;
use crate::limit::{self, Observation, Sharers};
use crate::pace::{Observations, Step};
use crate::placement::{Change, Listing, Outcome, Server, Settings, split_duplicates};
use crate::routing;
use crate::versions::{History, Settled};
use state::collections::Map;

/// Servers of one service in one failure domain.
#[derive(Debug, Default)]
struct Domain {
    slots: u32,
    load: u32,
    paces: Vec<Step>,
}

impl Domain {
    fn offer(&self, fastest: Step) -> Offer {
        let slowness: f64 = self.paces.iter().map(|pace| pace.ratio(fastest)).sum();
        Offer {
            slowness: slowness / self.paces.len().max(1) as f64,
            load_percent: self.load.saturating_mul(100) / self.slots.max(1),
        }
    }
}

/// One instance's view of the listed backend servers.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub(super) settings: Settings,
    pub(super) failure_domain: String,
    servers: Map<String, Server>,
    by_service: Map<String, Vec<String>>,
    versions: History,
    listed_at: Option<Millis>,
    sharers: Sharers,
    /// Paces of this instance's streams, to be reported.
    observed_paces: Observations,
    /// Share of the sessions that leave the failure domain, by service.
    pub(super) crossing: Map<String, crossing::Share>,
    /// Time of the last report of the other instances' loads.
    pub(super) loads_at: Millis,
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
            observed_paces: Observations::default(),
            crossing: Map::default(),
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
                    pace: Step::default(),
                    limit: Limit::default(),
                    announced_leaving: false,
                    has_reported_invalid: false,
                    failures: 0,
                    suspended_until: 0,
                    is_silent: false,
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
        self.adjust_crossing(now);
    }

    /// Adjusts the share of the sessions of each service that leave the failure domain.
    fn adjust_crossing(&mut self, now: Millis) {
        let services: Vec<String> = self.by_service.keys().cloned().collect();
        self.crossing.retain(|service, _| self.by_service.contains_key(service));
        for service in services {
            let Some((home, elsewhere)) = self.offers(now, &service) else {
                continue;
            };
            let share = self.crossing.entry(service).or_default();
            share.adjust(now, &self.settings.crossing, &home, &elsewhere);
        }
    }

    /// What the servers of this failure domain and those of the least loaded other one offer; `None` if there are none at either.
    fn offers(&self, now: Millis, service: &str) -> Option<(Offer, Offer)> {
        let mut domains: Map<&str, Domain> = Map::default();
        let mut fastest: Option<Step> = None;
        for server in self.of_service(service).filter(|server| server.is_available(now)) {
            let domain = domains.entry(server.listed.failure_domain.as_str()).or_default();
            domain.slots += server.listed.slots;
            domain.load += server.load();
            domain.paces.push(server.pace);
            if server.pace.is_known() {
                fastest = Some(fastest.map_or(server.pace, |fastest| fastest.faster(server.pace)));
            }
        }
        let fastest = fastest.unwrap_or_default();
        let home = domains.remove(self.failure_domain.as_str())?.offer(fastest);
        let others = domains.values().map(|domain| domain.offer(fastest));
        let elsewhere = others.min_by_key(|offer| offer.load_percent)?;
        Some((home, elsewhere))
    }

    /// Share of the sessions of a service that leave the failure domain.
    pub fn crossing_share(&self, service: &str) -> f64 {
        self.crossing.get(service).map_or(0.0, crossing::Share::value)
    }

    /// Replaces the paces of the servers, as all instances observe them.
    pub fn set_paces(&mut self, paces: &[(String, Step)]) {
        for (id, pace) in paces {
            if let Some(server) = self.servers.get_mut(id) {
                server.pace = *pace;
            }
        }
    }

    /// Records that a stream on the server `id` had `intervals` intervals between its events in `micros` microseconds.
    pub fn observe_pace(&mut self, id: &str, micros: u64, intervals: u64) {
        self.observed_paces.record(id, micros, intervals);
    }

    /// Takes the paces that were not reported yet, to be sent to the other instances.
    pub fn take_paces(&mut self) -> Vec<(String, Step)> {
        self.observed_paces.take()
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

    /// The software version that all servers of a service have had for at least `period`
    /// milliseconds; see [`History::only`].
    pub fn only_version(&self, now: Millis, service: &str, period: Millis) -> Option<&str> {
        self.versions.only(now, service, period)
    }

    /// States of the listed servers of a service.
    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.servers.get(id))
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

    /// Records whether the server `id` is silent. A silent one is sent nothing.
    pub fn set_silent(&mut self, id: &str, is_silent: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.is_silent = is_silent;
        }
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
