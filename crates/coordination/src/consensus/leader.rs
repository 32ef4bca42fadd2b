//! What a leader does.

use crate::Millis;
use crate::consensus::log::{Entry, Members, Payload};
use crate::consensus::message::Message;
use crate::consensus::replica::{Id, NotLeader, Replica, Role};
use crate::consensus::snapshot::Outgoing;
use std::collections::{BTreeMap, VecDeque};

/// Times the shortest election time for which a replica may be silent before it gets
/// heartbeats only.
const SILENT_RETRIES: Millis = 2;

/// State of a leader's term.
#[derive(Debug)]
pub struct Leadership {
    pub(crate) peers: BTreeMap<Id, Progress>,
    pub(crate) tokens: BTreeMap<u64, u64>,
    reads: VecDeque<Read>,
    round: u64,
    /// Whether reads wait for a round that has not been sent.
    owes_round: bool,
    heartbeat_due: Millis,
    since: Millis,
    /// Snapshots offered in this term.
    pub(crate) snapshots: u64,
}

/// What the leader knows of another replica.
#[derive(Debug)]
pub(crate) struct Progress {
    matched: u64,
    pub(crate) next: u64,
    in_flight: usize,
    pub(crate) seen: Option<Millis>,
    /// When entries or parts of a snapshot were last sent.
    pub(crate) sent: Millis,
    round: u64,
    pub(crate) snapshot: Option<Outgoing>,
    /// Whether a snapshot was asked for that has not been offered.
    pub(crate) awaits_snapshot: bool,
}

/// A read that waits for a quorum.
#[derive(Debug)]
struct Read {
    token: u64,
    index: u64,
    round: u64,
}

