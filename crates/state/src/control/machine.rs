//! The state machine of the control journal.
//!
//! Applies commands to tickets, instances, quarantine and orders, and increments the
//! snapshot's version with each change that instances must apply.

use crate::control::command::{Command, Query, Reply, View};
use crate::control::config::{Config, Role};
use crate::control::snapshot::{Instance, Order, Quarantine, Snapshot, Standing, Trial};
use crate::control::ticket::{Acceptance, Target, Ticket};
use crate::error::{Kind, Storage};
use crate::id::{Digest, Holder};
use crate::machine::{self, Export, StateMachine};
use crate::program::Refusal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of backend server crashes after which the content that was executed is quarantined.
pub const CRASH_LIMIT: usize = 2;

/// Maximum number of accepted tickets whose records are retained; a resent ticket whose record
/// was removed is refused as stale.
const MAX_RETAINED_TICKETS: usize = 20_000;

/// State of the control journal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Control {
    snapshot: Snapshot,
    tickets: BTreeMap<u64, Acceptance>,
    /// Number of the last ticket that changed an object, also if the object was removed.
    last_numbers: BTreeMap<Target, u64>,
    orders: BTreeMap<String, Order>,
    last_order: u64,
    last_epoch: u64,
}

impl Control {
    /// Control state that entry instances act on.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Records of accepted tickets, by number.
    pub fn tickets(&self) -> &BTreeMap<u64, Acceptance> {
        &self.tickets
    }

    /// Latest order to each backend server, by name.
    pub fn orders(&self) -> &BTreeMap<String, Order> {
        &self.orders
    }

    /// Applies one command.
    pub fn execute(&mut self, command: Command) -> Reply {
        match command {
            Command::Seed(config) => self.seed(config),
            Command::Ticket { ticket, now_ms } => self.ticket(&ticket, now_ms),
            Command::MarkInForce { number } => self.mark_in_force(number),
            Command::Register { instance, nonce, address, failure_domain } => {
                self.register(&instance, nonce, address, failure_domain)
            }
            Command::Expire(holder) => self.expire(&holder),
            Command::Drain { instance, is_draining } => self.drain(&instance, is_draining),
            Command::ReportCrash { digest, server, incarnation, now_ms, quarantine_ms } => {
                self.report_crash(digest, (server, incarnation), now_ms, quarantine_ms)
            }
            Command::Trial { digest, server, holder } => self.start_trial(digest, server, holder),
            Command::EndTrial { digest, holder, is_cleared } => {
                self.end_trial(&digest, &holder, is_cleared)
            }
            Command::LiftQuarantine(digest) => self.lift_quarantine(&digest),
            Command::ConfirmOrder { server, number } => self.confirm_order(&server, number),
        }
    }

    fn seed(&mut self, config: Config) -> Reply {
        if self.snapshot.revision > 0 || self.snapshot.config != Config::default() {
            return Reply::Done;
        }
        self.replace_config(config);
        Reply::Done
    }

    fn ticket(&mut self, ticket: &Ticket, now_ms: u64) -> Reply {
        let digest = match machine::encode(&ticket.changes) {
            Ok(bytes) => Digest::of(&bytes),
            Err(error) => return refused(Kind::Malformed, error.to_string()),
        };
        if let Some(existing) = self.tickets.get(&ticket.number) {
            if existing.digest == digest {
                return Reply::Accepted(existing.clone());
            }
            let detail = format!("ticket {} was accepted with other content", ticket.number);
            return refused(Kind::Conflict, detail);
        }
        if let Err(refusal) = self.check(ticket) {
            return Reply::Refused(refusal);
        }
        let mut config = self.snapshot.config.clone();
        ticket.changes.iter().for_each(|change| config.apply(change));
        let errors = config.validation_errors();
        if !errors.is_empty() {
            return refused(Kind::Invalid, errors.join("; "));
        }
        self.replace_config(config);
        self.snapshot.revision += 1;
        Reply::Accepted(self.record(ticket, digest, now_ms))
    }

