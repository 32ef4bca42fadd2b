//! State of one replica and its interface to the caller.
//!
//! The caller feeds messages, clock ticks and proposals into a [`Replica`] and carries out the
//! work that it returns in [`Ready`]: persisting, sending and applying.

use crate::Millis;
use crate::consensus::leader::Leadership;
use crate::consensus::log::{Entry, Log, Members, Payload};
use crate::consensus::message::{Message, Meta};
use crate::consensus::snapshot::{Chunk, ChunkMessage, ChunkRequest, Incoming};
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Divisor of the minimum election timeout that gives the minimum delay before a pre-vote of a
/// replica without a leader; the delay must cover several round trips between failure domains.
const PRE_VOTE_DIVISOR: Millis = 4;

/// Identity of a replica's data folder; a folder that was wiped gets a new identity.
pub type Id = u64;

/// Timing and limits of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Minimum election timeout, in milliseconds; the randomized maximum is twice as long.
    pub election_ms: Millis,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: Millis,
    /// Maximum size of the entries in one message, in bytes; a larger entry is sent alone.
    pub batch_bytes: usize,
    /// Size of a snapshot chunk, in bytes.
    pub chunk_bytes: usize,
    /// Maximum number of snapshot chunks in flight to one replica.
    pub chunk_window: usize,
    /// Number of connections on which snapshot chunks to one replica take turns; one alone carries
    /// about half of a link of 600 Mbit/s.
    pub chunk_lanes: usize,
    /// Maximum number of append messages with entries in flight to one replica.
    pub window: usize,
    /// Maximum size of the entries in flight to one replica, in bytes; a larger entry is sent
    /// alone. Must fit into the transport's queue of a peer, which drops what exceeds it.
    pub window_bytes: u64,
    /// Maximum number of applied entries that stay in memory, so that a replica that was
    /// disconnected for a few seconds catches up without a snapshot.
    pub trailing_entries: u64,
    /// Maximum size of the applied entries that stay in memory, in bytes; the limit is lower if
    /// the state is smaller.
    pub trailing_bytes: u64,
    /// Maximum size of the entries that stay in memory for a replica that is receiving a
    /// snapshot, in bytes.
    pub pinned_bytes: u64,
    /// Size of the entries that wait for a quorum above which proposals are refused, in bytes.
    pub uncommitted_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_ms: 400,
            heartbeat_ms: 60,
            batch_bytes: 128 * 1024,
            chunk_bytes: 256 * 1024,
            chunk_window: 12,
            chunk_lanes: 3,
            window: 8,
            window_bytes: 2 * 1024 * 1024,
            trailing_entries: 2_000,
            trailing_bytes: 16 * 1024 * 1024,
            pinned_bytes: 32 * 1024 * 1024,
            uncommitted_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Term and vote, which must be durable before any message that depends on them is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Candidate that received this replica's vote in the current term.
    pub vote: Option<Id>,
}

/// State that a replica recovers from its disk.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// Persisted term and vote.
    pub hard_state: HardState,
    /// Snapshot from which the state machine was loaded.
    pub snapshot: Meta,
    /// Persisted entries that follow the snapshot.
    pub entries: Vec<Entry>,
}

/// Role of a replica in the current term.
#[derive(Debug)]
pub enum Role {
    /// Follows a leader, or waits for one to appear.
    Follower,
    /// Collects pre-votes; holds the replicas that granted one.
    PreCandidate(BTreeSet<Id>),
    /// Collects votes; holds the replicas that granted one.
    Candidate(BTreeSet<Id>),
    /// Leads the current term.
    Leader(Box<Leadership>),
}

/// Error of a request to a replica that is not the leader; holds the known leader, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not the leader; known leader: {0:?}")]
pub struct NotLeader(pub Option<Id>);

/// Error of a proposal, which was not appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another replica leads, if any.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// Too many bytes wait for a quorum; the proposal may be repeated later.
    #[error("too many bytes wait for a quorum")]
    Full,
}

/// Work that the caller must carry out, in the order of the fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages to send at once; they depend on none of the fields below.
    pub messages: Vec<(Id, Message)>,
    /// Received snapshot chunks, to be added to the snapshot being imported.
    pub chunks: Vec<Chunk>,
    /// Snapshot whose last chunk has arrived; it replaces the log and the state machine.
    pub install: Option<Meta>,
    /// Term and vote to persist.
    pub hard_state: Option<HardState>,
    /// First index to remove from the persisted log before `entries` are appended.
    pub truncate: Option<u64>,
    /// Entries to persist; the caller then calls [`Replica::synced`].
    pub entries: Vec<Entry>,
    /// Messages to send after everything above has become durable.
    pub persisted_messages: Vec<(Id, Message)>,
    /// Committed entries to apply, each with its token if it was proposed here.
    pub committed: Vec<(Entry, Option<u64>)>,
    /// Confirmed reads as (token, index): each may be served once the state machine has
    /// applied the entries up to the index.
    pub reads: Vec<(u64, u64)>,
    /// Tokens of proposals and reads abandoned when the leadership was lost; a proposal among
    /// them may still commit.
    pub dropped: Vec<u64>,
    /// Replicas that need a snapshot; the caller calls [`Replica::start_snapshot`] for each.
    pub snapshot_targets: Vec<Id>,
    /// Snapshot chunks to read; the caller passes each to [`Replica::send_chunk`].
    pub chunk_requests: Vec<ChunkRequest>,
}

