//! Leader election: pre-votes, votes and leadership transfer.
//!
//! A replica first collects pre-votes, which change no state, and raises its term only if a
//! quorum would vote for it. A partitioned replica therefore does not raise the term. An
//! election that the leader requests to transfer its leadership skips the pre-vote.

use crate::consensus::message::Message;
use crate::consensus::replica::{HardState, Id, Replica, Role};
use std::collections::BTreeSet;

impl Replica {
    pub(crate) fn start_pre_vote(&mut self) {
        self.schedule_pre_vote();
        if !self.members.is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        self.request_votes(true, false);
        self.count_votes();
    }

    pub(crate) fn start_election(&mut self, is_transfer: bool) {
        self.schedule_election();
        self.hard_state = HardState { term: self.hard_state.term + 1, vote: Some(self.id) };
        self.ready.hard_state = Some(self.hard_state);
        self.leader = None;
        self.role = Role::Candidate(BTreeSet::from([self.id]));
        self.request_votes(false, is_transfer);
        self.count_votes();
    }

    fn request_votes(&mut self, is_pre_vote: bool, is_transfer: bool) {
        let term = if is_pre_vote { self.hard_state.term + 1 } else { self.hard_state.term };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let voters: Vec<Id> = self.members.voters.keys().copied().collect();
        for to in voters.into_iter().filter(|to| *to != self.id) {
            let message = Message::Vote { term, is_pre_vote, is_transfer, last_index, last_term };
            self.ready.persisted_messages.push((to, message));
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: Id,
        term: u64,
        is_pre_vote: bool,
        last_index: u64,
        last_term: u64,
    ) {
        let is_up_to_date =
            (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let is_vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let is_granted = if is_pre_vote {
            term > self.hard_state.term && is_up_to_date
        } else {
            term == self.hard_state.term && is_vote_available && is_up_to_date
        };
        if is_granted && !is_pre_vote {
            self.hard_state.vote = Some(from);
            self.ready.hard_state = Some(self.hard_state);
            self.schedule_election();
        }
        let term = if is_granted { term } else { self.hard_state.term };
        self.ready
            .persisted_messages
            .push((from, Message::VoteReply { term, is_pre_vote, is_granted }));
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: Id,
        term: u64,
        is_pre_vote: bool,
        is_granted: bool,
    ) {
        if !is_granted || !self.members.is_voter(from) {
            return;
        }
        match &mut self.role {
            Role::PreCandidate(votes) if is_pre_vote && term == self.hard_state.term + 1 => {
                votes.insert(from);
            }
            Role::Candidate(votes) if !is_pre_vote && term == self.hard_state.term => {
                votes.insert(from);
            }
            _ => return,
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let quorum = self.members.quorum();
        match &self.role {
            Role::PreCandidate(votes) if votes.len() >= quorum => self.start_election(false),
            Role::Candidate(votes) if votes.len() >= quorum => self.become_leader(),
            _ => {}
        }
    }

    pub(crate) fn on_transfer(&mut self, term: u64) {
        if term == self.hard_state.term && !self.is_leader() && self.members.is_voter(self.id) {
            self.start_election(true);
        }
    }
}
