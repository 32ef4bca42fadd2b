//! Deterministic simulation of a deployment: hosts, network, clock, backend servers and callers.
//!
//! All randomness comes from one seed, so a failure is reproduced by its seed.

use super::backends::{Backend, CRASH, Execution, HANG, LOSE_ANSWER, answer_of, content_contains};
use super::callers::Caller;
use super::host::{CONTROL, Group, Host, LEASE, Outbox, Reply, Rpc, SHARD, new_entry};
use coordination::Millis;
use coordination::consensus::{Id, Members, Message, Peer};
use coordination::entry::{self, Dispatch, Failure, Input, Load, Output, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use state::budget::Amount;
use state::collections::{Map, Set};
use state::control::{self, Command, Config, Deployment, Role, Server, Service, Weights};
use state::journal::Recovery;
use state::{id, machine, program};
use std::collections::BTreeMap;

/// Interval of the timer of all hosts.
const TICK_MS: Millis = 10;

/// Time after which an unanswered request to a journal is sent to the next host.
const RPC_TIMEOUT_MS: Millis = 250;

/// Time after which a request to a journal fails.
const RPC_DEADLINE_MS: Millis = 1_500;

/// Time after which a caller resends an unanswered call.
const RESEND_MS: Millis = 1_500;

/// A time that is not reached.
const NEVER: Millis = Millis::MAX;

/// Seeds of a test: those of the variable `SEEDS=A..B`, or `count` seeds from `first`.
pub(crate) fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let from_environment = std::env::var("SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    from_environment.unwrap_or(first..first + count)
}

/// What happens at a point of the simulated time.
enum Event {
    Tick,
    Consensus {
        group: usize,
        from: Id,
        to_host: usize,
        to: Id,
        message: Message,
    },
    Rpc {
        group: usize,
        to_host: usize,
        origin: (usize, u64),
        rpc: Rpc,
    },
    Reply {
        to_host: usize,
        number: u64,
        reply: Reply,
    },
    Input {
        host: usize,
        incarnation: u32,
        input: Box<Input>,
    },
    Execute {
        server: String,
        host: usize,
        incarnation: u32,
        dispatch: Box<Dispatch>,
        part: u32,
        server_incarnation: u64,
    },
    Call {
        host: usize,
        caller: usize,
    },
    Answer {
        caller: usize,
        answer: entry::Answer,
    },
}

/// What the reply to a request to a journal is for.
enum Purpose {
    Submit(u64),
    Load(u64, usize),
    Control(u64),
    Renew { sent: Millis },
    Register,
    Open(usize),
    Close(usize),
    Ticket(u64),
    Ignored,
}

/// A request to a journal that has not been answered.
struct Pending {
    host: usize,
    incarnation: u32,
    group: usize,
    rpc: Rpc,
    purpose: Purpose,
    target: usize,
    attempted_at: Millis,
    started_at: Millis,
}

/// State of the simulation, with the records that the checks read.
pub(crate) struct Simulation {
    pub(crate) now: Millis,
    pub(crate) rng: StdRng,
    queue: BTreeMap<(Millis, u64), Event>,
    sequence: u64,
    pub(crate) hosts: Vec<Host>,
    pub(crate) backends: BTreeMap<String, Backend>,
    pub(crate) ledger: Vec<Execution>,
    /// When each backend server received a request, accepted or not.
    pub(crate) received: Vec<(Millis, String)>,
    pub(crate) callers: Vec<Caller>,
    /// Directed pairs of hosts between which messages are lost.
    pub(crate) partitions: Set<(usize, usize)>,
    /// Whether messages are sometimes duplicated.
    pub(crate) duplicates: bool,
    /// When a ticket was reported in force, and the backend server that it forbids.
    pub(crate) in_force: Vec<(Millis, String)>,
    pub(crate) ticket_replies: Vec<(u64, control::Reply)>,
    pub(crate) releases_fail: bool,
    pub(crate) crashes: u32,
    pub(crate) trace: Vec<String>,
    pending: BTreeMap<u64, Pending>,
    next_rpc: u64,
    waiters: Map<(usize, u32, u64), usize>,
    next_request_id: u64,
}

/// Backend servers and placement rules of the simulation.
pub(crate) fn config() -> Config {
    let server = |service: &str, domain: &str| Server {
        service: service.into(),
        address: "127.0.0.1:1".into(),
        failure_domain: domain.into(),
        slots: 4,
        checks_fencing: true,
    };
    let service = |role, can_look_up| Service {
        role,
        version: String::new(),
        is_urgent: false,
        can_look_up,
        timeout_ms: 1_000,
        prompt_bytes_per_token: 1,
    };
    let servers: BTreeMap<String, Server> = [
        ("m1".into(), server("model", "a")),
        ("m2".into(), server("model", "b")),
        ("m3".into(), server("model", "c")),
        ("t1".into(), server("tool", "a")),
        ("t2".into(), server("tool", "b")),
        ("d1".into(), server("desk", "c")),
    ]
    .into();
    let deployment = Deployment {
        servers: servers.keys().cloned().collect(),
        failure_domains: ["a", "b", "c"].map(String::from).to_vec(),
        labels: BTreeMap::new(),
        cap: Amount { tokens: 1_000_000, calls: 1_000, cost: 1_000_000 },
        weights: Weights { latency: 1, cache: 1 },
    };
    Config {
        deployments: [("dep".to_owned(), deployment)].into(),
        services: [
            ("model".to_owned(), service(Role::Engine, false)),
            ("tool".to_owned(), service(Role::Tool, false)),
            ("desk".to_owned(), service(Role::Tool, true)),
        ]
        .into(),
        servers,
    }
}

impl Simulation {
    /// Creates five hosts, the first three with disks, and the backend servers of [`config`], and
    /// runs until each host has the configuration.
    pub(crate) fn new(seed: u64) -> Self {
        let mut sim = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            hosts: Vec::new(),
            backends: BTreeMap::new(),
            ledger: Vec::new(),
            received: Vec::new(),
            callers: Vec::new(),
            partitions: Set::default(),
            duplicates: false,
            in_force: Vec::new(),
            ticket_replies: Vec::new(),
            releases_fail: false,
            crashes: 0,
            trace: Vec::new(),
            pending: BTreeMap::new(),
            next_rpc: 0,
            waiters: Map::default(),
            next_request_id: 0,
        };
        for at in 0..5 {
            let seed = sim.rng.random();
            sim.hosts.push(Host {
                name: format!("h{at}"),
                is_alive: true,
                frozen_until: 0,
                incarnation: 0,
                entry: new_entry(seed),
                holder: None,
                renew_due: 0,
                is_renewing: false,
                groups: Vec::new(),
                has_disk: at < 3,
                initial_members: Members::default(),
                id: 0,
                registry: None,
            });
        }
        for at in 0..3 {
            sim.start_groups(at, Vec::new());
        }
        for name in config().servers.into_keys() {
            sim.backends.insert(name, Backend { incarnation: 1, ..Backend::default() });
        }
        let seed = machine::encode(&Command::Seed(config())).unwrap();
        sim.send_rpc(4, CONTROL, Rpc::Submit(seed), Purpose::Ignored);
        sim.push(TICK_MS, Event::Tick);
        sim.run_until(3_000, |sim| sim.hosts.iter().all(|h| h.entry.version() > 5));
        sim
    }

    fn log(&mut self, text: String) {
        self.trace.push(format!("{:>7} {text}", self.now));
    }

    fn push(&mut self, delay: Millis, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn latency(&mut self) -> Millis {
        self.rng.random_range(1..=3)
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        from == to || !self.partitions.contains(&(from, to))
    }

    fn is_up(&self, host: usize) -> bool {
        self.hosts[host].is_alive
    }

    /// Runs until `done` holds or `limit` milliseconds have passed; `true` if it held.
    pub(crate) fn run_until(&mut self, limit: Millis, done: impl Fn(&Simulation) -> bool) -> bool {
        let end = self.now + limit;
        while !done(self) {
            let Some(((at, _), event)) = self.queue.pop_first() else {
                return false;
            };
            self.now = at;
            if at > end {
                self.push(0, event);
                return done(self);
            }
            self.handle(event);
        }
        true
    }

    pub(crate) fn run_for(&mut self, time: Millis) {
        self.run_until(time, |_| false);
    }

    /// Returns the event if the host can handle it now. An event for a frozen host is delayed
    /// until the freeze ends, and an event for a killed host is dropped.
    fn deliver(&mut self, host: usize, event: Event) -> Option<Event> {
        if !self.is_up(host) {
            return None;
        }
        let frozen_until = self.hosts[host].frozen_until;
        if frozen_until > self.now {
            let delay = frozen_until - self.now;
            self.push(delay, event);
            return None;
        }
        Some(event)
    }

    fn handle(&mut self, event: Event) {
        let host = match &event {
            Event::Consensus { to_host, .. }
            | Event::Rpc { to_host, .. }
            | Event::Reply { to_host, .. } => Some(*to_host),
            Event::Input { host, .. } | Event::Call { host, .. } => Some(*host),
            Event::Tick | Event::Execute { .. } | Event::Answer { .. } => None,
        };
        let event = match host {
            Some(host) => match self.deliver(host, event) {
                Some(event) => event,
                None => return,
            },
            None => event,
        };
        match event {
            Event::Tick => self.tick(),
            Event::Consensus { group, from, to_host, to, message } => {
                let now = self.now;
                let groups = &mut self.hosts[to_host].groups;
                if let Some(state) = groups.get_mut(group).filter(|g| g.id == to && !g.is_stopped) {
                    state.replica.receive(now, from, message);
                    self.process_ready(to_host, group);
                }
            }
            Event::Rpc { group, to_host, origin, rpc } => self.on_rpc(group, to_host, origin, rpc),
            Event::Reply { to_host, number, reply } => self.on_reply(to_host, number, reply),
            Event::Input { host, incarnation, input }
                if self.hosts[host].incarnation == incarnation =>
            {
                self.step_entry(host, *input)
            }
            Event::Input { .. } => {}
            Event::Execute { server, host, incarnation, dispatch, part, server_incarnation } => {
                self.on_execute(&server, host, incarnation, &dispatch, part, server_incarnation);
            }
            Event::Call { host, caller } => self.on_call(host, caller),
            Event::Answer { caller, answer } => {
                if self.callers[caller].accept(&answer) {
                    let (call, executed, kind) =
                        (&answer.call, answer.executed, answer.error.as_ref().map(|e| e.kind));
                    let text = format!("caller received {call} {executed:?} {kind:?}");
                    self.log(text);
                    self.callers[caller].resend_at = self.now;
                }
            }
        }
    }

    fn tick(&mut self) {
        self.push(TICK_MS, Event::Tick);
        for host in 0..self.hosts.len() {
            if !self.is_up(host) || self.hosts[host].frozen_until > self.now {
                continue;
            }
            let now = self.now;
            for group in 0..self.hosts[host].groups.len() {
                self.hosts[host].groups[group].replica.tick(now);
                self.process_ready(host, group);
            }
            self.run_leader_duties(host);
            self.request_join(host);
            self.report_loads(host);
            self.step_entry(host, Input::Tick);
            self.renew(host);
        }
        self.retry_rpcs();
        (0..self.callers.len()).for_each(|caller| self.advance_caller(caller));
    }

    fn process_ready(&mut self, host: usize, group: usize) {
        let mut out = Outbox::default();
        let (now, state) = (self.now, &mut self.hosts[host].groups[group]);
        state.process_ready(now, &mut out);
        let from = state.id;
        self.send_outbox(host, group, from, out);
    }

    fn send_outbox(&mut self, host: usize, group: usize, from: Id, out: Outbox) {
        for (to, message) in out.messages {
            let target =
                self.hosts.iter().position(|h| h.groups.get(group).is_some_and(|g| g.id == to));
            let Some(to_host) = target.filter(|to_host| self.can_reach(host, *to_host)) else {
                continue;
            };
            let copies = if self.duplicates && self.rng.random_bool(0.1) { 2 } else { 1 };
            for _ in 0..copies {
                let delay = self.latency();
                self.push(
                    delay,
                    Event::Consensus { group, from, to_host, to, message: message.clone() },
                );
            }
        }
        for (origin, rpc, data) in out.replies {
            let reply = self.build_reply(host, &rpc, data);
            self.send_reply(host, origin, reply);
        }
    }

    /// Reply of a journal to a request, from the result of its command or query.
    fn build_reply(&mut self, host: usize, rpc: &Rpc, data: Option<Vec<u8>>) -> Reply {
        let (Rpc::Renew { holder, version }, Some(_)) = (rpc, &data) else {
            return data.map_or(Reply::NotLeader, Reply::Data);
        };
        let now = self.now;
        let state = &mut self.hosts[host];
        let view = state.groups[CONTROL]
            .machine
            .query(&machine::encode(&control::Query::Snapshot).unwrap());
        let Ok(control::View::Snapshot(snapshot)) = machine::decode(&view.unwrap()) else {
            return Reply::NotLeader;
        };
        if !snapshot.is_current(holder) {
            return Reply::LeaseRefused;
        }
        let Some(registry) = state.registry(now) else {
            return Reply::NotLeader;
        };
        if !registry.grant(now, holder, *version, snapshot.version) {
            return Reply::LeaseRefused;
        }
        let in_force = registry.in_force(now, &snapshot);
        Reply::Granted { snapshot, in_force }
    }

    fn send_reply(&mut self, host: usize, (to_host, number): (usize, u64), reply: Reply) {
        if self.can_reach(host, to_host) {
            let delay = self.latency();
            self.push(delay, Event::Reply { to_host, number, reply });
        }
    }

    fn on_rpc(&mut self, group: usize, host: usize, origin: (usize, u64), rpc: Rpc) {
        let now = self.now;
        let Some(state) = self.hosts[host].groups.get_mut(group).filter(|g| !g.is_stopped) else {
            self.send_reply(host, origin, Reply::NotLeader);
            return;
        };
        let (mut out, from) = (Outbox::default(), state.id);
        state.handle_rpc(now, origin, rpc, &mut out);
        state.process_ready(now, &mut out);
        self.send_outbox(host, group, from, out);
    }

    /// Sends a request to a journal, to a random host first.
    fn send_rpc(&mut self, host: usize, group: usize, rpc: Rpc, purpose: Purpose) {
        self.next_rpc += 1;
        let (number, target, now) = (self.next_rpc, self.rng.random_range(0..3), self.now);
        let incarnation = self.hosts[host].incarnation;
        let pending = Pending {
            host,
            incarnation,
            group,
            rpc,
            purpose,
            target,
            attempted_at: now,
            started_at: now,
        };
        self.pending.insert(number, pending);
        self.transmit(number);
    }

    /// Transmits a pending request to its current target.
    fn transmit(&mut self, number: u64) {
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.attempted_at = now;
        let (from, to_host, group) = (pending.host, pending.target, pending.group);
        let rpc = pending.rpc.clone();
        if self.can_reach(from, to_host) {
            let delay = self.latency();
            self.push(delay, Event::Rpc { group, to_host, origin: (from, number), rpc });
        }
    }

    fn retry_rpcs(&mut self) {
        let now = self.now;
        let overdue: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, rpc)| rpc.attempted_at + RPC_TIMEOUT_MS <= now)
            .map(|(number, _)| *number)
            .collect();
        overdue.into_iter().for_each(|number| self.next_target(number));
    }

    /// Sends a pending request to the next host, or fails it at its deadline.
    fn next_target(&mut self, number: u64) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        let is_expired = pending.started_at + RPC_DEADLINE_MS <= self.now
            || self.hosts[pending.host].incarnation != pending.incarnation;
        if is_expired {
            if let Some(pending) = self.pending.remove(&number) {
                self.complete(pending, None);
            }
            return;
        }
        pending.target = (pending.target + 1) % 3;
        self.transmit(number);
    }

    fn on_reply(&mut self, host: usize, number: u64, reply: Reply) {
        let is_expected = self
            .pending
            .get(&number)
            .is_some_and(|a| a.host == host && a.incarnation == self.hosts[host].incarnation);
        if !is_expected {
            return;
        }
        if matches!(reply, Reply::NotLeader) {
            // The next host is contacted after 20 ms, which bounds the request rate while there
            // is no leader.
            if let Some(pending) = self.pending.get_mut(&number) {
                pending.attempted_at = self.now.saturating_sub(RPC_TIMEOUT_MS - 20);
            }
            return;
        }
        if let Some(pending) = self.pending.remove(&number) {
            self.complete(pending, Some(reply));
        }
    }

    /// Continues with the reply to a request; `None` if none arrived within the timeout.
    fn complete(&mut self, pending: Pending, reply: Option<Reply>) {
        let host = pending.host;
        if !self.is_up(host) || self.hosts[host].incarnation != pending.incarnation {
            return;
        }
        let data = match &reply {
            Some(Reply::Data(data)) => Some(data.as_slice()),
            _ => None,
        };
        match pending.purpose {
            Purpose::Submit(op) => {
                let result = data.map(|d| machine::decode(d).unwrap()).ok_or(entry::Unreachable);
                self.step_entry(host, Input::Submitted { op, result });
            }
            Purpose::Control(op) => {
                let result = data.map(|d| machine::decode(d).unwrap()).ok_or(entry::Unreachable);
                self.step_entry(host, Input::ControlReply { op, result });
            }
            Purpose::Load(op, cached_items) => {
                let result = match data.map(|d| machine::decode::<program::View>(d).unwrap()) {
                    Some(program::View::Loaded { summary, history }) => {
                        Ok(Ok(Box::new(entry::Loaded { summary: *summary, cached_items, history })))
                    }
                    Some(program::View::Answer(reply)) => Ok(Err(reply)),
                    Some(program::View::Refused(refusal)) => {
                        Ok(Err(program::Reply::Refused(refusal)))
                    }
                    _ => Err(entry::Unreachable),
                };
                self.step_entry(host, Input::ProgramLoaded { op, result });
            }
            Purpose::Renew { sent } => self.on_renewed(host, sent, reply),
            Purpose::Register => {
                let name = self.hosts[host].name.clone();
                if let Some(control::Reply::Registered { epoch }) =
                    data.map(|d| machine::decode(d).unwrap())
                {
                    self.hosts[host].holder = Some(id::Holder { instance: name, epoch });
                }
                self.hosts[host].is_renewing = false;
                self.hosts[host].renew_due = self.now;
            }
            Purpose::Open(caller) => {
                let reply = data.map(|d| machine::decode(d).unwrap());
                self.callers[caller].is_open |= reply == Some(program::Reply::Done);
            }
            Purpose::Close(caller) => {
                let reply = data.map(|d| machine::decode(d).unwrap());
                self.callers[caller].is_closed |= reply == Some(program::Reply::Done);
            }
            Purpose::Ticket(number) => {
                if let Some(reply) = data.map(|d| machine::decode(d).unwrap()) {
                    self.ticket_replies.push((number, reply));
                }
            }
            Purpose::Ignored => {}
        }
    }

    fn on_renewed(&mut self, host: usize, sent_at: Millis, reply: Option<Reply>) {
        let now = self.now;
        let state = &mut self.hosts[host];
        state.is_renewing = false;
        state.renew_due = now + LEASE.renew_ms;
        match reply {
            Some(Reply::Granted { snapshot, in_force }) => {
                let Some(holder) = state.holder.clone() else {
                    return;
                };
                if snapshot.version > state.entry.version() {
                    state.renew_due = now;
                }
                let length = LEASE.length_ms;
                self.step_entry(
                    host,
                    Input::LeaseRenewed {
                        holder,
                        sent_at,
                        length,
                        snapshot: Some(snapshot),
                        in_force,
                    },
                );
            }
            Some(Reply::LeaseRefused) => {
                state.holder = None;
                state.renew_due = now;
                self.step_entry(host, Input::LeaseEnded);
            }
            _ => {}
        }
    }

    fn renew(&mut self, host: usize) {
        let now = self.now;
        let state = &mut self.hosts[host];
        if state.is_renewing || state.renew_due > now {
            return;
        }
        state.is_renewing = true;
        let version = state.entry.version();
        match state.holder.clone() {
            Some(holder) => self.send_rpc(
                host,
                CONTROL,
                Rpc::Renew { holder, version },
                Purpose::Renew { sent: now },
            ),
            None => {
                let command = Command::Register {
                    instance: state.name.clone(),
                    nonce: u64::from(state.incarnation),
                    address: "127.0.0.1:1".into(),
                    failure_domain: "a".into(),
                };
                let rpc = Rpc::Submit(machine::encode(&command).unwrap());
                self.send_rpc(host, CONTROL, rpc, Purpose::Register);
            }
        }
    }

    /// Performs the duties of journal leaders: expires leases, confirms tickets and releases
    /// caches.
    fn run_leader_duties(&mut self, host: usize) {
        let now = self.now;
        if self.hosts[host].registry(now).is_some() {
            let state = &mut self.hosts[host];
            let query = |query| machine::encode(&query).unwrap();
            let control = &state.groups[CONTROL].machine;
            let snapshot =
                machine::decode(&control.query(&query(control::Query::Snapshot)).unwrap()).unwrap();
            let pending = machine::decode(
                &control.query(&query(control::Query::Pending { limit: 99 })).unwrap(),
            )
            .unwrap();
            let (control::View::Snapshot(snapshot), control::View::Tickets(pending)) =
                (snapshot, pending)
            else {
                return;
            };
            let Some((_, registry)) = &mut state.registry else {
                return;
            };
            let mut commands: Vec<Command> =
                registry.overdue(now, &snapshot).into_iter().map(Command::Expire).collect();
            let in_force = registry.in_force(now, &snapshot);
            let confirmed = pending.iter().filter(|(_, r)| r.version <= in_force);
            commands.extend(confirmed.map(|(number, _)| Command::MarkInForce { number: *number }));
            for command in commands {
                let rpc = Rpc::Submit(machine::encode(&command).unwrap());
                self.on_rpc(CONTROL, host, (host, 0), rpc);
            }
        }
        if self.now.is_multiple_of(100) {
            self.release(host);
        }
    }

    fn release(&mut self, host: usize) {
        let Some(group) = self.hosts[host]
            .groups
            .get(SHARD)
            .filter(|g| !g.is_stopped && g.replica.is_established())
        else {
            return;
        };
        let query = machine::encode(&program::Query::Backlog { limit: 99 }).unwrap();
        let Ok(program::View::Backlog(rows)) =
            machine::decode(&group.machine.query(&query).unwrap())
        else {
            return;
        };
        for (program, server) in rows {
            let backend = self.backends.get_mut(&server).unwrap();
            if backend.is_down || self.releases_fail {
                continue;
            }
            backend.cached_programs.remove(&program);
            let command = program::Command::ConfirmRelease { program, server };
            self.on_rpc(SHARD, host, (host, 0), Rpc::Submit(machine::encode(&command).unwrap()));
        }
    }

    /// Asks the leaders to add a replica that is not a voter.
    fn request_join(&mut self, host: usize) {
        let state = &self.hosts[host];
        if !state.has_disk || !self.now.is_multiple_of(100) {
            return;
        }
        let (name, id) = (state.name.clone(), state.id);
        for group in 0..state.groups.len() {
            if self.hosts[host].groups[group].replica.members().is_voter(id) {
                continue;
            }
            for other in 0..3 {
                let is_reachable = self.is_up(other) && self.can_reach(host, other);
                if let Some(found) =
                    self.hosts[other].groups.get_mut(group).filter(|_| is_reachable)
                {
                    found.join(&name, id);
                }
            }
        }
    }

    fn report_loads(&mut self, host: usize) {
        if !self.now.is_multiple_of(200) {
            return;
        }
        let at = self.now;
        let reports: Vec<(String, Option<Load>)> = self
            .backends
            .iter()
            .map(|(name, b)| {
                let load = Load {
                    incarnation: b.incarnation,
                    running: b.running.len() as u32,
                    is_leaving: b.is_leaving,
                    ..Load::default()
                };
                (name.clone(), (!b.is_down).then_some(load))
            })
            .collect();
        for (server, load) in reports {
            self.step_entry(host, Input::LoadReport { server, at, load });
        }
    }

    fn step_entry(&mut self, host: usize, input: Input) {
        let outputs = self.hosts[host].entry.step(self.now, input);
        for output in outputs {
            self.perform(host, output);
        }
    }

    fn perform(&mut self, host: usize, output: Output) {
        let incarnation = self.hosts[host].incarnation;
        match output {
            Output::LoadProgram { op, call, digest, cached_items } => {
                let query =
                    machine::encode(&program::Query::Load { call, digest, cached_items }).unwrap();
                self.send_rpc(host, SHARD, Rpc::Query(query), Purpose::Load(op, cached_items));
            }
            Output::Submit { op, command, .. } => {
                let rpc = Rpc::Submit(machine::encode(&*command).unwrap());
                self.send_rpc(host, SHARD, rpc, Purpose::Submit(op));
            }
            Output::Control { op, command } => {
                let rpc = Rpc::Submit(machine::encode(&*command).unwrap());
                self.send_rpc(host, CONTROL, rpc, Purpose::Control(op));
            }
            Output::Dispatch(dispatch) => {
                let server = dispatch.server.clone();
                self.log(format!("h{host} dispatches {} to {server}", dispatch.attempt));
                let server_incarnation = self.backends[&server].incarnation;
                self.push(
                    1,
                    Event::Execute {
                        server,
                        host,
                        incarnation,
                        dispatch,
                        part: 0,
                        server_incarnation,
                    },
                );
            }
            Output::Cancel(id) => {
                for backend in self.backends.values_mut() {
                    backend.running.remove(&(host, incarnation, id));
                }
            }
            Output::Lookup(lookup) => {
                let call = &lookup.attempt.call;
                let was_executed = self.ledger.iter().any(|e| e.attempt.call == *call);
                if was_executed {
                    let answer = Some(b"found".to_vec());
                    self.send_event(host, incarnation, lookup.id, entry::Event::Found(answer));
                }
            }
            Output::Chunk { .. } => {}
            Output::Answer { request_id, answer } => {
                if let Some(caller) = self.waiters.remove(&(host, incarnation, request_id)) {
                    let delay = self.latency();
                    self.push(delay, Event::Answer { caller, answer });
                }
            }
        }
    }

    fn send_event(&mut self, host: usize, incarnation: u32, id: u64, event: entry::Event) {
        let delay = self.latency();
        let input = Box::new(Input::DispatchEvent { id, event });
        self.push(delay, Event::Input { host, incarnation, input });
    }

    fn on_execute(
        &mut self,
        name: &str,
        host: usize,
        incarnation: u32,
        dispatch: &Dispatch,
        part: u32,
        server_incarnation: u64,
    ) {
        let key = (host, incarnation, dispatch.id);
        let now = self.now;
        let backend = self.backends.get_mut(name).unwrap();
        if backend.is_down || backend.incarnation != server_incarnation {
            if part == 0 {
                self.send_event(
                    host,
                    incarnation,
                    dispatch.id,
                    entry::Event::Failed(Failure::NotSent),
                );
            }
            return;
        }
        if part == 0 {
            self.received.push((now, name.to_owned()));
            if backend.is_leaving {
                self.send_event(
                    host,
                    incarnation,
                    dispatch.id,
                    entry::Event::Failed(Failure::Rejected),
                );
                return;
            }
            backend.running.insert(key, dispatch.clone());
            let is_engine = dispatch.role == Role::Engine;
            if content_contains(dispatch, HANG) {
                return;
            }
            let history: usize = dispatch.history.iter().map(Vec::len).sum();
            self.ledger.push(Execution {
                at: now,
                server: name.to_owned(),
                attempt: dispatch.attempt.clone(),
                is_idempotent: is_engine,
                tokens: if is_engine { (history + dispatch.content.len()) as u64 } else { 0 },
            });
            if is_engine {
                backend.cached_programs.insert(dispatch.attempt.call.program.clone());
            }
            if content_contains(dispatch, CRASH) {
                self.crash(name);
                return;
            }
        } else if !backend.running.contains_key(&key) {
            return;
        }
        self.continue_execution(name, host, incarnation, dispatch, part, server_incarnation);
    }

    /// Sends the next of two parts of an answer, or its end.
    fn continue_execution(
        &mut self,
        name: &str,
        host: usize,
        incarnation: u32,
        dispatch: &Dispatch,
        part: u32,
        server_incarnation: u64,
    ) {
        let is_engine = dispatch.role == Role::Engine;
        if part < 2 {
            if is_engine && part > 0 {
                let event = entry::Event::Chunk { text: "x".into(), tokens: 1 };
                self.send_event(host, incarnation, dispatch.id, event);
            }
            let server = name.to_owned();
            let dispatch = Box::new(dispatch.clone());
            self.push(
                10,
                Event::Execute {
                    server,
                    host,
                    incarnation,
                    dispatch,
                    part: part + 1,
                    server_incarnation,
                },
            );
            return;
        }
        if let Some(backend) = self.backends.get_mut(name) {
            backend.running.remove(&(host, incarnation, dispatch.id));
        }
        if content_contains(dispatch, LOSE_ANSWER) {
            self.send_event(host, incarnation, dispatch.id, entry::Event::Failed(Failure::Lost));
            return;
        }
        let answer = answer_of(&dispatch.history, &dispatch.content);
        let history: usize = dispatch.history.iter().map(Vec::len).sum();
        let tokens = if is_engine { (history + dispatch.content.len()) as u64 + 1 } else { 0 };
        let spent = Amount { tokens, ..Amount::default() };
        self.send_event(
            host,
            incarnation,
            dispatch.id,
            entry::Event::Finished { answer, spent, cached_tokens: 0 },
        );
    }

    /// Crashes a backend server, which restarts at once with an empty cache.
    pub(crate) fn crash(&mut self, name: &str) {
        self.log(format!("{name} crashes"));
        self.crashes += 1;
        let backend = self.backends.get_mut(name).unwrap();
        let server_incarnation = backend.incarnation;
        backend.incarnation += 1;
        backend.cached_programs.clear();
        for ((host, incarnation, id), _) in std::mem::take(&mut backend.running) {
            self.send_event(
                host,
                incarnation,
                id,
                entry::Event::Failed(Failure::Crashed(server_incarnation)),
            );
        }
    }

    /// Lets a caller open its program, send its current call, or close its program.
    fn advance_caller(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        if caller.is_closed || caller.resend_at > self.now || caller.start_at > self.now {
            return;
        }
        caller.resend_at = self.now + RESEND_MS;
        caller.entry = (caller.entry + 1) % 5;
        let (host, program) = (caller.entry, caller.program.clone());
        if !self.is_up(host) || self.hosts[host].frozen_until > self.now {
            self.callers[at].resend_at = self.now + 50;
            return;
        }
        let now_ms = self.now;
        let caller = &self.callers[at];
        if !caller.is_open {
            let limit = Amount { tokens: caller.budget_tokens, calls: 100, cost: 1_000 };
            let open = program::Open {
                program,
                limit,
                cap: limit,
                deadline_ms: NEVER / 2,
                labels: Vec::new(),
                now_ms,
            };
            let command = machine::encode(&program::Command::Open(open)).unwrap();
            self.send_rpc(host, SHARD, Rpc::Submit(command), Purpose::Open(at));
            self.callers[at].resend_at = self.now + 100;
        } else if caller.step().is_none() {
            let close = program::Close { program, force: false, now_ms };
            let command = machine::encode(&program::Command::Close(close)).unwrap();
            self.send_rpc(host, SHARD, Rpc::Submit(command), Purpose::Close(at));
            self.callers[at].resend_at = self.now + 100;
        } else {
            let is_sent_twice = caller.sends_twice;
            let delay = self.latency();
            self.push(delay, Event::Call { host, caller: at });
            if is_sent_twice {
                self.push(delay, Event::Call { host: (host + 2) % 5, caller: at });
            }
        }
    }

    fn on_call(&mut self, host: usize, at: usize) {
        let caller = &self.callers[at];
        let Some(step) = caller.step().cloned() else {
            return;
        };
        self.next_request_id += 1;
        let request_id = self.next_request_id;
        let call = id::Call { program: caller.program.clone(), seq: caller.seq() };
        self.waiters.insert((host, self.hosts[host].incarnation, request_id), at);
        let request = Request {
            request_id,
            call,
            service: step.service.into(),
            content: step.content.into_bytes().into(),
            is_idempotent: step.is_idempotent,
            max_tokens: 16,
            cost: 1,
        };
        self.step_entry(host, Input::Call(request));
    }

    /// Ticket `number` as recorded by the running replicas, in force if one of them has that.
    pub(crate) fn recorded(&self, number: u64) -> Option<control::Acceptance> {
        let query = control::Query::Tickets { after: number - 1, limit: 1 };
        let query = machine::encode(&query).unwrap();
        let up = self.hosts.iter().filter(|host| host.is_alive);
        let found =
            up.filter_map(|host| host.groups.get(CONTROL)).filter_map(
                |group| match machine::decode(&group.machine.query(&query).unwrap()).unwrap() {
                    control::View::Tickets(mut tickets) => tickets.remove(&number),
                    _ => None,
                },
            );
        found.max_by_key(|recorded| recorded.is_in_force)
    }

    /// Submits a ticket through a host.
    pub(crate) fn send_ticket(&mut self, host: usize, ticket: &control::Ticket) {
        let command = Command::Ticket { ticket: ticket.clone(), now_ms: self.now };
        let rpc = Rpc::Submit(machine::encode(&command).unwrap());
        self.send_rpc(host, CONTROL, rpc, Purpose::Ticket(ticket.number));
    }

    /// Host of the established leader of a journal; the one with the highest term if several
    /// hosts believe that they lead.
    pub(crate) fn leader(&self, group: usize) -> Option<usize> {
        let leads = |host: &Host| {
            host.is_alive
                && host
                    .groups
                    .get(group)
                    .is_some_and(|g| !g.is_stopped && g.replica.is_established())
        };
        let leaders = (0..3).filter(|at| leads(&self.hosts[*at]));
        leaders.max_by_key(|at| self.hosts[*at].groups[group].replica.term())
    }

    pub(crate) fn kill(&mut self, host: usize) {
        self.log(format!("h{host} is killed"));
        let state = &mut self.hosts[host];
        state.is_alive = false;
        state.incarnation += 1;
        state.registry = None;
    }

    /// Removes a host's disk content.
    pub(crate) fn wipe(&mut self, host: usize) {
        self.log(format!("h{host} loses its disk"));
        self.hosts[host].groups.clear();
    }

    /// Starts a host's process from its disk.
    pub(crate) fn restart(&mut self, host: usize) {
        self.log(format!("h{host} restarts"));
        let seed = self.rng.random();
        let state = &mut self.hosts[host];
        state.is_alive = true;
        state.frozen_until = 0;
        state.incarnation += 1;
        state.entry = new_entry(seed);
        state.holder = None;
        state.is_renewing = false;
        state.renew_due = 0;
        state.registry = None;
        let disks: Vec<Recovery> = state.groups.drain(..).map(|group| group.disk).collect();
        if state.has_disk {
            self.start_groups(host, disks);
        }
    }

    fn start_groups(&mut self, host: usize, disks: Vec<Recovery>) {
        let peers: Vec<Peer> = (0..3)
            .filter(|other| *other != host)
            .map(|other| {
                let is_empty = |g: &Group| g.replica.term() == 0 && g.replica.last_index() == 0;
                Peer {
                    instance: format!("h{other}"),
                    is_fresh: self.hosts[other].groups.iter().all(is_empty),
                }
            })
            .collect();
        let (now, seed) = (self.now, self.rng.random());
        let configured_names: Vec<String> = (0..3).map(|at| format!("h{at}")).collect();
        self.hosts[host].start_groups(disks, &peers, &configured_names, now, seed);
    }

    /// Suspends a host's process; events for it are delayed until it continues.
    pub(crate) fn freeze(&mut self, host: usize, time: Millis) {
        self.log(format!("h{host} is frozen for {time} ms"));
        self.hosts[host].frozen_until = self.now + time;
    }

    /// Isolates a host: drops the messages to it, from it, or both.
    pub(crate) fn isolate(&mut self, host: usize, inbound: bool, outbound: bool) {
        self.log(format!("h{host} is isolated, inbound {inbound}, outbound {outbound}"));
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            if inbound {
                self.partitions.insert((other, host));
            }
            if outbound {
                self.partitions.insert((host, other));
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.log("the partitions end".into());
        self.partitions.clear();
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.callers.iter().all(|caller| caller.is_closed)
    }

    /// Result of a query to the shard's state machine on one host.
    pub(crate) fn view(&self, host: usize, query: &program::Query) -> program::View {
        let group = &self.hosts[host].groups[SHARD];
        machine::decode(&group.machine.query(&machine::encode(query).unwrap()).unwrap()).unwrap()
    }
}
