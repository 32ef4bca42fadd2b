//! One instance: all its tasks, started and stopped in order.

use crate::access::{Rates, Tokens};
use crate::actor::{self, View};
use crate::backend::Client;
use crate::callers::{self, Callers};
use crate::clock::Clock;
use crate::controller::Controller;
use crate::journal::Journal;
use crate::links::{self, Handler, Links};
use crate::metrics::Metrics;
use crate::monitor::Monitor;
use crate::operators::{self, Operators};
use crate::release::Sweeper;
use crate::replica::{self, Handle, Job, Status};
use crate::storage::{Folder, Identity, Opened};
use coordination::consensus::{self, Birth, Peer};
use coordination::entry::Entry;
use jsonrpsee::server::ServerHandle;
use protocol::settings::Settings;
use protocol::wire::{CONTROL, Key, Request, Response};
use rand::Rng;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle as HttpHandle;
use salvo::{Router, Server};
use serde_json::{Value, json};
use state::collections::Map;
use state::control;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// Pause between two looks at the peers during the first start.
const BIRTH_PAUSE: Duration = Duration::from_millis(100);

/// Time for a peer to say what it holds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two requests to join a journal.
const JOIN_PAUSE: Duration = Duration::from_millis(300);

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
    fn new(error: impl std::fmt::Display) -> Self {
        Self(error.to_string())
    }
}

/// A running instance.
pub struct Node {
    settings: Settings,
    shared: Arc<Shared>,
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

/// What answers other instances.
struct Shared {
    name: String,
    groups: OnceLock<Map<u32, Handle>>,
    ids: OnceLock<u64>,
    controller: OnceLock<Arc<Controller>>,
    inspect: OnceLock<Arc<Inspect>>,
    has_identity: AtomicBool,
    held_state: AtomicBool,
}

impl Shared {
    fn status(&self, group: u32) -> Option<Status> {
        Some(self.groups.get()?.get(&group)?.status.borrow().clone())
    }

    /// Whether no replica here ever held a term or an entry.
    fn is_fresh(&self) -> bool {
        let is_empty = |handle: &Handle| {
            let status = handle.status.borrow();
            status.term == 0 && status.last_index == 0
        };
        let groups = self.groups.get();
        !self.held_state.load(Ordering::SeqCst)
            && groups.is_none_or(|groups| groups.values().all(is_empty))
    }

    fn leader_of(&self, group: u32) -> Option<String> {
        self.status(group)?.leader
    }

    async fn respond(&self, from: String, request: Request) -> Response {
        match request {
            Request::Consensus(envelopes) => {
                if let Some(groups) = self.groups.get() {
                    links::deliver(groups, &|_| self.ids.get().copied(), &from, envelopes);
                }
                Response::Done
            }
            Request::Submit { group, command } => match self.group(group) {
                Some(handle) => links::response(handle.submit(command).await),
                None => Response::NotLeader(None),
            },
            Request::Query { group, query } => match self.group(group) {
                Some(handle) => links::response(handle.query(query).await),
                None => Response::NotLeader(None),
            },
            Request::Renew { holder, version, reports } => match self.controller.get() {
                Some(controller) => controller.renew(holder, version, reports).await,
                None => Response::NotLeader(None),
            },
            Request::Register { instance, nonce, address, failure_domain } => {
                let command =
                    control::Command::Register { instance, nonce, address, failure_domain };
                match self.controller.get() {
                    Some(controller) => controller.register(command).await,
                    None => Response::NotLeader(None),
                }
            }
            Request::Leave(holder) => match self.controller.get() {
                Some(controller) => controller.leave(holder).await,
                None => Response::NotLeader(None),
            },
            Request::Probe => Response::Peer {
                peer: Peer { instance: self.name.clone(), is_fresh: self.is_fresh() },
                has_identity: self.has_identity.load(Ordering::SeqCst),
            },
            Request::Join { group, instance, id } => self.join(group, instance, id),
            Request::Dump { section } => match self.inspect.get() {
                Some(inspect) => Response::Text(inspect.dump(section).await.to_string()),
                None => Response::Unknown,
            },
        }
    }

    fn group(&self, group: u32) -> Option<&Handle> {
        self.groups.get()?.get(&group)
    }

