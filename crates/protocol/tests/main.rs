//! Tests of the `protocol` crate.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod answer;
mod backend;
mod encodings;
mod entries;
mod presence;
mod routes;
mod settings;
mod transfer;
mod wire;
