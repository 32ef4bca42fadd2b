//! The life of calls on one entry.
//!
//! [`Entry`] takes [`Input`] and gives [`Output`]: it queues calls, decides which runs
//! where, begins them in the journal before anything is dispatched, and answers only
//! what the journal has settled. [`policy`] holds the order and the choice of the backend
//! server; [`server`] what is known of each backend server.

mod attempt;
mod call;
mod core;
mod input;
mod loading;
pub mod policy;
pub mod server;
mod settling;
mod trial;

pub use self::core::{Entry, Settings};
pub use input::{
    Answer, Backend, Dispatch, Failure, Input, Load, Loaded, Lookup, Output, Request, Unreachable,
};
