//! Programs: order, budget, history and outcomes.
//!
//! One [`Shard`] holds the programs of one replicated journal. Each call is begun by a
//! [`Begin`], which decides its place in the program's order and reserves its budget, and
//! settled by an [`End`]. A call that is not idempotent is begun at most once.

mod begin;
mod close;
mod command;
mod record;
mod shard;
mod view;

pub use command::{
    Begin, Close, Command, End, Open, Query, Refusal, Reply, Summary, Takeover, View,
};
pub use record::{Current, Entry, Program, Verdict};
pub use shard::Shard;
