//! Servers, clients and tasks of one process.
//!
//! The layer directly below the executables. It does the input and output, reads the clock and
//! runs the threads and tasks; decisions are made by the state machines of the `coordination` and
//! `state` crates.

mod access;
mod actor;
mod backend;
pub mod body;
mod bootstrap;
mod bounded;
mod callers;
pub mod client;
mod clock;
pub mod connections;
mod controller;
pub mod endpoint;
mod frame;
pub mod gateway;
mod inspect;
mod journal;
mod leaders;
pub mod log;
pub mod member;
pub mod memory;
mod metered;
mod metrics;
mod monitor;
mod node;
mod operators;
mod peers;
mod release;
mod replica;
mod reply;
mod rpc;
mod storage;
mod tcp;
mod unread;

pub use journal::Unreachable;
pub use node::{Error, Node};
