//! One instance: all its tasks, started and stopped in order.

use crate::access::{Rates, Tokens};
use crate::actor::{self, View};
use crate::backend::Client;
use crate::bootstrap::start_replicas;
use crate::callers::{self, Callers};
use crate::clock::Clock;
use crate::controller::Controller;
use crate::inspect::Inspect;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::monitor::Monitor;
use crate::operators::{self, Operators};
use crate::peers::Service;
use crate::release::Sweeper;
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

/// Pause between two looks at the calls in flight while stopping.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// Time for the servers to close their connections at the end of a stop.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// Time for a connection to a backend server.
const CONNECT_TIME: Duration = Duration::from_millis(1_000);

/// Why an instance cannot start.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(String);

impl Error {
    /// An error that says what keeps an instance from starting.
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
    _peers: ServerHandle,
    callers_address: SocketAddr,
    operators_address: SocketAddr,
}

impl Node {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from starting: an address in use, a file that cannot be read.
    pub async fn start(settings: Settings) -> Result<Node, Error> {
        let clock = Clock::new();
        let tokens = Arc::new(Tokens::read(&settings.access).map_err(Error::new)?);
        let transport = Transport::new(&settings, peer_key(&settings)?).map_err(Error::new)?;
        let peer_service = Service::new(&settings.name);
        transport.set_handler(peer_service.clone());
        let (_, peers) = transport.serve(&settings.listen.peers).await.map_err(Error::new)?;
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIME).build();
        let client = Client { http: http.map_err(Error::new)?, clock };
        let journal = Arc::new(Journal::new(
            transport.clone(),
            &settings.replicas(),
            settings.journal.shards,
        ));
        let metrics = Arc::new(Metrics::new());
        let entry =
            Entry::new(settings.entry.clone(), clock.start_unix_ms(), rand::rng().next_u64());
        let entry = actor::start(entry, journal.clone(), client.clone(), metrics.clone());
        let groups = start_replicas(&settings, clock, &transport, &peer_service).await?;
        let parts = Parts {
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
        let controller = parts.start_controller();
        let inspect = parts.inspect(controller);
        let (callers_listener, callers_address) = listen(&parts.settings.listen.callers).await?;
        let (operators_listener, operators_address) =
            listen(&parts.settings.listen.operators).await?;
        let (stop_lease, stopped) = watch::channel(false);
        let lease_task = parts.start_monitor(callers_address, stopped);
        parts.start_sweeper();
        let callers = parts.callers();
        let operators = parts.operators(inspect);
        let most = parts.settings.limits.connections;
        let servers = vec![
            serve(callers_listener, callers::router(callers.clone()), most)?,
            serve(operators_listener, operators::router(operators), most)?,
        ];
        Ok(Node {
            view: parts.entry.view.clone(),
            settings: parts.settings,
            peer_service: parts.peer_service,
            journal: parts.journal,
            callers,
            stop_lease,
            lease_task,
            servers,
            _peers: peers,
            callers_address,
            operators_address,
        })
    }

    /// Address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Address for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Stops without cutting a request in flight.
    ///
    /// The instance leaves the answers to "which entry", hands its leaderships over, serves
    /// for as long as an answer may be kept, and ends once nothing is in flight.
    pub async fn stop(mut self) {
        let instance = self.settings.name.clone();
        tracing::info!(instance, "stopping");
        let drain = control::Command::Drain { instance, is_draining: true };
        drop(self.journal.submit_control(&drain).await);
        self.transfer();
        tokio::time::sleep(Duration::from_millis(self.settings.stop.keep_ms)).await;
        self.callers.is_stopping.store(true, Ordering::Relaxed);
        let drained = self.wait_idle();
        let most = Duration::from_millis(self.settings.stop.drain_ms);
        if tokio::time::timeout(most, drained).await.is_err() {
            tracing::warn!("calls are still in flight at the end of stop.drain_ms");
        }
        self.stop_lease.send_replace(true);
        drop((&mut self.lease_task).await);
        for server in &self.servers {
            server.stop_graceful(CLOSE_TIME);
        }
        self.transfer();
        tracing::info!("stopped");
    }

