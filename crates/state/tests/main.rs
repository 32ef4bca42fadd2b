//! Tests of the state layer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod control;
mod history;
mod journal;
mod programs;
mod registry;
mod turns;
mod util;
