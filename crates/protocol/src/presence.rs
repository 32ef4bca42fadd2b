//! How instances that find each other from a few addresses stay in touch.
//!
//! Each instance sends a [`Beat`] to every control instance; the answer, a [`Report`],
//! carries what the instance lacks. Both are soft state: who is there and ready follows
//! from the beats of the last moments, never from a file.

use coordination::consensus::Id;
use coordination::membership::Candidate;
use coordination::placement::Listing;
use serde::{Deserialize, Serialize};
use state::collections::{Map, Set};
use state::registry::Registry;

/// What an instance is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers; has no disk.
    Entry,
    /// Holds a replica of the control journal.
    Control,
    /// Holds a replica of a program journal.
    Programs,
}

/// A sign of life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Name of the instance.
    pub name: String,
    /// Address for other instances.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// What it is for.
    pub role: Role,
    /// Address for callers, if it serves them.
    pub callers: Option<String>,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// The replica that it holds.
    pub replica: Option<Held>,
    /// Revision of the registry that it knows, or 0.
    pub revision: u64,
    /// Whether the answer should carry what is relayed; one control instance at a time is
    /// asked for it.
    pub wants_relay: bool,
    /// Digest of the list of backend servers that it knows, or 0.
    pub list: u64,
    /// Digest of the roster that it knows, or 0.
    pub roster: u64,
    /// Requests that it has outstanding, by backend server.
    pub loads: Vec<(String, u32)>,
}

/// The list of backend servers as a control instance relays it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relayed {
    /// Digest of the list.
    pub digest: u64,
    /// Time since it was read, in milliseconds.
    pub age_ms: u64,
    /// What the receiver lacks of the list, unless it has the one of this digest.
    pub servers: Option<Servers>,
}

/// A list of backend servers, or what leads to it from an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Servers {
    /// All of it.
    Whole(Vec<Listing>),
    /// The difference from the list of a digest.
    Since {
        /// Digest of the earlier list.
        base: u64,
        /// Ids of servers that are gone.
        gone: Vec<String>,
        /// Servers that are new or changed.
        put: Vec<Listing>,
    },
}

impl Servers {
    /// The difference from `old`, which has the digest `base`, to `new`.
    pub fn since(base: u64, old: &[Listing], new: &[Listing]) -> Self {
        let known: Map<&str, &Listing> = old.iter().map(|s| (s.id.as_str(), s)).collect();
        let kept: Set<&str> = new.iter().map(|server| server.id.as_str()).collect();
        let gone = old.iter().filter(|server| !kept.contains(server.id.as_str()));
        let put = new.iter().filter(|server| known.get(server.id.as_str()) != Some(server));
        Self::Since {
            base,
            gone: gone.map(|server| server.id.clone()).collect(),
            put: put.cloned().collect(),
        }
    }

    /// The list that follows from `held`, the receiver's one with its digest; `None` if the
    /// difference is from another.
    pub fn apply(self, held: Option<(u64, &[Listing])>) -> Option<Vec<Listing>> {
        match self {
            Self::Whole(servers) => Some(servers),
            Self::Since { base, gone, put } => {
                let (_, servers) = held.filter(|(digest, _)| *digest == base)?;
                let out: Set<&str> = gone
                    .iter()
                    .map(String::as_str)
                    .chain(put.iter().map(|s| s.id.as_str()))
                    .collect();
                let kept = servers.iter().filter(|server| !out.contains(server.id.as_str()));
                Some(kept.cloned().chain(put.iter().cloned()).collect())
            }
        }
    }
}

/// Ready entries, for callers that ask which to use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Digest of the entries; 0 if there are none.
    pub digest: u64,
    /// Failure domain and address for callers of each.
    pub entries: Vec<(String, String)>,
}

impl Roster {
    /// Addresses for callers in `failure_domain`: of its entries, or of all if it has fewer
    /// than two.
    pub fn near(&self, failure_domain: &str) -> Vec<String> {
        let is_near = |entry: &&(String, String)| entry.0 == failure_domain;
        let near = self.entries.iter().filter(is_near).count();
        let chosen = self.entries.iter().filter(|entry| near < 2 || is_near(entry));
        chosen.map(|(_, address)| address.clone()).collect()
    }
}

/// A replica as its instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Identity of the data folder.
    pub id: Id,
    /// Whether it leads and knows all that is committed.
    pub is_leader: bool,
    /// Its term.
    pub term: u64,
    /// Addresses of the journal's members; empty while a change is not committed.
    pub members: Vec<String>,
    /// Revision of the registry by which the members were chosen.
    pub revision: u64,
}

/// The answer to a [`Beat`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The registry, if it is newer than what the instance knows.
    pub registry: Option<Registry>,
    /// Addresses of the control instances.
    pub control: Vec<String>,
    /// Addresses of the instances that hold program journals, the leader first.
    pub programs: Vec<String>,
    /// Whether the first of `programs` leads.
    pub has_leader: bool,
    /// Present instances that can hold the receiver's journal; only for those that do.
    pub candidates: Vec<Candidate>,
    /// Revision of the registry by which `candidates` were marked as leaving.
    pub revision: u64,
    /// The list of backend servers, for entries and control instances.
    pub list: Option<Relayed>,
    /// Requests that the other entries have outstanding on each server of the list, in its
    /// order.
    pub loads: Vec<u32>,
    /// The ready entries, unless the receiver has the roster of this digest.
    pub roster: Option<Roster>,
}
