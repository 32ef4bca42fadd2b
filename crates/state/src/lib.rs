//! Durable state of buckthornshelf.
//!
//! The lowest layer: the deterministic state machines that replicated journals drive
//! ([`program`] and [`turn`] for agent programs, [`control`] and [`registry`] for operators'
//! changes) and the files of one data folder ([`journal`], [`history`], [`disk`]). Nothing in this crate
//! reads a clock or a socket: time is part of the commands.

pub mod budget;
pub mod collections;
pub mod control;
pub mod disk;
pub mod error;
pub mod history;
pub mod id;
pub mod journal;
pub mod machine;
pub mod program;
pub mod registry;
pub mod turn;
