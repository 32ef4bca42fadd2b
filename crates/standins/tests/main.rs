//! Fault tests on clusters of real processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

mod losses;
mod partition;
mod stop;
mod util;
