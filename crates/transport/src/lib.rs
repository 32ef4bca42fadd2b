//! Servers, clients and the wiring of one process.
//!
//! The top layer below the programs. Tasks here move bytes and read the clock; every
//! decision is made by the state machines of the coordination and state crates.

mod access;
mod actor;
mod backend;
mod callers;
mod clock;
mod controller;
mod founding;
mod inspect;
mod journal;
mod links;
mod metrics;
mod monitor;
mod node;
mod operators;
mod peers;
mod release;
mod replica;
mod reply;
mod storage;

pub use node::{Error, Node};
