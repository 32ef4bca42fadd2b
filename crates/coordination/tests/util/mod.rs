//! A small simulation for failure tests: hosts, a network and a clock in memory.

mod backends;
mod callers;
mod checks;
mod host;
mod simulation;

pub(crate) use callers::{Caller, Step};
pub(crate) use checks::verify;
pub(crate) use host::{Group, SHARD};
pub(crate) use simulation::{Simulation, config, seeds};
