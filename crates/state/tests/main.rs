//! Tests of the state layer.
