//! State of one replica and the border to its caller.

use crate::Millis;
use crate::consensus::leader::Leadership;
use crate::consensus::log::{Entry, Log, Members, Payload};
use crate::consensus::message::{Message, Meta};
use crate::consensus::snapshot::{Chunk, ChunkMessage, ChunkRequest, Incoming};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Part of the shortest election time after which a replica without a leader asks whether an
/// election would succeed; some round trips between failure domains.
const PRE_VOTE_SHARE: Millis = 4;

/// Identity of a data folder; a wiped folder gets a new one.
pub type Id = u64;

/// Timing and limits of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Shortest time without a leader before an election; the longest is twice as much.
    pub election_ms: Millis,
    /// Time between heartbeats.
    pub heartbeat_ms: Millis,
    /// Largest batch of entries in one message, in bytes.
    pub batch_bytes: usize,
    /// Size of one snapshot part, in bytes.
    pub chunk_bytes: usize,
    /// Snapshot parts under way to one replica.
    pub chunk_window: usize,
    /// Messages under way to one replica.
    pub window: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_ms: 400,
            heartbeat_ms: 60,
            batch_bytes: 128 * 1024,
            chunk_bytes: 256 * 1024,
            chunk_window: 4,
            window: 8,
        }
    }
}

/// Term and vote, which must be durable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Candidate that got this replica's vote in the term.
    pub vote: Option<Id>,
}

/// What a replica finds on its disk.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Snapshot that the machine was loaded from.
    pub snapshot: Meta,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// Role in the current term.
#[derive(Debug)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate(BTreeSet<Id>),
    /// Asks for votes.
    Candidate(BTreeSet<Id>),
    /// Leads the term.
    Leader(Box<Leadership>),
}

/// The replica does not lead; the caller may try the hinted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not the leader; known leader: {0:?}")]
pub struct NotLeader(pub Option<Id>);

/// What the caller must do, in the order of the fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages that depend on nothing below.
    pub messages: Vec<(Id, Message)>,
    /// Parts of a snapshot to take.
    pub chunks: Vec<Chunk>,
    /// Snapshot whose last part has come; it replaces journal and machine.
    pub install: Option<Meta>,
    /// Term and vote to persist.
    pub hard_state: Option<HardState>,
    /// First index to drop before appending.
    pub truncate: Option<u64>,
    /// Entries to persist; afterwards the caller reports [`Replica::synced`].
    pub entries: Vec<Entry>,
    /// Messages to send once everything above is durable.
    pub persisted_messages: Vec<(Id, Message)>,
    /// Committed entries to apply, with the token of a local proposal.
    pub committed: Vec<(Entry, Option<u64>)>,
    /// Reads that may be answered after applying up to the index.
    pub reads: Vec<(u64, u64)>,
    /// Tokens of proposals and reads whose outcome is not known here.
    pub dropped: Vec<u64>,
    /// Replicas that need a snapshot; the caller calls [`Replica::start_snapshot`].
    pub snapshot_targets: Vec<Id>,
    /// Parts of snapshots to read; the caller calls [`Replica::send_chunk`].
    pub chunk_requests: Vec<ChunkRequest>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.chunks.is_empty()
            && self.install.is_none()
            && self.hard_state.is_none()
            && self.truncate.is_none()
            && self.entries.is_empty()
            && self.persisted_messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.dropped.is_empty()
            && self.snapshot_targets.is_empty()
            && self.chunk_requests.is_empty()
    }

    /// Whether the journal must be written.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.truncate.is_some() || !self.entries.is_empty()
    }
}

/// One replica of a journal.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: Id,
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) now: Millis,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) base_members: Members,
    pub(crate) members: Members,
    pub(crate) commit: u64,
    pub(crate) delivered: u64,
    pub(crate) synced: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<Id>,
    pub(crate) leader_seen: Option<Millis>,
    pub(crate) election_due: Millis,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) ready: Ready,
}

impl Replica {
    /// Starts a replica from what its disk held.
    ///
    /// `initial` are the members if the disk names none; a learner starts with none.
    pub fn new(
        id: Id,
        settings: Settings,
        seed: u64,
        now: Millis,
        restored: Restored,
        initial: &Members,
    ) -> Self {
        let snapshot = restored.snapshot;
        let base_members =
            if snapshot.index == 0 { initial.clone() } else { snapshot.members.clone() };
        let log = Log::new(snapshot.index, snapshot.term, restored.entries);
        let mut replica = Self {
            id,
            settings,
            rng: StdRng::seed_from_u64(seed),
            now,
            hard_state: restored.hard_state,
            synced: log.last_index(),
            log,
            members: base_members.clone(),
            base_members,
            commit: snapshot.index,
            delivered: snapshot.index,
            role: Role::Follower,
            leader: None,
            leader_seen: None,
            election_due: now,
            incoming: None,
            ready: Ready::default(),
        };
        replica.refresh_members();
        replica.reset_pre_vote();
        replica
    }

