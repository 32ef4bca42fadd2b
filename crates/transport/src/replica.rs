//! The thread of one replica.
//!
//! It owns the journal's files and the machine, and drives the consensus state machine.
//! All messages that arrived together are handled before one sync: group commit.

use crate::clock::Clock;
use crate::storage::{Group, Identity};
use coordination::Millis;
use coordination::consensus::{
    Chunk, ChunkRequest, Entry, Id, Message, Meta, Payload, Ready, Replacement, Replica, Settings,
};
use coordination::membership::{Candidate, Planner, Step};
use protocol::wire::Envelope;
use state::collections::Map;
use state::error::Storage;
use state::journal::{Log, Record};
use state::machine::{self, Export, Import, StateMachine};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Longest wait for a message before the clock advances; elections and heartbeats come
/// earlier when they are due.
const TICK_MS: Millis = 100;

/// Time between two looks at the membership; short against the time for a repair.
const PLAN_MS: Millis = 50;

/// Entries that stay in memory behind a snapshot, so that a replica that was away for some
/// seconds needs no snapshot.
const TRAIL: u64 = 2_000;

/// Messages handled before one sync.
const BATCH: usize = 512;

/// Carries messages to the other replicas of a journal.
pub(crate) trait MessageSender: Send + Sync {
    /// Sends a message to the instance `to`; it may get lost.
    fn send(&self, to: &str, envelope: Envelope);
}

/// How a journal answered a command or query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Encoded reply.
    Data(Vec<u8>),
    /// Another instance leads, perhaps this one.
    NotLeader(Option<String>),
    /// The command may or may not be in effect.
    Unknown,
}

/// Work for the thread.
pub(crate) enum Job {
    Messages {
        instance: String,
        messages: Vec<(Id, Message)>,
    },
    Submit {
        command: Vec<u8>,
        reply: oneshot::Sender<Outcome>,
    },
    Query {
        query: Vec<u8>,
        reply: oneshot::Sender<Outcome>,
    },
    /// A query of the applied state, which may be older than the journal.
    QueryApplied {
        query: Vec<u8>,
        reply: oneshot::Sender<Outcome>,
    },
    Join {
        instance: String,
        id: Id,
    },
    /// Instances that can hold the journal now.
    Candidates(Vec<Candidate>),
    Transfer,
    Dump {
        reply: oneshot::Sender<String>,
    },
}

/// What the process sees of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Status {
    pub(crate) is_leader: bool,
    pub(crate) is_established: bool,
    pub(crate) is_voter: bool,
    pub(crate) term: u64,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) last_index: u64,
    pub(crate) base_index: u64,
    pub(crate) leader: Option<String>,
    pub(crate) members: Vec<(Id, String, bool)>,
    /// Whether the last change of members is committed.
    pub(crate) is_settled: bool,
    pub(crate) syncs: u64,
    pub(crate) sync_micros: u64,
    pub(crate) bytes_written: u64,
    pub(crate) fault: Option<String>,
}

/// Access to one replica's thread; closing it ends the thread.
#[derive(Clone)]
pub(crate) struct Handle {
    pub(crate) jobs: Sender<Job>,
    pub(crate) status: watch::Receiver<Status>,
}

impl Handle {
    pub(crate) async fn submit(&self, command: Vec<u8>) -> Outcome {
        let (reply, answer) = oneshot::channel();
        if self.jobs.send(Job::Submit { command, reply }).is_err() {
            return Outcome::NotLeader(None);
        }
        answer.await.unwrap_or(Outcome::Unknown)
    }

    pub(crate) async fn query(&self, query: Vec<u8>) -> Outcome {
        let (reply, answer) = oneshot::channel();
        if self.jobs.send(Job::Query { query, reply }).is_err() {
            return Outcome::NotLeader(None);
        }
        answer.await.unwrap_or(Outcome::Unknown)
    }

    /// Submits a command, then queries the state that includes it.
    pub(crate) async fn submit_then_query(
        &self,
        command: Vec<u8>,
        query: Vec<u8>,
    ) -> Result<(Vec<u8>, Vec<u8>), Outcome> {
        let reply = match self.submit(command).await {
            Outcome::Data(reply) => reply,
            other => return Err(other),
        };
        // The command was applied here after it was committed, so this state includes it.
        match self.query_applied(query).await {
            Outcome::Data(view) => Ok((reply, view)),
            other => Err(other),
        }
    }

