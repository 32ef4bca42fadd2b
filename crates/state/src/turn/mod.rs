//! Turns of agent programs: retained turn chains and token budgets.
//!
//! A turn is one generation of a program. It may continue from any earlier turn, so turns
//! form trees. [`Turns`] is the state machine of a program journal: it reserves the maximum
//! number of tokens a turn can use before the turn is sent to a backend server, settles the
//! reservation with the tokens actually used, and retains the input and output of turns that
//! later turns may continue from.

mod command;
mod machine;
mod room;
mod stream;
mod transfer;

pub use command::{
    Assign, Begin, Command, End, Need, Part, Query, Range, Record, Reply, Reservation, UNRETAINED,
};
pub use machine::{MAX_RETAINED_BYTES, Turns};
pub use stream::{Assignment, Origin, Start};
