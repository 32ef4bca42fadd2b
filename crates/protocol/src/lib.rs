//! Messages and settings that the processes share.
//!
//! - [`wire`] and [`presence`]: messages and heartbeats between instances
//! - [`api`]: request and response bodies for callers and operators
//! - [`backend`]: request and response bodies for backend servers
//! - [`entries`]: lists with entries that cannot be decoded
//! - [`answer`]: the HTTP status and body of each kind of error
//! - [`organisations`]: whose keys callers present, and their limits
//! - [`routes`]: routes and services as versioned configuration
//! - [`transfer`]: the registry in compressed parts
//! - [`settings`]: the settings file and its validation

pub mod answer;
pub mod api;
pub mod backend;
pub mod entries;
pub mod organisations;
pub mod presence;
pub mod routes;
pub mod settings;
pub mod transfer;
pub mod wire;