    /// Queries the applied state without asking a quorum.
    pub(crate) async fn query_applied(&self, query: Vec<u8>) -> Outcome {
        let (reply, answer) = oneshot::channel();
        if self.jobs.send(Job::QueryApplied { query, reply }).is_err() {
            return Outcome::NotLeader(None);
        }
        answer.await.unwrap_or(Outcome::Unknown)
    }

    /// Whether it leads and knows every committed entry.
    pub(crate) fn leads(&self) -> bool {
        self.status.borrow().is_established
    }
}

/// Settings of one replica's thread.
pub(crate) struct Config {
    pub(crate) group: u32,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) consensus: Settings,
    pub(crate) compact_bytes: u64,
    pub(crate) seed: u64,
    pub(crate) opened: Group,
    pub(crate) message_sender: Arc<dyn MessageSender>,
    /// Decides who holds the journal; `None` where that is configured.
    pub(crate) planner: Option<Planner>,
}

/// Starts the thread.
pub(crate) fn start(config: Config) -> std::io::Result<Handle> {
    let (jobs, inbox) = channel();
    let (publish, status) = watch::channel(Status::default());
    let name = format!("journal-{}", config.group);
    std::thread::Builder::new().name(name).spawn(move || {
        Thread::new(config, publish).run(&inbox);
    })?;
    Ok(Handle { jobs, status })
}

struct Thread {
    group: u32,
    id: Id,
    clock: Clock,
    replica: Replica,
    state_machine: Box<dyn StateMachine>,
    log: Box<dyn Log>,
    message_sender: Arc<dyn MessageSender>,
    planner: Option<Planner>,
    candidates: Vec<Candidate>,
    planned: Millis,
    /// States that are being sent, by receiver.
    exports: Map<Id, Box<dyn Export>>,
    /// State that is being received.
    import: Option<Box<dyn Import>>,
    compact_bytes: u64,
    names: Map<Id, String>,
    next_token: u64,
    pending: Map<u64, oneshot::Sender<Outcome>>,
    queries: Map<u64, Vec<u8>>,
    waiting_reads: Vec<(u64, u64)>,
    plans: Map<Id, Replacement>,
    applied: u64,
    status: Status,
    publish: watch::Sender<Status>,
}

