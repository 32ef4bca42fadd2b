//! Requests passed through to backend servers, bytes unchanged.
//!
//! An entry takes requests of callers, finds their route, chooses a backend server and
//! relays the answer as it arrives. Turns of programs first reserve their tokens in the
//! program journal, and those that are kept are recorded before their answer ends. How
//! requests say what they are is the business of a [`Dialect`].

mod attempt;
mod dialect;
mod entry;
mod events;
mod flow;
mod headers;
mod list;
mod metrics;
pub(crate) mod pool;
mod relay;
mod sending;
mod server;
mod stories;
mod turns;

pub use dialect::{Ask, Budget, Dialect, Dispatch, Refusal, Verdict};
pub use entry::{Entry, Settings};
pub use list::{List, ListError, ListFuture};
pub use stories::Told;
