//! Identifiers that cross every layer.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Separates a sub-agent's own name from its parent's.
const CHILD_SEPARATOR: char = '.';

/// A program of one deployment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Program {
    /// Name of the deployment that owns it.
    pub deployment: String,
    /// Name given by the caller, such as `quote-17` or, for a sub-agent, `quote-17.check`.
    pub name: String,
}

impl Program {
    /// Names a program.
    pub fn new(deployment: &str, name: &str) -> Self {
        Self { deployment: deployment.to_owned(), name: name.to_owned() }
    }

    /// The program that started this sub-agent.
    pub fn parent(&self) -> Option<Program> {
        let (parent, _) = self.name.rsplit_once(CHILD_SEPARATOR)?;
        Some(Program::new(&self.deployment, parent))
    }

    /// Name of the outermost ancestor; a whole family lives in one shard.
    pub fn root(&self) -> &str {
        self.name.split(CHILD_SEPARATOR).next().unwrap_or(&self.name)
    }

    /// Shard of this program among `shards`, counted from 0.
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

/// One call of a program.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call {
    /// The program.
    pub program: Program,
    /// Sequence number, counted from 1.
    pub seq: u64,
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.program, self.seq)
    }
}

/// One attempt to execute a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// The call.
    pub call: Call,
    /// Attempt number, counted from 1.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.call, self.number)
    }
}

/// One life of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the instance.
    pub instance: String,
    /// Number that the control journal gave to this life of the instance.
    pub epoch: u64,
}

/// BLAKE3 digest of some content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of `content`.
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