    /// Identity of this replica.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Known leader of the term.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica leads and has committed an entry of its own term.
    pub fn is_established(&self) -> bool {
        self.is_leader() && self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Whether the last membership entry is committed.
    pub fn is_settled(&self) -> bool {
        self.log.members_index() <= self.commit
    }

    /// Members of the last membership entry, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Highest committed index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Highest appended index.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the last snapshot.
    pub fn base_index(&self) -> u64 {
        self.log.base_index()
    }

    /// What must be durable besides entries.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Advances the clock; starts elections and sends heartbeats that are due.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_due {
            self.start_pre_vote();
        }
    }

    /// Handles a message of another replica.
    pub fn receive(&mut self, now: Millis, from: Id, message: Message) {
        self.now = self.now.max(now);
        if self.ignores(&message) {
            return;
        }
        self.observe_term(&message);
        match message {
            Message::Vote { term, is_pre_vote, last_index, last_term, .. } => {
                self.on_vote(from, term, is_pre_vote, last_index, last_term);
            }
            Message::VoteReply { term, is_pre_vote, is_granted } => {
                self.on_vote_reply(from, term, is_pre_vote, is_granted);
            }
            Message::Append { term, prev_index, prev_term, entries, commit, round } => {
                self.on_append(from, term, (prev_index, prev_term), entries, commit, round);
            }
            Message::AppendReply { term, is_ok, index, round } => {
                self.on_append_reply(from, term, is_ok, index, round);
            }
            Message::Chunk { term, meta, number, offset, total, digest, data } => {
                let chunk = ChunkMessage { term, meta, number, offset, total, digest, data };
                self.on_chunk(from, chunk);
            }
            Message::ChunkReply { term, number, offset } => {
                self.on_chunk_reply(from, term, number, offset);
            }
            Message::Transfer { term } => self.on_transfer(term),
        }
    }

    /// Proposes a command; `token` comes back in [`Ready::committed`] or [`Ready::dropped`].
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] if another replica leads.
    pub fn propose(&mut self, now: Millis, token: u64, data: Vec<u8>) -> Result<(), NotLeader> {
        self.now = self.now.max(now);
        self.append_own(Payload::Data(data), Some(token))
    }

    /// The caller persisted all entries up to `index`.
    pub fn synced(&mut self, index: u64) {
        self.synced = self.synced.max(index.min(self.log.last_index()));
        self.advance_commit();
    }

    /// The caller saved a snapshot of the machine that ends at the applied `index`.
    pub fn compact(&mut self, index: u64) -> Meta {
        let meta = self.meta_at(index);
        self.base_members = meta.members.clone();
        self.log.compact(index);
        meta
    }

    /// Describes a snapshot that ends at `index`.
    pub fn meta_at(&self, index: u64) -> Meta {
        let term = self.log.term(index).unwrap_or(0);
        let members = self.log.members_at(index).unwrap_or(&self.base_members).clone();
        Meta { index, term, members }
    }

    /// Entries after `index`.
    pub fn entries_after(&self, index: u64) -> Vec<Entry> {
        self.log.range(index.max(self.log.base_index()) + 1, self.log.last_index())
    }

    /// When [`Replica::tick`] has something to do.
    pub fn due(&self) -> Millis {
        match &self.role {
            Role::Leader(leadership) => leadership.due(),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => self.election_due,
        }
    }

    /// Takes what the caller must do.
    pub fn ready(&mut self) -> Ready {
        self.send_owed_round();
        self.deliver();
        std::mem::take(&mut self.ready)
    }

    fn deliver(&mut self) {
        if self.delivered >= self.commit {
            return;
        }
        for entry in self.log.range(self.delivered + 1, self.commit) {
            self.delivered = entry.index;
            let token = match &mut self.role {
                Role::Leader(leadership) => leadership.tokens.remove(&entry.index),
                _ => None,
            };
            self.ready.committed.push((entry, token));
        }
    }

    /// Whether a message must not even change the term.
    fn ignores(&self, message: &Message) -> bool {
        match message {
            Message::Vote { is_transfer, .. } => !is_transfer && self.hears_leader(),
            _ => false,
        }
    }

    /// Whether a leader was heard within the shortest election time.
    pub(crate) fn hears_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        let seen = self.leader_seen.filter(|_| self.leader.is_some());
        seen.is_some_and(|seen| self.now < seen + self.settings.election_ms)
    }

    fn observe_term(&mut self, message: &Message) {
        let is_pre_vote = matches!(
            message,
            Message::Vote { is_pre_vote: true, .. }
                | Message::VoteReply { is_pre_vote: true, is_granted: true, .. }
        );
        if !is_pre_vote && message.term() > self.hard_state.term {
            self.become_follower(message.term(), None);
        }
    }

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<Id>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.ready.hard_state = Some(self.hard_state);
        }
        if let Role::Leader(leadership) = std::mem::replace(&mut self.role, Role::Follower) {
            self.ready.dropped.extend(leadership.into_tokens());
        }
        self.leader = leader;
        self.reset_election();
    }

    pub(crate) fn reset_election(&mut self) {
        let shortest = self.settings.election_ms;
        self.election_due = self.now + shortest + self.rng.random_range(0..=shortest);
    }

    /// Asks sooner than an election would: a pre-vote disturbs nobody who hears a leader.
    pub(crate) fn reset_pre_vote(&mut self) {
        let shortest = (self.settings.election_ms / PRE_VOTE_SHARE).max(1);
        self.election_due = self.now + shortest + self.rng.random_range(0..=shortest);
    }

    pub(crate) fn refresh_members(&mut self) {
        let last = self.log.last_index();
        self.members = self.log.members_at(last).unwrap_or(&self.base_members).clone();
    }
}
