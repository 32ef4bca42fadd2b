//! The replicated journal.
//!
//! A Raft-like protocol: elections with a pre-vote, leaders that step down without a
//! quorum, membership changes of one replica at a time, learners, snapshots and reads
//! confirmed by a quorum. [`Replica`] is the state machine of one replica. Its caller
//! persists what [`Ready`] asks for before it sends what depends on it.
//!
//! Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.

mod election;
mod follower;
mod leader;
mod log;
mod message;
mod repair;
mod replica;
mod snapshot;

pub use log::{Entry, Members, Payload};
pub use message::{Message, Meta};
pub use repair::{Peer, Replacement, StartMode, initial_id};
pub use replica::{HardState, Id, NotLeader, Ready, Replica, Restored, Role, Settings};
pub use snapshot::{Chunk, ChunkRequest};
