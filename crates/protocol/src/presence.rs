//! Heartbeats between instances that discover each other from a few seed addresses.
//!
//! Each instance sends a [`Heartbeat`] to every control instance. The [`Reply`] carries whatever
//! the instance does not have yet. Both are soft state: which instances are present and ready
//! follows from recent heartbeats only and is never read from a file.

use coordination::authority::Confirmation;
use coordination::consensus::Id;
use coordination::membership::Candidate;
use coordination::pace::Step;
use coordination::placement::Listing;
use coordination::quarantine::{Crash, Report};
use coordination::usage;
use coordination::versions::Settled;
use serde::{Deserialize, Deserializer, Serialize};
use state::collections::{Map, Set};
use state::registry::Registry;
use std::fmt;

/// Revision that a heartbeat names so that earlier builds send no registry in their reply.
pub const NOT_WANTED: u64 = u64::MAX;

/// Function of an instance in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers; stores nothing on disk.
    Entry,
    /// Holds a replica of the control group.
    Control,
    /// Holds a replica of a program group.
    Programs,
}

/// Build of the software that an instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Build {
    /// Major, minor and patch version of the package; all 0 if the build does not announce it.
    pub version: (u8, u8, u8),
    /// Latest format of data folders that the build knows.
    pub format: u32,
}

impl Default for Build {
    fn default() -> Self {
        Self { version: (0, 0, 0), format: 1 }
    }
}

impl fmt::Display for Build {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            (0, 0, 0) => formatter.write_str("unknown"),
            (major, minor, patch) => write!(formatter, "{major}.{minor}.{patch}"),
        }
    }
}

/// Periodic announcement of an instance to a control instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sending instance.
    pub name: String,
    /// Address at which other instances reach the sender.
    pub address: String,
    /// Failure domain of the sender.
    pub failure_domain: String,
    /// Role of the sender.
    pub role: Role,
    /// Address at which callers reach the sender; `None` if it does not serve callers.
    pub callers: Option<String>,
    /// Address at which the sender accepts requests that other entries forward; `None` if it
    /// accepts none.
    pub relay: Option<String>,
    /// Whether the sender accepts requests of callers.
    pub is_ready: bool,
    /// Whether the sender reaches no backend server.
    pub is_partitioned: bool,
    /// Status of the sender's replica; `None` if it has none.
    pub replica: Option<Replica>,
    /// Revision of the sender's registry; 0 if it has none yet, and [`NOT_WANTED`] if the reply
    /// must not contain a newer one.
    pub revision: u64,
    /// Whether the reply should carry the backend server list and the roster. An entry
    /// requests them from one control instance at a time.
    pub wants_relay: bool,
    /// Digest of the sender's backend server list; 0 if it has none.
    pub list_digest: u64,
    /// Digest of the sender's roster; 0 if it has none.
    pub roster_digest: u64,
    /// Number of the sender's requests in flight, by id of the backend server.
    pub in_flight: Vec<(String, u32)>,
    /// What the sender lately observed of backend servers' rate limits.
    pub rate_limits: Vec<RateLimit>,
    /// Build of the sender. Earlier builds neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub build: Build,
    /// What the sender knows of content that crashes backend servers. Earlier builds neither send nor
    /// read it.
    #[serde(deserialize_with = "tail")]
    pub quarantine: Report,
    /// Whether the sender fetches the registry in parts, so that the reply must not contain it.
    /// Earlier builds neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub fetches_registry: bool,
    /// What the sender admitted of organisations with a limit; `None` if none has one. Earlier builds
    /// neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub usage: Option<usage::Report>,
    /// Paces of backend servers' streams that the sender observed since its last heartbeat, by id. Earlier
    /// builds neither send nor read them.
    #[serde(deserialize_with = "tail")]
    pub paces: Vec<(String, Step)>,
    /// Content of the requests that silent backend servers have, as the sender sees it. Earlier builds
    /// neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub suspicions: Vec<Crash>,
}

