//! Tests of the transport layer.
