//! A simulated host: an entry and, with a disk, a replica of both journals.

use coordination::Millis;
use coordination::consensus::{
    Entry as LogEntry, HardState, Id, Members, Message, Meta, Payload, Peer, Replacement, Replica,
    Restored, Settings as Consensus, StartMode,
};
use coordination::entry::{self, Entry};
use coordination::lease::{self, Registry};
use state::collections::Map;
use state::control::Control;
use state::history::Memory;
use state::journal::{Record, Recovery};
use state::machine::{self, Export, Import, StateMachine};
use state::program::Shard;

/// Index of the control journal's replica group.
pub(crate) const CONTROL: usize = 0;

/// Index of the replica group of the programs' journal.
pub(crate) const SHARD: usize = 1;

/// Log size at which a journal is compacted, in entries.
const COMPACT_ENTRIES: u64 = 60;

/// A request to the leader of a journal.
#[derive(Debug, Clone)]
pub(crate) enum Rpc {
    Submit(Vec<u8>),
    Query(Vec<u8>),
    Renew { holder: state::id::Holder, version: u64 },
}

/// Sender of a request: its host and the number of the request there.
pub(crate) type Origin = (usize, u64);

/// Reply of a journal.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    Data(Vec<u8>),
    NotLeader,
    Granted { snapshot: Box<state::control::Snapshot>, in_force: u64 },
    LeaseRefused,
}

/// A replica of one journal, with its disk in memory.
pub(crate) struct Group {
    pub(crate) id: Id,
    pub(crate) replica: Replica,
    pub(crate) machine: Box<dyn StateMachine>,
    pub(crate) disk: Recovery,
    pub(crate) applied: u64,
    pub(crate) fails_sync: bool,
    pub(crate) is_stopped: bool,
    pub(crate) syncs: u64,
    exports: Map<Id, Box<dyn Export>>,
    import: Option<Box<dyn Import>>,
    replacements: Vec<Replacement>,
    pending: Map<u64, (Origin, Rpc)>,
    reads: Vec<(u64, u64)>,
    next_token: u64,
}

/// Messages and replies that a replica sends.
#[derive(Default)]
pub(crate) struct Outbox {
    pub(crate) messages: Vec<(Id, Message)>,
    pub(crate) replies: Vec<(Origin, Rpc, Option<Vec<u8>>)>,
}

fn new_machine(group: usize) -> Box<dyn StateMachine> {
    match group {
        CONTROL => Box::new(Control::default()),
        _ => Box::new(Shard::new(Box::new(Memory::default()))),
    }
}

/// Complete state of a state machine.
pub(crate) fn export_state(machine: &dyn StateMachine) -> Vec<u8> {
    let export = machine.export().unwrap();
    export.read(0, usize::try_from(export.size()).unwrap()).unwrap()
}

impl Group {
    /// Starts a replica from its disk's content.
    pub(crate) fn start(
        group: usize,
        id: Id,
        initial_members: &Members,
        disk: Recovery,
        now: Millis,
        seed: u64,
    ) -> Self {
        let mut machine = new_machine(group);
        let hard_state =
            disk.meta.as_ref().map_or(HardState::default(), |m| machine::decode(m).unwrap());
        let mut snapshot = Meta::default();
        if let Some((_, meta, state)) = &disk.snapshot {
            snapshot = machine::decode(meta).unwrap();
            machine.import(state).unwrap();
        }
        let entries: Vec<LogEntry> =
            disk.entries.iter().map(|(_, body)| machine::decode(body).unwrap()).collect();
        let applied = snapshot.index;
        let restored = Restored { hard_state, snapshot, entries };
        // Small chunks, so that faults occur between them.
        let settings = Consensus {
            election_ms: 200,
            heartbeat_ms: 40,
            chunk_bytes: 1024,
            ..Consensus::default()
        };
        let replica = Replica::new(id, settings, seed, now, restored, initial_members);
        Self {
            id,
            replica,
            machine,
            disk,
            applied,
            fails_sync: false,
            is_stopped: false,
            syncs: 0,
            exports: Map::default(),
            import: None,
            replacements: Vec::new(),
            pending: Map::default(),
            reads: Vec::new(),
            next_token: 0,
        }
    }

