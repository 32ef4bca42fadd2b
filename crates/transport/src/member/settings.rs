//! Settings of an instance that finds the others from a few addresses.

use protocol::presence::Role;
use std::path::PathBuf;
use std::time::Duration;

/// What such an instance must know.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub role: Role,
    /// Its address for other instances.
    pub address: String,
    /// Address to listen on for them, where it is another one, such as behind a proxy.
    pub listen: Option<String>,
    /// Its failure domain.
    pub failure_domain: String,
    /// Addresses of some control instances.
    pub seeds: Vec<String>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Data folder of an instance with a disk.
    pub folder: Option<PathBuf>,
    /// Address for callers of an entry.
    pub callers: Option<String>,
    /// Replicas with a disk whose loss at one time must be borne.
    pub bearable_losses: usize,
    /// Shortest time without a leader before an election, in milliseconds.
    pub election_ms: u64,
    /// Size at which a journal is compacted, in bytes.
    pub compact_bytes: u64,
    /// Time between two signs of life.
    pub beat: Duration,
    /// Age at which an instance counts as absent: a few lost beats.
    pub absent_after: Duration,
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
            callers: None,
            bearable_losses: 1,
            election_ms: 400,
            compact_bytes: 8 * 1024 * 1024,
            beat: Duration::from_millis(200),
            absent_after: Duration::from_millis(600),
        }
    }
}

impl Settings {
    /// Replicas of each journal.
    pub fn replicas(&self) -> usize {
        2 * self.bearable_losses + 1
    }
}
