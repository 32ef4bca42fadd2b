//! Leases, tickets and engine orders, as managed by the leader of the control journal.
//!
//! The leader grants leases, records the expiry of overdue ones, marks tickets as in force and
//! sends orders to engines. Every grant follows a read that a quorum has confirmed, so a leader
//! that has been replaced without noticing grants nothing.

use crate::backend::Client;
use crate::bounded::{self, REPORT_BYTES};
use crate::clock::Clock;
use crate::replica::{Handle, Outcome};
use coordination::lease::{Registry, Settings};
use coordination::retry::Bucket;
use protocol::backend::{self, Order};
use protocol::wire::{Grant, Report, Response};
use state::collections::{Map, Set};
use state::control::{Command, Config, Query, Reply, Snapshot, View};
use state::error::Kind;
use state::id::Holder;
use state::machine;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval between two rounds of the control loop.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of pending tickets checked in one round.
const MAX_TICKETS: usize = 256;

/// Number of weight loads that may start before the rate limit of the weight store applies: the
/// store serves this many loads at the same time.
const LOAD_BURST: f64 = 2.0;

/// Timeout of each request to an engine for its version or with an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// State of the leader in one term; a new term starts with fresh state.
struct Term {
    number: u64,
    /// Time at which this instance became the leader, in milliseconds of its clock.
    started_at: u64,
    /// Applied index at which `snapshot` was read.
    snapshot_index: Option<u64>,
    registry: Registry,
    snapshot: Arc<Snapshot>,
    /// Highest version of the control state that is in force.
    in_force: u64,
    /// Latest load report of each backend server, with the time at which the load was observed,
    /// in milliseconds of this instance's clock.
    reports: Map<String, (u64, Report)>,
    /// Rate limit of the weight store.
    load_limiter: Bucket,
    /// Backend servers with an order in progress.
    loading: Set<String>,
}

/// Control loop of an instance with a control replica; active only while that replica leads.
pub(crate) struct Controller {
    clock: Clock,
    settings: Settings,
    loads_per_second: f64,
    seed: Config,
    control: Handle,
    client: Client,
    term: Mutex<Option<Term>>,
}