    /// Starts to handle a request; its reply follows once it is committed or readable.
    pub(crate) fn handle_rpc(&mut self, now: Millis, origin: Origin, rpc: Rpc, out: &mut Outbox) {
        self.next_token += 1;
        let token = self.next_token;
        let result = match &rpc {
            Rpc::Submit(data) => self.replica.propose(now, token, data.clone()),
            Rpc::Query(_) | Rpc::Renew { .. } => self.replica.read(now, token).map_err(Into::into),
        };
        match result {
            Ok(()) => drop(self.pending.insert(token, (origin, rpc))),
            Err(_) => out.replies.push((origin, rpc, None)),
        }
    }

    /// Starts to replace an instance's lost replica by the one with the identity `id`.
    pub(crate) fn join(&mut self, instance: &str, id: Id) {
        if self.replica.is_leader()
            && !self.replacements.iter().any(|replacement| replacement.id == id)
        {
            self.replacements.push(Replacement::new(instance, id));
        }
    }

    /// Performs all work that the replica has ready.
    pub(crate) fn process_ready(&mut self, now: Millis, out: &mut Outbox) {
        let replica = &mut self.replica;
        self.replacements
            .retain_mut(|replacement| replica.is_leader() && !replacement.advance(now, replica));
        while !self.is_stopped {
            let ready = self.replica.ready();
            if ready.is_empty() {
                break;
            }
            out.messages.extend(ready.messages);
            for chunk in ready.chunks {
                if chunk.offset == 0 {
                    self.import = Some(self.machine.importer().unwrap());
                }
                self.import.as_mut().unwrap().receive(&chunk.data).unwrap();
            }
            if let Some(meta) = ready.install {
                let state = self.import.take().unwrap().finish().unwrap();
                self.machine.import(&state).unwrap();
                self.applied = meta.index;
                self.snapshot(&meta, state);
            }
            let last = ready.entries.last().map(|entry| entry.index);
            self.persist(ready.hard_state, ready.truncate, &ready.entries);
            if self.is_stopped {
                return;
            }
            if let Some(last) = last {
                self.replica.synced(last);
            }
            out.messages.extend(ready.persisted_messages);
            for (entry, token) in ready.committed {
                self.apply(entry, token, out);
            }
            self.reads.extend(ready.reads);
            for token in ready.dropped {
                self.pending.remove(&token);
            }
            for peer in ready.snapshot_targets {
                let meta = self.replica.meta_at(self.applied);
                let export = self.machine.export().unwrap();
                self.replica.start_snapshot(peer, meta, export.size());
                self.exports.insert(peer, export);
            }
            for request in ready.chunk_requests {
                let export = &self.exports[&request.to];
                let data = export.read(request.offset, request.len).unwrap();
                self.replica.send_chunk(&request, data);
            }
            self.compact();
        }
        self.answer_reads(out);
    }

    fn persist(
        &mut self,
        hard_state: Option<HardState>,
        truncate: Option<u64>,
        entries: &[LogEntry],
    ) {
        if hard_state.is_none() && truncate.is_none() && entries.is_empty() {
            return;
        }
        if self.fails_sync {
            self.is_stopped = true;
            return;
        }
        self.syncs += 1;
        if let Some(hard_state) = hard_state {
            self.disk.replay(Record::Meta(machine::encode(&hard_state).unwrap()));
        }
        if let Some(from) = truncate {
            self.disk.replay(Record::Truncate(from));
        }
        for entry in entries {
            let body = machine::encode(entry).unwrap();
            self.disk.replay(Record::Entry { index: entry.index, body });
        }
    }

    fn apply(&mut self, entry: LogEntry, token: Option<u64>, out: &mut Outbox) {
        if entry.index <= self.applied {
            return;
        }
        self.applied = entry.index;
        let Payload::Data(data) = entry.payload else {
            return;
        };
        let reply = self.machine.apply(&data).unwrap();
        if let Some((origin, rpc)) = token.and_then(|token| self.pending.remove(&token)) {
            out.replies.push((origin, rpc, Some(reply)));
        }
    }