/// Rate limit of a backend server as an instance observed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Id of the backend server.
    pub server: String,
    /// Requests per second that it accepts from all instances together; `None` if it announces
    /// no limit any more.
    pub per_second: Option<f64>,
    /// Time since the observation, in milliseconds.
    pub age_ms: u64,
}

/// State of the backend server list as a control instance relays it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Digest of the list.
    pub digest: u64,
    /// Time since the list was read from its source, in milliseconds.
    pub age_ms: u64,
    /// Update to the list of this digest; `None` if the receiver already has that list.
    pub servers: Option<Update>,
}

/// What a [`Relay`] says of the receiver's own list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The receiver's list is the relayed one.
    Confirmed,
    /// This list replaces the receiver's.
    Replaced(Vec<Listing>),
    /// The update is the difference from another list, which the receiver had when it asked. Its own
    /// one is newer or older, but not wrong.
    Inapplicable,
}

impl Relay {
    /// Compares the relayed list with `current`, the receiver's list with its digest. Several control
    /// instances may relay the same change, so that it was applied before.
    pub fn effect(self, current: Option<(u64, &[Listing])>) -> Effect {
        if current.is_some_and(|(digest, _)| digest == self.digest) {
            return Effect::Confirmed;
        }
        let servers = self.servers.and_then(|servers| servers.apply(current));
        servers.map_or(Effect::Inapplicable, Effect::Replaced)
    }
}

/// Content of a backend server list, either complete or relative to an earlier list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The complete list.
    Full(Vec<Listing>),
    /// The difference from an earlier list.
    Delta {
        /// Digest of the earlier list.
        base: u64,
        /// Ids of the backend servers that are no longer listed.
        removed: Vec<String>,
        /// Backend servers that were added or changed.
        upserted: Vec<Listing>,
    },
}

impl Update {
    /// Returns the difference between `old`, whose digest is `base`, and `new`.
    pub fn delta(base: u64, old: &[Listing], new: &[Listing]) -> Self {
        let old_by_id: Map<&str, &Listing> = old.iter().map(|s| (s.id.as_str(), s)).collect();
        let new_ids: Set<&str> = new.iter().map(|server| server.id.as_str()).collect();
        let removed = old.iter().filter(|server| !new_ids.contains(server.id.as_str()));
        let upserted =
            new.iter().filter(|server| old_by_id.get(server.id.as_str()) != Some(server));
        Self::Delta {
            base,
            removed: removed.map(|server| server.id.clone()).collect(),
            upserted: upserted.cloned().collect(),
        }
    }

    /// Applies the update to `current`, the receiver's list with its digest, and returns the
    /// new list. Returns `None` if the update is a delta from a different list.
    pub fn apply(self, current: Option<(u64, &[Listing])>) -> Option<Vec<Listing>> {
        match self {
            Self::Full(servers) => Some(servers),
            Self::Delta { base, removed, upserted } => {
                let (_, servers) = current.filter(|(digest, _)| *digest == base)?;
                let replaced: Set<&str> = removed
                    .iter()
                    .map(String::as_str)
                    .chain(upserted.iter().map(|s| s.id.as_str()))
                    .collect();
                let unchanged =
                    servers.iter().filter(|server| !replaced.contains(server.id.as_str()));
                Some(unchanged.cloned().chain(upserted.iter().cloned()).collect())
            }
        }
    }
}

/// The entries that accept requests, for callers that look up an address.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Digest of the entries; 0 if there are none.
    pub digest: u64,
    /// The ready entries that reach backend servers; all ready ones if none does.
    pub entries: Vec<Entry>,
}

/// An entry in the [`Roster`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Failure domain in which it runs.
    pub failure_domain: String,
    /// Address for callers.
    pub address: String,
    /// Address for requests that other entries forward; `None` if it accepts none.
    pub relay: Option<String>,
    /// Whether it reaches no backend server.
    pub is_partitioned: bool,
}

