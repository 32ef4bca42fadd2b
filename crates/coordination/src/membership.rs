//! Which instances hold the replicas of a journal.
//!
//! Instances come, go, return with empty disks or at other addresses, and are emptied on
//! request. The leader looks at who is present and changes one replica at a time: a spare
//! joins as a learner, catches up, takes the place of a replica that is lost or leaving,
//! and votes. The old replica is removed only once its successor has everything, so a
//! journal never has fewer complete copies than before the change.

use crate::Millis;
use crate::consensus::{Id, Members, Replica};
use serde::{Deserialize, Serialize};

/// Timing and size of a journal's membership.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Replicas that vote.
    pub target: usize,
    /// Time without a sign of life after which a replica is replaced if a spare is there, in
    /// milliseconds; longer than a process needs to restart.
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
    /// Identity of its data folder.
    pub id: Id,
    /// Address for other instances.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is to be emptied.
    pub is_leaving: bool,
}

/// Decides the next change; one for each journal, used while its replica leads.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    /// When each voter was last seen among the candidates.
    seen: Vec<(Id, Millis)>,
    /// Learner and the commit index that it must reach before it votes.
    barrier: Option<(Id, u64)>,
}

/// What a [`Planner`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Idle,
    /// Propose these members.
    Change(Members),
    /// Hand the leadership over, since this replica is to leave.
    Transfer,
}

impl Planner {
    /// A planner that has seen nobody yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, seen: Vec::new(), barrier: None }
    }

    /// The next step, given who is present now.
    pub fn next(&mut self, now: Millis, leader: &Replica, present: &[Candidate]) -> Step {
        let members = leader.members();
        self.observe(now, members, present);
        if !leader.is_established() {
            return Step::Idle;
        }
        let learner = members.learners.keys().next().copied();
        match learner {
            Some(learner) => self.place(now, leader, learner, present),
            None => self.recruit(now, members, present),
        }
    }

    fn observe(&mut self, now: Millis, members: &Members, present: &[Candidate]) {
        self.seen.retain(|(id, _)| members.contains(*id));
        let all = members.voters.keys().chain(members.learners.keys());
        for id in all {
            let is_present = present.iter().any(|candidate| candidate.id == *id);
            match self.seen.iter_mut().find(|(seen, _)| seen == id) {
                Some((_, at)) if is_present => *at = now,
                Some(_) => {}
                // A new leader gives everybody the whole time to show up.
                None => self.seen.push((*id, now)),
            }
        }
    }

    fn is_lost(&self, now: Millis, id: Id) -> bool {
        let seen = self.seen.iter().find(|(seen, _)| *seen == id);
        seen.is_some_and(|(_, at)| now >= at + self.settings.lost_after_ms)
    }

    /// A voter that should be replaced: its disk is gone, or it is lost, or it leaves.
    fn victim(&self, now: Millis, members: &Members, present: &[Candidate]) -> Option<Id> {
        let is_wiped = |id: &Id, address: &String| {
            present.iter().any(|other| other.address == *address && other.id != *id)
                && !present.iter().any(|other| other.id == *id)
        };
        let wiped = members.voters.iter().find(|(id, address)| is_wiped(id, address));
        let lost = || members.voters.iter().find(|(id, _)| self.is_lost(now, **id));
        let leaving = || {
            let is_leaving = |id: Id| present.iter().any(|c| c.id == id && c.is_leaving);
            members.voters.iter().find(|(id, _)| is_leaving(**id))
        };
        wiped.or_else(lost).or_else(leaving).map(|(id, _)| *id)
    }

    /// Adds a learner if a voter is missing or should be replaced.
    fn recruit(&mut self, now: Millis, members: &Members, present: &[Candidate]) -> Step {
        self.barrier = None;
        let victim = self.victim(now, members, present);
        if victim.is_none() && members.voters.len() >= self.settings.target {
            return Step::Idle;
        }
        let covered: Vec<&str> = present
            .iter()
            .filter(|other| members.is_voter(other.id) && Some(other.id) != victim)
            .map(|other| other.failure_domain.as_str())
            .collect();
        let spares =
            present.iter().filter(|spare| !spare.is_leaving && !members.contains(spare.id));
        let crowd = |spare: &&Candidate| {
            covered.iter().filter(|domain| **domain == spare.failure_domain).count()
        };
        match spares.min_by_key(crowd) {
            Some(spare) => {
                let mut members = members.clone();
                members.learners.insert(spare.id, spare.address.clone());
                Step::Change(members)
            }
            None => Step::Idle,
        }
    }

    /// Lets a learner take its place once it has caught up.
    fn place(&mut self, now: Millis, leader: &Replica, learner: Id, present: &[Candidate]) -> Step {
        let mut members = leader.members().clone();
        let is_unfit = present.iter().any(|other| other.id == learner && other.is_leaving);
        let address = members.learners.get(&learner);
        let is_wiped =
            present.iter().any(|other| Some(&other.address) == address && other.id != learner);
        if is_unfit || is_wiped || self.is_lost(now, learner) {
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
        if members.voters.len() < self.settings.target {
            if let Some(address) = members.learners.remove(&learner) {
                members.voters.insert(learner, address);
            }
            return Step::Change(members);
        }
        match self.victim(now, &members, present) {
            Some(victim) if victim == leader.id() => Step::Transfer,
            Some(victim) => {
                members.voters.remove(&victim);
                let healthy = members.voters.keys().filter(|id| !self.is_lost(now, **id)).count();
                if healthy < members.quorum() { Step::Idle } else { Step::Change(members) }
            }
            None => {
                members.learners.remove(&learner);
                Step::Change(members)
            }
        }
    }
}

/// Replicas to found a journal with where only `present` instances are there: the largest odd
/// number, since an even one bears no more losses. Others join as they come.
pub fn initial_count(target: usize, present: usize) -> usize {
    let most = target.min(present);
    if most.is_multiple_of(2) { most.saturating_sub(1).max(1) } else { most }
}

/// Chooses the first replicas among `present`, spread over failure domains; `None` while too
/// few are present.
pub fn initial_members(target: usize, present: &[Candidate]) -> Option<Vec<Candidate>> {
    let mut rest: Vec<&Candidate> = present.iter().filter(|other| !other.is_leaving).collect();
    rest.sort_by(|a, b| a.address.cmp(&b.address));
    let mut chosen: Vec<Candidate> = Vec::new();
    while chosen.len() < target {
        let crowd = |other: &&Candidate| {
            chosen.iter().filter(|c| c.failure_domain == other.failure_domain).count()
        };
        let next = rest.iter().copied().min_by_key(crowd)?;
        rest.retain(|other| other.id != next.id);
        chosen.push(next.clone());
    }
    Some(chosen)
}