    fn answer_reads(&mut self, out: &mut Outbox) {
        let applied = self.applied;
        for (token, _) in self.reads.extract_if(.., |(_, index)| *index <= applied) {
            let Some((origin, rpc)) = self.pending.remove(&token) else {
                continue;
            };
            let view = match &rpc {
                Rpc::Query(query) => self.machine.query(query).unwrap(),
                _ => Vec::new(),
            };
            out.replies.push((origin, rpc, Some(view)));
        }
    }

    fn snapshot(&mut self, meta: &Meta, state: Vec<u8>) {
        let entries = self.replica.entries_after(0);
        let hard_state = self.replica.hard_state();
        self.disk = Recovery::default();
        let meta_bytes = machine::encode(meta).unwrap();
        self.disk.replay(Record::Snapshot { index: meta.index, meta: meta_bytes, state });
        self.persist(Some(hard_state), None, &entries);
    }

    fn compact(&mut self) {
        if self.applied < self.replica.base_index() + COMPACT_ENTRIES {
            return;
        }
        let meta = self.replica.compact(self.applied);
        let state = export_state(self.machine.as_ref());
        self.snapshot(&meta, state);
    }
}

/// One simulated instance.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) is_alive: bool,
    pub(crate) frozen_until: Millis,
    /// Incremented when the process ends or starts; events for an earlier incarnation are
    /// dropped.
    pub(crate) incarnation: u32,
    pub(crate) entry: Entry,
    pub(crate) holder: Option<state::id::Holder>,
    pub(crate) renew_due: Millis,
    pub(crate) is_renewing: bool,
    pub(crate) groups: Vec<Group>,
    pub(crate) has_disk: bool,
    pub(crate) initial_members: Members,
    pub(crate) id: Id,
    pub(crate) registry: Option<(u64, Registry)>,
}

/// Lease settings of the simulation.
pub(crate) const LEASE: lease::Settings =
    lease::Settings { length_ms: 1_000, renew_ms: 200, margin_ms: 100 };

pub(crate) fn new_entry(seed: u64) -> Entry {
    let settings =
        entry::Settings { queue_wait_ms: 20_000, attempts_limit: 30, ..entry::Settings::default() };
    Entry::new(settings, 0, seed)
}

impl Host {
    /// The leader's registry of leases, if this host leads the control journal.
    pub(crate) fn registry(&mut self, now: Millis) -> Option<&mut Registry> {
        let control = self.groups.get(CONTROL)?;
        if control.is_stopped || !control.replica.is_established() {
            self.registry = None;
            return None;
        }
        let term = control.replica.term();
        if self.registry.as_ref().is_none_or(|(led_term, _)| *led_term != term) {
            self.registry = Some((term, Registry::new(LEASE, now)));
        }
        self.registry.as_mut().map(|(_, registry)| registry)
    }

    /// Starts the replicas from their disks. A replica whose disk was wiped starts as an initial
    /// member or with a new identity, as the peers' states require.
    pub(crate) fn start_groups(
        &mut self,
        disks: Vec<Recovery>,
        peers: &[Peer],
        configured_names: &[String],
        now: Millis,
        seed: u64,
    ) {
        let is_wiped = disks.is_empty();
        if is_wiped {
            match StartMode::decide(&self.name, configured_names, peers) {
                StartMode::InitialMember(members) => {
                    self.id = coordination::consensus::initial_id(&self.name);
                    self.initial_members = members;
                }
                StartMode::Learner => {
                    self.id = seed | 1 << 63;
                    self.initial_members = Members::default();
                }
                StartMode::Wait => return,
            }
        }
        let mut disks = disks.into_iter();
        self.groups = (CONTROL..=SHARD)
            .map(|group| {
                let disk = disks.next().unwrap_or_default();
                Group::start(group, self.id, &self.initial_members, disk, now, seed + group as u64)
            })
            .collect();
    }
}
