//! Cluster membership for instances that discover each other from a few seed addresses.
//!
//! No settings file lists the instances. The control instances hold the registry; every
//! instance sends them heartbeats, and the replies carry the state that it lacks. The
//! replicas of the journals are chosen among the present instances
//! (`coordination::membership`).

mod authority;
mod beats;
mod fetch;
mod metrics;
mod node;
mod operators;
mod register;
mod replica;
pub(crate) mod servers;
mod settings;
pub(crate) mod usage;

pub(crate) use metrics::Metrics;
pub use node::Member;
pub use operators::{RetireReply, Retirement};
pub(crate) use replica::PROGRAMS;
pub use settings::Settings;
