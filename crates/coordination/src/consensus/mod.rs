//! Raft consensus for the replicated log of a replica group.
//!
//! Implements elections with a pre-vote, leaders that step down when they lose contact with a
//! quorum, single-server membership changes, learners, snapshots, and linearizable reads
//! confirmed by a quorum. [`Replica`] is the protocol state machine of one replica and does no
//! I/O. Its caller persists the state listed in [`Ready`] before it sends the messages that
//! depend on that state.
//!
//! Reference: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.

mod election;
mod follower;
mod leader;
mod log;
mod message;
mod repair;
mod replica;
mod retention;
mod snapshot;

pub use log::{Entry, Members, Payload};
pub use message::{Message, Meta};
pub use repair::{Peer, Replacement, StartMode, initial_id};
pub use replica::{HardState, Id, NotLeader, Ready, Refusal, Replica, Restored, Role, Settings};
pub use snapshot::{Chunk, ChunkRequest};
