//! What an entry must obey.

use crate::control::config::Config;
use crate::id::{Digest, Holder};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Standing of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It may dispatch while it holds a lease.
    Live,
    /// It finishes what it has and takes no new callers.
    Draining,
    /// Its lease has run out; it must register again.
    Expired,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Number of its life.
    pub epoch: u64,
    /// Random number of the process that registered.
    pub nonce: u64,
    /// Address for callers.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its standing.
    pub standing: Standing,
}

/// Quarantined content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Backend servers that crashed while running it.
    pub servers: Vec<String>,
    /// End, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// Permission to run suspect content alone on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The content.
    pub digest: Digest,
    /// The backend server, which takes nothing else meanwhile.
    pub server: String,
    /// The entry that runs it.
    pub holder: Holder,
    /// Version of the control state that granted it.
    pub version: u64,
}

/// An order to a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; higher for each order.
    pub number: u64,
    /// Version to load.
    pub version: String,
    /// Whether the backend server has confirmed it.
    pub is_done: bool,
}

/// The whole control state that entries act on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of changes so far; entries acknowledge it.
    pub version: u64,
    /// Number of tickets so far.
    pub revision: u64,
    /// Operators' objects.
    pub config: Config,
    /// Instances by name.
    pub instances: BTreeMap<String, Instance>,
    /// Crashes by content that is not quarantined.
    pub suspects: BTreeMap<Digest, BTreeSet<(String, u64)>>,
    /// Quarantined content.
    pub quarantine: BTreeMap<Digest, Quarantine>,
    /// Suspect content that runs alone.
    pub trial: Option<Trial>,
}

impl Snapshot {
    /// Whether it is committed that this life of an instance sends nothing more.
    pub fn is_expired(&self, holder: &Holder) -> bool {
        self.instances.get(&holder.instance).is_some_and(|instance| {
            instance.epoch > holder.epoch
                || (instance.epoch == holder.epoch && instance.standing == Standing::Expired)
        })
    }

    /// Whether this life of an instance may still hold a lease.
    pub fn is_current(&self, holder: &Holder) -> bool {
        self.instances.get(&holder.instance).is_some_and(|instance| {
            instance.epoch == holder.epoch && instance.standing != Standing::Expired
        })
    }
}
