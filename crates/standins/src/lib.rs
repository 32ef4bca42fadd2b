//! Stand-ins for the systems around buckthornshelf, and programs that measure it.
//!
//! The stand-ins are small processes: a model engine ([`engine`]), a tool service
//! ([`tool`]) and the platform's instance list and weight store ([`platform`]). Each
//! writes a ledger ([`ledger`]) of what it executed, from which [`check`] counts what went
//! wrong without trusting the system's own word. [`cluster`] starts everything as
//! processes on loopback, and [`caller`] plays the programs.

pub mod caller;
pub mod check;
pub mod cluster;
pub mod engine;
pub mod ledger;
pub mod platform;
pub mod probe;
pub mod program;
pub mod sizes;
pub mod tool;
pub mod workload;
