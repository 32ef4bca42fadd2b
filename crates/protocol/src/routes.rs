//! Routes and services: which requests go to which backend servers, and how.
//!
//! Operators send a whole [`Config`] under a version; [`Table::new`] checks it and prepares
//! it for look-ups. A configuration that does not pass is refused with the field at fault.

use state::collections::Map;
use std::sync::Arc;
use std::time::Duration;

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing: one execution at most.
    #[default]
    Never,
    /// Everything.
    Always,
}

/// One route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it belongs to.
    pub host: String,
    /// Start of the paths that it takes; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub is_stream: bool,
    /// Longest time for which a request may wait and run.
    pub timeout: Duration,
    /// Time in which the answer should begin.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether turns are kept for later ones to continue from.
    pub keeps_turns: bool,
    /// How long turns are kept.
    pub retention: Duration,
    /// Whether requests of a session should stay on one backend server.
    pub is_sticky: bool,
}

/// A share of a route's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its weight.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one of its servers accepts from everybody.
    pub max_connections: u32,
    /// Tokens in one event of a model engine's stream; 0 for plain services.
    pub tokens_per_event: u64,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Bounds until the first configuration: those of the product's own callers' address.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// A route names a service that is not there.
    #[error("route {route:?} names service {service:?}, which is not among the services")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes take the same requests.
    #[error("routes {first:?} and {second:?} have the same host and prefix")]
    SamePlace {
        /// The earlier one.
        first: String,
        /// The later one.
        second: String,
    },
    /// A route sends its requests nowhere.
    #[error("route {0:?} has weights that add up to 0; one must be positive")]
    NoWeight(String),
    /// A route gives no time.
    #[error("route {0:?} has a timeout of 0; it must be positive")]
    NoTimeout(String),
    /// A prefix is not a whole path segment.
    #[error("route {route:?} has prefix {prefix:?}; it must begin and end with a slash")]
    Prefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two services have one name.
    #[error("service {0:?} is there twice")]
    SameService(String),
}

/// A checked configuration, ready for look-ups.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    /// Routes of each host, longest prefix first.
    hosts: Map<String, Vec<Arc<Route>>>,
    services: Map<String, Service>,
    limits: Limits,
}

impl Table {
    /// Checks a configuration.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction that was found.
    pub fn new(config: Config) -> Result<Self, Invalid> {
        let mut services = Map::default();
        for service in config.services {
            if let Some(old) = services.insert(service.name.clone(), service) {
                return Err(Invalid::SameService(old.name));
            }
        }
        let mut hosts: Map<String, Vec<Arc<Route>>> = Map::default();
        let mut places: Map<(String, String), String> = Map::default();
        for route in config.routes {
            check(&route, &services)?;
            let place = (route.host.to_ascii_lowercase(), route.prefix.clone());
            if let Some(first) = places.insert(place.clone(), route.name.clone()) {
                return Err(Invalid::SamePlace { first, second: route.name });
            }
            hosts.entry(place.0).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self { version: config.version, hosts, services, limits: config.limits })
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// One service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The route of a request: that of its host with the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
        });
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

impl Route {
    /// Service for a request; `draw` is an even random number.
    pub fn pick(&self, draw: u64) -> &str {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut rest = draw % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return &target.service;
            }
            rest -= weight;
        }
        ""
    }
}

fn check(route: &Route, services: &Map<String, Service>) -> Result<(), Invalid> {
    let name = || route.name.clone();
    let unknown = route.targets.iter().find(|target| !services.contains_key(&target.service));
    if let Some(target) = unknown {
        let service = target.service.clone();
        return Err(Invalid::UnknownService { route: name(), service });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(Invalid::NoWeight(name()));
    }
    if route.timeout.is_zero() {
        return Err(Invalid::NoTimeout(name()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Invalid::Prefix { route: name(), prefix: route.prefix.clone() });
    }
    Ok(())
}
