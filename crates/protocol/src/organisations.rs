//! Organisations: whose keys callers present, and how much each organisation may send.
//!
//! A configuration without a list of organisations checks no keys and limits nobody. One whose list is
//! empty knows no key: each organisation was taken away, or none was added yet.

use state::collections::{Map, Set};
use std::fmt;
use std::sync::Arc;

/// Longest name of an organisation, in bytes: it is sent in a header with each of its requests.
const MAX_NAME_BYTES: usize = 256;

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

/// Reason why organisations are rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The name of an organisation cannot be sent in a header.
    #[error(
        "organisation has name {0:?}; 1 to 256 bytes without control characters are accepted, and \
         no space at either end"
    )]
    Name(String),
    /// Two organisations have the same name.
    #[error("organisation {0:?} is defined twice")]
    DuplicateName(String),
    /// A key of an organisation is empty.
    #[error("organisation {0:?} has an empty key; keys of at least 1 byte are accepted")]
    EmptyKey(String),
    /// Two organisations have the same key.
    #[error("organisations {first:?} and {second:?} share a key; each key belongs to one")]
    SharedKey {
        /// Name of the earlier organisation.
        first: String,
        /// Name of the later organisation.
        second: String,
    },
    /// A number in the limit of an organisation is not usable.
    #[error(
        "organisation {organisation:?} has {setting} {found}; finite numbers from 0 are accepted"
    )]
    Rate {
        /// Name of the organisation.
        organisation: String,
        /// Which number it is.
        setting: &'static str,
        /// The number, as text.
        found: String,
    },
}

/// Validated organisations, indexed by the digests of their keys.
///
/// A lookup hashes and compares digests, never keys: how far a digest agrees with another one says
/// nothing of the key, so that the time of a lookup doesn't help to guess one.
#[derive(Debug, Clone, Default)]
pub struct Index {
    by_key: Map<KeyDigest, Arc<Organisation>>,
    all: Vec<Arc<Organisation>>,
}

impl Index {
    /// Validates organisations and builds the index.
    ///
    /// # Errors
    ///
    /// Returns the first fault that was found.
    pub fn new(organisations: Vec<Organisation>) -> Result<Self, Error> {
        let empty = KeyDigest::new(b"");
        let mut index = Self::default();
        let mut names = Set::default();
        for organisation in organisations {
            check(&organisation)?;
            let name = &organisation.name;
            if !names.insert(name.clone()) {
                return Err(Error::DuplicateName(name.clone()));
            }
            if organisation.keys.contains(&empty) {
                return Err(Error::EmptyKey(name.clone()));
            }
            let organisation = Arc::new(organisation);
            for key in &organisation.keys {
                let holder = index.by_key.insert(*key, organisation.clone());
                if let Some(first) = holder.filter(|holder| !Arc::ptr_eq(holder, &organisation)) {
                    let (first, second) = (first.name.clone(), organisation.name.clone());
                    return Err(Error::SharedKey { first, second });
                }
            }
            index.all.push(organisation);
        }
        Ok(index)
    }

    /// Returns the organisation that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Number of keys of all organisations.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns all organisations, in the order of the configuration.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Arc<Organisation>> {
        self.all.iter()
    }
}

fn check(organisation: &Organisation) -> Result<(), Error> {
    let name = &organisation.name;
    let is_sendable = (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.trim().len() == name.len()
        && !name.chars().any(char::is_control);
    if !is_sendable {
        return Err(Error::Name(name.clone()));
    }
    let Some(rate) = organisation.rate else {
        return Ok(());
    };
    for (setting, number) in [("rate", rate.per_second), ("burst", rate.burst)] {
        if !number.is_finite() || number < 0.0 {
            let (organisation, found) = (name.clone(), number.to_string());
            return Err(Error::Rate { organisation, setting, found });
        }
    }
    Ok(())
}
