//! The control journal: tickets, instances, quarantine and orders.
//!
//! One [`Control`] machine decides which change ticket is accepted, which life of an
//! instance may dispatch, and which content is quarantined. Everything that an entry must
//! obey is in its [`Snapshot`], which entries take whole and acknowledge by version.

mod command;
mod config;
mod machine;
mod snapshot;
mod ticket;

pub use command::{Command, Query, Reply, View};
pub use config::{Config, Deployment, Role, Server, Service, Weights};
pub use machine::{CRASH_LIMIT, Control};
pub use snapshot::{Instance, Order, Quarantine, Snapshot, Standing, Trial};
pub use ticket::{Change, Recorded, Target, Ticket};