impl Roster {
    /// Returns the caller addresses for a caller in `failure_domain`: those of the entries
    /// in that domain, or of all entries if the domain has fewer than two.
    pub fn near(&self, failure_domain: &str) -> Vec<String> {
        let is_near = |entry: &&Entry| entry.failure_domain == failure_domain;
        let near = self.entries.iter().filter(is_near).count();
        let selected = self.entries.iter().filter(|entry| near < 2 || is_near(entry));
        selected.map(|entry| entry.address.clone()).collect()
    }

    /// Returns the addresses to which an entry that reaches no backend server can forward requests.
    /// `own` is its own one, since the roster may not yet show that it is partitioned.
    pub fn relays(&self, own: Option<&str>) -> Vec<&str> {
        let reaching = self.entries.iter().filter(|entry| !entry.is_partitioned);
        let relays = reaching.filter_map(|entry| entry.relay.as_deref());
        relays.filter(|relay| Some(*relay) != own).collect()
    }
}

/// Status of a replica, as its own instance reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Identity of the replica's data folder.
    pub id: Id,
    /// Whether the replica is the leader and has applied all committed entries.
    pub is_leader: bool,
    /// Current consensus term of the replica.
    pub term: u64,
    /// Addresses of the group's members; empty while a membership change is uncommitted.
    pub members: Vec<String>,
    /// Revision of the registry on which the choice of members was based.
    pub revision: u64,
}

/// Reply of a control instance to a [`Heartbeat`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The registry, if it is newer than the receiver's and the receiver doesn't fetch it in parts.
    pub registry: Option<Registry>,
    /// Addresses of the control instances.
    pub control: Vec<String>,
    /// Addresses of the instances that hold program replicas, the leader's first.
    pub programs: Vec<String>,
    /// Whether the first address in `programs` is the leader's.
    pub has_leader: bool,
    /// Present instances that can hold a replica of the receiver's group. Filled only for
    /// receivers that hold program replicas.
    pub candidates: Vec<Candidate>,
    /// Revision of the registry by which `candidates` were marked as leaving.
    pub revision: u64,
    /// Update to the backend server list, for entries and control instances.
    pub list: Option<Relay>,
    /// Number of requests that other entries have in flight on each listed backend server,
    /// in the order of the list.
    pub in_flight: Vec<u32>,
    /// Newest observations of the other entries of backend servers' rate limits, for entries.
    pub rate_limits: Vec<RateLimit>,
    /// The ready entries, for instances that serve the directory; `None` if the receiver's roster is up
    /// to date.
    pub roster: Option<Roster>,
    /// Software versions of the services in the list; filled only with a complete list. Earlier
    /// builds neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub versions: Vec<Settled>,
    /// What the control instance knows of content that crashes backend servers, for entries and
    /// control instances. Earlier builds neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub quarantine: Report,
    /// Whether the control instance serves its registry in parts. Earlier builds neither send nor
    /// read it.
    #[serde(deserialize_with = "tail")]
    pub serves_parts: bool,
    /// Whether the control instance compared the receiver's roster with its own. Earlier builds,
    /// which do so for entries only, neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub compares_roster: bool,
    /// Newest confirmation of a revision that the control instance knows; `None` if none is needed.
    /// Earlier builds neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub confirmation: Option<Confirmation>,
    /// What all entries admitted of the organisations near their limits; `None` unless the receiver
    /// reported what it admitted. Earlier builds neither send nor read it.
    #[serde(deserialize_with = "tail")]
    pub usage: Option<usage::Sums>,
    /// Paces of the listed backend servers, in the order of the list, for entries; empty if none is known. Earlier
    /// builds neither send nor read them.
    #[serde(deserialize_with = "tail")]
    pub paces: Vec<Step>,
    /// Content of the requests that silent backend servers have, as entries see it. Earlier builds neither
    /// send nor read it.
    #[serde(deserialize_with = "tail")]
    pub suspicions: Vec<Crash>,
}

/// Decodes a field at the end of a message, which ends before it if an earlier build has sent it.
fn tail<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
