//! The state machine of the registry.
//!
//! Applies configuration updates, the bootstrap of program journals and the retirement of
//! instances, and counts each change in a revision.

use crate::error::Storage;
use crate::machine::{self, Export, StateMachine};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// A configuration document, as an operator sent it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version given by the operator; the document with the highest version is in force.
    pub version: u64,
    /// The document, byte for byte as received.
    #[serde(with = "serde_bytes")]
    pub content: Vec<u8>,
}

/// A voting replica with which a journal is bootstrapped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// Replica id, stored in the data folder of the replica.
    pub id: u64,
    /// Address at which other instances reach it.
    pub address: String,
}

/// A change to the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if the new version is higher than the one in force.
    Put(Document),
    /// Sets the initial members of a program journal; only the first command for a journal has
    /// an effect.
    Bootstrap {
        /// Replica group of the journal.
        group: u32,
        /// Replicas with which the journal is bootstrapped.
        initial_members: Vec<Voter>,
    },
    /// Marks an instance as retiring, so that its replicas and load move to other instances.
    Retire {
        /// Name of the instance.
        instance: String,
    },
}

/// Reply to a [`Command`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command is in effect, also if an earlier copy of it was applied.
    Done,
    /// A configuration of the same or a higher version is in force; nothing was changed.
    Superseded {
        /// Version of the configuration in force.
        version: u64,
    },
}

/// A read of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The complete registry; answered by a [`Registry`].
    All,
    /// The revision, as a `u64`. An instance asks only its own replica for it, since earlier builds
    /// don't know it.
    Revision,
}

/// State that all instances agree on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    /// Number of changes so far; equal on all replicas that applied the same commands.
    pub revision: u64,
    /// Configuration in force; `None` until an operator sends the first one.
    pub document: Option<Document>,
    /// Initial members of each program journal, by replica group.
    pub initial_members: BTreeMap<u32, Vec<Voter>>,
    /// Names of retiring instances, with the revision at which the retirement was requested.
    pub retiring: BTreeMap<String, u64>,
}

impl Registry {
    /// Version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Approximate size when encoded, in bytes: that of the configuration.
    pub fn size(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.content.len() as u64)
    }

    /// Applies one command.
    pub fn execute(&mut self, command: Command) -> Reply {
        match command {
            Command::Put(document) => {
                if self.document.as_ref().is_some_and(|current| current.version >= document.version)
                {
                    return Reply::Superseded { version: self.version() };
                }
                self.document = Some(document);
                self.revision += 1;
            }
            Command::Bootstrap { group, initial_members } => {
                if let Entry::Vacant(entry) = self.initial_members.entry(group) {
                    entry.insert(initial_members);
                    self.revision += 1;
                }
            }
            Command::Retire { instance } => {
                if let Entry::Vacant(entry) = self.retiring.entry(instance) {
                    self.revision += 1;
                    entry.insert(self.revision);
                }
            }
        }
        Reply::Done
    }
}

impl StateMachine for Registry {
    fn apply(&mut self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let reply = self.execute(machine::decode(data)?);
        machine::encode(&reply)
    }

    fn query(&self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        match machine::decode(data)? {
            Query::All => machine::encode(self),
            Query::Revision => machine::encode(&self.revision),
        }
    }

    fn reset(&mut self) -> Result<(), Storage> {
        *self = Self::default();
        Ok(())
    }

    fn save(&mut self) -> Result<Vec<u8>, Storage> {
        machine::encode(self)
    }

    fn load(&mut self, saved: &[u8]) -> Result<(), Storage> {
        *self = machine::decode(saved)?;
        Ok(())
    }

    fn export(&self) -> Result<Box<dyn Export>, Storage> {
        Ok(Box::new(machine::encode(self)?))
    }

    fn dump(&self) -> String {
        format!(
            "revision {}, configuration {}, retiring {:?}",
            self.revision,
            self.version(),
            self.retiring
        )
    }
}
