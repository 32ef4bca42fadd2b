//! Membership of replica groups: selection of the instances that hold a group's replicas.
//!
//! Instances start, stop, return with empty disks or at other addresses, and are drained on
//! request. The leader compares the members with the instances present and changes one replica
//! at a time: a spare instance joins as a learner, catches up, and replaces a voter that is lost
//! or leaving. The old voter is removed only after its successor has caught up, so that a
//! replacement never reduces the number of complete copies of the log.
//!
//! No step reduces the number of voters that the group can lose. A voter that is lost goes before its
//! successor votes, since it counts for nothing. One that is leaving still counts, and goes after that:
//! without it, a group of three would have two voters for a while, and could lose none.

use crate::Millis;
use crate::consensus::{Id, Members, Replica};
use serde::{Deserialize, Serialize};

/// Size of a group and the timeout for replacing its replicas.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of voters that the planner aims for.
    pub target: usize,
    /// Time since a replica was last present after which it is replaced if a spare instance is
    /// available, in milliseconds; must exceed the time that a process takes to restart.
    pub lost_after_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self { target: 3, lost_after_ms: 2_000 }
    }
}

/// An instance that can hold a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Identity of the replica's data folder.
    pub id: Id,
    /// Address at which other instances reach it.
    pub address: String,
    /// Failure domain in which the instance runs.
    pub failure_domain: String,
    /// Whether the instance is being drained, so that its replicas must move to others.
    pub is_leaving: bool,
}

/// Decides the membership changes of one group; used while the local replica leads it.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    /// Time at which each member was last present among the candidates.
    last_seen: Vec<(Id, Millis)>,
    /// Learner, and the commit index that it must reach to become a voter.
    barrier: Option<(Id, u64)>,
}

/// Next step that a [`Planner`] has decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// No action is needed or possible now.
    Idle,
    /// Propose these members in a membership change.
    Change(Members),
    /// Transfer the leadership, since the local replica is to be replaced.
    Transfer,
}

impl Planner {
    /// Creates a planner that has not yet observed any candidate.
    pub fn new(settings: Settings) -> Self {
        Self { settings, last_seen: Vec::new(), barrier: None }
    }

    /// Decides the next step from the candidates `present` now.
    pub fn next(&mut self, now: Millis, leader: &Replica, present: &[Candidate]) -> Step {
        let members = leader.members();
        self.record_presence(now, members, present);
        if !leader.is_established() {
            return Step::Idle;
        }
        if members.voters.len() > self.settings.target {
            return self.remove_surplus(now, leader, present);
        }
        let learner = members.learners.keys().next().copied();
        match learner {
            Some(learner) => self.promote(now, leader, learner, present),
            None => self.add_learner(now, members, present),
        }
    }

    fn record_presence(&mut self, now: Millis, members: &Members, present: &[Candidate]) {
        self.last_seen.retain(|(id, _)| members.contains(*id));
        let all = members.voters.keys().chain(members.learners.keys());
        for id in all {
            let is_present = present.iter().any(|candidate| candidate.id == *id);
            match self.last_seen.iter_mut().find(|(member, _)| member == id) {
                Some((_, at)) if is_present => *at = now,
                Some(_) => {}
                // A new leader has no history, so each member starts with the full timeout.
                None => self.last_seen.push((*id, now)),
            }
        }
    }

    fn is_lost(&self, now: Millis, id: Id) -> bool {
        let last_seen = self.last_seen.iter().find(|(member, _)| *member == id);
        last_seen.is_some_and(|(_, at)| now >= at + self.settings.lost_after_ms)
    }

    /// Selects a voter to replace: one that counts no more, else a leaving one.
    fn voter_to_replace(
        &self,
        now: Millis,
        members: &Members,
        present: &[Candidate],
    ) -> Option<Id> {
        let is_leaving = |id: Id| present.iter().any(|c| c.id == id && c.is_leaving);
        let leaving = || members.voters.keys().copied().find(|id| is_leaving(*id));
        self.gone_voter(now, members, present).or_else(leaving)
    }

    /// Selects a voter that counts no more: one whose disk was wiped, else a lost one.
    fn gone_voter(&self, now: Millis, members: &Members, present: &[Candidate]) -> Option<Id> {
        let is_wiped = |id: &Id, address: &String| {
            present.iter().any(|candidate| candidate.address == *address && candidate.id != *id)
                && !present.iter().any(|candidate| candidate.id == *id)
        };
        let wiped = members.voters.iter().find(|(id, address)| is_wiped(id, address));
        let lost = || members.voters.iter().find(|(id, _)| self.is_lost(now, **id));
        wiped.or_else(lost).map(|(id, _)| *id)
    }

