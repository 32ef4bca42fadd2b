//! Durable state of buckthornshelf.
//!
//! The lowest layer. It holds the deterministic machines that a replicated journal
//! drives (programs in [`program`], operators' changes in [`control`]) and the files
//! under one data folder ([`journal`], [`history`]). Nothing here reads a clock or a
//! socket: time arrives inside the commands.

pub mod budget;
pub mod collections;
pub mod control;
pub mod error;
pub mod history;
pub mod id;
pub mod journal;
pub mod machine;
pub mod program;
pub mod registry;
pub mod turn;
