//! The platform's list of backend servers.

use serde::{Deserialize, Serialize};
use state::collections::Map;

/// A backend server as described by the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Identifier that is unique in the list.
    pub id: String,
    /// Name of the service that it provides.
    pub service: String,
    /// IP address and port for requests.
    pub address: String,
    /// Failure domain in which it runs.
    pub failure_domain: String,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Whether it is about to stop and must not be sent new requests.
    pub is_draining: bool,
    /// Version of its software. Servers of several versions may provide one service.
    pub software_version: String,
}

/// Splits off the entries of `list` that have the id of another one. The entry with the service and
/// address that `known` has under the id stays, otherwise the first one.
pub fn split_duplicates<'a>(
    list: Vec<Listing>,
    known: impl Fn(&str) -> Option<&'a Listing>,
) -> (Vec<Listing>, Vec<Listing>) {
    let mut positions: Map<String, usize> = Map::default();
    let (mut unique, mut duplicates): (Vec<Listing>, Vec<Listing>) = (Vec::new(), Vec::new());
    for mut listed in list {
        let Some(position) = positions.get(&listed.id) else {
            positions.insert(listed.id.clone(), unique.len());
            unique.push(listed);
            continue;
        };
        let kept = &mut unique[*position];
        let is_known = |entry: &Listing| {
            let known = known(&entry.id);
            known.is_some_and(|k| k.service == entry.service && k.address == entry.address)
        };
        if !is_known(kept) && is_known(&listed) {
            std::mem::swap(kept, &mut listed);
        }
        duplicates.push(listed);
    }
    (unique, duplicates)
}

/// A difference between two consecutive lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The server accepts requests.
    Ready(Listing),
    /// The server is about to stop.
    Draining(Listing),
    /// The server with this identifier is no longer listed.
    Gone(String),
    /// The entry has the identifier of another server and is ignored.
    Duplicate(Listing),
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Ready(Listing { id, service, software_version, .. }) => {
                write!(f, "{id} of {service} is ready with version {software_version}")
            }
            Self::Draining(Listing { id, service, .. }) => {
                write!(f, "{id} of {service} is draining")
            }
            Self::Gone(id) => write!(f, "{id} is gone"),
            Self::Duplicate(Listing { id, service, address, .. }) => {
                write!(f, "{id} is listed twice; the entry of {service} at {address} is ignored")
            }
        }
    }
}
