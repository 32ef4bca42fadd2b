//! The thread that runs one replica of a replica group.
//!
//! It owns the files of the journal and the replicated state machine, and carries out the work
//! that the consensus algorithm returns. Messages that arrive together are handled before a
//! single sync (group commit).

mod persistence;

use self::persistence::records;
use crate::body::Held;
use crate::clock::{Clock, millis};
use crate::memory::{self, Budget};
use crate::replica::{Handle, Job, MessageSender, Outcome, Status};
use crate::storage::{Group, Identity};
use bytes::Bytes;
use coordination::Millis;
use coordination::backlog::{self, Tolerance};
use coordination::consensus::{
    Chunk, ChunkRequest, Entry, Id, Message, Payload, Ready, Refusal, Replacement, Replica,
    Settings,
};
use coordination::expiry::Timer;
use coordination::membership::{Candidate, Planner, Step};
use protocol::wire::Envelope;
use state::collections::Map;
use state::error::Storage;
use state::journal::Log;
use state::machine::{Class, Export, Import, StateMachine};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Maximum wait for a job before the clock of the replica advances, in milliseconds. The wait is
/// shorter if an election or a heartbeat is due earlier.
const MAX_WAIT_MS: Millis = 100;

/// Interval between membership checks, in milliseconds; short compared to the time that the
/// replacement of a replica takes.
const PLAN_INTERVAL_MS: Millis = 50;

/// Maximum number of queued jobs handled before one sync.
const MAX_BATCH: usize = 512;

/// Size up to which an answer to a query takes no memory from the budget, in bytes.
const MIN_GRANTED_BYTES: usize = 16 * 1024;

/// Time to the result of a command above which the log says so.
const USUAL_TIME: Duration = Duration::from_millis(200);

/// Time after which the sender of a command gives up.
const SENDER_TIMEOUT: Duration = Duration::from_millis(backlog::SENDER_TIMEOUT_MS);

/// Shortest interval between two lines in the log on a slow journal.
const SLOW_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of commands refused for lack of room for each line in the log.
const REFUSALS_PER_LOG_LINE: u64 = 1_000;

/// Configuration of a replica's thread.
pub(crate) struct Config {
    pub(crate) group: u32,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) consensus: Settings,
    /// Size of the entries in the log file above which it is replaced by a snapshot, in bytes.
    pub(crate) compact_bytes: u64,
    /// Seed of the randomized election timeouts.
    pub(crate) seed: u64,
    pub(crate) opened: Group,
    pub(crate) message_sender: Arc<dyn MessageSender>,
    /// Decides the members of the group; `None` if the settings name them.
    pub(crate) planner: Option<Planner>,
    /// Memory for long answers to queries; `None` if they are not limited.
    pub(crate) budget: Option<Arc<Budget>>,
}

/// Starts the thread of a replica.
pub(crate) fn start(config: Config) -> std::io::Result<Handle> {
    let (jobs, inbox) = channel();
    let (status_sender, status) = watch::channel(Status::default());
    let name = format!("journal-{}", config.group);
    std::thread::Builder::new().name(name).spawn(move || {
        Worker::new(config, status_sender).run(&inbox);
    })?;
    Ok(Handle { jobs, status })
}

/// Who waits for the result of a command or query.
struct Waiter {
    arrived_at: Instant,
    reply: oneshot::Sender<Outcome>,
}

