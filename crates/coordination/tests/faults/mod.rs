//! The fault matrix over the deterministic core.

mod calls;
