//! Routes and services: the versioned configuration that maps requests to backend servers.
//!
//! Operators always submit a complete [`Config`]. [`Table::new`] validates it and indexes it
//! for lookups; an invalid configuration is rejected with an [`Error`] that names the fault.

use crate::organisations::{self, Organisation};
use state::collections::Map;
use std::sync::Arc;
use std::time::Duration;

/// A complete configuration, not yet validated.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Version that the operator assigned; a higher version replaces a lower one.
    pub version: u64,
    /// All routes, in any order.
    pub routes: Vec<Route>,
    /// All services that routes may refer to.
    pub services: Vec<Service>,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Organisations whose keys callers present; `None` if no keys are checked. Without an
    /// organisation in the list no key is known.
    pub organisations: Option<Vec<Organisation>>,
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Retry {
    /// At most one execution: a request that may have been executed is not sent again.
    #[default]
    Never,
    /// Requests are idempotent and may be retried at any time.
    Always,
}

/// A rule that maps requests to services, with the policy for handling them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Name of the route, for logs and errors.
    pub name: String,
    /// Host of the requests, without a port; compared without regard to case.
    pub host: String,
    /// Prefix of the request paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried after they may have been executed.
    pub retry: Retry,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Whether a caller may take up a stream that broke off.
    pub is_resumable: bool,
    /// Maximum total time of a request, including queueing.
    pub timeout: Duration,
    /// Time within which the response should begin.
    pub latency_objective: Duration,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Services that share the requests, with their weights.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers to which a request may be sent.
    pub max_attempts: u32,
    /// Whether turns are stored so that later turns can continue from them.
    pub retains_turns: bool,
    /// How long stored turns are retained.
    pub retention: Duration,
    /// Whether requests of a session prefer the same backend server.
    pub is_sticky: bool,
    /// Whether requests need no key of an organisation.
    pub is_public: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that each backend server accepts from all clients
    /// together.
    pub max_connections: u32,
    /// Number of tokens in each event of a model engine's stream; 0 if that is unknown, as for services
    /// that are no engines.
    pub tokens_per_event: u64,
}

/// Limits on the connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply until the first configuration arrives. They equal those of the native
    /// HTTP interface for callers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Reason why a configuration is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route refers to a service that is not defined.
    #[error("route {route:?} refers to service {service:?}, which is not defined")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undefined service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("routes {first:?} and {second:?} have the same host and prefix")]
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// The weights of a route add up to 0, so that its requests have no target.
    #[error("route {0:?} has a total weight of 0; it must be positive")]
    ZeroWeight(String),
    /// The timeout of a route is 0.
    #[error("route {0:?} has a timeout of 0; it must be positive")]
    ZeroTimeout(String),
    /// The prefix of a route does not consist of whole path segments.
    #[error("route {route:?} has prefix {prefix:?}; it must begin and end with a slash")]
    Prefix {
        /// Name of the route.
        route: String,
        /// The invalid prefix.
        prefix: String,
    },
    /// Two services have the same name.
    #[error("service {0:?} is defined twice")]
    DuplicateService(String),
    /// The organisations are invalid.
    #[error(transparent)]
    Organisations(#[from] organisations::Error),
}

/// A validated configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    /// Routes by lower-case host, longest prefix first.
    hosts: Map<String, Vec<Arc<Route>>>,
    services: Map<String, Service>,
    limits: Limits,
    organisations: Option<organisations::Index>,
}

impl Table {
    /// Validates a configuration and builds the index.
    ///
    /// # Errors
    ///
    /// Returns the first fault that was found.
    pub fn new(config: Config) -> Result<Self, Error> {
        let mut services = Map::default();
        for service in config.services {
            if let Some(old) = services.insert(service.name.clone(), service) {
                return Err(Error::DuplicateService(old.name));
            }
        }
        let mut hosts: Map<String, Vec<Arc<Route>>> = Map::default();
        let mut seen: Map<(String, String), String> = Map::default();
        for route in config.routes {
            check(&route, &services)?;
            let key = (route.host.to_ascii_lowercase(), route.prefix.clone());
            if let Some(first) = seen.insert(key.clone(), route.name.clone()) {
                return Err(Error::DuplicateRoute { first, second: route.name });
            }
            hosts.entry(key.0).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let organisations = config.organisations.map(organisations::Index::new).transpose()?;
        let (version, limits) = (config.version, config.limits);
        Ok(Self { version, hosts, services, limits, organisations })
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on the connections and requests of callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the organisations whose keys callers present; `None` if no keys are checked.
    pub fn organisations(&self) -> Option<&organisations::Index> {
        self.organisations.as_ref()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the route for a request: among the routes of `host`, which may carry a port,
    /// the one with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
        });
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

impl Route {
    /// Selects a service by weight; `random` is a uniformly distributed random number.
    pub fn pick(&self, random: u64) -> &str {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut offset = random % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return &target.service;
            }
            offset -= weight;
        }
        ""
    }
}

fn check(route: &Route, services: &Map<String, Service>) -> Result<(), Error> {
    let name = || route.name.clone();
    let unknown = route.targets.iter().find(|target| !services.contains_key(&target.service));
    if let Some(target) = unknown {
        let service = target.service.clone();
        return Err(Error::UnknownService { route: name(), service });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(Error::ZeroWeight(name()));
    }
    if route.timeout.is_zero() {
        return Err(Error::ZeroTimeout(name()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::Prefix { route: name(), prefix: route.prefix.clone() });
    }
    Ok(())
}
