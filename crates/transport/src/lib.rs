//! Servers, clients and the wiring of one process.
//!
//! The top layer below the programs. Tasks here move bytes and read the clock; every
//! decision is made by the state machines of the coordination and state crates.

mod access;
mod actor;
mod backend;
mod callers;
pub mod client;
mod clock;
mod controller;
mod fabric;
mod founding;
pub mod gateway;
mod inspect;
mod journal;
mod leaders;
mod links;
pub mod log;
pub mod member;
mod metrics;
mod monitor;
mod node;
mod operators;
mod peers;
mod release;
mod replica;
mod reply;
pub mod site;
mod storage;

pub use journal::Unreachable;
pub use node::{Error, Node};
