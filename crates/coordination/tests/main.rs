//! Tests of the coordination layer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod consensus;
mod entry;
mod faults;
mod lease;
mod membership;
mod placement;
mod policy;
mod retry;
mod routing;
mod util;
