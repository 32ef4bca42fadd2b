//! Change tickets: numbered, atomic configuration changes by operators.

use crate::control::config::{Deployment, Server, Service};
use crate::id::Digest;
use serde::{Deserialize, Serialize};

/// A numbered configuration change, with the complete new state of each object it changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number given by the operators; must be higher than the last one for each changed object.
    pub number: u64,
    /// Changed objects; applied all together or not at all.
    pub changes: Vec<Change>,
}

/// Complete new state of one object; `None` removes the object. The state has to be there, so that one
/// that was left out by mistake removes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Change of a deployment.
    Deployment {
        /// Name of the deployment.
        name: String,
        /// New rules.
        #[serde(deserialize_with = "Option::deserialize")]
        state: Option<Deployment>,
    },
    /// Change of a backend server.
    Server {
        /// Name of the backend server.
        name: String,
        /// New attributes.
        #[serde(deserialize_with = "Option::deserialize")]
        state: Option<Server>,
    },
    /// Change of a service.
    Service {
        /// Name of the service.
        name: String,
        /// New attributes.
        #[serde(deserialize_with = "Option::deserialize")]
        state: Option<Service>,
    },
}

impl Change {
    /// Class and name of the changed object.
    pub fn target(&self) -> Target {
        match self {
            Change::Deployment { name, .. } => Target::Deployment(name.clone()),
            Change::Server { name, .. } => Target::Server(name.clone()),
            Change::Service { name, .. } => Target::Service(name.clone()),
        }
    }
}

/// Class and name of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Target {
    /// Deployment with the given name.
    Deployment(String),
    /// Backend server with the given name.
    Server(String),
    /// Service with the given name.
    Service(String),
}

/// Record of an accepted ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Digest of the ticket's changes.
    pub digest: Digest,
    /// First version of the control state that includes the ticket.
    pub version: u64,
    /// Whether every instance that may dispatch calls has applied the ticket.
    pub is_in_force: bool,
    /// Time at which the ticket was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Changed objects.
    pub targets: Vec<Target>,
}
