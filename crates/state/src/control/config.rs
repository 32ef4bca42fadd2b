//! Configuration that operators change by tickets: deployments, backend servers and services.

use crate::budget::Amount;
use crate::control::ticket::{Change, Target};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Kind of a service's backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Inference engine: generates tokens and caches prompt prefixes.
    Engine,
    /// Tool server: executes calls without token generation.
    Tool,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the service that it provides.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Failure domain in which it runs.
    pub failure_domain: String,
    /// Number of calls that it executes concurrently.
    pub slots: u32,
    /// Whether it refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A service that backend servers provide.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of its backend servers.
    pub role: Role,
    /// Version of the model and adapters to load; empty for tools.
    #[serde(default)]
    pub version: String,
    /// Whether its calls have priority over others and have slots reserved for them.
    #[serde(default)]
    pub is_urgent: bool,
    /// Whether its backend servers can look up the outcome of a call by idempotency key.
    #[serde(default)]
    pub can_look_up: bool,
    /// Timeout of one call, in milliseconds.
    pub timeout_ms: u64,
    /// Minimum number of prompt bytes per token; gives an upper bound of a prompt's tokens.
    #[serde(default = "prompt_bytes_per_token")]
    pub prompt_bytes_per_token: u32,
}

fn prompt_bytes_per_token() -> u32 {
    3
}

/// Relative weights of the two costs that scheduling trades off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of program latency.
    pub latency: u32,
    /// Weight of prompt tokens that are computed again because no cache holds them.
    pub cache: u32,
}

/// Placement rules and limits of one deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Names of the backend servers that its programs may use.
    pub servers: Vec<String>,
    /// Failure domains in which its data may be processed.
    pub failure_domains: Vec<String>,
    /// For each label, the failure domains to which programs with that label are restricted. Those with
    /// a label that is not in the map may use no backend server.
    #[serde(default)]
    pub labels: BTreeMap<String, Vec<String>>,
    /// Maximum budget of one program.
    pub cap: Amount,
    /// Weights of the scheduling costs.
    pub weights: Weights,
}

impl Deployment {
    /// Whether a program with `labels` may use the backend server `server` with the name `name`.
    pub fn allows(&self, name: &str, server: &Server, labels: &[String]) -> bool {
        let domain = &server.failure_domain;
        self.servers.iter().any(|allowed| allowed == name)
            && self.failure_domains.contains(domain)
            && labels
                .iter()
                .all(|label| self.labels.get(label).is_some_and(|domains| domains.contains(domain)))
    }

    /// Returns the first of these labels for which there is no rule.
    pub fn unknown_label<'a>(&self, labels: &'a [String]) -> Option<&'a str> {
        labels.iter().map(String::as_str).find(|label| !self.labels.contains_key(*label))
    }
}

/// All configuration objects, by class and name.
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
    /// Whether a program of `deployment` with `labels` may use the backend server `server`.
    pub fn allows(&self, deployment: &str, server: &str, labels: &[String]) -> bool {
        let deployment = self.deployments.get(deployment);
        let found = self.servers.get(server);
        deployment.zip(found).is_some_and(|(rules, found)| rules.allows(server, found, labels))
    }

    /// Sets or removes one object.
    pub fn apply(&mut self, change: &Change) {
        match change.clone() {
            Change::Deployment { name, state } => set_object(&mut self.deployments, name, state),
            Change::Server { name, state } => set_object(&mut self.servers, name, state),
            Change::Service { name, state } => set_object(&mut self.services, name, state),
        }
    }

    /// Invalid values and references to missing objects, one message each.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        for (name, server) in &self.servers {
            self.check_server(name, server, &mut errors);
        }
        for (name, service) in &self.services {
            if service.timeout_ms == 0 {
                errors.push(format!("service {name}: timeout_ms is 0; accepted: 1 or more"));
            }
        }
        for (name, service) in &self.services {
            if service.prompt_bytes_per_token == 0 {
                errors.push(format!(
                    "service {name}: prompt_bytes_per_token is 0; accepted: 1 or more"
                ));
            }
        }
        for (name, deployment) in &self.deployments {
            self.check_deployment(name, deployment, &mut errors);
        }
        errors
    }

    fn check_server(&self, name: &str, server: &Server, errors: &mut Vec<String>) {
        if !self.services.contains_key(&server.service) {
            let known: Vec<&String> = self.services.keys().collect();
            errors.push(format!(
                "server {name}: service {:?} is unknown; accepted: {known:?}",
                server.service
            ));
        }
        if server.slots == 0 {
            errors.push(format!("server {name}: slots is 0; accepted: 1 or more"));
        }
        if server.address.parse::<std::net::SocketAddr>().is_err() {
            let found = &server.address;
            errors.push(format!("server {name}: address {found:?}; accepted: IP:PORT"));
        }
        if server.failure_domain.is_empty() {
            errors.push(format!("server {name}: failure_domain is empty; accepted: a name"));
        }
    }

    fn check_deployment(&self, name: &str, deployment: &Deployment, errors: &mut Vec<String>) {
        for server in &deployment.servers {
            if !self.servers.contains_key(server) {
                errors.push(format!("deployment {name}: server {server:?} is unknown"));
            }
        }
        for (label, domains) in &deployment.labels {
            for domain in domains {
                if !deployment.failure_domains.contains(domain) {
                    errors.push(format!(
                        "deployment {name}: label {label}: failure domain {domain:?} is not one \
                         of {:?}",
                        deployment.failure_domains
                    ));
                }
            }
        }
    }

    /// Whether the object `target` exists.
    pub fn contains(&self, target: &Target) -> bool {
        match target {
            Target::Deployment(name) => self.deployments.contains_key(name),
            Target::Server(name) => self.servers.contains_key(name),
            Target::Service(name) => self.services.contains_key(name),
        }
    }
}

fn set_object<T>(objects: &mut BTreeMap<String, T>, name: String, state: Option<T>) {
    match state {
        Some(state) => objects.insert(name, state),
        None => objects.remove(&name),
    };
}
