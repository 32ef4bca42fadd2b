//! The settings file.
//!
//! [`Settings`] mirrors the TOML file; [`Settings::parse`] reports every fault of a file
//! at once, each with its line, its key, what was found and what is accepted.

mod check;
mod fault;
mod model;

pub use fault::{Fault, Faults};
pub use model::{
    Access, Format, Journal, Limits, Listen, Log, Peer, Platform, Settings, Stop, Storage,
};
