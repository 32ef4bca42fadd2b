//! Shared vocabulary of the processes.
//!
//! Typed messages between instances ([`wire`]), towards callers and operators ([`api`])
//! and towards backend servers ([`backend`]); signs of life ([`presence`]); routes
//! and services as versioned configuration ([`routes`]); the table from error kinds to answers
//! ([`answer`]); and the checked settings file ([`settings`]).

pub mod answer;
pub mod api;
pub mod backend;
pub mod presence;
pub mod routes;
pub mod settings;
pub mod wire;
