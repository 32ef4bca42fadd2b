//! Compares policies under load and faults.

fn main() {}
