//! Coordination of instances, free of clocks, sockets and files.
//!
//! Each module is deterministic: it receives time and inputs, and returns messages and
//! decisions. The transport crate performs the I/O. Tests drive the same code with a simulated
//! clock and network.

pub mod authority;
pub mod backlog;
pub mod consensus;
pub mod content;
pub mod crossing;
pub mod entry;
pub mod expiry;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod memory;
pub mod offers;
pub mod pace;
pub mod placement;
pub mod quarantine;
pub mod reach;
pub mod retry;
pub mod routing;
pub mod silence;
pub mod usage;
pub mod versions;
pub mod waiting;

/// Time since an arbitrary origin, in milliseconds; it never decreases.
pub type Millis = u64;
