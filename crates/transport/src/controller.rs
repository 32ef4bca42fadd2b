//! Duties of the control journal's leader.
//!
//! It grants leases, expires the ones that are over, records when a ticket is in force
//! and sends orders to engines. Every grant follows a read that a quorum confirmed, so a
//! leader that was replaced without knowing grants nothing.

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

/// Time between two rounds of duties.
const ROUND: Duration = Duration::from_millis(20);

/// Tickets looked at in one round.
const TICKETS: usize = 256;

/// Loads at a time that the weight store serves.
const LOAD_BURST: f64 = 2.0;

/// Time for an engine to confirm an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// State that lasts for one term.
struct Term {
    number: u64,
    since: u64,
    /// Applied index of the snapshot below.
    refreshed: Option<u64>,
    registry: Registry,
    snapshot: Arc<Snapshot>,
    in_force: u64,
    reports: Map<String, (u64, Report)>,
    loads: Bucket,
    loading: Set<String>,
}

/// The control leader's side of leases and tickets, on each replica instance.
pub(crate) struct Controller {
    clock: Clock,
    settings: Settings,
    loads_per_second: f64,
    seed: Config,
    control: Handle,
    client: reqwest::Client,
    term: Mutex<Option<Term>>,
}

impl Controller {
    pub(crate) fn new(
        settings: &protocol::settings::Settings,
        clock: Clock,
        control: Handle,
        client: reqwest::Client,
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

    /// Performs the duties until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(ROUND);
        loop {
            interval.tick().await;
            if self.enter_term() {
                self.refresh().await;
                self.expire().await;
                self.confirm_tickets().await;
                self.send_orders().await;
            }
        }
    }

    /// Starts fresh state for a new term; `false` if another instance leads.
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
                since: now,
                refreshed: None,
                registry: Registry::new(self.settings, now),
                snapshot: Arc::default(),
                in_force: 0,
                reports: Map::default(),
                loads: Bucket::new(self.loads_per_second, LOAD_BURST, now),
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

    /// Reads the applied control state, if it has changed.
    ///
    /// It may be stale on a leader that was replaced, but what such a leader proposes is
    /// never committed.
    async fn refresh(&self) {
        let applied = self.control.status.borrow().applied;
        let is_known = self.with_term(|term, _| term.refreshed == Some(applied));
        if is_known != Some(false) {
            self.with_term(|term, now| {
                term.in_force = term.registry.in_force(now, &term.snapshot);
            });
            return;
        }
        let Ok(query) = machine::encode(&Query::Snapshot) else {
            return;
        };
        if let Some(View::Snapshot(snapshot)) = self.peek(query).await {
            let is_new = snapshot.revision == 0 && snapshot.config == Config::default();
            if is_new && self.seed != Config::default() {
                self.submit(&Command::Seed(self.seed.clone())).await;
            }
            self.with_term(|term, now| {
                term.snapshot = Arc::from(snapshot);
                term.refreshed = Some(applied);
                term.in_force = term.registry.in_force(now, &term.snapshot);
            });
        }
    }