impl Controller {
    pub(crate) fn new(
        settings: &protocol::settings::Settings,
        clock: Clock,
        control: Handle,
        client: Client,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            settings: settings.lease,
            loads_per_second: settings.platform.loads_per_second,
            seed: settings.seed.clone(),
            control,
            client,
            term: Mutex::new(None),
        })
    }

    /// Runs the control loop until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(ROUND_INTERVAL);
        loop {
            interval.tick().await;
            if self.enter_term() {
                self.refresh().await;
                self.expire().await;
                self.mark_tickets_in_force().await;
                self.send_orders().await;
            }
        }
    }

    /// Creates the state of a new term; returns `false` unless this instance is the leader.
    fn enter_term(&self) -> bool {
        let status = self.control.status.borrow().clone();
        let Ok(mut term) = self.term.lock() else {
            return false;
        };
        if !status.is_established {
            *term = None;
            return false;
        }
        if term.as_ref().is_none_or(|term| term.number != status.term) {
            let now = self.clock.now();
            *term = Some(Term {
                number: status.term,
                started_at: now,
                snapshot_index: None,
                registry: Registry::new(self.settings, now),
                snapshot: Arc::default(),
                in_force: 0,
                reports: Map::default(),
                load_limiter: Bucket::new(self.loads_per_second, LOAD_BURST, now),
                loading: Set::default(),
            });
        }
        true
    }

    fn with_term<T>(&self, action: impl FnOnce(&mut Term, u64) -> T) -> Option<T> {
        let mut term = self.term.lock().ok()?;
        let now = self.clock.now();
        term.as_mut().map(|term| action(term, now))
    }

    /// Reads the applied control state if it has changed, and seeds an empty one.
    ///
    /// The state may be stale on a leader that has been replaced, but commands proposed by such
    /// a leader are never committed.
    async fn refresh(&self) {
        let applied = self.control.status.borrow().applied;
        let is_unchanged = self.with_term(|term, _| term.snapshot_index == Some(applied));
        if is_unchanged != Some(false) {
            self.with_term(|term, now| {
                term.in_force = term.registry.in_force(now, &term.snapshot);
            });
            return;
        }
        let Ok(query) = machine::encode(&Query::Snapshot) else {
            return;
        };
        if let Some(View::Snapshot(snapshot)) = self.query_applied(query).await {
            let is_unseeded = snapshot.revision == 0 && snapshot.config == Config::default();
            if is_unseeded && self.seed != Config::default() {
                self.submit(&Command::Seed(self.seed.clone())).await;
            }
            self.with_term(|term, now| {
                term.snapshot = Arc::from(snapshot);
                term.snapshot_index = Some(applied);
                term.in_force = term.registry.in_force(now, &term.snapshot);
            });
        }
    }

    async fn query_applied(&self, query: Vec<u8>) -> Option<View> {
        match self.control.query_applied(query).await {
            Outcome::Data(view) => machine::decode(&view).ok(),
            _ => None,
        }
    }

    async fn query(&self, query: &Query) -> Option<View> {
        let query = machine::encode(query).ok()?;
        match self.control.query(query).await {
            Outcome::Data(view) => machine::decode(&view).ok(),
            _ => None,
        }
    }

    /// Returns the control state after a quorum has confirmed it.
    ///
    /// Only the version is read if the cached snapshot is the latest.
    async fn confirmed_snapshot(&self) -> Option<Arc<Snapshot>> {
        let Some(View::Version(version)) = self.query(&Query::Version).await else {
            return None;
        };
        let cached = self.with_term(|term, _| term.snapshot.clone())?;
        if cached.version == version {
            return Some(cached);
        }
        match self.query(&Query::Snapshot).await {
            Some(View::Snapshot(snapshot)) => Some(Arc::from(snapshot)),
            _ => None,
        }
    }

    async fn expire(&self) {
        let overdue = self.with_term(|term, now| term.registry.overdue(now, &term.snapshot));
        for holder in overdue.unwrap_or_default() {
            tracing::warn!(instance = holder.instance, epoch = holder.epoch, "lease expired");
            self.submit(&Command::Expire(holder)).await;
        }
    }

    async fn submit(&self, command: &Command) -> Option<Reply> {
        let command = machine::encode(command).ok()?;
        match self.control.submit(command.into()).await {
            Outcome::Data(reply) => machine::decode(&reply).ok(),
            _ => None,
        }
    }

    async fn mark_tickets_in_force(&self) {
        let Ok(query) = machine::encode(&Query::Pending { limit: MAX_TICKETS }) else {
            return;
        };
        let Some(View::Tickets(tickets)) = self.query_applied(query).await else {
            return;
        };
        let in_force = self.with_term(|term, _| term.in_force).unwrap_or(0);
        for (number, acceptance) in tickets {
            if acceptance.version <= in_force {
                tracing::info!(ticket = number, "ticket in force");
                self.submit(&Command::MarkInForce { number }).await;
            }
        }
    }

    /// Sends pending orders, one at a time per backend server, at the weight store's rate.
    ///
    /// A new leader sends no orders until all leases granted in earlier terms have expired.
    async fn send_orders(self: &Arc<Self>) {
        let lease_ms = self.settings.length_ms + self.settings.margin_ms;
        let can_order = self.with_term(|term, now| now >= term.started_at + lease_ms);
        if can_order != Some(true) {
            return;
        }
        let Ok(query) = machine::encode(&Query::Orders) else {
            return;
        };
        let Some(View::Orders(orders)) = self.query_applied(query).await else {
            return;
        };
        for (server, order) in orders.into_iter().filter(|(_, order)| !order.is_done) {
            let start = self.with_term(|term, now| {
                let address = term.snapshot.config.servers.get(&server)?.address.clone();
                if term.loading.contains(&server) || !term.load_limiter.take(now) {
                    return None;
                }
                term.loading.insert(server.clone());
                Some((term.number, address))
            });
            if let Some(Some((number, address))) = start {
                let fence = (number, order.number);
                let task = self.clone().execute_order(
                    server,
                    address,
                    Order { fence, version: order.version },
                );
                tokio::spawn(task);
            }
        }
    }

    async fn execute_order(self: Arc<Self>, server: String, address: String, order: Order) {
        let number = order.fence.1;
        let is_confirmed = self.place_order(&address, &order).await;
        tracing::info!(
            server,
            number,
            version = order.version,
            is_confirmed,
            "engine order processed"
        );
        if is_confirmed {
            self.submit(&Command::ConfirmOrder { server: server.clone(), number }).await;
        }
        self.with_term(|term, _| term.loading.remove(&server));
    }

    /// Sends the order unless the engine has already loaded its version.
    ///
    /// Returns whether the order is confirmed.
    async fn place_order(&self, address: &str, order: &Order) -> bool {
        let url = format!("http://{address}{}", backend::LOAD);
        let report = self.client.http.get(url).timeout(ORDER_TIMEOUT).send().await;
        if let Ok(response) = report
            && let mut grant = self.client.grant()
            && let Ok(report) =
                bounded::json::<backend::Report>(response, REPORT_BYTES, &mut grant).await
            && report.version == order.version
        {
            return true;
        }
        // The term may have ended while the engine was queried.
        let is_current = self.control.status.borrow().term == order.fence.0;
        if !is_current || !self.control.leads() {
            return false;
        }
        let url = format!("http://{address}{}", backend::ORDERS);
        let response = self.client.http.post(url).json(order).timeout(ORDER_TIMEOUT).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Grants or extends the lease of `holder`, whose control state has the given version.
    pub(crate) async fn renew(
        &self,
        holder: Holder,
        version: u64,
        reports: Vec<Report>,
    ) -> Response {
        let Some(snapshot) = self.confirmed_snapshot().await else {
            return Response::NotLeader(self.control.status.borrow().leader.clone());
        };
        if !snapshot.is_current(&holder) {
            return Response::LeaseRefused;
        }
        let length_ms = self.settings.length_ms;
        let grant = self.with_term(|term, now| {
            // A newer load report replaces the previous one of the same backend server.
            for report in reports {
                let observed_at = now.saturating_sub(report.age_ms);
                let is_newer =
                    term.reports.get(&report.server).is_none_or(|(at, _)| *at < observed_at);
                if is_newer {
                    term.reports.insert(report.server.clone(), (observed_at, report));
                }
            }
            if !term.registry.grant(now, &holder, version, snapshot.version) {
                return None;
            }
            let reports = term
                .reports
                .values()
                .map(|(at, report)| Report { age_ms: now - at, ..report.clone() })
                .collect();
            Some(Grant {
                length_ms,
                in_force: term.in_force,
                reports,
                snapshot: (snapshot.version > version).then(|| snapshot.as_ref().clone()),
            })
        });
        match grant {
            Some(Some(grant)) => Response::Granted(Box::new(grant)),
            Some(None) => Response::LeaseRefused,
            None => Response::NotLeader(None),
        }
    }

    /// Starts a new incarnation of an instance once no earlier one can hold a lease.
    pub(crate) async fn register(&self, command: Command) -> Response {
        if !self.control.leads() {
            return Response::NotLeader(self.control.status.borrow().leader.clone());
        }
        match self.submit(&command).await {
            Some(Reply::Registered { epoch }) => Response::Registered { epoch },
            Some(Reply::Refused(refusal)) if refusal.kind == Kind::Busy => Response::RetryLater,
            Some(_) => Response::LeaseRefused,
            None => Response::Unknown,
        }
    }

    /// Ends the lease that `holder` releases when it stops.
    pub(crate) async fn release_lease(&self, holder: Holder) -> Response {
        if !self.control.leads() {
            return Response::NotLeader(self.control.status.borrow().leader.clone());
        }
        self.with_term(|term, _| term.registry.release(&holder));
        match self.submit(&Command::Expire(holder)).await {
            Some(_) => Response::Done,
            None => Response::Unknown,
        }
    }

    /// Remaining time of each lease, in milliseconds; empty unless this instance leads.
    pub(crate) fn leases(&self) -> Vec<(String, u64)> {
        let remaining = self.with_term(|term, now| term.registry.remaining(now, &term.snapshot));
        remaining.unwrap_or_default()
    }
}