impl Thread {
    fn new(config: Config, publish: watch::Sender<Status>) -> Self {
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
            candidates: Vec::new(),
            planned: 0,
            exports: Map::default(),
            import: None,
            compact_bytes: config.compact_bytes,
            names: Map::default(),
            next_token: 0,
            pending: Map::default(),
            queries: Map::default(),
            waiting_reads: Vec::new(),
            plans: Map::default(),
            applied,
            status: Status::default(),
            publish,
        }
    }

    fn run(mut self, inbox: &Receiver<Job>) {
        loop {
            let wait = self.replica.due().saturating_sub(self.clock.now()).clamp(1, TICK_MS);
            match inbox.recv_timeout(Duration::from_millis(wait)) {
                Ok(job) => self.take(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            inbox.try_iter().take(BATCH).for_each(|job| self.take(job));
            self.replica.tick(self.clock.now());
            self.advance_plans();
            self.plan();
            if let Err(error) = self.work() {
                tracing::error!(group = self.group, %error, "replica stopped");
                self.status.fault = Some(error.to_string());
                self.status.is_leader = false;
                self.status.is_established = false;
                self.publish.send_replace(self.status.clone());
                return;
            }
            self.publish_status();
        }
    }

    fn take(&mut self, job: Job) {
        let now = self.clock.now();
        match job {
            Job::Messages { instance, messages } => {
                for (from, message) in messages {
                    self.names.insert(from, instance.clone());
                    self.replica.receive(now, from, message);
                }
            }
            Job::Submit { command, reply } => {
                let token = self.token();
                match self.replica.propose(now, token, command) {
                    Ok(()) => drop(self.pending.insert(token, reply)),
                    Err(_) => drop(reply.send(Outcome::NotLeader(self.leader_name()))),
                }
            }
            Job::Query { query, reply } => {
                let token = self.token();
                match self.replica.read(now, token) {
                    Ok(()) => {
                        self.pending.insert(token, reply);
                        self.queries.insert(token, query);
                    }
                    Err(_) => drop(reply.send(Outcome::NotLeader(self.leader_name()))),
                }
            }
            Job::QueryApplied { query, reply } => {
                let view = self.state_machine.query(&query).map_or(Outcome::Unknown, Outcome::Data);
                drop(reply.send(view));
            }
            Job::Join { instance, id } => {
                let plan = Replacement::new(&instance, id);
                self.plans.entry(id).or_insert(plan);
            }
            Job::Candidates(candidates) => self.candidates = candidates,
            Job::Transfer => self.replica.transfer(now),
            Job::Dump { reply } => drop(reply.send(self.state_machine.dump())),
        }
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn name_of(&self, id: Id) -> Option<String> {
        let members = self.replica.members();
        let member = members.voters.get(&id).or_else(|| members.learners.get(&id));
        member.or_else(|| self.names.get(&id)).cloned()
    }

    fn leader_name(&self) -> Option<String> {
        self.name_of(self.replica.leader()?)
    }

    fn advance_plans(&mut self) {
        if !self.replica.is_leader() {
            self.plans.clear();
            return;
        }
        let (now, replica) = (self.clock.now(), &mut self.replica);
        self.plans.retain(|_, plan| !plan.advance(now, replica));
    }

    /// Lets the planner change who holds the journal.
    fn plan(&mut self) {
        let now = self.clock.now();
        let Some(planner) = self.planner.as_mut().filter(|_| self.replica.is_leader()) else {
            return;
        };
        if self.candidates.is_empty() || now < self.planned + PLAN_MS {
            return;
        }
        self.planned = now;
        match planner.next(now, &self.replica, &self.candidates) {
            Step::Idle => {}
            Step::Change(members) => {
                let (voters, learners) = (members.voters.clone(), members.learners.clone());
                if self.replica.change_members(now, members) {
                    tracing::info!(group = self.group, ?voters, ?learners, "members change");
                }
            }
            Step::Transfer => {
                tracing::info!(group = self.group, "leadership is handed over to leave");
                self.replica.transfer(now);
            }
        }
    }

    fn work(&mut self) -> Result<(), Storage> {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                self.drop_exports();
                return self.answer_reads();
            }
            self.handle(ready)?;
        }
    }

    fn handle(&mut self, ready: Ready) -> Result<(), Storage> {
        self.send(ready.messages);
        for part in ready.chunks {
            self.receive(&part)?;
        }
        if let Some(meta) = ready.install {
            self.install(&meta)?;
        }
        let last = ready.entries.last().map(|entry| entry.index);
        let records = records(
            ready.hard_state.map(|hard_state| (hard_state.term, hard_state.vote)),
            ready.truncate,
            &ready.entries,
        )?;
        if !records.is_empty() {
            self.persist(&records)?;
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
            self.export(peer)?;
        }
        for wanted in ready.chunk_requests {
            self.send_part(&wanted)?;
        }
        self.compact_if_large()
    }

    /// Starts to send the state to a replica that lags.
    fn export(&mut self, peer: Id) -> Result<(), Storage> {
        let meta = self.replica.meta_at(self.applied);
        let export = self.state_machine.export()?;
        let bytes = export.size();
        tracing::info!(
            group = self.group,
            peer,
            index = meta.index,
            bytes,
            "snapshot for a replica that lags"
        );
        self.exports.insert(peer, export);
        self.replica.start_snapshot(peer, meta, bytes);
        Ok(())
    }

    fn send_part(&mut self, wanted: &ChunkRequest) -> Result<(), Storage> {
        if let Some(export) = self.exports.get(&wanted.to) {
            let data = export.read(wanted.offset, wanted.len)?;
            self.replica.send_chunk(wanted, data);
        }
        Ok(())
    }

    /// Drops the states whose receivers have them, or are gone.
    fn drop_exports(&mut self) {
        if !self.exports.is_empty() {
            let receivers: Vec<Id> = self.replica.snapshots().map(|(id, _)| id).collect();
            self.exports.retain(|id, _| receivers.contains(id));
        }
    }

    fn receive(&mut self, part: &Chunk) -> Result<(), Storage> {
        if part.offset == 0 {
            tracing::info!(group = self.group, "snapshot begins to arrive");
            self.import = Some(self.state_machine.importer()?);
        }
        self.import.as_mut().map_or(Ok(()), |import| import.receive(&part.data))
    }

    fn persist(&mut self, records: &[Record]) -> Result<(), Storage> {
        let before = (Instant::now(), self.log.bytes());
        self.log.append(records)?;
        self.status.syncs += 1;
        self.status.sync_micros += u64::try_from(before.0.elapsed().as_micros()).unwrap_or(0);
        self.status.bytes_written += self.log.bytes().saturating_sub(before.1);
        Ok(())
    }

    fn send(&self, messages: Vec<(Id, Message)>) {
        for (to, message) in messages {
            if let Some(name) = self.name_of(to) {
                let envelope = Envelope { group: self.group, from: self.id, to, message };
                self.message_sender.send(&name, envelope);
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
            self.reply(token, Outcome::Data(reply));
        }
        Ok(())
    }

    fn reply(&mut self, token: u64, outcome: Outcome) {
        if let Some(reply) = self.pending.remove(&token) {
            // The asker may have given up; its answer is then not wanted.
            drop(reply.send(outcome));
        }
    }

    fn answer_reads(&mut self) -> Result<(), Storage> {
        let applied = self.applied;
        let (due, later): (Vec<_>, Vec<_>) =
            self.waiting_reads.drain(..).partition(|(_, index)| *index <= applied);
        self.waiting_reads = later;
        for (token, _) in due {
            if let Some(query) = self.queries.remove(&token) {
                let view = self.state_machine.query(&query)?;
                self.reply(token, Outcome::Data(view));
            }
        }
        Ok(())
    }

    fn install(&mut self, meta: &Meta) -> Result<(), Storage> {
        let import = self.import.take().ok_or(Storage::Stopped)?;
        self.state_machine.import(&import.finish()?)?;
        self.applied = meta.index;
        tracing::info!(group = self.group, index = meta.index, "snapshot installed");
        let saved = self.state_machine.save()?;
        self.rewrite(meta, saved)
    }

    fn compact_if_large(&mut self) -> Result<(), Storage> {
        if self.log.bytes() < self.compact_bytes || self.applied <= self.replica.base_index() {
            return Ok(());
        }
        let saved = self.state_machine.save()?;
        let meta = self.replica.meta_at(self.applied);
        // Whoever gets a snapshot now needs the entries after it next.
        let sent = self.replica.snapshots().map(|(_, index)| index).min();
        let trail = self.applied.saturating_sub(TRAIL);
        self.replica.compact(sent.map_or(trail, |index| index.min(trail)));
        self.rewrite(&meta, saved)
    }

    fn rewrite(&mut self, meta: &Meta, state: Vec<u8>) -> Result<(), Storage> {
        let hard_state = self.replica.hard_state();
        let snapshot = Record::Snapshot { index: meta.index, meta: machine::encode(meta)?, state };
        let mut all = vec![snapshot];
        let entries = self.replica.entries_after(meta.index);
        all.extend(records(Some((hard_state.term, hard_state.vote)), None, &entries)?);
        self.log.rewrite(&all)?;
        self.state_machine.prune()
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
            leader: self.leader_name(),
            members: voters.chain(learners).collect(),
            is_settled: self.replica.is_settled(),
            ..std::mem::take(&mut self.status)
        };
        let status = &self.status;
        self.publish.send_if_modified(|published| {
            let is_new = published != status;
            if is_new {
                *published = status.clone();
            }
            is_new
        });
    }
}

fn records(
    hard_state: Option<(u64, Option<Id>)>,
    truncate: Option<u64>,
    entries: &[Entry],
) -> Result<Vec<Record>, Storage> {
    let mut records = Vec::new();
    if let Some((term, vote)) = hard_state {
        let hard_state = coordination::consensus::HardState { term, vote };
        records.push(Record::Meta(machine::encode(&hard_state)?));
    }
    records.extend(truncate.map(Record::Truncate));
    for entry in entries {
        records.push(Record::Entry { index: entry.index, body: machine::encode(entry)? });
    }
    Ok(records)
}
