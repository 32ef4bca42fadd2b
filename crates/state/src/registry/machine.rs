//! The state machine of the registry.

use crate::error::Storage;
use crate::machine::{self, Export, Machine};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// A configuration as an operator sent it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version; the highest one is in force.
    pub version: u64,
    /// The bytes that were sent.
    #[serde(with = "serde_bytes")]
    pub content: Vec<u8>,
}

/// One of the first replicas of a journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founder {
    /// Identity of its data folder.
    pub id: u64,
    /// Address for other instances.
    pub address: String,
}

/// A change of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A configuration; a version that is not higher changes nothing.
    Put(Document),
    /// The first replicas of a program journal; only the first such command counts.
    Found {
        /// The journal.
        group: u32,
        /// Its first replicas.
        founders: Vec<Founder>,
    },
    /// An instance is to be emptied.
    Retire {
        /// Name of the instance.
        instance: String,
    },
}

/// Answer to a [`Command`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command is in effect.
    Done,
    /// A configuration of the same or a higher version was there; nothing changed.
    Superseded {
        /// Version that is in force.
        version: u64,
    },
}

/// A question about the registry; answered by the whole [`Registry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// All of it.
    All,
}

/// The agreed state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    /// Number of changes so far; the same on all replicas that applied the same commands.
    pub revision: u64,
    /// Configuration in force.
    pub document: Option<Document>,
    /// First replicas of each program journal.
    pub founders: BTreeMap<u32, Vec<Founder>>,
    /// Names of instances that are to be emptied, with the revision that said so.
    pub retiring: BTreeMap<String, u64>,
}

impl Registry {
    /// Version of the configuration in force, or 0.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Executes one command.
    pub fn execute(&mut self, command: Command) -> Reply {
        match command {
            Command::Put(document) => {
                if self.document.as_ref().is_some_and(|held| held.version >= document.version) {
                    return Reply::Superseded { version: self.version() };
                }
                self.document = Some(document);
                self.revision += 1;
            }
            Command::Found { group, founders } => {
                if let Entry::Vacant(place) = self.founders.entry(group) {
                    place.insert(founders);
                    self.revision += 1;
                }
            }
            Command::Retire { instance } => {
                if let Entry::Vacant(place) = self.retiring.entry(instance) {
                    self.revision += 1;
                    place.insert(self.revision);
                }
            }
        }
        Reply::Done
    }
}

impl Machine for Registry {
    fn apply(&mut self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let reply = self.execute(machine::decode(data)?);
        machine::encode(&reply)
    }

    fn query(&self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let Query::All = machine::decode(data)?;
        machine::encode(self)
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
