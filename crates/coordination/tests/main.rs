//! Tests of the coordination crate.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod authority;
mod consensus;
mod entry;
mod faults;
mod lease;
mod limit;
mod membership;
mod offers;
mod placement;
mod policy;
mod quarantine;
mod reach;
mod retry;
mod routing;
mod usage;
mod util;
mod waiting;