    /// Removes a voter beyond the target: the one that was replaced, or any other one if that stays.
    fn remove_surplus(&self, now: Millis, leader: &Replica, present: &[Candidate]) -> Step {
        let members = leader.members();
        let others = || members.voters.keys().copied().rfind(|id| *id != leader.id());
        match self.voter_to_replace(now, members, present).or_else(others) {
            Some(surplus) => self.remove(now, leader, surplus),
            None => Step::Idle,
        }
    }

    /// Removes a voter, unless the others are too few without it.
    fn remove(&self, now: Millis, leader: &Replica, voter: Id) -> Step {
        if voter == leader.id() {
            return Step::Transfer;
        }
        let mut members = leader.members().clone();
        members.voters.remove(&voter);
        let live = members.voters.keys().filter(|id| !self.is_lost(now, **id)).count();
        if live < members.quorum() { Step::Idle } else { Step::Change(members) }
    }

    /// Adds a learner if a voter is missing or should be replaced.
    fn add_learner(&mut self, now: Millis, members: &Members, present: &[Candidate]) -> Step {
        self.barrier = None;
        let replaced = self.voter_to_replace(now, members, present);
        if replaced.is_none() && members.voters.len() >= self.settings.target {
            return Step::Idle;
        }
        let occupied: Vec<&str> = present
            .iter()
            .filter(|candidate| members.is_voter(candidate.id) && Some(candidate.id) != replaced)
            .map(|candidate| candidate.failure_domain.as_str())
            .collect();
        let spares =
            present.iter().filter(|spare| !spare.is_leaving && !members.contains(spare.id));
        let domain_count = |spare: &&Candidate| {
            occupied.iter().filter(|domain| **domain == spare.failure_domain).count()
        };
        match spares.min_by_key(domain_count) {
            Some(spare) => {
                let mut members = members.clone();
                members.learners.insert(spare.id, spare.address.clone());
                Step::Change(members)
            }
            None => Step::Idle,
        }
    }

    /// Makes the learner a voter once it has caught up, after removing a lost voter that it replaces.
    /// Removes the learner if it leaves, is wiped or lost, or is no longer needed.
    fn promote(
        &mut self,
        now: Millis,
        leader: &Replica,
        learner: Id,
        present: &[Candidate],
    ) -> Step {
        let mut members = leader.members().clone();
        let is_leaving =
            present.iter().any(|candidate| candidate.id == learner && candidate.is_leaving);
        let address = members.learners.get(&learner);
        let is_wiped = present
            .iter()
            .any(|candidate| Some(&candidate.address) == address && candidate.id != learner);
        if is_leaving || is_wiped || self.is_lost(now, learner) {
            members.learners.remove(&learner);
            return Step::Change(members);
        }
        let barrier = match self.barrier {
            Some((id, barrier)) if id == learner => barrier,
            _ => leader.commit(),
        };
        self.barrier = Some((learner, barrier));
        if leader.matched(learner).is_none_or(|matched| matched < barrier) {
            return Step::Idle;
        }
        let gone = self.gone_voter(now, &members, present);
        let is_full = members.voters.len() >= self.settings.target;
        if let Some(gone) = gone.filter(|_| is_full) {
            return self.remove(now, leader, gone);
        }
        let replaced = self.voter_to_replace(now, &members, present);
        if let Some(address) = members.learners.remove(&learner)
            && (!is_full || replaced.is_some())
        {
            members.voters.insert(learner, address);
        }
        Step::Change(members)
    }
}

/// Number of initial members of a group of `target` replicas if only `present` instances are
/// available: the largest odd number, since an even number tolerates no more failures, but at
/// least 1. Further replicas join later.
pub fn initial_count(target: usize, present: usize) -> usize {
    let limit = target.min(present);
    if limit.is_multiple_of(2) { limit.saturating_sub(1).max(1) } else { limit }
}

/// Chooses `target` initial members among `present`, spread over failure domains. Returns
/// `None` if too few candidates are present.
pub fn initial_members(target: usize, present: &[Candidate]) -> Option<Vec<Candidate>> {
    let mut candidates: Vec<&Candidate> =
        present.iter().filter(|candidate| !candidate.is_leaving).collect();
    candidates.sort_by(|a, b| a.address.cmp(&b.address));
    let mut chosen: Vec<Candidate> = Vec::new();
    while chosen.len() < target {
        let domain_count = |candidate: &&Candidate| {
            chosen.iter().filter(|c| c.failure_domain == candidate.failure_domain).count()
        };
        let next = candidates.iter().copied().min_by_key(domain_count)?;
        candidates.retain(|candidate| candidate.id != next.id);
        chosen.push(next.clone());
    }
    Some(chosen)
}
