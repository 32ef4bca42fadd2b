//! Tests of the coordination crate.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod authority;
mod backlog;
mod catching_up;
mod consensus;
mod crossing;
mod entry;
mod expiry;
mod faults;
mod lease;
mod limit;
mod membership;
mod memory;
mod offers;
mod pace;
mod placement;
mod policy;
mod preference;
mod quarantine;
mod reach;
mod retry;
mod routing;
mod silence;
mod usage;
mod util;
mod waiting;