    fn join(&self, group: u32, instance: String, id: u64) -> Response {
        match self.group(group) {
            Some(handle) if handle.leads() => {
                drop(handle.jobs.send(Job::Join { instance, id }));
                Response::Done
            }
            _ => Response::NotLeader(self.leader_of(group)),
        }
    }
}

impl Handler for Shared {
    fn handle<'a>(
        &'a self,
        from: String,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(self.respond(from, request))
    }
}

/// Gives dumps of the whole process.
pub(crate) struct Inspect {
    settings: Settings,
    entry: actor::Handle,
    groups: Map<u32, Handle>,
    controller: Option<Arc<Controller>>,
    links: Arc<Links>,
    clock: Clock,
}

impl Inspect {
    /// The whole state, or one section of it; no customer content.
    pub(crate) async fn dump(&self, section: Option<String>) -> Value {
        if section.as_deref() == Some("summary") {
            return self.summary();
        }
        let mut dump = json!({
            "summary": self.summary(),
            "entry": self.entry().await,
            "control": *self.entry.view.borrow().snapshot,
            "journals": self.journals().await,
            "leases": self.controller.as_ref().map(|controller| controller.leases()),
        });
        match section {
            Some(section) => dump.get_mut(&section).map_or(Value::Null, Value::take),
            None => dump,
        }
    }

    fn summary(&self) -> Value {
        let view = self.entry.view.borrow().clone();
        let leads: Vec<u32> =
            self.groups.iter().filter(|(_, handle)| handle.leads()).map(|(g, _)| *g).collect();
        let lag: u64 = self
            .groups
            .values()
            .map(|handle| {
                let status = handle.status.borrow();
                status.last_index - status.applied.min(status.last_index)
            })
            .sum();
        let faults: Vec<String> = self
            .groups
            .values()
            .filter_map(|handle| handle.status.borrow().fault.clone())
            .collect();
        json!({
            "name": self.settings.name,
            "failure_domain": self.settings.failure_domain,
            "is_reachable": true,
            "epoch": view.epoch,
            "lease_ms": view.lease_until.saturating_sub(self.clock.now()),
            "version": view.version,
            "in_force": view.in_force,
            "queued": view.queued,
            "calls": view.calls,
            "leads": leads,
            "lag": lag,
            "bytes_sent": self.links.traffic().sent(),
            "bytes_received": self.links.traffic().received(),
            "faults": faults,
        })
    }

    async fn entry(&self) -> Value {
        let (reply, answer) = oneshot::channel();
        if self.entry.dumps.send(reply).await.is_err() {
            return Value::Null;
        }
        answer.await.unwrap_or(Value::Null)
    }

    async fn journals(&self) -> Value {
        let mut rows = Vec::new();
        for (group, handle) in &self.groups {
            let (reply, answer) = oneshot::channel();
            let machine = match handle.jobs.send(Job::Dump { reply }) {
                Ok(()) => answer.await.unwrap_or_default(),
                Err(_) => String::new(),
            };
            let status = handle.status.borrow().clone();
            rows.push(json!({
                "group": group, "term": status.term, "is_leader": status.is_leader,
                "is_voter": status.is_voter, "leader": status.leader,
                "commit": status.commit, "applied": status.applied,
                "last_index": status.last_index, "base_index": status.base_index,
                "members": status.members, "syncs": status.syncs,
                "sync_micros": status.sync_micros, "bytes_written": status.bytes_written,
                "fault": status.fault,
                "machine": serde_json::from_str::<Value>(&machine).unwrap_or(Value::Null),
            }));
        }
        Value::Array(rows)
    }
}