/// State of a replica's thread.
struct Worker {
    group: u32,
    id: Id,
    clock: Clock,
    replica: Replica,
    state_machine: Box<dyn StateMachine>,
    log: Box<dyn Log>,
    message_sender: Arc<dyn MessageSender>,
    planner: Option<Planner>,
    budget: Option<Arc<Budget>>,
    candidates: Vec<Candidate>,
    last_planned: Millis,
    /// Snapshots being sent, by receiving replica.
    exports: Map<Id, Box<dyn Export>>,
    /// Snapshot being received.
    import: Option<Box<dyn Import>>,
    compact_bytes: u64,
    /// Size of the log file when it was last replaced by a snapshot, in bytes.
    rewritten_bytes: u64,
    /// Instance of each replica that sent a message; used for replicas that are not members.
    instances: Map<Id, String>,
    last_token: u64,
    /// Submitted commands and queries without a result, by token.
    pending: BTreeMap<u64, Waiter>,
    /// Submitted queries, by token.
    queries: Map<u64, Vec<u8>>,
    /// Confirmed reads that wait until the log is applied up to an index, as (token, index).
    waiting_reads: Vec<(u64, u64)>,
    /// Replacements in progress, by the id of the joining replica.
    replacements: Map<Id, Replacement>,
    applied: u64,
    /// How far the journal may be behind.
    tolerance: Tolerance,
    expiry: Timer,
    /// Time of the last line in the log on a slow journal.
    slow_logged_at: Option<Instant>,
    status: Status,
    status_sender: watch::Sender<Status>,
}

impl Worker {
    fn new(config: Config, status_sender: watch::Sender<Status>) -> Self {
        let applied = config.opened.restored.snapshot.index;
        let replica = Replica::new(
            config.identity.id,
            config.consensus,
            config.seed,
            config.clock.now(),
            config.opened.restored,
            &config.identity.initial_members,
        );
        Self {
            group: config.group,
            id: config.identity.id,
            clock: config.clock,
            replica,
            state_machine: config.opened.state_machine,
            log: Box::new(config.opened.log),
            message_sender: config.message_sender,
            planner: config.planner,
            budget: config.budget,
            candidates: Vec::new(),
            last_planned: 0,
            exports: Map::default(),
            import: None,
            compact_bytes: config.compact_bytes,
            rewritten_bytes: 0,
            instances: Map::default(),
            last_token: 0,
            pending: BTreeMap::new(),
            queries: Map::default(),
            waiting_reads: Vec::new(),
            replacements: Map::default(),
            applied,
            tolerance: Tolerance::default(),
            expiry: Timer::default(),
            slow_logged_at: None,
            status: Status::default(),
            status_sender,
        }
    }