impl Leadership {
    /// Current confirmation round.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    /// When the next heartbeat is due.
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
            in_flight: 0,
            seen: None,
            sent: now,
            round: 0,
            snapshot: None,
            awaits_snapshot: false,
        }
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
            owes_round: false,
            heartbeat_due: self.now,
            since: self.now,
            snapshots: 0,
        }));
        self.leader = Some(self.id);
        // An entry of the own term lets earlier terms' entries commit.
        let appended = self.append_own(Payload::Empty, None);
        debug_assert!(appended.is_ok());
    }

    pub(crate) fn leadership(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn leadership_view(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn append_own(
        &mut self,
        payload: Payload,
        token: Option<u64>,
    ) -> Result<(), NotLeader> {
        let index = self.log.last_index() + 1;
        let known = self.leader;
        let leadership = self.leadership().ok_or(NotLeader(known))?;
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
        self.send_appends(false);
        Ok(())
    }

    fn refresh_peers(&mut self) {
        let others = self.members.others(self.id);
        let (next, now) = (self.log.last_index(), self.now);
        let Some(leadership) = self.leadership() else {
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
        let Some(leadership) = self.leadership() else {
            return;
        };
        if now >= leadership.heartbeat_due {
            leadership.heartbeat_due = now + heartbeat_ms;
            self.send_appends(true);
        }
    }

    /// Whether a quorum answered within the longest election time.
    fn has_quorum_contact(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let horizon = self.settings.election_ms * 2;
        let is_recent = |id: &Id| {
            *id == self.id
                || leadership
                    .peers
                    .get(id)
                    .is_some_and(|peer| peer.seen.unwrap_or(leadership.since) + horizon > self.now)
        };
        let recent = self.members.voters.keys().filter(|id| is_recent(id)).count();
        recent >= self.members.quorum()
    }

    fn send_appends(&mut self, is_heartbeat: bool) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let peers: Vec<Id> = leadership.peers.keys().copied().collect();
        peers.into_iter().for_each(|id| self.send_append(id, is_heartbeat));
    }

    fn send_append(&mut self, to: Id, is_heartbeat: bool) {
        let (base, last, window) =
            (self.log.base_index(), self.log.last_index(), self.settings.window);
        let (now, retry_ms) = (self.now, self.settings.election_ms);
        let Some(leadership) = self.leadership() else {
            return;
        };
        let (round, since) = (leadership.round, leadership.since);
        let Some(peer) = leadership.peers.get_mut(&to) else {
            return;
        };
        if peer.seen.unwrap_or(since) + retry_ms * SILENT_RETRIES <= now {
            // Entries and exports for a replica that is gone would pile up on the way.
            if is_heartbeat {
                self.send_empty(to, round);
            }
            return;
        }
        let is_stalled = peer.sent + retry_ms <= now;
        if peer.next <= base || peer.snapshot.is_some() {
            self.advance_snapshot(to, is_heartbeat);
            return;
        }
        if is_stalled && peer.in_flight > 0 {
            peer.next = peer.matched + 1;
            peer.in_flight = 0;
        }
        if !is_heartbeat && (peer.in_flight >= window || peer.next > last) {
            return;
        }
        self.send_entries(to, round, is_heartbeat);
    }

    fn send_entries(&mut self, to: Id, round: u64, is_heartbeat: bool) {
        let (bytes, window, now) = (self.settings.batch_bytes, self.settings.window, self.now);
        let Some(next) = self.leadership().and_then(|l| l.peers.get(&to)).map(|p| p.next) else {
            return;
        };
        if next <= self.log.base_index() {
            return;
        }
        let Some(prev_term) = self.log.term(next - 1) else {
            return;
        };
        let mut entries = self.log.slice(next, bytes);
        let Some(peer) = self.leadership().and_then(|l| l.peers.get_mut(&to)) else {
            return;
        };
        if is_heartbeat && peer.in_flight >= window {
            entries.clear();
        }
        peer.next += entries.len() as u64;
        if !entries.is_empty() {
            peer.in_flight += 1;
            peer.sent = now;
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

    /// A heartbeat that any replica can answer, whatever its log holds.
    pub(crate) fn send_empty(&mut self, to: Id, round: u64) {
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
        let Some(peer) = self.leadership().and_then(|l| l.peers.get_mut(&from)) else {
            return;
        };
        peer.seen = Some(now);
        peer.round = peer.round.max(round);
        if is_ok {
            peer.in_flight = peer.in_flight.saturating_sub(1);
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            if peer.snapshot.as_ref().is_some_and(|s| s.meta.index <= peer.matched) {
                peer.snapshot = None;
            }
        } else if peer.snapshot.is_none() {
            peer.in_flight = 0;
            peer.next = (index + 1).clamp(peer.matched + 1, last + 1);
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
            // This replica was removed by a committed change.
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.confirm_reads();
    }

    /// Starts a read; `token` comes back in [`crate::consensus::Ready::reads`] once a
    /// quorum has confirmed the leadership.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] if another replica leads.
    pub fn read(&mut self, now: Millis, token: u64) -> Result<(), NotLeader> {
        self.now = self.now.max(now);
        let (known, index) = (self.leader, self.log.last_index());
        let is_established = self.is_established();
        let commit = self.commit;
        let leadership = self.leadership().ok_or(NotLeader(known))?;
        // Before the first own commit the true commit index is not known.
        let index = if is_established { commit } else { index };
        leadership.owes_round = true;
        leadership.reads.push_back(Read { token, index, round: leadership.round + 1 });
        Ok(())
    }

    /// Sends one round of heartbeats for all reads that came since the last one.
    pub(crate) fn send_owed_round(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        if std::mem::take(&mut leadership.owes_round) {
            leadership.round += 1;
            self.send_appends(true);
            self.confirm_reads();
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

    /// Hands the leadership to the voter that has the most.
    pub fn transfer(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let members = self.members.clone();
        let term = self.hard_state.term;
        let Some(leadership) = self.leadership() else {
            return;
        };
        let voters = leadership.peers.iter().filter(|(id, _)| members.is_voter(**id));
        if let Some((to, _)) = voters.max_by_key(|(_, peer)| peer.matched) {
            let to = *to;
            self.ready.persisted_messages.push((to, Message::Transfer { term }));
        }
    }

    /// Proposes new members that differ from the current ones in one replica.
    ///
    /// Refuses by returning `false` while an earlier change is not committed or the
    /// leader has not committed an entry of its own term.
    pub fn change_members(&mut self, now: Millis, members: Members) -> bool {
        self.now = self.now.max(now);
        if !self.is_established() || !self.is_settled() || !differs_in_one(&self.members, &members)
        {
            return false;
        }
        self.append_own(Payload::Members(members), None).is_ok()
    }

    /// Index up to which the other replica is known to be equal and synced.
    pub fn matched(&self, id: Id) -> Option<u64> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership.peers.get(&id)?.matched),
            _ => None,
        }
    }
}

/// Whether the voters differ in at most one replica, so that old and new quorums overlap.
fn differs_in_one(old: &Members, new: &Members) -> bool {
    let gone = old.voters.keys().filter(|id| !new.is_voter(**id)).count();
    let come = new.voters.keys().filter(|id| !old.is_voter(**id)).count();
    gone + come <= 1 && !new.voters.is_empty()
}
