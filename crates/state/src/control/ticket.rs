//! Change tickets.

use crate::control::config::{Deployment, Server, Service};
use crate::id::Digest;
use serde::{Deserialize, Serialize};

/// A numbered change with the whole new state of each object it touches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number given by the operators.
    pub number: u64,
    /// Objects and their new states; all take hold or none.
    pub changes: Vec<Change>,
}

/// One object's whole new state; `None` removes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// A deployment.
    Deployment {
        /// Its name.
        name: String,
        /// Its rules.
        #[serde(default)]
        state: Option<Deployment>,
    },
    /// A backend server.
    Server {
        /// Its name.
        name: String,
        /// Its description.
        #[serde(default)]
        state: Option<Server>,
    },
    /// A service.
    Service {
        /// Its name.
        name: String,
        /// Its description.
        #[serde(default)]
        state: Option<Service>,
    },
}

impl Change {
    /// The object.
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
    /// A deployment.
    Deployment(String),
    /// A backend server.
    Server(String),
    /// A service.
    Service(String),
}

/// What the journal remembers of an accepted ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// Digest of its changes.
    pub digest: Digest,
    /// Version of the control state that includes it.
    pub version: u64,
    /// Whether each instance that may dispatch obeys it.
    pub is_in_force: bool,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Objects that it touched.
    pub targets: Vec<Target>,
}