    fn run(mut self, inbox: &Receiver<Job>) {
        loop {
            let wait = self.replica.due().saturating_sub(self.clock.now()).clamp(1, MAX_WAIT_MS);
            match inbox.recv_timeout(Duration::from_millis(wait)) {
                Ok(job) => self.handle_job(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            inbox.try_iter().take(MAX_BATCH).for_each(|job| self.handle_job(job));
            self.replica.tick(self.clock.now());
            self.advance_replacements();
            self.plan_membership();
            self.expire();
            if let Err(error) = self.process() {
                tracing::error!(group = self.group, %error, "replica stopped after an error");
                self.status.fault = Some(error.to_string());
                self.status.is_leader = false;
                self.status.is_established = false;
                self.status_sender.send_replace(self.status.clone());
                return;
            }
            self.publish_status();
        }
    }

    fn handle_job(&mut self, job: Job) {
        let now = self.clock.now();
        match job {
            Job::Messages { instance, messages } => {
                for (from, message) in messages {
                    self.instances.insert(from, instance.clone());
                    self.replica.receive(now, from, message);
                }
            }
            Job::Submit { command, arrived_at, reply } => {
                if self.replica.is_leader() {
                    if !self.state_machine.has_room(&command) {
                        return self.refuse_for_room(&command, reply);
                    }
                    if !self.accepts(&command) {
                        return self.refuse(Refusal::Full, reply);
                    }
                }
                let token = self.next_token();
                match self.replica.propose(now, token, command) {
                    Ok(()) => drop(self.pending.insert(token, Waiter { arrived_at, reply })),
                    Err(refusal) => self.refuse(refusal, reply),
                }
            }
            Job::Query { query, arrived_at, reply } => {
                let token = self.next_token();
                match self.replica.read(now, token) {
                    Ok(()) => {
                        self.pending.insert(token, Waiter { arrived_at, reply });
                        self.queries.insert(token, query);
                    }
                    Err(_) => drop(reply.send(Outcome::NotLeader(self.leader_instance()))),
                }
            }
            Job::QueryApplied { query, reply } => {
                drop(reply.send(self.view(&query).unwrap_or(Outcome::Unknown)));
            }
            Job::Join { instance, id } => {
                let replacement = Replacement::new(&instance, id);
                self.replacements.entry(id).or_insert(replacement);
            }
            Job::Candidates(candidates) => self.candidates = candidates,
            Job::Transfer => self.replica.transfer(now),
            Job::Dump { reply } => drop(reply.send(self.state_machine.dump())),
        }
    }

    /// Answers a query from the applied state. A long answer takes its memory from the budget until it is
    /// sent; without memory the query is refused as if the leader were behind.
    fn view(&self, query: &[u8]) -> Result<Outcome, Storage> {
        let Some(budget) = &self.budget else {
            return Ok(Outcome::Data(self.state_machine.query(query)?.into()));
        };
        let mut grant = budget.grant(memory::Kind::Response);
        let bytes = self.state_machine.answer_bytes(query);
        if bytes > MIN_GRANTED_BYTES && grant.grow_response(bytes).is_err() {
            return Ok(Outcome::NotLeader(self.leader_instance()));
        }
        let view = self.state_machine.query(query)?;
        Ok(Outcome::Data(Bytes::from_owner(Held::new(view, grant))))
    }

    /// Refuses a command that the state has no room for.
    fn refuse_for_room(&mut self, command: &[u8], reply: oneshot::Sender<Outcome>) {
        match self.state_machine.refusal(command) {
            Some(refusal) => {
                self.count_refusal("the state has no room for what it would retain");
                drop(reply.send(Outcome::Data(refusal.into())));
            }
            None => self.refuse(Refusal::Full, reply),
        }
    }

    /// Whether the leader accepts a command: the journal is not too far behind for its class.
    fn accepts(&self, command: &[u8]) -> bool {
        let oldest = self.pending.first_key_value().map(|(_, waiter)| waiter.arrived_at);
        let waited = oldest.map_or(0, |arrived_at| millis(arrived_at.elapsed()));
        let exceeds = |class| waited > self.tolerance.limit(class);
        // No class is refused earlier than new work, and most commands need not be decoded.
        !(exceeds(Class::Begin) && self.state_machine.class(command).is_some_and(exceeds))
    }

    /// Records the time from the arrival of a command or query to its result.
    fn record_time(&mut self, arrived_at: Instant) {
        let time = arrived_at.elapsed();
        self.status.answered += 1;
        self.status.answer_micros += u64::try_from(time.as_micros()).unwrap_or(0);
        self.status.overdue += u64::from(time >= SENDER_TIMEOUT);
        let is_due = self.slow_logged_at.is_none_or(|at| at.elapsed() >= SLOW_LOG_INTERVAL);
        if time > USUAL_TIME && is_due {
            self.slow_logged_at = Some(Instant::now());
            tracing::warn!(
                group = self.group,
                ms = millis(time),
                unanswered = self.pending.len(),
                uncommitted = self.replica.last_index() - self.replica.commit(),
                overdue = self.status.overdue,
                answered = self.status.answered,
                is_leader = self.replica.is_leader(),
                "the journal is slow"
            );
        }
    }

    /// Answers a command that was not appended; its sender repeats it.
    fn refuse(&mut self, refusal: Refusal, reply: oneshot::Sender<Outcome>) {
        if refusal == Refusal::Full {
            self.count_refusal("the journal is behind, or too many bytes wait for a quorum");
        }
        // Sending fails if the requester timed out.
        drop(reply.send(Outcome::NotLeader(self.leader_instance())));
    }

    fn count_refusal(&mut self, reason: &'static str) {
        if self.status.refused_full.is_multiple_of(REFUSALS_PER_LOG_LINE) {
            tracing::warn!(
                group = self.group,
                waiting = self.replica.last_index() - self.replica.commit(),
                refused = self.status.refused_full,
                reason,
                "command refused"
            );
        }
        self.status.refused_full += 1;
    }

    /// Returns a new token, which matches a command or query to its result.
    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn instance_of(&self, id: Id) -> Option<String> {
        let members = self.replica.members();
        let member = members.voters.get(&id).or_else(|| members.learners.get(&id));
        member.or_else(|| self.instances.get(&id)).cloned()
    }

    fn leader_instance(&self) -> Option<String> {
        self.instance_of(self.replica.leader()?)
    }

    /// Continues the replacements in progress; only the leader carries them out.
    fn advance_replacements(&mut self) {
        if !self.replica.is_leader() {
            self.replacements.clear();
            return;
        }
        let (now, replica) = (self.clock.now(), &mut self.replica);
        self.replacements.retain(|_, replacement| !replacement.advance(now, replica));
    }

    /// Carries out the planner's next step, at most once per [`PLAN_INTERVAL_MS`].
    fn plan_membership(&mut self) {
        let now = self.clock.now();
        let Some(planner) = self.planner.as_mut().filter(|_| self.replica.is_leader()) else {
            return;
        };
        if self.candidates.is_empty() || now < self.last_planned + PLAN_INTERVAL_MS {
            return;
        }
        self.last_planned = now;
        match planner.next(now, &self.replica, &self.candidates) {
            Step::Idle => {}
            Step::Change(members) => {
                let (voters, learners) = (members.voters.clone(), members.learners.clone());
                if self.replica.change_members(now, members) {
                    tracing::info!(group = self.group, ?voters, ?learners, "members change");
                }
            }
            Step::Transfer => {
                tracing::info!(
                    group = self.group,
                    "transferring leadership before leaving the group"
                );
                self.replica.transfer(now);
            }
        }
    }

    /// Moves the time of the state on while no command does, so that what has expired is removed.
    fn expire(&mut self) {
        let now = self.clock.now();
        let time_ms = self.state_machine.time_ms().and_then(|time| self.expiry.due(now, time));
        if !self.replica.is_established() {
            return;
        }
        if let Some(command) = time_ms.and_then(|time| self.state_machine.expiry(time)) {
            let token = self.next_token();
            if let Err(refusal) = self.replica.propose(now, token, command) {
                tracing::debug!(group = self.group, %refusal, "expiry is put off");
            }
        }
    }

    /// Carries out the work of the replica until none is left, then answers confirmed reads.
    fn process(&mut self) -> Result<(), Storage> {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                self.drop_exports();
                return self.answer_reads();
            }
            self.process_ready(ready)?;
        }
    }

