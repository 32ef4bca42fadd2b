//! Identity of a request's content, whatever id it is sent under.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Length from which a body identifies the content by itself, in bytes. Shorter bodies, such as that
/// of a query without parameters, may be the same for many programs.
const IDENTIFYING_BYTES: usize = 64;

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
    /// Program or session of the request.
    pub caller: Option<&'a str>,
}

impl Content {
    /// Identifies the content of a request.
    pub fn of(request: &Request<'_>) -> Self {
        let caller = request.caller.filter(|_| request.body.len() < IDENTIFYING_BYTES);
        let mut hasher = blake3::Hasher::new();
        for field in [request.method, request.host, request.path, caller.unwrap_or_default()] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(request.body);
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(digest)
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