    fn check(&self, ticket: &Ticket) -> Result<(), Refusal> {
        if ticket.changes.is_empty() {
            return Err(refusal(Kind::Invalid, "the ticket changes no object".into()));
        }
        let mut targets: Vec<Target> = ticket.changes.iter().map(|c| c.target()).collect();
        targets.sort();
        if let Some(pair) = targets.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(refusal(Kind::Invalid, format!("{:?} is changed twice", pair[0])));
        }
        let latest = targets.iter().filter_map(|target| self.last_numbers.get(target)).max();
        match latest {
            Some(latest) if *latest >= ticket.number => Err(refusal(
                Kind::Stale,
                format!(
                    "ticket {} is not above {latest}, the last ticket of its objects",
                    ticket.number
                ),
            )),
            _ => Ok(()),
        }
    }

    fn record(&mut self, ticket: &Ticket, digest: Digest, now_ms: u64) -> Acceptance {
        let targets: Vec<Target> = ticket.changes.iter().map(|c| c.target()).collect();
        for target in &targets {
            self.last_numbers.insert(target.clone(), ticket.number);
        }
        let record = Acceptance {
            digest,
            version: self.snapshot.version,
            is_in_force: false,
            accepted_ms: now_ms,
            targets,
        };
        self.tickets.insert(ticket.number, record.clone());
        while self.tickets.len() > MAX_RETAINED_TICKETS {
            self.tickets.pop_first();
        }
        record
    }

    /// Sets the configuration and increments the version; ends a trial whose backend server was
    /// removed.
    fn replace_config(&mut self, config: Config) {
        self.snapshot.config = config;
        self.snapshot.version += 1;
        let trial_server = self.snapshot.trial.as_ref().map(|trial| trial.server.clone());
        if trial_server.is_some_and(|name| !self.snapshot.config.servers.contains_key(&name)) {
            self.snapshot.trial = None;
        }
        self.plan_orders();
    }

    /// Maintains one order for each engine: creates a new one when the version to load changes.
    fn plan_orders(&mut self) {
        let config = &self.snapshot.config;
        self.orders.retain(|server, _| config.servers.contains_key(server));
        for (name, server) in &config.servers {
            let Some(service) = config.services.get(&server.service) else {
                continue;
            };
            let needs_order = service.role == Role::Engine && !service.version.is_empty();
            let is_current = self.orders.get(name).is_some_and(|o| o.version == service.version);
            if !needs_order || is_current {
                continue;
            }
            self.last_order += 1;
            let order =
                Order { number: self.last_order, version: service.version.clone(), is_done: false };
            self.orders.insert(name.clone(), order);
        }
    }

    fn mark_in_force(&mut self, number: u64) -> Reply {
        match self.tickets.get_mut(&number) {
            Some(record) => {
                record.is_in_force = true;
                Reply::Accepted(record.clone())
            }
            None => refused(Kind::NotFound, format!("no ticket {number}")),
        }
    }

    fn register(
        &mut self,
        name: &str,
        nonce: u64,
        address: String,
        failure_domain: String,
    ) -> Reply {
        if let Some(existing) = self.snapshot.instances.get(name) {
            let is_expired = existing.standing == Standing::Expired;
            if existing.nonce == nonce && !is_expired {
                return Reply::Registered { epoch: existing.epoch };
            }
            if !is_expired {
                let detail = format!("instance {name} may still hold a lease");
                return refused(Kind::Busy, detail);
            }
        }
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let standing = Standing::Live;
        let instance = Instance { epoch, nonce, address, failure_domain, standing };
        self.snapshot.instances.insert(name.to_owned(), instance);
        self.snapshot.version += 1;
        Reply::Registered { epoch }
    }

    fn expire(&mut self, holder: &Holder) -> Reply {
        let Some(instance) = self.snapshot.instances.get_mut(&holder.instance) else {
            return Reply::Done;
        };
        if instance.epoch == holder.epoch && instance.standing != Standing::Expired {
            instance.standing = Standing::Expired;
            self.snapshot.version += 1;
        }
        if self.snapshot.trial.as_ref().is_some_and(|trial| trial.holder == *holder) {
            self.snapshot.trial = None;
        }
        Reply::Done
    }

    fn drain(&mut self, name: &str, is_draining: bool) -> Reply {
        let Some(instance) = self.snapshot.instances.get_mut(name) else {
            return refused(Kind::NotFound, format!("no instance {name}"));
        };
        let standing = if is_draining { Standing::Draining } else { Standing::Live };
        if instance.standing != Standing::Expired && instance.standing != standing {
            instance.standing = standing;
            self.snapshot.version += 1;
        }
        Reply::Done
    }

    fn report_crash(
        &mut self,
        digest: Digest,
        incarnation: (String, u64),
        now_ms: u64,
        quarantine_ms: u64,
    ) -> Reply {
        self.snapshot.quarantine.retain(|_, quarantine| quarantine.until_ms > now_ms);
        if self.snapshot.quarantine.contains_key(&digest) {
            return Reply::Quarantined;
        }
        let crashes = self.snapshot.suspects.entry(digest).or_default();
        if !crashes.insert(incarnation) {
            return Reply::Done;
        }
        self.snapshot.version += 1;
        if crashes.len() < CRASH_LIMIT {
            return Reply::Done;
        }
        let servers = crashes.iter().map(|(server, _)| server.clone()).collect();
        let until_ms = now_ms.saturating_add(quarantine_ms);
        self.snapshot.quarantine.insert(digest, Quarantine { servers, until_ms });
        self.snapshot.suspects.remove(&digest);
        Reply::Quarantined
    }

    fn start_trial(&mut self, digest: Digest, server: String, holder: Holder) -> Reply {
        if self.snapshot.quarantine.contains_key(&digest) {
            return Reply::Quarantined;
        }
        if let Some(trial) = &self.snapshot.trial {
            if trial.digest == digest && trial.holder == holder {
                return Reply::Done;
            }
            return refused(Kind::Busy, "another trial is in progress".into());
        }
        self.snapshot.version += 1;
        let version = self.snapshot.version;
        self.snapshot.trial = Some(Trial { digest, server, holder, version });
        Reply::Done
    }

    fn end_trial(&mut self, digest: &Digest, holder: &Holder, is_cleared: bool) -> Reply {
        let is_match = |trial: &Trial| trial.digest == *digest && trial.holder == *holder;
        if !self.snapshot.trial.as_ref().is_some_and(is_match) {
            return Reply::Done;
        }
        self.snapshot.trial = None;
        if is_cleared {
            self.snapshot.suspects.remove(digest);
        }
        self.snapshot.version += 1;
        Reply::Done
    }

    fn lift_quarantine(&mut self, digest: &Digest) -> Reply {
        let is_quarantined = self.snapshot.quarantine.remove(digest).is_some();
        let is_suspect = self.snapshot.suspects.remove(digest).is_some();
        if !is_quarantined && !is_suspect {
            return refused(
                Kind::NotFound,
                format!("content {digest} is neither quarantined nor suspect"),
            );
        }
        self.snapshot.version += 1;
        Reply::Done
    }

    fn confirm_order(&mut self, server: &str, number: u64) -> Reply {
        if let Some(order) = self.orders.get_mut(server) {
            order.is_done |= order.number == number;
        }
        Reply::Done
    }

    /// Answers one query.
    pub fn view(&self, query: &Query) -> View {
        match query {
            Query::Snapshot => View::Snapshot(Box::new(self.snapshot.clone())),
            Query::Version => View::Version(self.snapshot.version),
            Query::Tickets { after, limit } => View::Tickets(
                self.tickets
                    .range(after.saturating_add(1)..)
                    .take(*limit)
                    .map(|(number, record)| (*number, record.clone()))
                    .collect(),
            ),
            Query::Pending { limit } => View::Tickets(
                self.tickets
                    .iter()
                    .filter(|(_, record)| !record.is_in_force)
                    .take(*limit)
                    .map(|(number, record)| (*number, record.clone()))
                    .collect(),
            ),
            Query::Orders => View::Orders(self.orders.clone()),
        }
    }
}

