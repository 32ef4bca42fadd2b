//! The settings file and its validation.
//!
//! [`Settings`] has the structure of the TOML file. [`Settings::parse`] reports all faults of
//! a file at once, each with its line, its key, what was found and what is accepted.

mod check;
mod fault;
mod model;

pub use fault::{Fault, Faults};
pub use model::{
    Access, Format, Journal, Limits, Listen, Log, Peer, Platform, Settings, Stop, Storage,
};
