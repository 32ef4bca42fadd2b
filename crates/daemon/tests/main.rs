//! Tests of the daemon as a process.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod unread_output;
