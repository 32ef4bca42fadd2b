//! Settings of an instance that discovers the others from a few seed addresses.

use crate::connections;
use crate::member::Metrics;
use crate::memory::{self, Budget};
use coordination::usage;
use protocol::presence::Role;
use state::disk::{Disk, Local};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Smallest budget for what others send, in bytes: the largest message between instances, which is
/// larger than any body, and room for some small ones.
const MIN_BUDGET_BYTES: u64 = 20 * 1024 * 1024;

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: String,
    /// Role of the instance in the cluster.
    pub role: Role,
    /// Address at which other instances reach this one.
    pub address: String,
    /// Address to listen on for other instances, if it differs from `address`, for example behind
    /// a proxy.
    pub listen: Option<String>,
    /// Failure domain that the instance is in.
    pub failure_domain: String,
    /// Addresses of some control instances; at the first start, of all initial members of the
    /// control journal.
    pub seeds: Vec<String>,
    /// Whether the whole deployment starts for the first time, so that the control journal is
    /// bootstrapped.
    pub is_first_start: bool,
    /// Data folder; required for instances with a replica.
    pub folder: Option<PathBuf>,
    /// Disk that the data folder is on.
    pub disk: Arc<dyn Disk>,
    /// Address for callers; only for entries.
    pub caller_address: Option<String>,
    /// Address for requests that other entries forward; only for entries.
    pub relay_address: Option<String>,
    /// Memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// Maximum numbers of connections.
    pub connections: connections::Limits,
    /// Number of replicas of a journal that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Minimum time without a leader before an election, in milliseconds.
    pub election_ms: u64,
    /// Size above which a journal is compacted, in bytes.
    pub compact_bytes: u64,
    /// Size of the content of all retained turns above which no turn that is to be retained may
    /// begin, in bytes.
    pub max_retained_bytes: u64,
    /// Interval between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Time since the last heartbeat after which an instance counts as absent: several lost
    /// heartbeats.
    pub absence_timeout: Duration,
    /// Time after the acknowledgement of a configuration in which each entry, reached by it or not,
    /// stops accepting the keys that it takes away; `None` if entries without contact may go on.
    pub revocation: Option<Duration>,
    /// How requests are counted against the limits of organisations.
    pub usage: usage::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            role: Role::Entry,
            address: String::new(),
            listen: None,
            failure_domain: String::new(),
            seeds: Vec::new(),
            is_first_start: false,
            folder: None,
            disk: Arc::new(Local),
            caller_address: None,
            relay_address: None,
            memory_bytes: memory::DEFAULT_MACHINE_BYTES,
            connections: connections::Limits::default(),
            tolerated_losses: 1,
            election_ms: 400,
            compact_bytes: 8 * 1024 * 1024,
            max_retained_bytes: state::turn::MAX_RETAINED_BYTES,
            heartbeat_interval: Duration::from_millis(200),
            absence_timeout: Duration::from_millis(600),
            revocation: None,
            usage: usage::Settings::default(),
        }
    }
}

impl Settings {
    /// Returns the number of replicas of each journal: a majority must survive the tolerated
    /// losses.
    pub fn replicas(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Share of the free memory that is given out, in percent. The allocator keeps some of what is
    /// returned: blocks of different sizes leave gaps. Instances with a replica also hold copies of
    /// what they write, send and apply.
    fn given_percent(&self) -> u64 {
        match self.role {
            Role::Entry => 60,
            Role::Control | Role::Programs => 50,
        }
    }

    /// Creates the budget for what others send, from the memory of the machine and what the process
    /// holds at its start.
    pub(crate) fn budget(&self, metrics: &Metrics) -> Arc<Budget> {
        let (machine, at_rest) = (self.memory_bytes, memory::at_rest());
        let bytes = coordination::memory::budget(machine, at_rest, self.given_percent());
        tracing::info!(machine, at_rest, bytes, "memory for what others send");
        if bytes < MIN_BUDGET_BYTES {
            let min = MIN_BUDGET_BYTES;
            tracing::error!(machine, at_rest, bytes, min, "too little memory; the minimum is used");
        }
        Budget::new(bytes.max(MIN_BUDGET_BYTES), metrics.memory.clone())
    }
}
