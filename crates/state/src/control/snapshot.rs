//! The control state that instances receive and apply.

use crate::control::config::Config;
use crate::id::{Digest, Holder};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Status of an instance's current incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The instance may dispatch calls while it holds a lease.
    Live,
    /// The instance completes the calls it has and accepts no new callers.
    Draining,
    /// The lease has expired; the instance must register again.
    Expired,
}

/// A registered instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Incarnation number.
    pub epoch: u64,
    /// Random number of the process that registered this incarnation.
    pub nonce: u64,
    /// Address at which callers reach the instance.
    pub address: String,
    /// Failure domain in which it runs.
    pub failure_domain: String,
    /// Status of this incarnation.
    pub standing: Standing,
}

/// Quarantine of content that crashed backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Names of the backend servers that crashed while they executed the content.
    pub servers: Vec<String>,
    /// End of the quarantine, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// Trial run of suspect content, alone on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Digest of the content.
    pub digest: Digest,
    /// Name of the backend server, which receives no other calls during the trial.
    pub server: String,
    /// Lease holder that runs the trial.
    pub holder: Holder,
    /// Version of the control state that granted the trial.
    pub version: u64,
}

/// An order to a backend server to load a version of its model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; increases with each order to any backend server.
    pub number: u64,
    /// Version of the model and adapters to load.
    pub version: String,
    /// Whether the backend server has confirmed it.
    pub is_done: bool,
}

/// Control state that entry instances act on; always transferred as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of changes so far; acknowledged by entry instances.
    pub version: u64,
    /// Number of accepted tickets so far.
    pub revision: u64,
    /// Configuration set by operators.
    pub config: Config,
    /// Registered instances by name.
    pub instances: BTreeMap<String, Instance>,
    /// Reported crashes, as backend server and its incarnation, by digest of the content; only
    /// content that is not quarantined.
    pub suspects: BTreeMap<Digest, BTreeSet<(String, u64)>>,
    /// Quarantines by digest of the content.
    pub quarantine: BTreeMap<Digest, Quarantine>,
    /// Trial run in progress; at most one at a time.
    pub trial: Option<Trial>,
}

impl Snapshot {
    /// Whether it is committed that this incarnation of an instance dispatches nothing more.
    pub fn is_expired(&self, holder: &Holder) -> bool {
        self.instances.get(&holder.instance).is_some_and(|instance| {
            instance.epoch > holder.epoch
                || (instance.epoch == holder.epoch && instance.standing == Standing::Expired)
        })
    }

    /// Whether this incarnation of an instance may still hold a lease.
    pub fn is_current(&self, holder: &Holder) -> bool {
        self.instances.get(&holder.instance).is_some_and(|instance| {
            instance.epoch == holder.epoch && instance.standing != Standing::Expired
        })
    }
}