impl Node {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from starting: an address in use, a file that cannot be read.
    pub async fn start(settings: Settings) -> Result<Node, Error> {
        let clock = Clock::new();
        let links = Links::new(&settings, peer_key(&settings)?).map_err(Error::new)?;
        let shared = Arc::new(Shared {
            name: settings.name.clone(),
            groups: OnceLock::new(),
            ids: OnceLock::new(),
            controller: OnceLock::new(),
            inspect: OnceLock::new(),
            has_identity: AtomicBool::new(false),
            held_state: AtomicBool::new(false),
        });
        links.set_handler(shared.clone());
        let (_, peers) = links.serve(&settings.listen.peers).await.map_err(Error::new)?;
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIME).build();
        let client = Client { http: http.map_err(Error::new)?, clock };
        let journal =
            Arc::new(Journal::new(links.clone(), settings.replicas(), settings.journal.shards));
        let metrics = Arc::new(Metrics::new());
        let seed = rand::rng().next_u64();
        let entry = Entry::new(settings.entry.clone(), clock.epoch_ms(), seed);
        let entry = actor::start(entry, journal.clone(), client.clone(), metrics.clone());
        let groups = start_replicas(&settings, clock, &links, &shared).await?;
        let controller = groups
            .get(&CONTROL)
            .map(|control| Controller::new(&settings, clock, control.clone(), client.http.clone()));
        if let Some(controller) = &controller {
            drop(shared.controller.set(controller.clone()));
            tokio::spawn(controller.clone().run());
        }
        let inspect = Arc::new(Inspect {
            settings: settings.clone(),
            entry: entry.clone(),
            groups: groups.clone(),
            controller,
            links: links.clone(),
            clock,
        });
        drop(shared.inspect.set(inspect.clone()));

