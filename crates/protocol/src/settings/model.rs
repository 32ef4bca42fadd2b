//! The structure of the settings file: its tables, its keys and their default values.

use coordination::{entry, lease};
use serde::{Deserialize, Serialize};
use state::control::Config;
use std::path::{Path, PathBuf};

/// Content of a settings file. A missing key takes its default value.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub name: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Data folder; absent for instances without a disk.
    #[serde(default)]
    pub storage: Option<Storage>,
    /// Replica groups and their journals.
    pub journal: Journal,
    /// All instances of the deployment, including this one.
    pub peers: Vec<Peer>,
    /// Files with keys and tokens.
    pub access: Access,
    /// Queueing and retries of calls.
    pub entry: entry::Settings,
    /// Duration and renewal of leases.
    pub lease: lease::Settings,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Timing of a planned stop.
    pub stop: Stop,
    /// External systems.
    pub platform: Platform,
    /// Format and filter of the log.
    pub log: Log,
    /// Deployments, backend servers and services that apply before the first ticket.
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

/// Addresses to listen on, as `IP:PORT`; the kernel assigns a port in place of port 0.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: String,
    /// Address for operators.
    pub operators: String,
    /// Address for other instances.
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

/// Location of stored data.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Storage {
    /// Folder for journals and program history.
    pub folder: PathBuf,
}

impl Default for Storage {
    fn default() -> Self {
        Self { folder: "data".into() }
    }
}

/// Replica groups and their journals.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Journal {
    /// Names of the instances that hold replicas; if empty, this instance holds the only one.
    pub replicas: Vec<String>,
    /// Number of program groups, from 1 to 64; must not change during the life of a deployment.
    pub shards: u32,
    /// Size at which a journal is compacted, in bytes; at least 4096.
    pub compact_bytes: u64,
    /// Time after which an idle program is closed, in milliseconds.
    pub idle_ms: u64,
    /// Time for which the answers of an ended program are retained, in milliseconds.
    pub keep_ms: u64,
    /// Minimum time without a leader before a replica starts an election, in milliseconds.
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
    /// Name of the instance.
    pub name: String,
    /// Address of the instance for other instances.
    pub address: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
}

/// Files with keys and tokens; relative paths start at the folder of the settings file.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Access {
    /// File with the key that all instances of the deployment share.
    pub peer_key_file: Option<PathBuf>,
    /// File with one operator token per line.
    pub operator_token_file: Option<PathBuf>,
    /// File with one deployment and its token per line.
    pub caller_token_file: Option<PathBuf>,
}

/// Limits on the connections and requests of callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request body must arrive, in milliseconds.
    pub body_ms: u64,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum sustained request rate of each deployment, in requests per second.
    pub requests_per_second: f64,
    /// Maximum number of requests of each deployment that are accepted in one burst.
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

/// Timing of a planned stop.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stop {
    /// Time for which callers may cache the address of an instance, in milliseconds. A stopping
    /// instance still accepts requests for this time.
    pub keep_ms: u64,
    /// Maximum wait for calls in flight to finish, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { keep_ms: 5_000, drain_ms: 120_000 }
    }
}

/// External systems.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// URL of the list of leaving backend servers; not polled if absent.
    pub instance_list: Option<String>,
    /// Interval between two reads of the instance list, in milliseconds.
    pub list_ms: u64,
    /// Interval between two load reports of a backend server, in milliseconds.
    pub report_ms: u64,
    /// Maximum rate at which engines may load from the weight store, in loads per second.
    pub loads_per_second: f64,
}

impl Default for Platform {
    fn default() -> Self {
        Self { instance_list: None, list_ms: 1_000, report_ms: 200, loads_per_second: 1.0 }
    }
}

/// Output format of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Format and filter of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Output format.
    pub format: Format,
    /// Filter directives, such as `info` or `transport=debug`.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: Format::Text, filter: "info".into() }
    }
}

impl Settings {
    /// Resolves relative paths of keys, tokens and data against `folder`.
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
