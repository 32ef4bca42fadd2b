//! Fault tests in the deterministic simulation.

mod backends;
mod budget;
mod calls;
mod mixed;
mod tickets;
