//! Stand-ins for the systems around buckthornshelf, for tests and benchmarks.
//!
//! The stand-ins are small processes: a model engine ([`engine`]), a tool service
//! ([`tool`]), and the platform's instance list and weight store ([`platform`]). Engines and
//! tool services write ledgers ([`ledger`]) of what they executed, from which [`check`] counts
//! violated guarantees independently of what the system reports. [`cluster`] starts all
//! processes on loopback, [`workload`] generates agent programs and [`caller`] runs them.
//! [`probe`] measures a running cluster, and [`sizes`] the state machines.

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