    fn process_ready(&mut self, ready: Ready) -> Result<(), Storage> {
        self.send(ready.messages);
        for chunk in ready.chunks {
            self.receive_chunk(&chunk)?;
        }
        if let Some(meta) = ready.install {
            self.install(&meta)?;
        }
        let last = ready.entries.last().map(|entry| entry.index);
        if ready.hard_state.is_some() || ready.truncate.is_some() || last.is_some() {
            let hard_state = ready.hard_state.map(|hard_state| (hard_state.term, hard_state.vote));
            self.persist(&mut records(hard_state, ready.truncate, &ready.entries))?;
        }
        if let Some(last) = last {
            self.replica.synced(last);
        }
        self.send(ready.persisted_messages);
        for (entry, token) in ready.committed {
            self.apply(entry, token)?;
        }
        self.waiting_reads.extend(ready.reads);
        for token in ready.dropped {
            self.queries.remove(&token);
            self.reply(token, Outcome::Unknown);
        }
        for peer in ready.snapshot_targets {
            self.start_export(peer)?;
        }
        for request in ready.chunk_requests {
            self.send_chunk(&request)?;
        }
        self.compact_if_large()
    }

    /// Starts sending a snapshot to a replica that needs entries that are no longer in memory.
    fn start_export(&mut self, peer: Id) -> Result<(), Storage> {
        let meta = self.replica.meta_at(self.applied);
        let export = self.state_machine.export()?;
        let bytes = export.size();
        self.replica.set_state_bytes(bytes);
        tracing::info!(
            group = self.group,
            peer,
            index = meta.index,
            bytes,
            "sending a snapshot to a lagging replica"
        );
        self.exports.insert(peer, export);
        self.replica.start_snapshot(peer, meta, bytes);
        Ok(())
    }

