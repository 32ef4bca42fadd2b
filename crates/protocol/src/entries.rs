//! Lists that several writers share.
//!
//! An entry that cannot be decoded must not make the others unreadable: a reader that follows a list
//! of backend servers would go on with an old one. So the list is split into the texts of its
//! entries first, which neither builds numbers nor recurses, and then each entry is decoded.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;

/// Maximum length of the description of a fault, in characters; it may quote the entry.
const MAX_FAULT_CHARS: usize = 200;

/// A JSON array whose entries are decoded one by one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entries<T> {
    /// Entries that could be decoded, in their order.
    pub valid: Vec<T>,
    /// Why each of the others could not.
    pub faults: Vec<String>,
}

impl<T> Default for Entries<T> {
    fn default() -> Self {
        Self { valid: Vec::new(), faults: Vec::new() }
    }
}

impl<T> From<Vec<T>> for Entries<T> {
    fn from(valid: Vec<T>) -> Self {
        Self { valid, faults: Vec::new() }
    }
}

impl<T: Serialize> Serialize for Entries<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.valid.serialize(serializer)
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Entries<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut entries = Self::default();
        for text in Vec::<Box<RawValue>>::deserialize(deserializer)? {
            match serde_json::from_str(text.get()) {
                Ok(entry) => entries.valid.push(entry),
                Err(error) => {
                    entries.faults.push(format!("{:.*}", MAX_FAULT_CHARS, error.to_string()))
                }
            }
        }
        Ok(entries)
    }
}
