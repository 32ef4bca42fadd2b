//! Gateway of one instance and its background tasks.
//!
//! An [`Entry`] owns what requests share: the configuration, the known backend servers, the
//! connection pool, metrics and recent request records. Its tasks apply new configurations
//! and backend server lists, and remove expired connections.

use crate::clock::millis;
use crate::gateway::connector::{Connector, Direct};
use crate::gateway::dialect::{Adapter, Dispatch};
use crate::gateway::flow::Source;
use crate::gateway::list::List;
use crate::gateway::metrics::Metrics;
use crate::gateway::pool::Pool;
use crate::gateway::server;
use crate::gateway::silence::Doubt;
use crate::gateway::stories::{Record, Records};
use crate::gateway::usage;
use crate::member::Member;
use crate::member::servers::{Snapshot, Usage, View};
use crate::node::Error;
use coordination::Millis;
use coordination::limit::{self, Observation};
use coordination::placement::{self, Fleet};
use coordination::reach::Reach;
use coordination::retry::Budget;
use coordination::silence::Silence;
use coordination::waiting::{self, Queue};
use http::response;
use protocol::presence::{RateLimit, Roster};
use protocol::routes::{Limits, Table};
use rand::RngExt;
use state::collections::Map;
use state::registry::Registry;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on for callers.
    pub listen: String,
    /// Failure domain of this instance; backend servers of the same one are preferred.
    pub failure_domain: String,
    /// How connections to backend servers are opened.
    pub connector: Arc<dyn Connector>,
    /// Parameters of the choice of backend servers.
    pub placement: placement::Settings,
    /// Age above which the relayed backend server list is stale and the entry reads the list
    /// itself. It is short because a leaving server must get no requests after a few seconds.
    pub list_max_age: Duration,
    /// Interval between two checks of the age of the list, and between two reads of it by this
    /// entry.
    pub list_poll_interval: Duration,
    /// Number of entries that may read the list at `list_poll_interval`. If there are more,
    /// each reads less often, so that all together stay below the rate limit of the list.
    pub list_readers: u32,
    /// Longest time for which callers cache the address of an entry. A stopping instance
    /// accepts requests for this time.
    pub address_ttl: Duration,
    /// Time for requests in flight to complete during a stop, after `address_ttl`.
    pub drain_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: String::new(),
            failure_domain: String::new(),
            connector: Arc::new(Direct),
            placement: placement::Settings::default(),
            list_max_age: Duration::from_millis(1_600),
            list_poll_interval: Duration::from_millis(250),
            list_readers: 8,
            address_ttl: Duration::from_millis(3_200),
            drain_timeout: Duration::from_millis(4_000),
        }
    }
}

/// Time for sending the answers to requests that got no response during a stop.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// Interval between two checks for requests in flight during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without contact to any control instance after which this instance may be isolated:
/// several heartbeat intervals.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval between two removals of expired idle connections.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A running gateway.
pub struct Entry {
    pub(crate) settings: Settings,
    pub(crate) adapter: Arc<dyn Adapter>,
    pub(crate) member: Arc<Member>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) pool: Pool,
    /// Connections to other entries, for requests that are forwarded.
    pub(crate) relays: Pool,
    pub(crate) reach: Mutex<Reach>,
    pub(super) silence: Mutex<Silence>,
    /// Requests that were given up while their servers were silent. It is locked after `fleet` and
    /// before `silence`.
    pub(super) doubts: Mutex<Vec<Doubt>>,
    /// Whether this instance reaches no backend server.
    pub(crate) is_partitioned: watch::Sender<bool>,
    /// Notified when a connection to a backend server cannot be opened.
    pub(crate) connection_failed: Notify,
    pub(crate) metrics: Metrics,
    pub(crate) records: Records,
    pub(crate) under_way: AtomicUsize,
    pub(crate) retries: Mutex<Budget>,
    /// Requests that wait for a backend server, by service. It is locked after `fleet`.
    pub(crate) queues: Mutex<Map<String, Queue>>,
    /// Whether the last request to the program journal failed.
    pub(crate) is_journal_unreachable: AtomicBool,
    /// Digest of the list that was last applied to the fleet, or 0.
    list_digest: AtomicU64,
    /// Time at which the list that was last applied to the fleet was read; 0 before the first one.
    pub(crate) list_read_at: watch::Sender<Millis>,
    /// Configuration in force on this instance; `None` before the first one.
    table: watch::Sender<Option<Arc<Table>>>,
    started_at: Millis,
    list: Arc<dyn List>,
    pub(crate) stop: watch::Sender<server::Phase>,
}

