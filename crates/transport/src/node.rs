//! One instance of the scheduler.
//!
//! Starting an instance opens its addresses and spawns its tasks; stopping it drains the calls in
//! flight before the lease is released and the servers close.

use crate::access::{Limiter, Tokens};
use crate::actor::{self, View};
use crate::backend::Client;
use crate::bootstrap::start_replicas;
use crate::callers::{self, Callers};
use crate::clock::Clock;
use crate::controller::Controller;
use crate::inspect::Inspector;
use crate::journal::Journal;
use crate::memory::{self, Budget};
use crate::metrics::Metrics;
use crate::monitor::Monitor;
use crate::operators::{self, Operators};
use crate::peers::Service;
use crate::release::Releaser;
use crate::replica::{Handle, Job};
use crate::rpc::Transport;
use coordination::entry::Entry;
use jsonrpsee::server::ServerHandle;
use protocol::settings::Settings;
use protocol::wire::{CONTROL_GROUP, Key};
use rand::Rng;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle as HttpHandle;
use salvo::{Router, Server};
use state::collections::Map;
use state::control;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Share of the free memory that is given out for responses, in percent. Answers are copied into
/// journals.
const GIVEN_PERCENT: u64 = 50;

/// Interval between two checks for calls in flight while stopping.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for the HTTP servers to close their connections at the end of a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reason why an instance cannot start.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(String);

impl Error {
    /// Creates an error with the text of its cause.
    pub fn new(error: impl std::fmt::Display) -> Self {
        Self(error.to_string())
    }
}

/// A running instance.
pub struct Node {
    settings: Settings,
    peer_service: Arc<Service>,
    journal: Arc<Journal>,
    callers: Arc<Callers>,
    view: watch::Receiver<View>,
    stop_lease: watch::Sender<bool>,
    lease_task: tokio::task::JoinHandle<()>,
    servers: Vec<HttpHandle>,
    _peer_server: ServerHandle,
    callers_address: SocketAddr,
    operators_address: SocketAddr,
}

impl Node {
    /// Starts an instance; once this returns, it listens for callers, operators and peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot start, such as when an address is in use or a file
    /// cannot be read.
    pub async fn start(settings: Settings) -> Result<Node, Error> {
        let clock = Clock::new();
        let tokens = Arc::new(Tokens::read(&settings.access).map_err(Error::new)?);
        let transport = Transport::new(&settings, peer_key(&settings)?).map_err(Error::new)?;
        let peer_service = Service::new(&settings.name);
        transport.set_handler(peer_service.clone());
        let (_, peer_server) = transport.serve(&settings.listen.peers).await.map_err(Error::new)?;
        let http = || reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT);
        let calls = http().pool_max_idle_per_host(0).build().map_err(Error::new)?;
        let memory_metrics = memory::Metrics::default();
        let (machine, at_rest) = (memory::DEFAULT_MACHINE_BYTES, memory::at_rest());
        let given = coordination::memory::budget(machine, at_rest, GIVEN_PERCENT);
        let budget = Budget::new(given, memory_metrics.clone());
        let client = Client { http: http().build().map_err(Error::new)?, calls, clock, budget };
        let journal = Arc::new(Journal::new(
            transport.clone(),
            &settings.replicas(),
            settings.journal.shards,
        ));
        let mut metrics = Metrics::new();
        metrics.register(|registry| memory_metrics.register(registry));
        metrics.register(crate::log::register);
        let metrics = Arc::new(metrics);
        let entry =
            Entry::new(settings.entry.clone(), clock.start_unix_ms(), rand::rng().next_u64());
        let entry = actor::start(entry, journal.clone(), client.clone(), metrics.clone());
        let groups = start_replicas(&settings, clock, &transport, &peer_service).await?;
        let components = Components {
            settings,
            clock,
            transport,
            peer_service,
            tokens,
            journal,
            client,
            metrics,
            entry,
            groups,
        };
        let controller = components.start_controller();
        let inspector = components.create_inspector(controller);
        let (callers_listener, callers_address) =
            listen(&components.settings.listen.callers).await?;
        let (operators_listener, operators_address) =
            listen(&components.settings.listen.operators).await?;
        let (stop_lease, lease_stop) = watch::channel(false);
        let lease_task = components.start_monitor(callers_address, lease_stop);
        components.start_releaser();
        let callers = components.callers();
        let operators = components.operators(inspector);
        let max_connections = components.settings.limits.connections;
        let servers = vec![
            serve(callers_listener, callers::router(callers.clone()), max_connections)?,
            serve(operators_listener, operators::router(operators), max_connections)?,
        ];
        Ok(Node {
            view: components.entry.view.clone(),
            settings: components.settings,
            peer_service: components.peer_service,
            journal: components.journal,
            callers,
            stop_lease,
            lease_task,
            servers,
            _peer_server: peer_server,
            callers_address,
            operators_address,
        })
    }

    /// Local address of the callers' interface.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Local address of the operators' interface.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Stops the instance without interrupting calls that end within `stop.drain_ms`.
    ///
    /// The instance is marked as draining, so callers are no longer directed to it, and transfers
    /// its leaderships. It accepts calls for `stop.keep_ms` more, the time for which callers may
    /// cache the address of their entry, and ends once no call is in flight.
    pub async fn stop(mut self) {
        let instance = self.settings.name.clone();
        tracing::info!(instance, "stopping");
        let drain = control::Command::Drain { instance, is_draining: true };
        drop(self.journal.submit_control(&drain).await);
        self.transfer_leaderships();
        tokio::time::sleep(Duration::from_millis(self.settings.stop.keep_ms)).await;
        self.callers.is_stopping.store(true, Ordering::Relaxed);
        let drained = self.wait_idle();
        let drain_timeout = Duration::from_millis(self.settings.stop.drain_ms);
        if tokio::time::timeout(drain_timeout, drained).await.is_err() {
            tracing::warn!("drain timed out: calls are still in flight after stop.drain_ms");
        }
        self.stop_lease.send_replace(true);
        drop((&mut self.lease_task).await);
        for server in &self.servers {
            server.stop_graceful(CLOSE_TIMEOUT);
        }
        self.transfer_leaderships();
        tracing::info!("stopped");
    }

    fn transfer_leaderships(&self) {
        for handle in self.peer_service.groups.get().into_iter().flat_map(Map::values) {
            drop(handle.jobs.send(Job::Transfer));
        }
    }

    async fn wait_idle(&self) {
        // The view lags the entry by up to one tick, so two checks in a row must show no calls.
        let mut idle_checks = 0;
        while idle_checks < 2 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            idle_checks = if self.view.borrow().calls == 0 { idle_checks + 1 } else { 0 };
        }
    }
}