impl StateMachine for Control {
    fn apply(&mut self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let reply = self.execute(machine::decode(data)?);
        machine::encode(&reply)
    }

    fn query(&self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        machine::encode(&self.view(&machine::decode(data)?))
    }

    fn reset(&mut self) -> Result<(), Storage> {
        *self = Self::default();
        Ok(())
    }

    fn save(&mut self) -> Result<Vec<u8>, Storage> {
        machine::encode(self)
    }

    fn load(&mut self, saved: &[u8]) -> Result<(), Storage> {
        *self = machine::decode(saved)?;
        Ok(())
    }

    fn export(&self) -> Result<Box<dyn Export>, Storage> {
        Ok(Box::new(machine::encode(self)?))
    }

    fn dump(&self) -> String {
        format!(
            "{{\"version\":{},\"revision\":{},\"tickets\":{},\"instances\":{},\"quarantined\":{}}}",
            self.snapshot.version,
            self.snapshot.revision,
            self.tickets.len(),
            self.snapshot.instances.len(),
            self.snapshot.quarantine.len()
        )
    }
}

fn refusal(kind: Kind, detail: String) -> Refusal {
    Refusal { kind, detail }
}

fn refused(kind: Kind, detail: String) -> Reply {
    Reply::Refused(refusal(kind, detail))
}
