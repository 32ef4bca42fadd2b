//! Identity of a request's content, whatever id it is sent under.
//!
//! The caller is part of it: what one program sends says nothing against another one that sends the
//! same.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Digest of what a request asks of a backend server.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Content([u8; 16]);

/// The parts of a request that identify its content.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name that the request is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body as it is sent to a backend server.
    pub body: &'a [u8],
    /// Program or session of the request, with its organisation if that is known.
    pub caller: Option<&'a str>,
}

impl Content {
    /// Identifies the content of a request.
    pub fn of(request: &Request<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let caller = request.caller.unwrap_or_default();
        for field in [request.method, request.host, request.path, caller] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(request.body);
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(digest)
    }

    /// The first 64 bits of the digest.
    pub(crate) fn low_bits(&self) -> u64 {
        let mut word = [0; 8];
        word.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(word)
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