    fn transfer(&self) {
        for handle in self.peer_service.groups.get().into_iter().flat_map(Map::values) {
            drop(handle.jobs.send(Job::Transfer));
        }
    }

    async fn wait_idle(&self) {
        // The view lags the entry by a tick, so it must show no calls twice.
        let mut idle = 0;
        while idle < 2 {
            tokio::time::sleep(DRAIN_PAUSE).await;
            idle = if self.view.borrow().calls == 0 { idle + 1 } else { 0 };
        }
    }
}

/// Everything that the tasks of an instance share.
struct Parts {
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

impl Parts {
    /// Starts the control leader's duties on an instance with a disk.
    fn start_controller(&self) -> Option<Arc<Controller>> {
        let control = self.groups.get(&CONTROL_GROUP)?.clone();
        let http = self.client.http.clone();
        let controller = Controller::new(&self.settings, self.clock, control, http);
        drop(self.peer_service.controller.set(controller.clone()));
        tokio::spawn(controller.clone().run());
        Some(controller)
    }

    fn inspect(&self, controller: Option<Arc<Controller>>) -> Arc<Inspect> {
        let inspect = Arc::new(Inspect {
            settings: self.settings.clone(),
            entry: self.entry.clone(),
            groups: self.groups.clone(),
            controller,
            transport: self.transport.clone(),
            clock: self.clock,
        });
        drop(self.peer_service.inspect.set(inspect.clone()));
        inspect
    }

    /// Starts the lease, the load reports and the look at the instance list.
    fn start_monitor(
        &self,
        address: SocketAddr,
        stopped: watch::Receiver<bool>,
    ) -> tokio::task::JoinHandle<()> {
        let monitor = Arc::new(Monitor {
            settings: self.settings.clone(),
            address,
            entry: self.entry.clone(),
            journal: self.journal.clone(),
            client: self.client.clone(),
            nonce: rand::rng().next_u64(),
            own_reports: Mutex::default(),
        });
        tokio::spawn(monitor.clone().watch_servers());
        tokio::spawn(monitor.clone().watch_list());
        tokio::spawn(monitor.keep_lease(stopped))
    }

    fn start_sweeper(&self) {
        let sweeper = Sweeper {
            clock: self.clock,
            settings: self.settings.journal.clone(),
            groups: self.groups.clone(),
            journal: self.journal.clone(),
            client: self.client.clone(),
            metrics: self.metrics.clone(),
            view: self.entry.view.clone(),
        };
        tokio::spawn(sweeper.run());
    }

    fn callers(&self) -> Arc<Callers> {
        let limits = self.settings.limits.clone();
        Arc::new(Callers {
            clock: self.clock,
            rates: Rates::new(limits.requests_per_second, limits.request_burst),
            limits,
            stop: self.settings.stop.clone(),
            tokens: self.tokens.clone(),
            entry: self.entry.clone(),
            journal: self.journal.clone(),
            is_stopping: AtomicBool::new(false),
        })
    }

    fn operators(&self, inspect: Arc<Inspect>) -> Arc<Operators> {
        Arc::new(Operators {
            clock: self.clock,
            tokens: self.tokens.clone(),
            journal: self.journal.clone(),
            transport: self.transport.clone(),
            metrics: self.metrics.clone(),
            groups: self.groups.clone(),
            view: self.entry.view.clone(),
            inspect,
        })
    }
}

async fn listen(address: &str) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|error| Error(format!("{address}: {error}")))?;
    let local = listener.local_addr().map_err(Error::new)?;
    Ok((listener, local))
}

fn serve(listener: TcpListener, router: Router, connections: usize) -> Result<HttpHandle, Error> {
    let acceptor = TcpAcceptor::try_from(listener).map_err(Error::new)?;
    let server = Server::new(acceptor).max_connections(connections);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    Ok(handle)
}

fn peer_key(settings: &Settings) -> Result<Key, Error> {
    let Some(path) = &settings.access.peer_key_file else {
        return Ok(Key::new(b"loopback"));
    };
    let secret = std::fs::read(path).map_err(|e| Error(format!("{}: {e}", path.display())))?;
    Ok(Key::new(secret.trim_ascii()))
}
