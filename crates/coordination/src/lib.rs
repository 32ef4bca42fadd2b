//! Coordination between instances, without clocks, sockets or files.
//!
//! Each module is a deterministic state machine: time and input go in, messages and
//! decisions come out. The transport layer moves the bytes; tests drive the same code
//! with a clock and a network of their own.

pub mod consensus;
pub mod entry;
pub mod lease;
pub mod membership;
pub mod placement;
pub mod retry;
pub mod routing;

/// Time since an arbitrary start, in milliseconds; it never goes back.
pub type Millis = u64;
