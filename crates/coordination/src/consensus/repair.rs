//! First start and repair of replicas.
//!
//! A data folder carries an identity. Founders take identities that follow from their
//! instances' names, but only while every configured peer says that it holds nothing yet.
//! An empty folder met later gets a fresh identity: [`Replacement::advance`] first removes the old
//! one, then adds the new one as a learner, and lets it vote once it has synced
//! everything up to a commit index that was confirmed after it joined.

use crate::consensus::log::Members;
use crate::consensus::replica::{Id, Replica};
use crate::routing;
use serde::{Deserialize, Serialize};

/// What a peer says of its own replica of a journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the instance.
    pub instance: String,
    /// Whether it never held a term or an entry.
    pub is_fresh: bool,
}

/// How a replica with an empty data folder starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartMode {
    /// Some peer has not answered; ask again.
    Wait,
    /// As one of the founders.
    InitialMember(Members),
    /// As a learner under a fresh identity.
    Learner,
}

impl StartMode {
    /// Decides from the answers of all other configured replicas.
    pub fn decide(own: &str, configured: &[String], answers: &[Peer]) -> StartMode {
        if answers.iter().any(|peer| !peer.is_fresh) {
            return StartMode::Learner;
        }
        let has_answered = |name: &String| answers.iter().any(|peer| peer.instance == *name);
        if configured.iter().any(|name| name != own && !has_answered(name)) {
            return StartMode::Wait;
        }
        let voters = configured.iter().map(|name| (initial_id(name), name.clone())).collect();
        StartMode::InitialMember(Members { voters, ..Members::default() })
    }
}

/// Identity of a founder's first data folder.
pub fn initial_id(instance: &str) -> Id {
    routing::digest(instance.as_bytes())
}

/// Replacement of an instance's lost replica, driven by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replacement {
    /// Instance that asks to join.
    pub instance: String,
    /// Identity of its new data folder.
    pub id: Id,
    /// Commit index that the learner must reach, set once it has joined.
    barrier: Option<u64>,
}

impl Replacement {
    /// A plan to let the replica `id` on `instance` join.
    pub fn new(instance: &str, id: Id) -> Self {
        Self { instance: instance.to_owned(), id, barrier: None }
    }

    /// Proposes the next membership change if one is due; `true` once the replica votes.
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
