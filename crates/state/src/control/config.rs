//! What operators decide by tickets.

use crate::budget::Amount;
use crate::control::ticket::{Change, Target};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Generates tokens and caches prompt prefixes.
    Engine,
    /// Executes plain calls.
    Tool,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the service that it runs.
    pub service: String,
    /// Host and port.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Calls that keep it busy.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A service that backend servers run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What its backend servers are.
    pub role: Role,
    /// Version of the model and adapters to load; empty for tools.
    #[serde(default)]
    pub version: String,
    /// Whether its calls pass before others and have slots of their own.
    #[serde(default)]
    pub is_urgent: bool,
    /// Whether its backend servers can tell the outcome of an idempotency key.
    #[serde(default)]
    pub can_look_up: bool,
    /// Longest time of one call, in milliseconds.
    pub timeout_ms: u64,
    /// Fewest prompt bytes to a token; bounds what a prompt can draw.
    #[serde(default = "prompt_bytes_per_token")]
    pub prompt_bytes_per_token: u32,
}

fn prompt_bytes_per_token() -> u32 {
    3
}

/// Relative prices of the two measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Price of program latency.
    pub latency: u32,
    /// Price of wasted cache.
    pub cache: u32,
}

/// Rules of one deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Names of the backend servers that it may use.
    pub servers: Vec<String>,
    /// Failure domains in which its data may be.
    pub failure_domains: Vec<String>,
    /// Narrower failure domains for programs with a label.
    #[serde(default)]
    pub labels: BTreeMap<String, Vec<String>>,
    /// The most that one program may draw.
    pub cap: Amount,
    /// Relative prices of the two measures.
    pub weights: Weights,
}

impl Deployment {
    /// Whether a program with `labels` may run on `server`, called `name`.
    pub fn allows(&self, name: &str, server: &Server, labels: &[String]) -> bool {
        let domain = &server.failure_domain;
        self.servers.iter().any(|allowed| allowed == name)
            && self.failure_domains.contains(domain)
            && labels
                .iter()
                .filter_map(|label| self.labels.get(label))
                .all(|domains| domains.contains(domain))
    }
}

/// All objects, by class and name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Deployments by name.
    #[serde(default)]
    pub deployments: BTreeMap<String, Deployment>,
    /// Backend servers by name.
    #[serde(default)]
    pub servers: BTreeMap<String, Server>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
}

impl Config {
    /// Whether a program of `deployment` with `labels` may run on `server`.
    pub fn allows(&self, deployment: &str, server: &str, labels: &[String]) -> bool {
        let deployment = self.deployments.get(deployment);
        let found = self.servers.get(server);
        deployment.zip(found).is_some_and(|(rules, found)| rules.allows(server, found, labels))
    }

    /// Puts one object into its new state.
    pub fn apply(&mut self, change: &Change) {
        match change.clone() {
            Change::Deployment { name, state } => put(&mut self.deployments, name, state),
            Change::Server { name, state } => put(&mut self.servers, name, state),
            Change::Service { name, state } => put(&mut self.services, name, state),
        }
    }

    /// Everything that contradicts itself, one sentence each.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (name, server) in &self.servers {
            self.server_faults(name, server, &mut faults);
        }
        for (name, service) in &self.services {
            if service.timeout_ms == 0 {
                faults.push(format!("service {name}: timeout_ms is 0; accepted: 1 or more"));
            }
        }
        for (name, service) in &self.services {
            if service.prompt_bytes_per_token == 0 {
                faults.push(format!(
                    "service {name}: prompt_bytes_per_token is 0; accepted: 1 or more"
                ));
            }
        }
        for (name, deployment) in &self.deployments {
            self.deployment_faults(name, deployment, &mut faults);
        }
        faults
    }

    fn server_faults(&self, name: &str, server: &Server, faults: &mut Vec<String>) {
        if !self.services.contains_key(&server.service) {
            let known: Vec<&String> = self.services.keys().collect();
            faults.push(format!(
                "server {name}: service {:?} is unknown; accepted: {known:?}",
                server.service
            ));
        }
        if server.slots == 0 {
            faults.push(format!("server {name}: slots is 0; accepted: 1 or more"));
        }
        if server.address.parse::<std::net::SocketAddr>().is_err() {
            let found = &server.address;
            faults.push(format!("server {name}: address {found:?}; accepted: IP:PORT"));
        }
        if server.failure_domain.is_empty() {
            faults.push(format!("server {name}: failure_domain is empty; accepted: a name"));
        }
    }

    fn deployment_faults(&self, name: &str, deployment: &Deployment, faults: &mut Vec<String>) {
        for server in &deployment.servers {
            if !self.servers.contains_key(server) {
                faults.push(format!("deployment {name}: server {server:?} is unknown"));
            }
        }
        for (label, domains) in &deployment.labels {
            for domain in domains {
                if !deployment.failure_domains.contains(domain) {
                    faults.push(format!(
                        "deployment {name}: label {label}: failure domain {domain:?} is not one \
                         of {:?}",
                        deployment.failure_domains
                    ));
                }
            }
        }
    }

    /// Whether `target` exists.
    pub fn contains(&self, target: &Target) -> bool {
        match target {
            Target::Deployment(name) => self.deployments.contains_key(name),
            Target::Server(name) => self.servers.contains_key(name),
            Target::Service(name) => self.services.contains_key(name),
        }
    }
}

fn put<T>(objects: &mut BTreeMap<String, T>, name: String, state: Option<T>) {
    match state {
        Some(state) => objects.insert(name, state),
        None => objects.remove(&name),
    };
}