impl Ready {
    /// Whether the caller has no work to carry out.
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

    /// Whether term, vote or log have changes to persist.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.truncate.is_some() || !self.entries.is_empty()
    }
}

/// One replica of a group.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: Id,
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) now: Millis,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    /// Members as of the last snapshot.
    pub(crate) base_members: Members,
    /// Members in effect, from the last membership entry, committed or not.
    pub(crate) members: Members,
    pub(crate) commit: u64,
    /// Highest committed index returned in [`Ready::committed`].
    pub(crate) delivered: u64,
    /// Highest index that the caller has persisted.
    pub(crate) synced: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<Id>,
    pub(crate) last_leader_contact: Option<Millis>,
    /// Time of the next pre-vote unless a leader makes contact before.
    pub(crate) election_due: Millis,
    pub(crate) incoming: Option<Incoming>,
    /// Size of the state machine's export as last told by the caller, in bytes.
    pub(crate) state_bytes: u64,
    pub(crate) ready: Ready,
}

impl Replica {
    /// Starts a replica from the state recovered from its disk.
    ///
    /// `initial` are the members in effect if the disk has neither a snapshot nor a membership
    /// entry; they are empty for a replica that joins as a learner.
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
            last_leader_contact: None,
            election_due: now,
            incoming: None,
            state_bytes: 0,
            ready: Ready::default(),
        };
        replica.refresh_members();
        replica.schedule_pre_vote();
        replica
    }

    /// Identity of this replica's data folder.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Current term; 0 before the first election.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica is the leader and has committed an entry of its term.
    pub fn is_established(&self) -> bool {
        self.is_leader() && self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Whether the last membership entry is committed.
    pub fn is_settled(&self) -> bool {
        self.log.members_index() <= self.commit
    }

    /// Members set by the last membership entry, committed or not.
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

    /// Last index covered by the snapshot.
    pub fn base_index(&self) -> u64 {
        self.log.base_index()
    }

    /// Term and vote, which must be durable like the entries.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Advances the clock, and starts an election or sends heartbeats if they are due.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_due {
            self.start_pre_vote();
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: Millis, from: Id, message: Message) {
        self.now = self.now.max(now);
        if self.must_ignore(&message) {
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

    /// Proposes a command; `token` is returned in [`Ready::committed`] or [`Ready::dropped`].
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if another replica leads, or if too many bytes wait for a quorum.
    pub fn propose(
        &mut self,
        now: Millis,
        token: u64,
        data: impl Into<Bytes>,
    ) -> Result<(), Refusal> {
        self.now = self.now.max(now);
        let data = data.into();
        self.check_room(data.len())?;
        Ok(self.append_local(Payload::Data(data), Some(token))?)
    }

    /// Records that the caller has persisted all entries up to `index`.
    pub fn synced(&mut self, index: u64) {
        self.synced = self.synced.max(index.min(self.log.last_index()));
        self.advance_commit();
    }

    /// Discards the entries up to the applied `index`, of which the caller saved a snapshot.
    pub fn compact(&mut self, index: u64) -> Meta {
        let meta = self.meta_at(index);
        self.base_members = meta.members.clone();
        self.log.compact(index);
        meta
    }

    /// Metadata of a snapshot that ends at `index`.
    pub fn meta_at(&self, index: u64) -> Meta {
        let term = self.log.term(index).unwrap_or(0);
        let members = self.log.members_at(index).unwrap_or(&self.base_members).clone();
        Meta { index, term, members }
    }

    /// All entries after `index` that are not compacted.
    pub fn entries_after(&self, index: u64) -> Vec<Entry> {
        self.log.range(index.max(self.log.base_index()) + 1, self.log.last_index())
    }

    /// Time at which [`Replica::tick`] next has an effect.
    pub fn due(&self) -> Millis {
        match &self.role {
            Role::Leader(leadership) => leadership.due(),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => self.election_due,
        }
    }

    /// Returns and clears the work that has accumulated for the caller.
    pub fn ready(&mut self) -> Ready {
        self.send_pending();
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

    /// Whether to discard the message before its term is examined: a vote request while a
    /// leader is known to be alive, unless that leader requested the election.
    fn must_ignore(&self, message: &Message) -> bool {
        match message {
            Message::Vote { is_transfer, .. } => !is_transfer && self.has_recent_leader(),
            _ => false,
        }
    }

    /// Whether this replica leads or had contact with the leader within the minimum election
    /// timeout.
    pub(crate) fn has_recent_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        let contact = self.last_leader_contact.filter(|_| self.leader.is_some());
        contact.is_some_and(|contact| self.now < contact + self.settings.election_ms)
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
        self.schedule_election();
    }

    /// Schedules a pre-vote after a randomized election timeout.
    pub(crate) fn schedule_election(&mut self) {
        let min_delay = self.settings.election_ms;
        self.election_due = self.now + min_delay + self.rng.random_range(0..=min_delay);
    }

    /// Schedules a pre-vote after a fraction of the election timeout. It may come sooner than an
    /// election, since it does not affect replicas that have recent contact with a leader.
    pub(crate) fn schedule_pre_vote(&mut self) {
        let min_delay = (self.settings.election_ms / PRE_VOTE_DIVISOR).max(1);
        self.election_due = self.now + min_delay + self.rng.random_range(0..=min_delay);
    }

    pub(crate) fn refresh_members(&mut self) {
        let last = self.log.last_index();
        self.members = self.log.members_at(last).unwrap_or(&self.base_members).clone();
    }
}
