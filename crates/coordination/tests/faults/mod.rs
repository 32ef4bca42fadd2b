//! The fault matrix over the deterministic core.

mod backends;
mod budget;
mod calls;
mod mixed;
mod tickets;