    async fn peek(&self, query: Vec<u8>) -> Option<View> {
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

    /// The control state as a quorum has just confirmed it.
    ///
    /// Only its version is read while the one at hand is the newest.
    async fn confirmed(&self) -> Option<Arc<Snapshot>> {
        let Some(View::Version(version)) = self.query(&Query::Version).await else {
            return None;
        };
        let known = self.with_term(|term, _| term.snapshot.clone())?;
        if known.version == version {
            return Some(known);
        }
        match self.query(&Query::Snapshot).await {
            Some(View::Snapshot(snapshot)) => Some(Arc::from(snapshot)),
            _ => None,
        }
    }

    async fn expire(&self) {
        let overdue = self.with_term(|term, now| term.registry.overdue(now, &term.snapshot));
        for holder in overdue.unwrap_or_default() {
            tracing::warn!(instance = holder.instance, epoch = holder.epoch, "lease is over");
            self.submit(&Command::Expire(holder)).await;
        }
    }

    async fn submit(&self, command: &Command) -> Option<Reply> {
        let command = machine::encode(command).ok()?;
        match self.control.submit(command).await {
            Outcome::Data(reply) => machine::decode(&reply).ok(),
            _ => None,
        }
    }

    async fn confirm_tickets(&self) {
        let Ok(query) = machine::encode(&Query::Pending { limit: TICKETS }) else {
            return;
        };
        let Some(View::Tickets(tickets)) = self.peek(query).await else {
            return;
        };
        let in_force = self.with_term(|term, _| term.in_force).unwrap_or(0);
        for (number, recorded) in tickets {
            if recorded.version <= in_force {
                tracing::info!(ticket = number, "ticket in force");
                self.submit(&Command::MarkInForce { number }).await;
            }
        }
    }

    /// Sends each pending order once at a time, at the weight store's rate.
    async fn send_orders(self: &Arc<Self>) {
        let lease = self.settings.length_ms + self.settings.margin_ms;
        let may_order = self.with_term(|term, now| now >= term.since + lease);
        if may_order != Some(true) {
            return;
        }
        let Ok(query) = machine::encode(&Query::Orders) else {
            return;
        };
        let Some(View::Orders(orders)) = self.peek(query).await else {
            return;
        };
        for (server, order) in orders.into_iter().filter(|(_, order)| !order.is_done) {
            let start = self.with_term(|term, now| {
                let address = term.snapshot.config.servers.get(&server)?.address.clone();
                if term.loading.contains(&server) || !term.loads.take(now) {
                    return None;
                }
                term.loading.insert(server.clone());
                Some((term.number, address))
            });
            if let Some(Some((number, address))) = start {
                let fence = (number, order.number);
                let task =
                    self.clone().order(server, address, Order { fence, version: order.version });
                tokio::spawn(task);
            }
        }
    }

    async fn order(self: Arc<Self>, server: String, address: String, order: Order) {
        let number = order.fence.1;
        let is_confirmed = self.place_order(&address, &order).await;
        tracing::info!(server, number, version = order.version, is_confirmed, "order to engine");
        if is_confirmed {
            self.submit(&Command::ConfirmOrder { server: server.clone(), number }).await;
        }
        self.with_term(|term, _| term.loading.remove(&server));
    }

    /// Reads back what the engine has, and orders only what differs.
    async fn place_order(&self, address: &str, order: &Order) -> bool {
        let url = format!("http://{address}{}", backend::LOAD);
        let report = self.client.get(url).timeout(ORDER_TIMEOUT).send().await;
        if let Ok(response) = report
            && let Ok(report) = response.json::<backend::Report>().await
            && report.version == order.version
        {
            return true;
        }
        // The term may have ended while the engine was asked.
        let is_current = self.control.status.borrow().term == order.fence.0;
        if !is_current || !self.control.leads() {
            return false;
        }
        let url = format!("http://{address}{}", backend::ORDERS);
        let answer = self.client.post(url).json(order).timeout(ORDER_TIMEOUT).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Grants or extends a lease.
    pub(crate) async fn renew(
        &self,
        holder: Holder,
        version: u64,
        reports: Vec<Report>,
    ) -> Response {
        let Some(snapshot) = self.confirmed().await else {
            return Response::NotLeader(self.control.status.borrow().leader.clone());
        };
        if !snapshot.is_current(&holder) {
            return Response::Expelled;
        }
        let length_ms = self.settings.length_ms;
        let grant = self.with_term(|term, now| {
            // The report of a steward replaces the older one of the same backend server.
            for report in reports {
                let taken = now.saturating_sub(report.age_ms);
                let is_newer = term.reports.get(&report.server).is_none_or(|(at, _)| *at < taken);
                if is_newer {
                    term.reports.insert(report.server.clone(), (taken, report));
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
            Some(None) => Response::Expelled,
            None => Response::NotLeader(None),
        }
    }

    /// Starts a new life of an instance once no older one can hold a lease.
    pub(crate) async fn register(&self, command: Command) -> Response {
        if !self.control.leads() {
            return Response::NotLeader(self.control.status.borrow().leader.clone());
        }
        match self.submit(&command).await {
            Some(Reply::Registered { epoch }) => Response::Registered { epoch },
            Some(Reply::Refused(refusal)) if refusal.kind == Kind::Busy => Response::Wait,
            Some(_) => Response::Expelled,
            None => Response::Unknown,
        }
    }

    /// Ends a lease that its holder gave back.
    pub(crate) async fn leave(&self, holder: Holder) -> Response {
        if !self.control.leads() {
            return Response::NotLeader(self.control.status.borrow().leader.clone());
        }
        self.with_term(|term, _| term.registry.release(&holder));
        match self.submit(&Command::Expire(holder)).await {
            Some(_) => Response::Done,
            None => Response::Unknown,
        }
    }

    /// Time left of each lease, in milliseconds, if this instance leads.
    pub(crate) fn leases(&self) -> Vec<(String, u64)> {
        let remaining = self.with_term(|term, now| term.registry.remaining(now, &term.snapshot));
        remaining.unwrap_or_default()
    }
}
