//! Keys of the settings file.

use coordination::{entry, lease};
use serde::{Deserialize, Serialize};
use state::control::Config;
use std::path::{Path, PathBuf};

/// The whole file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Addresses.
    pub listen: Listen,
    /// Data folder; only for instances with a disk.
    #[serde(default)]
    pub storage: Option<Storage>,
    /// Replicated journals.
    pub journal: Journal,
    /// All instances of the deployment, this one included.
    pub peers: Vec<Peer>,
    /// Keys and tokens.
    pub access: Access,
    /// Queue and retries.
    pub entry: entry::Settings,
    /// Leases.
    pub lease: lease::Settings,
    /// Limits on callers.
    pub limits: Limits,
    /// Planned stop.
    pub stop: Stop,
    /// Outside systems.
    pub platform: Platform,
    /// Logs.
    pub log: Log,
    /// Deployments, backend servers and services before the first ticket.
    pub seed: Config,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "local".into(),
            failure_domain: "local".into(),
            listen: Listen::default(),
            storage: Some(Storage::default()),
            journal: Journal::default(),
            peers: Vec::new(),
            access: Access::default(),
            entry: entry::Settings::default(),
            lease: lease::Settings::default(),
            limits: Limits::default(),
            stop: Stop::default(),
            platform: Platform::default(),
            log: Log::default(),
            seed: Config::default(),
        }
    }
}

/// Addresses to listen on, as IP and port; port 0 is the kernel's choice.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: String,
    /// For operators.
    pub operators: String,
    /// For other instances.
    pub peers: String,
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: "127.0.0.1:7400".into(),
            operators: "127.0.0.1:7401".into(),
            peers: "127.0.0.1:7402".into(),
        }
    }
}

/// The data folder.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Storage {
    /// Folder for journals and history.
    pub folder: PathBuf,
}

impl Default for Storage {
    fn default() -> Self {
        Self { folder: "data".into() }
    }
}

/// Replicated journals.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Journal {
    /// Names of the instances with replicas; empty means this instance alone.
    pub replicas: Vec<String>,
    /// Number of program journals; fixed for the life of a deployment.
    pub shards: u32,
    /// Size at which a journal is compacted, in bytes.
    pub compact_bytes: u64,
    /// Idleness after which a program is closed, in milliseconds.
    pub idle_ms: u64,
    /// Time for which an ended program's answers are kept, in milliseconds.
    pub keep_ms: u64,
    /// Shortest time without a leader before an election, in milliseconds.
    pub election_ms: u64,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            shards: 2,
            compact_bytes: 64 * 1024 * 1024,
            idle_ms: 3_600_000,
            keep_ms: 3_600_000,
            election_ms: 400,
        }
    }
}

/// One instance of the deployment.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address for other instances.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
}

/// Keys and tokens; a relative path starts at the settings file's folder.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Access {
    /// File with the key that all instances share.
    pub peer_key_file: Option<PathBuf>,
    /// File with one operators' token a line.
    pub operator_token_file: Option<PathBuf>,
    /// File with a deployment and its token a line.
    pub caller_token_file: Option<PathBuf>,
}

/// Limits on callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a body to arrive, in milliseconds.
    pub body_ms: u64,
    /// Connections at a time.
    pub connections: usize,
    /// Requests a second of one deployment.
    pub requests_per_second: f64,
    /// Requests of one deployment that may come at once.
    pub request_burst: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            body_ms: 10_000,
            connections: 4_096,
            requests_per_second: 500.0,
            request_burst: 1_000.0,
        }
    }
}

/// Planned stop.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stop {
    /// How long a caller may keep an answer to "which entry", in milliseconds.
    pub keep_ms: u64,
    /// Longest wait for calls in flight, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { keep_ms: 5_000, drain_ms: 120_000 }
    }
}

/// Outside systems.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// URL of the instance list.
    pub instance_list: Option<String>,
    /// Time between two looks at the list, in milliseconds.
    pub list_ms: u64,
    /// Time between two load reports of a backend server, in milliseconds.
    pub report_ms: u64,
    /// Loads a second that the weight store allows.
    pub loads_per_second: f64,
}

impl Default for Platform {
    fn default() -> Self {
        Self { instance_list: None, list_ms: 1_000, report_ms: 200, loads_per_second: 1.0 }
    }
}

/// Format of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

/// Logs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Format.
    pub format: Format,
    /// Filter, such as `info` or `transport=debug`.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: Format::Text, filter: "info".into() }
    }
}

impl Settings {
    /// Makes relative paths start at `folder`.
    pub fn resolve(&mut self, folder: &Path) {
        let access = &mut self.access;
        let files = [
            &mut access.peer_key_file,
            &mut access.operator_token_file,
            &mut access.caller_token_file,
        ];
        for file in files.into_iter().flatten() {
            *file = folder.join(&*file);
        }
        if let Some(storage) = &mut self.storage {
            storage.folder = folder.join(&storage.folder);
        }
    }
}
