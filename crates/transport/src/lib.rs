//! Servers, clients and the wiring of one process.
//!
//! The top layer below the programs. Tasks here move bytes and read the clock; every
//! decision is made by the state machines of the coordination and state crates.

mod access;
mod actor;
mod backend;
mod bootstrap;
mod callers;
pub mod client;
mod clock;
mod controller;
pub mod endpoint;
pub mod gateway;
mod inspect;
mod journal;
mod leaders;
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
mod rpc;
mod storage;
mod tcp;

pub use journal::Unreachable;
pub use node::{Error, Node};