/// Components of an instance that its tasks share.
struct Components {
    settings: Settings,
    clock: Clock,
    transport: Arc<Transport>,
    peer_service: Arc<Service>,
    tokens: Arc<Tokens>,
    journal: Arc<Journal>,
    client: Client,
    metrics: Arc<Metrics>,
    entry: actor::Handle,
    groups: Map<u32, Handle>,
}

impl Components {
    /// Starts the control loop, if the instance has a replica of the control journal.
    fn start_controller(&self) -> Option<Arc<Controller>> {
        let control = self.groups.get(&CONTROL_GROUP)?.clone();
        let client = self.client.clone();
        let controller = Controller::new(&self.settings, self.clock, control, client);
        drop(self.peer_service.controller.set(controller.clone()));
        tokio::spawn(controller.clone().run());
        Some(controller)
    }

    fn create_inspector(&self, controller: Option<Arc<Controller>>) -> Arc<Inspector> {
        let inspector = Arc::new(Inspector {
            settings: self.settings.clone(),
            entry: self.entry.clone(),
            groups: self.groups.clone(),
            controller,
            transport: self.transport.clone(),
            clock: self.clock,
        });
        drop(self.peer_service.inspector.set(inspector.clone()));
        inspector
    }

    /// Starts the lease renewal, the load polling and the polling of the instance list; returns the
    /// task of the lease.
    fn start_monitor(
        &self,
        address: SocketAddr,
        lease_stop: watch::Receiver<bool>,
    ) -> tokio::task::JoinHandle<()> {
        let monitor = Arc::new(Monitor {
            settings: self.settings.clone(),
            address,
            entry: self.entry.clone(),
            journal: self.journal.clone(),
            client: self.client.clone(),
            nonce: rand::rng().next_u64(),
            local_reports: Mutex::default(),
        });
        tokio::spawn(monitor.clone().poll_loads());
        tokio::spawn(monitor.clone().poll_instance_list());
        tokio::spawn(monitor.maintain_lease(lease_stop))
    }

    fn start_releaser(&self) {
        let releaser = Releaser {
            clock: self.clock,
            settings: self.settings.journal.clone(),
            groups: self.groups.clone(),
            journal: self.journal.clone(),
            client: self.client.clone(),
            metrics: self.metrics.clone(),
            view: self.entry.view.clone(),
        };
        tokio::spawn(releaser.run());
    }

    fn callers(&self) -> Arc<Callers> {
        let limits = self.settings.limits.clone();
        Arc::new(Callers {
            clock: self.clock,
            limiter: Limiter::new(limits.requests_per_second, limits.request_burst),
            limits,
            stop: self.settings.stop.clone(),
            tokens: self.tokens.clone(),
            entry: self.entry.clone(),
            journal: self.journal.clone(),
            is_stopping: AtomicBool::new(false),
        })
    }

    fn operators(&self, inspector: Arc<Inspector>) -> Arc<Operators> {
        Arc::new(Operators {
            clock: self.clock,
            tokens: self.tokens.clone(),
            journal: self.journal.clone(),
            transport: self.transport.clone(),
            metrics: self.metrics.clone(),
            groups: self.groups.clone(),
            view: self.entry.view.clone(),
            inspector,
        })
    }
}

async fn listen(address: &str) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address).await;
    let listener =
        listener.map_err(|error| Error(format!("cannot listen on {address}: {error}")))?;
    let local = listener.local_addr().map_err(Error::new)?;
    Ok((listener, local))
}

fn serve(
    listener: TcpListener,
    router: Router,
    max_connections: usize,
) -> Result<HttpHandle, Error> {
    let acceptor = TcpAcceptor::try_from(listener).map_err(Error::new)?;
    let server = Server::new(acceptor).max_connections(max_connections);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    Ok(handle)
}

fn peer_key(settings: &Settings) -> Result<Key, Error> {
    let Some(path) = &settings.access.peer_key_file else {
        return Ok(Key::new(b"loopback"));
    };
    let secret = std::fs::read(path)
        .map_err(|e| Error(format!("cannot read peer key file {}: {e}", path.display())))?;
    Ok(Key::new(secret.trim_ascii()))
}
