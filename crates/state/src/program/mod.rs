//! Agent programs: call order, budgets, conversation history and call outcomes.
//!
//! One [`Shard`] is the state machine of one replicated journal and holds its programs. A
//! [`Begin`] starts an attempt of the next call of a program and reserves its budget; an
//! [`End`] settles the call. A call that is not idempotent is attempted at most once.

mod begin;
mod close;
mod command;
mod record;
mod shard;
mod view;

pub use command::{
    Begin, Close, Command, End, Open, Query, Refusal, Reply, Summary, Takeover, View,
};
pub use record::{Attempt, Outcome, Program, Settlement};
pub use shard::Shard;
