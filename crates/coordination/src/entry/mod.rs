//! Handling of calls on one instance.
//!
//! [`Entry`] consumes [`Input`] and produces [`Output`]: it queues calls, places them on backend
//! servers, commits the start of each attempt to the journal before dispatching it, and answers
//! only what the journal has settled. [`policy`] orders the calls and chooses backend servers;
//! [`server`] tracks the state of each backend server.

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
    Answer, Dispatch, Event, Failure, Input, Load, Loaded, Lookup, Output, Request, Unreachable,
};
