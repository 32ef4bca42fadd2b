//! Replication and reads on the leader.
//!
//! The leader tracks the progress of every other replica, sends entries, heartbeats and
//! snapshots, advances the commit index and confirms reads with rounds of heartbeats.

use crate::Millis;
use crate::consensus::log::{Entry, Members, Payload};
use crate::consensus::message::Message;
use crate::consensus::replica::{Id, NotLeader, Replica, Role};
use crate::consensus::snapshot::Outgoing;
use std::collections::{BTreeMap, VecDeque};

/// Number of minimum election timeouts without a reply after which a replica is sent only
/// heartbeats.
const UNREACHABLE_ELECTIONS: Millis = 2;

/// State that a leader keeps for the duration of its term.
#[derive(Debug)]
pub struct Leadership {
    pub(crate) peers: BTreeMap<Id, Progress>,
    /// Tokens of uncommitted local proposals, by index.
    pub(crate) tokens: BTreeMap<u64, u64>,
    /// Unconfirmed reads, oldest first.
    reads: VecDeque<Read>,
    /// Last heartbeat round that was sent to confirm reads.
    round: u64,
    /// Whether reads wait for a heartbeat round that has not been sent.
    is_round_pending: bool,
    /// Whether entries were appended that have not been offered to the other replicas.
    has_new_entries: bool,
    heartbeat_due: Millis,
    /// Time at which this replica became the leader.
    since: Millis,
    /// Number of snapshots started in this term; numbers the next one.
    pub(crate) snapshots: u64,
}

/// Replication progress of another replica, as known to the leader.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Highest index known to match the leader's log and to be durable.
    matched: u64,
    /// Index of the next entry to send.
    pub(crate) next: u64,
    /// Index after which entries were sent since the last rewind.
    sent_after: u64,
    /// Estimated number of append messages with entries that are not acknowledged; every
    /// successful reply reduces it by one.
    pub(crate) in_flight: usize,
    pub(crate) last_reply: Option<Millis>,
    /// Time at which entries were last sent or snapshot chunks last requested.
    pub(crate) last_sent: Millis,
    /// Highest heartbeat round that the replica has acknowledged.
    round: u64,
    pub(crate) snapshot: Option<Outgoing>,
    /// Whether the caller was told to start a snapshot and has not done so yet.
    pub(crate) is_snapshot_pending: bool,
}

/// A read that waits until a quorum acknowledges its heartbeat round.
#[derive(Debug)]
struct Read {
    token: u64,
    /// Index that must be committed before the read is served.
    index: u64,
    /// Heartbeat round that must be acknowledged.
    round: u64,
}

impl Leadership {
    /// Heartbeat round that was last sent to confirm reads.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    /// Time at which the next heartbeat is due.
    pub(crate) fn due(&self) -> Millis {
        self.heartbeat_due
    }

    pub(crate) fn into_tokens(self) -> impl Iterator<Item = u64> {
        self.tokens.into_values().chain(self.reads.into_iter().map(|read| read.token))
    }
}

impl Progress {
    fn new(next: u64, now: Millis) -> Self {
        Self {
            matched: 0,
            next,
            sent_after: next.saturating_sub(1),
            in_flight: 0,
            last_reply: None,
            last_sent: now,
            round: 0,
            snapshot: None,
            is_snapshot_pending: false,
        }
    }

    /// Index after which the sent entries are not confirmed.
    pub(crate) fn first_unconfirmed(&self) -> u64 {
        self.matched.max(self.sent_after)
    }

