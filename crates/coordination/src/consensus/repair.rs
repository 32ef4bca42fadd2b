//! Bootstrap of a group and replacement of lost replicas.
//!
//! Each data folder has an identity. Initial members derive theirs from the names of their
//! instances, but only if every configured peer reports that it holds no data. A replica that
//! finds its folder empty later takes a new random identity. [`Replacement::advance`] removes
//! the old identity, adds the new one as a learner, and makes it a voter once its durable log
//! reaches a commit index that was confirmed after it joined.

use crate::consensus::log::Members;
use crate::consensus::replica::{Id, Replica};
use crate::routing;
use serde::{Deserialize, Serialize};

/// A peer's reply about its local replicas during bootstrap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the peer's instance.
    pub instance: String,
    /// Whether none of the peer's replicas has ever held a term, a snapshot or an entry.
    pub is_fresh: bool,
}

/// Start mode of a replica with an empty data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartMode {
    /// Undecided, since a configured peer has not replied; the caller must query again.
    Wait,
    /// Start as one of these initial members.
    InitialMember(Members),
    /// Start as a learner with a new identity, since the group already holds data.
    Learner,
}

impl StartMode {
    /// Chooses the start mode from the replies of the other configured instances.
    pub fn decide(local: &str, configured: &[String], replies: &[Peer]) -> StartMode {
        if replies.iter().any(|peer| !peer.is_fresh) {
            return StartMode::Learner;
        }
        let has_replied = |name: &String| replies.iter().any(|peer| peer.instance == *name);
        if configured.iter().any(|name| name != local && !has_replied(name)) {
            return StartMode::Wait;
        }
        let voters = configured.iter().map(|name| (initial_id(name), name.clone())).collect();
        StartMode::InitialMember(Members { voters, ..Members::default() })
    }
}

/// Identity of the data folder of an initial member.
pub fn initial_id(instance: &str) -> Id {
    routing::digest(instance.as_bytes())
}

/// Replacement of an instance's lost replica, carried out by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replacement {
    /// Instance whose new replica joins the group.
    pub instance: String,
    /// Identity of its new data folder.
    pub id: Id,
    /// Commit index that the learner must reach to become a voter; set after it has joined.
    barrier: Option<u64>,
}

impl Replacement {
    /// Creates the replacement of the replica on `instance` by the new replica `id`.
    pub fn new(instance: &str, id: Id) -> Self {
        Self { instance: instance.to_owned(), id, barrier: None }
    }

    /// Proposes the next membership change, if one is due. Returns `true` once the new replica
    /// is a voter.
    pub fn advance(&mut self, now: crate::Millis, leader: &mut Replica) -> bool {
        let mut members = leader.members().clone();
        if members.is_voter(self.id) {
            return true;
        }
        let old = members.on_instance(&self.instance).filter(|old| *old != self.id);
        if let Some(old) = old {
            members.voters.remove(&old);
            members.learners.remove(&old);
            leader.change_members(now, members);
            return false;
        }
        if !members.contains(self.id) {
            members.learners.insert(self.id, self.instance.clone());
            leader.change_members(now, members);
            return false;
        }
        self.promote(now, leader, members);
        false
    }

    /// Makes the learner a voter once it has caught up with the barrier.
    fn promote(&mut self, now: crate::Millis, leader: &mut Replica, mut members: Members) {
        if !leader.is_established() {
            return;
        }
        let barrier = *self.barrier.get_or_insert(leader.commit());
        let is_caught_up = leader.matched(self.id).is_some_and(|matched| matched >= barrier);
        if is_caught_up && let Some(name) = members.learners.remove(&self.id) {
            members.voters.insert(self.id, name);
            leader.change_members(now, members);
        }
    }
}
