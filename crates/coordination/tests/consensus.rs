//! Tests of the replicated journal.
