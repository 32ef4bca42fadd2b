//! Transfer of the registry to instances that have an older one.
//!
//! A control instance encodes and compresses a revision once, as a [`Package`], and serves it in
//! [`Part`]s. The receiver requests one part after the other, each as a [`Request`], and puts
//! them together with an [`Assembly`]. It continues at the same offset after a lost part, also
//! from another control instance with the same package.

use serde::{Deserialize, Serialize};
use state::id::Digest;
use state::machine;
use state::registry::Registry;

/// Maximum size of the content of a part, in bytes.
pub const PART_BYTES: usize = 64 * 1024;

/// Maximum size of an encoded registry, in bytes. It bounds the memory for a package from a
/// faulty instance.
const REGISTRY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Request for a part of a package.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Revision of the registry; 0 for the latest one.
    pub revision: u64,
    /// Number of bytes that the receiver already has.
    pub offset: u64,
}

/// Part of a package. It belongs to the latest revision if the requested one is not available.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Revision of the registry.
    pub revision: u64,
    /// Size of the package, in bytes.
    pub size: u64,
    /// Digest of the package.
    pub digest: Digest,
    /// Offset of the content in the package.
    pub offset: u64,
    /// Content of the part.
    #[serde(with = "serde_bytes")]
    pub content: Vec<u8>,
}

/// Reason why a registry cannot be packaged or unpacked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The registry cannot be encoded or decoded.
    #[error("registry cannot be encoded or decoded: {0}")]
    Codec(String),
    /// The size that the package or its parts state is above the maximum.
    #[error("registry of {0} bytes; at most {REGISTRY_MAX_BYTES} are accepted")]
    Size(usize),
    /// The parts do not add up to the package that they name.
    #[error("parts of revision {0} do not match the digest of their package")]
    Digest(u64),
}

/// A registry, encoded and compressed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Package {
    revision: u64,
    digest: Digest,
    content: Vec<u8>,
}

impl Package {
    /// Packages a registry.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Codec`] if the registry cannot be encoded, and [`Error::Size`] if it is
    /// too large.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let encoded = machine::encode(registry).map_err(|error| Error::Codec(error.to_string()))?;
        if encoded.len() > REGISTRY_MAX_BYTES {
            return Err(Error::Size(encoded.len()));
        }
        let content = lz4_flex::compress_prepend_size(&encoded);
        let digest = Digest::of(&content);
        Ok(Self { revision: registry.revision, digest, content })
    }

    /// Revision of the registry.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Size of the package, in bytes.
    pub fn size(&self) -> usize {
        self.content.len()
    }

    /// Returns the part that begins at `offset`; it is empty at the end of the package.
    pub fn part(&self, offset: u64) -> Part {
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.content.len());
        let end = (start + PART_BYTES).min(self.content.len());
        Part {
            revision: self.revision,
            size: self.content.len() as u64,
            digest: self.digest,
            offset: start as u64,
            content: self.content[start..end].to_vec(),
        }
    }
}

/// Decompresses and decodes the content of a package.
fn unpack(content: &[u8]) -> Result<Registry, Error> {
    let codec = |error: lz4_flex::block::DecompressError| Error::Codec(error.to_string());
    let (size, compressed) = lz4_flex::block::uncompressed_size(content).map_err(codec)?;
    if size > REGISTRY_MAX_BYTES {
        return Err(Error::Size(size));
    }
    let encoded = lz4_flex::block::decompress(compressed, size).map_err(codec)?;
    machine::decode(&encoded).map_err(|error| Error::Codec(error.to_string()))
}

/// Parts of a package that were received so far.
#[derive(Debug, Default)]
pub struct Assembly {
    /// Revision, size and digest of the package; `None` before the first part.
    package: Option<(u64, u64, Digest)>,
    content: Vec<u8>,
}

impl Assembly {
    /// Returns the request for the next part.
    pub fn next(&self) -> Request {
        let revision = self.package.map_or(0, |(revision, ..)| revision);
        Request { revision, offset: self.content.len() as u64 }
    }

    /// Adds a part; returns the registry once it is complete. A part of another package replaces
    /// what was received so far.
    ///
    /// # Errors
    ///
    /// Returns the reason if the package is invalid. The assembly is empty after that.
    pub fn add(&mut self, part: Part) -> Result<Option<Registry>, Error> {
        let package = (part.revision, part.size, part.digest);
        if self.package != Some(package) {
            *self = Self { package: Some(package), content: Vec::new() };
        }
        if part.offset == self.content.len() as u64 {
            self.content.extend_from_slice(&part.content);
        }
        let received = self.content.len();
        if received > REGISTRY_MAX_BYTES {
            *self = Self::default();
            return Err(Error::Size(received));
        }
        if (received as u64) < part.size {
            return Ok(None);
        }
        let content = std::mem::take(self).content;
        if Digest::of(&content) != part.digest {
            return Err(Error::Digest(part.revision));
        }
        unpack(&content).map(Some)
    }
}
