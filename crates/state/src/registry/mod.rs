//! Cluster-wide state that all instances agree on, apart from programs.
//!
//! The state machine of the control journal in clusters whose instances discover each other
//! from seed addresses: the operators' configuration and its version, the initial members of
//! each program journal, and the instances that are being retired.

mod machine;

pub use machine::{Command, Document, Query, Registry, Reply, Voter};
