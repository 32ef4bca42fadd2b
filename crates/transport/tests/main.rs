//! Tests of the transport layer, with one instance inside the test process.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod access;
mod bad_input;
mod connections;
mod endless;
mod log;
mod operators;
mod repeated_refusals;
mod secrets;
mod util;
