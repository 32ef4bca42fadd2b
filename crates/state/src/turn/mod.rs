//! Turns of agent programs: chains that are kept, and token budgets.
//!
//! A turn is one generation of a program. It may continue from any earlier turn, so turns
//! form trees. [`Turns`] is the machine of a program journal: it reserves the most tokens
//! a turn can draw before the turn is sent to a backend server, settles what it did draw,
//! and keeps the input and output of turns that later ones may name.

mod command;
mod machine;
mod transfer;

pub use command::{Begin, Command, End, Query, Record, Reply, Reserve};
pub use machine::Turns;
