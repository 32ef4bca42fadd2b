//! Identifiers that all layers use: programs, calls, attempts, lease holders and digests.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Separates the name of a sub-agent from the name of its parent.
const CHILD_SEPARATOR: char = '.';

/// Id of an agent program.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Program {
    /// Name of the deployment that owns the program.
    pub deployment: String,
    /// Name given by the caller, such as `quote-17`; a sub-agent's name starts with the name of
    /// its parent, as in `quote-17.check`.
    pub name: String,
}

impl Program {
    /// Creates the id of the program `name` in `deployment`.
    pub fn new(deployment: &str, name: &str) -> Self {
        Self { deployment: deployment.to_owned(), name: name.to_owned() }
    }

    /// Parent of a sub-agent; `None` for other programs.
    pub fn parent(&self) -> Option<Program> {
        let (parent, _) = self.name.rsplit_once(CHILD_SEPARATOR)?;
        Some(Program::new(&self.deployment, parent))
    }

    /// Name of the outermost ancestor; a program and its sub-agents share one shard.
    pub fn root(&self) -> &str {
        self.name.split(CHILD_SEPARATOR).next().unwrap_or(&self.name)
    }

    /// Index of the program's shard, from 0 to `shards - 1`.
    pub fn shard(&self, shards: u32) -> u32 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.deployment.as_bytes());
        hasher.update(&[0]);
        hasher.update(self.root().as_bytes());
        let hash = hasher.finalize();
        let word = u32::from_le_bytes([
            hash.as_bytes()[0],
            hash.as_bytes()[1],
            hash.as_bytes()[2],
            hash.as_bytes()[3],
        ]);
        word % shards.max(1)
    }
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.deployment, self.name)
    }
}

/// Id of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call {
    /// Program that makes the call.
    pub program: Program,
    /// Sequence number within the program, counted from 1.
    pub seq: u64,
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.program, self.seq)
    }
}

/// Id of an attempt to execute a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// Call that is attempted.
    pub call: Call,
    /// Attempt number within the call, counted from 1.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.call, self.number)
    }
}

/// Lease holder: one incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation number, assigned by the control journal.
    pub epoch: u64,
}

/// BLAKE3 digest; displayed in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