        let (callers_listener, callers_address) = listen(&settings.listen.callers).await?;
        let (operators_listener, operators_address) = listen(&settings.listen.operators).await?;
        let monitor = Arc::new(Monitor {
            settings: settings.clone(),
            address: callers_address,
            entry: entry.clone(),
            journal: journal.clone(),
            client: client.clone(),
            nonce: rand::rng().next_u64(),
            own_reports: Mutex::default(),
        });
        let (stop_lease, stopped) = watch::channel(false);
        let lease_task = tokio::spawn(monitor.clone().keep_lease(stopped));
        tokio::spawn(monitor.clone().watch_servers());
        tokio::spawn(monitor.watch_list());
        let sweeper = Sweeper {
            clock,
            settings: settings.journal.clone(),
            groups: groups.clone(),
            journal: journal.clone(),
            client,
            metrics: metrics.clone(),
            view: entry.view.clone(),
        };
        tokio::spawn(sweeper.run());
        let view = entry.view.clone();
        let limits = settings.limits.clone();
        let callers = Arc::new(Callers {
            clock,
            rates: Rates::new(limits.requests_per_second, limits.request_burst),
            limits,
            stop: settings.stop.clone(),
            tokens: Tokens::read(&settings.access).map_err(Error::new)?,
            entry,
            journal: journal.clone(),
            is_stopping: AtomicBool::new(false),
        });
        let operators = Arc::new(Operators {
            clock,
            tokens: Tokens::read(&settings.access).map_err(Error::new)?,
            journal: journal.clone(),
            links,
            metrics,
            groups,
            view: view.clone(),
            inspect,
        });
        let most = settings.limits.connections;
        let servers = vec![
            serve(callers_listener, callers::router(callers.clone()), most)?,
            serve(operators_listener, operators::router(operators), most)?,
        ];
        Ok(Node {
            settings,
            shared,
            journal,
            callers,
            view,
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
        for handle in self.shared.groups.get().into_iter().flat_map(Map::values) {
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

/// Starts the replicas of an instance with a disk.
async fn start_replicas(
    settings: &Settings,
    clock: Clock,
    links: &Arc<Links>,
    shared: &Arc<Shared>,
) -> Result<Map<u32, Handle>, Error> {
    let Some(storage) = settings.storage.as_ref().filter(|_| is_replica(settings)) else {
        return Ok(Map::default());
    };
    let (identity, opened) = open_folder(settings, &storage.folder, links, shared).await?;
    let _ = shared.ids.set(identity.id);
    let is_first = opened.iter().all(|(_, opened)| is_empty(opened));
    if !identity.founders.voters.is_empty() && is_first {
        wait_for_founders(settings, links).await;
    }
    let mut groups = Map::default();
    for (group, opened) in opened {
        let start = replica::Start {
            group,
            identity: identity.clone(),
            clock,
            consensus: consensus::Settings {
                election_ms: settings.journal.election_ms,
                heartbeat_ms: settings.journal.election_ms / 6,
                ..consensus::Settings::default()
            },
            compact_bytes: settings.journal.compact_bytes,
            seed: rand::rng().next_u64(),
            opened,
            links: links.clone(),
        };
        groups.insert(group, replica::start(start).map_err(Error::new)?);
    }
    drop(shared.groups.set(groups.clone()));
    tokio::spawn(join_groups(settings.name.clone(), identity.id, groups.clone(), links.clone()));
    Ok(groups)
}

fn is_replica(settings: &Settings) -> bool {
    settings.replicas().contains(&settings.name)
}

fn is_empty(opened: &Opened) -> bool {
    let restored = &opened.restored;
    restored.hard.term == 0 && restored.snapshot.index == 0 && restored.entries.is_empty()
}

/// Opens the data folder; a damaged one is set aside and replaced.
async fn open_folder(
    settings: &Settings,
    path: &Path,
    links: &Arc<Links>,
    shared: &Arc<Shared>,
) -> Result<(Identity, Vec<(u32, Opened)>), Error> {
    let folder = Folder::open(path).map_err(Error::new)?;
    let open_all = || -> Result<Vec<(u32, Opened)>, state::error::Storage> {
        let groups = CONTROL..=settings.journal.shards;
        groups.map(|group| Ok((group, folder.open_group(group)?))).collect()
    };
    if let Some(identity) = folder.identity().map_err(Error::new)? {
        match open_all() {
            Ok(opened) => {
                let holds = opened.iter().any(|(_, opened)| !is_empty(opened));
                shared.held_state.store(holds, Ordering::SeqCst);
                shared.has_identity.store(true, Ordering::SeqCst);
                return Ok((identity, opened));
            }
            Err(error @ state::error::Storage::Damaged { .. }) if settings.replicas().len() > 1 => {
                tracing::error!(%error, "data folder is set aside; joining again");
                folder.set_aside().map_err(Error::new)?;
            }
            Err(error) => return Err(Error::new(error)),
        }
    }
    let identity = await_birth(settings, links).await;
    let opened = open_all().map_err(Error::new)?;
    folder.write_identity(&identity).map_err(Error::new)?;
    shared.has_identity.store(true, Ordering::SeqCst);
    tracing::info!(
        id = identity.id,
        is_founder = !identity.founders.voters.is_empty(),
        "new folder"
    );
    Ok((identity, opened))
}

/// Asks the other replicas until it is clear how an empty folder starts.
async fn await_birth(settings: &Settings, links: &Arc<Links>) -> Identity {
    loop {
        let answers = probe(settings, links).await;
        let peers: Vec<Peer> = answers.into_iter().map(|(peer, _)| peer).collect();
        let birth = Birth::decide(&settings.name, &settings.replicas(), &peers);
        if let Some(identity) = Identity::born(&birth, &settings.name) {
            return identity;
        }
        tokio::time::sleep(BIRTH_PAUSE).await;
    }
}

/// Waits until each founder has its identity, so that none takes the others for older.
async fn wait_for_founders(settings: &Settings, links: &Arc<Links>) {
    let others = settings.replicas().len() - 1;
    loop {
        let answers = probe(settings, links).await;
        let ready = answers.iter().filter(|(peer, has)| *has || !peer.is_fresh).count();
        if ready >= others {
            return;
        }
        tokio::time::sleep(BIRTH_PAUSE).await;
    }
}

/// What the other replicas hold, as far as they answer.
async fn probe(settings: &Settings, links: &Arc<Links>) -> Vec<(Peer, bool)> {
    let others = settings.replicas().into_iter().filter(|name| *name != settings.name);
    let probes = others.map(|name| async move {
        match links.call(&name, Request::Probe, PROBE_TIMEOUT).await {
            Ok(Response::Peer { peer, has_identity }) => Some((peer, has_identity)),
            _ => None,
        }
    });
    futures_util::future::join_all(probes).await.into_iter().flatten().collect()
}

/// Asks the leaders to let this replica vote, until each journal does.
async fn join_groups(name: String, id: u64, groups: Map<u32, Handle>, links: Arc<Links>) {
    loop {
        tokio::time::sleep(JOIN_PAUSE).await;
        let missing: Vec<u32> = groups
            .iter()
            .filter(|(_, handle)| {
                let status = handle.status.borrow();
                !status.is_voter && status.fault.is_none()
            })
            .map(|(group, _)| *group)
            .collect();
        for group in missing {
            for peer in links.names() {
                let request = Request::Join { group, instance: name.clone(), id };
                if links.call(&peer, request, PROBE_TIMEOUT).await == Ok(Response::Done) {
                    break;
                }
            }
        }
    }
}
