//! Integration tests of the state crate: state machines, write-ahead log and history store.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod control;
mod history;
mod journal;
mod programs;
mod registry;
mod turns;
mod util;