    fn send_chunk(&mut self, request: &ChunkRequest) -> Result<(), Storage> {
        if let Some(export) = self.exports.get(&request.to) {
            let data = export.read(request.offset, request.len)?;
            self.replica.send_chunk(request, data);
        }
        Ok(())
    }

    /// Drops the exports whose receivers have installed the snapshot or are no longer members.
    fn drop_exports(&mut self) {
        if !self.exports.is_empty() {
            let receivers: Vec<Id> = self.replica.snapshots().map(|(id, _)| id).collect();
            self.exports.retain(|id, _| receivers.contains(id));
        }
    }

    fn receive_chunk(&mut self, chunk: &Chunk) -> Result<(), Storage> {
        if chunk.offset == 0 {
            tracing::info!(group = self.group, "receiving a snapshot");
            // An import under way ends before another one starts in the same files.
            self.import = None;
            self.import = Some(self.state_machine.importer()?);
        }
        self.import.as_mut().map_or(Ok(()), |import| import.receive(&chunk.data))
    }

    fn send(&self, messages: Vec<(Id, Message)>) {
        for (to, message) in messages {
            if let Some(instance) = self.instance_of(to) {
                let lane = self.replica.lane(to, &message);
                let envelope = Envelope { group: self.group, from: self.id, to, message };
                self.message_sender.send_on(lane, &instance, envelope);
            }
        }
    }

    fn apply(&mut self, entry: Entry, token: Option<u64>) -> Result<(), Storage> {
        if entry.index <= self.applied {
            return Ok(());
        }
        self.applied = entry.index;
        let reply = match entry.payload {
            Payload::Data(command) => self.state_machine.apply(&command)?,
            Payload::Empty | Payload::Members(_) => return Ok(()),
        };
        if let Some(token) = token {
            self.reply(token, Outcome::Data(reply.into()));
        }
        Ok(())
    }

    fn reply(&mut self, token: u64, outcome: Outcome) {
        if let Some(Waiter { arrived_at, reply }) = self.pending.remove(&token) {
            self.record_time(arrived_at);
            // Sending fails if the requester timed out.
            drop(reply.send(outcome));
        }
    }

    /// Answers the confirmed reads whose index has been applied.
    fn answer_reads(&mut self) -> Result<(), Storage> {
        let applied = self.applied;
        let (ready, waiting): (Vec<_>, Vec<_>) =
            self.waiting_reads.drain(..).partition(|(_, index)| *index <= applied);
        self.waiting_reads = waiting;
        for (token, _) in ready {
            if let Some(query) = self.queries.remove(&token) {
                let view = self.view(&query)?;
                self.reply(token, view);
            }
        }
        Ok(())
    }

    fn publish_status(&mut self) {
        let members = self.replica.members();
        let voters = members.voters.iter().map(|(id, name)| (*id, name.clone(), true));
        let learners = members.learners.iter().map(|(id, name)| (*id, name.clone(), false));
        self.status = Status {
            is_leader: self.replica.is_leader(),
            is_established: self.replica.is_established(),
            is_voter: members.is_voter(self.id),
            term: self.replica.term(),
            commit: self.replica.commit(),
            applied: self.applied,
            last_index: self.replica.last_index(),
            base_index: self.replica.base_index(),
            log_bytes: self.replica.log_bytes(),
            unanswered: self.pending.len(),
            leader: self.leader_instance(),
            members: voters.chain(learners).collect(),
            is_settled: self.replica.is_settled(),
            ..std::mem::take(&mut self.status)
        };
        let status = &self.status;
        self.status_sender.send_if_modified(|published| {
            let is_changed = published != status;
            if is_changed {
                *published = status.clone();
            }
            is_changed
        });
    }
}
