//! Tests with real processes.
