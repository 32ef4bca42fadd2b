//! What all instances of a deployment must agree on besides programs.
//!
//! The machine of the control journal on deployments whose instances find each other from
//! a few addresses: the operators' configuration with its version, who founded each
//! program journal, and which instances are to be emptied.

mod machine;

pub use machine::{Command, Document, Founder, Query, Registry, Reply};