impl Entry {
    /// Starts a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on, for example because it is in
    /// use.
    pub async fn start(
        settings: Settings,
        member: Arc<Member>,
        adapter: Arc<dyn Adapter>,
        list: Arc<dyn List>,
    ) -> Result<Arc<Self>, Error> {
        let listener = bind(&settings.listen).await?;
        let relay_listener = match &member.settings.relay_address {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        let address = member.settings.caller_address.as_deref().unwrap_or_default();
        let fleet = Fleet::new(settings.placement.clone(), &settings.failure_domain, address);
        let (stop, phase) = watch::channel(server::Phase::Serving);
        let started_at = member.clock.now();
        let entry = Arc::new(Self {
            pool: Pool::new(settings.connector.clone(), member.clock),
            relays: Pool::default(),
            reach: Mutex::default(),
            silence: Mutex::default(),
            doubts: Mutex::default(),
            is_partitioned: watch::Sender::new(false),
            connection_failed: Notify::new(),
            settings,
            adapter,
            metrics: Metrics::new(&member.metrics),
            member,
            fleet: Mutex::new(fleet),
            records: Records::default(),
            under_way: AtomicUsize::new(0),
            retries: Mutex::default(),
            queues: Mutex::default(),
            is_journal_unreachable: AtomicBool::new(false),
            list_digest: AtomicU64::new(0),
            list_read_at: watch::Sender::new(0),
            table: watch::Sender::new(None),
            started_at,
            list,
            stop,
        });
        tokio::spawn(entry.clone().watch_configuration());
        let weak = Arc::downgrade(&entry);
        entry.member.set_usage_source(Box::new(move || {
            weak.upgrade().and_then(|entry| entry.usage()).unwrap_or_default()
        }));
        tokio::spawn(entry.clone().watch_servers());
        tokio::spawn(entry.clone().watch_lease());
        tokio::spawn(entry.clone().poll_list());
        tokio::spawn(entry.clone().expire_connections());
        tokio::spawn(entry.clone().watch_reach());
        tokio::spawn(entry.clone().watch_silence());
        if let Some(listener) = relay_listener {
            let phase = phase.clone();
            tokio::spawn(server::serve(entry.clone(), listener, phase, Source::Entries));
        }
        tokio::spawn(server::serve(entry.clone(), listener, phase, Source::Callers));
        Ok(entry)
    }

    /// Stops gracefully. Callers are directed to other entries, those that still use this
    /// address are served for `address_ttl`, then requests in flight get `drain_timeout` to
    /// complete. Requests that arrive later are refused, and those without a response after that
    /// time are answered.
    pub async fn stop(&self) {
        self.member.leave();
        tokio::time::sleep(self.settings.address_ttl / 2).await;
        self.stop.send_replace(server::Phase::Closing);
        tokio::time::sleep(self.settings.address_ttl / 2).await;
        self.stop.send_replace(server::Phase::Closed);
        let idle = async {
            while self.under_way.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(self.settings.drain_timeout, idle).await.is_err() {
            let remaining = self.under_way.load(Ordering::Relaxed);
            tracing::warn!(remaining, "stop timed out with requests in flight");
            self.stop.send_replace(server::Phase::Ended);
            tokio::time::sleep(LAST_ANSWERS_TIME).await;
        }
    }

    /// Returns counters and latencies in the OpenMetrics format.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// Returns the records of a recent request by its id.
    pub fn records(&self, id: &str) -> Vec<Record> {
        self.records.find(id)
    }

    /// Whether callers may be directed to this instance.
    pub fn is_ready(&self) -> bool {
        let is_listed = self.fleet.lock().is_ok_and(|fleet| fleet.list_age(self.now()).is_some());
        let is_serving = *self.stop.borrow() == server::Phase::Serving;
        let is_configured = self.table().is_some_and(|table| {
            // A lease that is lost later closes no public route.
            table.organisations().is_none() || self.member.has_held_lease()
        });
        is_listed && is_serving && is_configured && !self.member.is_leaving()
    }

    /// Whether this instance reaches neither the program journal nor any control instance.
    pub(crate) fn is_isolated(&self) -> bool {
        let elapsed = self.member.time_since_contact();
        self.is_journal_unreachable.load(Ordering::Relaxed)
            && elapsed.is_none_or(|elapsed| elapsed > CONTROL_TIMEOUT)
    }

    /// Whether this instance reaches no backend server.
    pub(crate) fn is_partitioned(&self) -> bool {
        *self.is_partitioned.borrow()
    }

    /// Records that no connection to a backend server could be opened.
    pub(crate) fn report_failed_connection(&self, server: &str) {
        if let Ok(mut reach) = self.reach.lock() {
            reach.connection_failed(server);
        }
        self.connection_failed.notify_one();
    }

    /// Records that a connection to a backend server was opened.
    pub(crate) fn report_opened_connection(&self) {
        if let Ok(mut reach) = self.reach.lock() {
            reach.connection_opened();
        }
    }

    /// Limits on the requests of callers; defaults until there is a configuration.
    pub(crate) fn limits(&self) -> Limits {
        self.table().map(|table| *table.limits()).unwrap_or_default()
    }

    /// Completes once the limits of the configuration differ from `limits`.
    pub(super) async fn limits_other_than(&self, limits: &Limits) {
        let differs = |table: &Option<Arc<Table>>| {
            let table = table.as_ref();
            table.is_some_and(|table| table.limits() != limits)
        };
        // The entry holds the sender, so that the wait doesn't fail.
        let _ = self.table.subscribe().wait_for(differs).await;
    }

    pub(crate) fn now(&self) -> Millis {
        self.member.clock.now()
    }

    /// Returns what this instance reports of its use of the backend servers. Paces are reported once.
    fn usage(&self) -> Option<Usage> {
        let now = self.now();
        let mut fleet = self.fleet.lock().ok()?;
        let rate_limit = |(server, seen): (String, Observation)| {
            let age_ms = now.saturating_sub(seen.at);
            RateLimit { server, per_second: seen.per_second, age_ms }
        };
        let rate_limits = fleet.local_limits(now).into_iter().map(rate_limit).collect();
        let paces = fleet.take_paces();
        Some(Usage { in_flight: fleet.local_loads(), rate_limits, paces })
    }

    /// Returns the load of a backend server and its rate limit, as known to this instance.
    pub(crate) fn load_and_limit(&self, server: &str) -> (u32, Option<limit::Status>) {
        let fleet = self.fleet.lock().ok();
        let server = fleet.as_ref().and_then(|fleet| fleet.get(server));
        server.map_or((0, None), |s| (s.load(), s.limit.status(self.now())))
    }

    /// Returns why the servers of a service have no room, as far as their rate limits are the
    /// cause, to be added to the detail of a refusal; empty without a limit.
    pub(crate) fn explain_limits(&self, service: &str) -> String {
        let fleet = self.fleet.lock().ok();
        let status = fleet.and_then(|fleet| fleet.limit_status(self.now(), service));
        status.map_or_else(String::new, |status| format!("; {status}"))
    }

    /// Applies the rate limit that a backend server announces with a response.
    pub(crate) fn observe_rate_limit(&self, dispatch: &Dispatch<'_>, head: &response::Parts) {
        let (request, server) = (dispatch.id, dispatch.server);
        let limit = match self.adapter.rate_limit(head) {
            Ok(limit) => limit,
            Err(found) => {
                tracing::warn!(request, server, found, "rate limit of a backend server ignored");
                return;
            }
        };
        let Ok(mut fleet) = self.fleet.lock() else {
            return;
        };
        let now = self.now();
        let seen = Observation { per_second: limit, at: now };
        if let Some(previous) = fleet.observe_limit(server, seen) {
            self.metrics.limited_servers.set(fleet.limited_count(now) as i64);
            tracing::info!(
                request,
                server,
                limit,
                previous,
                "rate limit of a backend server changed"
            );
        }
    }

    /// Applies the announcement of a backend server that it is about to stop.
    pub(crate) fn observe_leaving(&self, request: &str, server: &str, head: &response::Parts) {
        let announced = self.adapter.announces_leaving(head);
        if announced == Ok(false) {
            return;
        }
        let Ok(mut fleet) = self.fleet.lock() else {
            return;
        };
        let list_age_ms = fleet.list_age(self.now());
        match announced {
            Err(found) => {
                if fleet.report_invalid(server) {
                    tracing::warn!(
                        request,
                        server,
                        found,
                        "announcement of a leaving server ignored"
                    );
                }
            }
            Ok(_) => {
                if let Some(listed) = fleet.announce_leaving(server) {
                    let is_draining = listed.is_draining;
                    tracing::info!(
                        request,
                        server,
                        is_draining,
                        list_age_ms,
                        "backend server announced that it leaves"
                    );
                }
            }
        }
        self.count_leaving(&fleet);
    }

    fn count_leaving(&self, fleet: &Fleet) {
        let (listed, announced) = fleet.leaving_counts();
        self.metrics.leaving("list", listed);
        self.metrics.leaving("response", announced);
    }

    /// Whether a backend server announced that it is about to stop.
    pub(crate) fn has_announced_leaving(&self, server: &str) -> bool {
        self.fleet.lock().is_ok_and(|fleet| fleet.has_announced_leaving(server))
    }

    /// Returns the configuration in force on this instance.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Waits for a configuration and a backend server list if this instance has just started, for a
    /// part of the `remaining` time of a request. Returns the configuration, if there is one.
    pub(super) async fn await_start(
        &self,
        request: &str,
        remaining: Duration,
    ) -> Option<Arc<Table>> {
        let is_listed = || self.list_digest.load(Ordering::Relaxed) != 0;
        if let Some(table) = self.table().filter(|_| is_listed()) {
            return Some(table);
        }
        let uptime = self.now().saturating_sub(self.started_at);
        let limit = waiting::start_limit(uptime, millis(remaining));
        if limit == 0 {
            return self.table();
        }
        let started = Instant::now();
        let (mut table, mut list_read_at) = (self.table.subscribe(), self.list_read_at.subscribe());
        let start = async {
            // The entry holds the senders, so that the waits don't fail.
            let _ = table.wait_for(Option::is_some).await;
            let _ = list_read_at.wait_for(|_| is_listed()).await;
        };
        let has_started = tokio::time::timeout(Duration::from_millis(limit), start).await.is_ok();
        let waited_ms = millis(started.elapsed());
        tracing::info!(request, uptime, limit, waited_ms, has_started, "waited for the start");
        self.table()
    }

    /// Applies each newer configuration of the registry, and each new roster.
    async fn watch_configuration(self: Arc<Self>) {
        let mut view = self.member.view.subscribe();
        let mut roster_digest = None;
        loop {
            let (registry, roster) = {
                let view = view.borrow_and_update();
                (view.registry.clone(), view.roster.clone())
            };
            if roster_digest.replace(roster.digest) != Some(roster.digest) {
                self.apply_roster(&roster);
            }
            let version = registry.version();
            if version > self.table().map_or(0, |table| table.version()) {
                self.apply_configuration(registry.clone()).await;
            }
            // A configuration that could not be applied leaves the lease on the earlier one.
            if self.table().map_or(0, |table| table.version()) == version {
                self.member.with_authority(|authority| authority.apply(registry.revision));
            }
            self.member.set_ready(self.is_ready());
            if view.changed().await.is_err() {
                return;
            }
        }
    }

    /// Divides the backend servers' rate limits among the entries of the roster.
    fn apply_roster(&self, roster: &Roster) {
        tracing::info!(entries = roster.entries.len(), "entries for callers changed");
        if let Ok(mut fleet) = self.fleet.lock() {
            fleet
                .set_sharers(self.now(), roster.entries.iter().map(|entry| entry.address.as_str()));
        }
    }

    /// Decodes the configuration of `registry` on a thread of its own, since thousands of routes
    /// would delay the events of all streams.
    async fn apply_configuration(self: &Arc<Self>, registry: Arc<Registry>) {
        let version = registry.version();
        let adapter = self.adapter.clone();
        let decode = move || {
            let content = registry.document.as_ref().map_or(&[][..], |document| &document.content);
            let config = adapter.decode_config(content)?;
            Table::new(config).map_err(|error| error.to_string())
        };
        let table = tokio::task::spawn_blocking(decode).await;
        match table.unwrap_or_else(|error| Err(error.to_string())) {
            Ok(table) => {
                let (is_limited, is_first) = (usage::is_limited(&table), self.table().is_none());
                if self.member.usage.set_limited(self.now(), is_limited, is_first) {
                    self.member.heartbeat_trigger.notify_one();
                }
                let checks_keys = table.organisations().is_some();
                let organisations = table.organisations().map_or(0, |index| index.iter().len());
                let keys = table.organisations().map_or(0, |index| index.key_count());
                let previous = self.table.send_replace(Some(Arc::new(table)));
                tracing::info!(version, checks_keys, organisations, keys, "configuration in force");
                if !checks_keys && previous.is_some_and(|table| table.organisations().is_some()) {
                    tracing::warn!(version, "keys are no longer checked");
                }
            }
            Err(error) => tracing::error!(version, error, "configuration cannot be applied"),
        }
    }

    /// Applies the backend server list and the loads that control instances relay.
    async fn watch_servers(self: Arc<Self>) {
        let mut servers = self.member.servers.subscribe();
        while servers.changed().await.is_ok() {
            let view = servers.borrow_and_update().clone();
            if let Some(snapshot) = &view.list {
                self.apply_list(snapshot);
            }
            if let Ok(mut fleet) = self.fleet.lock() {
                let now = self.now();
                fleet.extend_versions(now, &view.versions.settled(now));
                fleet.set_remote_loads(now, &view.loads);
                fleet.set_paces(&view.paces);
                self.apply_relayed_limits(&mut fleet, &view);
            }
        }
    }

    /// Applies the rate limits that other entries observed.
    fn apply_relayed_limits(&self, fleet: &mut Fleet, view: &View) {
        let now = self.now();
        let elapsed = view.relayed_at.map_or(0, |relayed_at| millis(relayed_at.elapsed()));
        for RateLimit { server, per_second: limit, age_ms } in view.rate_limits.iter() {
            let age = age_ms + elapsed;
            let seen = Observation { per_second: *limit, at: now.saturating_sub(age) };
            if let Some(previous) = fleet.observe_relayed_limit(server, seen, now) {
                tracing::info!(
                    server,
                    limit,
                    previous,
                    age,
                    "rate limit of a backend server relayed"
                );
            }
        }
        fleet.expire_sharers(now);
        self.metrics.limited_servers.set(fleet.limited_count(now) as i64);
    }

    /// Updates the fleet from a backend server list.
    fn apply_list(&self, snapshot: &Snapshot) {
        let age = millis(snapshot.read_at.elapsed());
        let read_at = self.now().saturating_sub(age);
        if let Ok(mut fleet) = self.fleet.lock() {
            let digest = self.list_digest.swap(snapshot.digest, Ordering::Relaxed);
            if digest == snapshot.digest {
                fleet.confirm(read_at);
            } else {
                for change in fleet.update(read_at, snapshot.servers.as_ref().clone()) {
                    tracing::info!(%change, age, "backend server list changed");
                }
                self.count_leaving(&fleet);
            }
        }
        self.list_read_at.send_replace(read_at);
        self.member.set_ready(self.is_ready());
    }

    /// Reads the backend server list from the platform while no fresh one is relayed.
    async fn poll_list(self: Arc<Self>) {
        let mut has_failed = false;
        loop {
            // The jitter keeps instances that lost the relay at the same time from reading the
            // list at the same time.
            let jitter = rand::rng().random_range(0.8..1.2);
            tokio::time::sleep(self.list_poll_pause().mul_f64(jitter)).await;
            if !self.needs_list_poll() {
                continue;
            }
            let succeeded = self.member.read_list(self.list.as_ref(), &mut has_failed).await;
            self.metrics.list_read(if succeeded { "read" } else { "failed" });
        }
    }

    /// Whether no control instance relays a sufficiently fresh list.
    fn needs_list_poll(&self) -> bool {
        if self.member.view.borrow().registry.revision == 0 {
            // Without a configuration the list is of no use; both are sent by control
            // instances.
            return false;
        }
        let view = self.member.servers.borrow();
        view.age().is_none_or(|age| age >= self.settings.list_max_age + view.read_time())
    }

    /// Returns the pause between two reads of the list by this entry.
    fn list_poll_pause(&self) -> Duration {
        let entries = self.member.view.borrow().roster.entries.len();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        self.settings.list_poll_interval * entries.div_ceil(self.settings.list_readers).max(1)
    }

    /// Removes idle connections that have expired or whose server is no longer listed.
    async fn expire_connections(self: Arc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let known: state::collections::Set<String> = match self.fleet.lock() {
                Ok(fleet) => fleet.iter().map(|server| server.listed.address.clone()).collect(),
                Err(_) => return,
            };
            self.pool.remove_expired(|address| known.contains(address));
            self.relays.remove_expired(|_| true);
        }
    }
}

async fn bind(address: &str) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| Error::new(format!("{address}: {error}")))
}