    /// Continues with the entry `next`; entries in flight are taken to be lost.
    pub(crate) fn rewind_to(&mut self, next: u64) {
        self.next = next;
        self.sent_after = next.saturating_sub(1);
        self.in_flight = 0;
    }
}

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        let next = self.log.last_index() + 1;
        let others = self.members.others(self.id);
        let peers = others.into_iter().map(|id| (id, Progress::new(next, self.now))).collect();
        self.role = Role::Leader(Box::new(Leadership {
            peers,
            tokens: BTreeMap::new(),
            reads: VecDeque::new(),
            round: 0,
            is_round_pending: false,
            has_new_entries: false,
            heartbeat_due: self.now,
            since: self.now,
            snapshots: 0,
        }));
        self.leader = Some(self.id);
        // Entries of earlier terms commit only along with an entry of the current term.
        let appended = self.append_local(Payload::Empty, None);
        debug_assert!(appended.is_ok());
    }

    pub(crate) fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn append_local(
        &mut self,
        payload: Payload,
        token: Option<u64>,
    ) -> Result<(), NotLeader> {
        let index = self.log.last_index() + 1;
        let known_leader = self.leader;
        let leadership = self.leadership_mut().ok_or(NotLeader(known_leader))?;
        leadership.has_new_entries = true;
        if let Some(token) = token {
            leadership.tokens.insert(index, token);
        }
        let changes_members = matches!(payload, Payload::Members(_));
        let entry = Entry { term: self.hard_state.term, index, payload };
        self.ready.entries.push(entry.clone());
        self.log.push(entry);
        if changes_members {
            self.refresh_members();
            self.refresh_peers();
        }
        Ok(())
    }

    fn refresh_peers(&mut self) {
        let others = self.members.others(self.id);
        let (next, now) = (self.log.last_index(), self.now);
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.peers.retain(|id, _| others.contains(id));
        for id in others {
            leadership.peers.entry(id).or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        if !self.has_quorum_contact() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let (now, heartbeat_ms) = (self.now, self.settings.heartbeat_ms);
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        if now >= leadership.heartbeat_due {
            leadership.heartbeat_due = now + heartbeat_ms;
            self.send_appends(true);
        }
    }

    /// Whether a quorum has replied within the maximum election timeout.
    fn has_quorum_contact(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let timeout = self.settings.election_ms * 2;
        let is_recent = |id: &Id| {
            *id == self.id
                || leadership
                    .peers
                    .get(id)
                    .is_some_and(|p| p.last_reply.unwrap_or(leadership.since) + timeout > self.now)
        };
        let recent = self.members.voters.keys().filter(|id| is_recent(id)).count();
        recent >= self.members.quorum()
    }

    fn send_appends(&mut self, is_heartbeat: bool) {
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let peers: Vec<Id> = leadership.peers.keys().copied().collect();
        peers.into_iter().for_each(|id| self.send_append(id, is_heartbeat));
    }

    fn send_append(&mut self, to: Id, is_heartbeat: bool) {
        let (base, last) = (self.log.base_index(), self.log.last_index());
        let (now, retry_ms) = (self.now, self.settings.election_ms);
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let (round, since) = (leadership.round, leadership.since);
        let Some(peer) = leadership.peers.get_mut(&to) else {
            return;
        };
        if peer.last_reply.unwrap_or(since) + retry_ms * UNREACHABLE_ELECTIONS <= now {
            // Entries and snapshots for an unreachable replica would accumulate in send queues.
            if is_heartbeat {
                self.send_heartbeat(to, round);
            }
            return;
        }
        let is_stalled = peer.last_sent + retry_ms <= now;
        if peer.next <= base || peer.snapshot.is_some() || peer.is_snapshot_pending {
            self.advance_snapshot(to, is_heartbeat);
            return;
        }
        if is_stalled && peer.in_flight > 0 {
            peer.rewind_to(peer.matched + 1);
        }
        let (next, has_replied) = (peer.next, peer.last_reply.is_some());
        if has_replied && self.needs_state(next) {
            self.advance_snapshot(to, is_heartbeat);
            return;
        }
        if !is_heartbeat && (next > last || self.is_window_full(to)) {
            return;
        }
        self.send_entries(to, round, is_heartbeat);
    }

    fn send_entries(&mut self, to: Id, round: u64, is_heartbeat: bool) {
        let (bytes, now, is_full) = (self.settings.batch_bytes, self.now, self.is_window_full(to));
        let Some(next) = self.leadership_mut().and_then(|l| l.peers.get(&to)).map(|p| p.next)
        else {
            return;
        };
        if next <= self.log.base_index() {
            return;
        }
        let Some(prev_term) = self.log.term(next - 1) else {
            return;
        };
        let mut entries = self.log.slice(next, bytes);
        let Some(peer) = self.leadership_mut().and_then(|l| l.peers.get_mut(&to)) else {
            return;
        };
        if is_heartbeat && is_full {
            entries.clear();
        }
        peer.next += entries.len() as u64;
        if !entries.is_empty() {
            peer.in_flight += 1;
            peer.last_sent = now;
        }
        let message = Message::Append {
            term: self.hard_state.term,
            prev_index: next - 1,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        self.ready.messages.push((to, message));
    }

    /// Sends a heartbeat without entries at the snapshot's index, to which a replica can reply
    /// whatever its log contains.
    pub(crate) fn send_heartbeat(&mut self, to: Id, round: u64) {
        let base = self.log.base_index();
        let prev_term = self.log.term(base).unwrap_or(0);
        let message = Message::Append {
            term: self.hard_state.term,
            prev_index: base,
            prev_term,
            entries: Vec::new(),
            commit: 0,
            round,
        };
        self.ready.messages.push((to, message));
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: Id,
        term: u64,
        is_ok: bool,
        index: u64,
        round: u64,
    ) {
        if term != self.hard_state.term {
            return;
        }
        let (now, last) = (self.now, self.log.last_index());
        let Some(peer) = self.leadership_mut().and_then(|l| l.peers.get_mut(&from)) else {
            return;
        };
        peer.last_reply = Some(now);
        peer.round = peer.round.max(round);
        if is_ok {
            peer.in_flight = peer.in_flight.saturating_sub(1);
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            if peer.snapshot.as_ref().is_some_and(|s| s.meta.index <= peer.matched) {
                peer.snapshot = None;
            }
        } else if peer.snapshot.is_none() {
            peer.rewind_to((index + 1).clamp(peer.matched + 1, last + 1));
        }
        let has_more = peer.next <= last;
        self.advance_commit();
        self.confirm_reads();
        if has_more {
            self.send_append(from, false);
        }
    }

    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let mut matched: Vec<u64> = self
            .members
            .voters
            .keys()
            .map(|id| match id {
                id if *id == self.id => self.synced,
                id => leadership.peers.get(id).map_or(0, |peer| peer.matched),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.members.quorum() - 1).copied() else {
            return;
        };
        if index <= self.commit || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit = index;
        if !self.members.is_voter(self.id) && index >= self.log.members_index() {
            // A committed membership change has removed this replica from the voters.
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.confirm_reads();
    }

    /// Starts a linearizable read; `token` is returned in [`crate::consensus::Ready::reads`]
    /// once a quorum has confirmed the leadership.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] if another replica leads.
    pub fn read(&mut self, now: Millis, token: u64) -> Result<(), NotLeader> {
        self.now = self.now.max(now);
        let (known_leader, index) = (self.leader, self.log.last_index());
        let is_established = self.is_established();
        let commit = self.commit;
        let leadership = self.leadership_mut().ok_or(NotLeader(known_leader))?;
        // Until an entry of the current term commits, entries of earlier terms may be committed
        // beyond the known commit index, so the read waits for the whole log.
        let index = if is_established { commit } else { index };
        leadership.is_round_pending = true;
        leadership.reads.push_back(Read { token, index, round: leadership.round + 1 });
        Ok(())
    }

    /// Sends all entries that were appended since the last call in as few messages as possible, and
    /// one round of heartbeats for all reads that arrived since the previous round. The more arrives
    /// at once, the less processor time each command takes.
    pub(crate) fn send_pending(&mut self) {
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let has_new_entries = std::mem::take(&mut leadership.has_new_entries);
        if std::mem::take(&mut leadership.is_round_pending) {
            leadership.round += 1;
            self.send_appends(true);
            self.confirm_reads();
        } else if has_new_entries {
            self.send_appends(false);
        }
    }

    fn confirm_reads(&mut self) {
        let (id, quorum, commit) = (self.id, self.members.quorum(), self.commit);
        let voters: Vec<Id> = self.members.voters.keys().copied().collect();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let mut rounds: Vec<u64> = voters
            .iter()
            .map(|voter| match voter {
                voter if *voter == id => u64::MAX,
                voter => leadership.peers.get(voter).map_or(0, |peer| peer.round),
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = rounds.get(quorum - 1).copied().unwrap_or(0);
        while let Some(read) = leadership.reads.front() {
            if read.round > confirmed || read.index > commit {
                return;
            }
            self.ready.reads.push((read.token, read.index));
            leadership.reads.pop_front();
        }
    }

    /// Transfers the leadership to the voter with the highest matched index.
    pub fn transfer(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let members = self.members.clone();
        let term = self.hard_state.term;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let voters = leadership.peers.iter().filter(|(id, _)| members.is_voter(**id));
        if let Some((to, _)) = voters.max_by_key(|(_, peer)| peer.matched) {
            let to = *to;
            self.ready.persisted_messages.push((to, Message::Transfer { term }));
        }
    }

    /// Proposes new members, whose voters may differ from the current ones in one replica.
    ///
    /// Returns `false` without a proposal if more voters differ, if an earlier change is not
    /// committed, or if this replica is not a leader that has committed an entry of its term.
    pub fn change_members(&mut self, now: Millis, members: Members) -> bool {
        self.now = self.now.max(now);
        if !self.is_established()
            || !self.is_settled()
            || !differs_in_one_voter(&self.members, &members)
        {
            return false;
        }
        self.append_local(Payload::Members(members), None).is_ok()
    }

    /// Index up to which the log of replica `id` is known to match and to be durable; `None`
    /// if this replica is not the leader or does not replicate to `id`.
    pub fn matched(&self, id: Id) -> Option<u64> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership.peers.get(&id)?.matched),
            _ => None,
        }
    }
}

/// Whether the voters differ in at most one replica, so that every old quorum overlaps with
/// every new one.
fn differs_in_one_voter(old: &Members, new: &Members) -> bool {
    let removed = old.voters.keys().filter(|id| !new.is_voter(**id)).count();
    let added = new.voters.keys().filter(|id| !old.is_voter(**id)).count();
    removed + added <= 1 && !new.voters.is_empty()
}
