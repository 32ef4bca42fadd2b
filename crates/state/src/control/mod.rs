//! The control journal: change tickets, instances, quarantine and orders to backend servers.
//!
//! One [`Control`] state machine decides which change tickets are accepted, which incarnation
//! of an instance may dispatch calls, and which content is quarantined. Entry instances apply
//! its [`Snapshot`], which they receive as a whole and acknowledge by version.

mod command;
mod config;
mod machine;
mod snapshot;
mod ticket;

pub use command::{Command, Query, Reply, View};
pub use config::{Config, Deployment, Role, Server, Service, Weights};
pub use machine::{CRASH_LIMIT, Control};
pub use snapshot::{Instance, Order, Quarantine, Snapshot, Standing, Trial};
pub use ticket::{Acceptance, Change, Target, Ticket};
