//! Organisations: whose keys callers present, and how much each organisation may send.
//!
//! A configuration without organisations checks no keys and limits nobody.

use std::fmt;

/// Digest of a caller's key. Keys themselves are not kept, so that none reaches a log or a dump.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// An organisation whose callers send requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Organisation {
    /// Unique name.
    pub name: String,
    /// Digests of the keys that its callers present.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, in place of the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its requests through all instances together; `None` for no limit.
    pub rate: Option<Rate>,
}

/// Limit on the requests of an organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}
