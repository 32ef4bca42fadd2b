//! One running instance of the cluster.
//!
//! A [`Member`] owns the peer transport, the local replica if the role has one, and a view of
//! the other instances. On the control leader it also plans the members of the control
//! journal and bootstraps the program journal.

use crate::clock::Clock;
use crate::leaders::{self, Leaders};
use crate::member::fetch::{self, Packages};
use crate::member::register::Tracker;
use crate::member::replica::{CONTROL, PROGRAMS, Replica, control_initial_members};
use crate::member::usage::Usage;
use crate::member::{Metrics, Settings, authority, beats, servers};
use crate::memory::Budget;
use crate::node::Error;
use crate::replica::{Handle, Job};
use crate::rpc::{self, Handler};
use crate::tcp::Transport;
use coordination::authority::Authority;
use coordination::membership::{self, Candidate};
use coordination::offers::Offers;
use coordination::placement::Listing;
use coordination::quarantine::{Crash, Quarantine, Report};
use coordination::routing;
use protocol::presence::{Heartbeat, Reply, Role, Roster, Update};
use protocol::wire::{Request, Response};
use state::collections::Map;
use state::error::Storage;
use state::machine;
use state::registry::{Command, Query, Registry, Voter};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Interval at which the control leader checks which instances are present. It is short
/// compared with the time in which a lost replica must be replaced.
const CONTROL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the control leader waits for the full number of replicas before it bootstraps
/// the program journal with fewer. The instances of a new deployment start and send their first
/// heartbeats almost at the same time.
const BOOTSTRAP_WAIT: Duration = Duration::from_secs(3);

/// Timeout for one replica to answer a request for the leader. It covers a commit with two slow
/// disk syncs.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause between two attempts while no instance leads. An election takes several of these.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Age above which a roster is no longer used to direct callers: the time in which an instance
/// turns to another control instance, and some heartbeats. Other instances then have a newer one.
const ROSTER_MAX_AGE: Duration = Duration::from_millis(1_500);

/// View that an instance has of the others.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) registry: Arc<Registry>,
    /// Peer addresses of the control instances.
    pub(crate) control: Vec<String>,
    /// Peer addresses of the instances with a replica of the program journal, the leader first
    /// if it is known.
    pub(crate) programs: Vec<String>,
    /// Time of the last heartbeat reply of any control instance.
    pub(crate) last_contact: Option<Instant>,
    /// Entries that are ready for callers.
    pub(crate) roster: Arc<Roster>,
    /// Time at which a control instance last compared the roster with its own.
    pub(crate) compared_at: Option<Instant>,
}

/// A running instance.
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) transport: Arc<Transport>,
    pub(crate) leaders: Leaders,
    pub(crate) view: watch::Sender<View>,
    pub(crate) presence: Mutex<Tracker>,
    pub(crate) id: OnceLock<u64>,
    pub(crate) is_ready: AtomicBool,
    pub(crate) is_leaving: AtomicBool,
    /// Whether the instance reaches no backend server.
    pub(crate) is_partitioned: AtomicBool,
    /// Registry revision by which the planner's candidates were marked as leaving.
    pub(crate) candidates_revision: AtomicU64,
    /// Triggers a heartbeat before it is due.
    pub(crate) heartbeat_trigger: Notify,
    /// View of the backend servers.
    pub(crate) servers: watch::Sender<servers::View>,
    pub(crate) usage_source: OnceLock<servers::UsageSource>,
    /// Entries of the last list that had the id of another one.
    pub(crate) duplicates: Mutex<Vec<Listing>>,
    /// Content that crashes backend servers.
    pub(crate) quarantine: Mutex<Quarantine>,
    /// What organisations use of their limits.
    pub(crate) usage: Usage,
    /// Registries that this control instance serves in parts.
    pub(crate) packages: Mutex<Packages>,
    /// Registries that control instances have.
    pub(crate) offers: Mutex<Offers>,
    /// Notified when a control instance has a newer registry.
    pub(crate) newer_offered: Notify,
    /// What this instance knows of the newest revision of the registry.
    pub(crate) authority: Mutex<Authority>,
    pub(crate) metrics: Metrics,
    /// Memory for what others send.
    pub(crate) budget: Arc<Budget>,
    groups: OnceLock<Map<u32, Handle>>,
    seeds: Mutex<Vec<String>>,
}

impl Member {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on or the data folder cannot be
    /// opened.
    pub async fn start(settings: Settings) -> Result<Arc<Self>, Error> {
        let listen = settings.listen.as_ref().unwrap_or(&settings.address);
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|error| Error::new(format!("{listen}: {error}")))?;
        let metrics = Metrics::default();
        let budget = settings.budget(&metrics);
        let limit = settings.connections.peers;
        let transport = Transport::new(&settings.address, budget.clone(), limit);
        let times = leaders::Settings { call_timeout: CALL_TIMEOUT, retry_pause: RETRY_PAUSE };
        let member = Arc::new(Self {
            clock: Clock::new(),
            leaders: Leaders::new(transport.clone(), times),
            transport: transport.clone(),
            view: watch::Sender::new(View::default()),
            presence: Mutex::new(Tracker::new(settings.absence_timeout)),
            id: OnceLock::new(),
            is_ready: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            is_partitioned: AtomicBool::new(false),
            candidates_revision: AtomicU64::new(0),
            heartbeat_trigger: Notify::new(),
            servers: watch::Sender::new(servers::View::default()),
            usage_source: OnceLock::new(),
            duplicates: Mutex::default(),
            quarantine: Mutex::default(),
            usage: Usage::new(&settings.usage, &settings.name, 0),
            packages: Mutex::default(),
            offers: Mutex::default(),
            newer_offered: Notify::new(),
            authority: Mutex::default(),
            metrics,
            budget,
            groups: OnceLock::new(),
            seeds: Mutex::new(settings.seeds.clone()),
            settings,
        });
        member.leaders.set_replicas(CONTROL, &member.control_addresses(), None);
        transport.set_handler(member.clone());
        tokio::spawn(transport.serve(listener));
        member.open_replica().await?;
        tokio::spawn(beats::run(member.clone()));
        tokio::spawn(fetch::run(member.clone()));
        Ok(member)
    }

    /// Opens the local replica, if the role has one, and starts it once it is initialized. The disk is used
    /// on a thread of its own: it may hang, and this thread handles signals.
    async fn open_replica(self: &Arc<Self>) -> Result<(), Error> {
        let group = match self.settings.role {
            Role::Entry => return Ok(()),
            Role::Control => CONTROL,
            Role::Programs => PROGRAMS,
        };
        let folder = self.settings.folder.as_ref();
        let folder =
            folder.ok_or_else(|| Error::new("an instance with a replica needs a data folder"))?;
        let (settings, folder) = (self.settings.clone(), folder.clone());
        let opened = tokio::task::spawn_blocking(move || {
            let mut replica = Replica::open(group, &settings, &folder)?;
            if group == CONTROL
                && replica.is_uninitialized()
                && let Some((id, initial_members)) = control_initial_members(&settings)
            {
                replica.bootstrap(id, &initial_members)?;
            }
            Ok::<_, Storage>(replica)
        });
        let replica = opened.await.map_err(Error::new)?.map_err(Error::new)?;
        self.id.get_or_init(|| replica.identity.id);
        if group == PROGRAMS && replica.is_uninitialized() {
            tokio::spawn(self.clone().await_bootstrap(replica));
            return Ok(());
        }
        self.start_replica(group, replica)
    }

    /// Waits until the registry lists the initial members of the program journal, then starts the
    /// replica, as one of them or as a member to be added later.
    async fn await_bootstrap(self: Arc<Self>, replica: Replica) {
        let mut view = self.view.subscribe();
        let is_bootstrapped = |view: &View| view.registry.initial_members.contains_key(&PROGRAMS);
        let initial_members = match view.wait_for(is_bootstrapped).await {
            Ok(view) => view.registry.initial_members.get(&PROGRAMS).cloned().unwrap_or_default(),
            Err(_) => return,
        };
        let id = replica.identity.id;
        let started = match initial_members.iter().any(|member| member.id == id) {
            true => bootstrap(replica, initial_members).await,
            false => Ok(replica),
        };
        if let Err(error) = started.and_then(|replica| self.start_replica(PROGRAMS, replica)) {
            tracing::error!(%error, "cannot start the replica");
        }
    }

    /// Starts the replica and the tasks that depend on it.
    fn start_replica(self: &Arc<Self>, group: u32, replica: Replica) -> Result<(), Error> {
        let transport = self.transport.clone();
        let handle = replica.start(&self.settings, self.clock, transport, &self.budget);
        let handle = handle.map_err(Error::new)?;
        tokio::spawn(watch_fault(handle.clone()));
        if group == CONTROL {
            tokio::spawn(self.clone().watch_registry(handle.clone()));
            tokio::spawn(self.clone().run_control_leader(handle.clone()));
            if self.settings.revocation.is_some() {
                tokio::spawn(authority::run(self.clone(), handle.clone()));
            }
        }
        let mut groups = Map::default();
        groups.insert(group, handle);
        drop(self.groups.set(groups));
        Ok(())
    }

    /// Returns the handle of the local replica, once it is running.
    pub(crate) fn handle(&self) -> Option<&Handle> {
        self.groups.get()?.values().next()
    }

    /// Replaces the seed addresses of control instances.
    pub fn set_seeds(&self, seeds: Vec<String>) {
        if let Ok(mut current) = self.seeds.lock() {
            *current = seeds;
        }
    }

    /// Sets whether callers may be directed to this instance.
    pub fn set_ready(&self, is_ready: bool) {
        if self.is_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            tracing::info!(is_ready, "readiness changed");
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Sets whether the instance reaches no backend server.
    pub(crate) fn set_partitioned(&self, is_partitioned: bool) {
        if self.is_partitioned.swap(is_partitioned, Ordering::Relaxed) != is_partitioned {
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Returns the time since the last heartbeat reply of any control instance; `None` if there
    /// was none.
    pub(crate) fn time_since_contact(&self) -> Option<Duration> {
        self.view.borrow().last_contact.map(|at| at.elapsed())
    }

    /// Whether the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Takes the instance out of service: callers are directed to other entries, and the local
    /// replica transfers its leadership.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.heartbeat_trigger.notify_one();
        if let Some(handle) = self.handle() {
            // Sending fails if the thread has ended with a fault; then it does not lead.
            drop(handle.jobs.send(Job::Transfer));
        }
    }

    /// Returns the addresses for callers in `failure_domain`, as known to this instance; none if no
    /// control instance has confirmed them lately.
    pub fn caller_addresses(&self, failure_domain: &str) -> Vec<String> {
        let roster = match self.settings.role {
            Role::Control => self.presence.lock().ok().and_then(|presence| presence.roster(0)),
            Role::Entry | Role::Programs => None,
        };
        let roster = roster.map(Arc::new).or_else(|| {
            let view = self.view.borrow();
            let is_recent = view.compared_at.is_some_and(|at| at.elapsed() < ROSTER_MAX_AGE);
            is_recent.then(|| view.roster.clone())
        });
        roster.map(|roster| roster.near(failure_domain)).unwrap_or_default()
    }

    /// Returns the addresses of other entries to which this one can forward requests.
    pub(crate) fn relays(&self) -> Vec<String> {
        let roster = self.view.borrow().roster.clone();
        let relays = roster.relays(self.settings.relay_address.as_deref());
        relays.into_iter().map(str::to_owned).collect()
    }

    /// Returns the known addresses of control instances, including the seeds.
    pub(crate) fn control_addresses(&self) -> Vec<String> {
        let mut all = self.view.borrow().control.clone();
        if let Ok(seeds) = self.seeds.lock() {
            all.extend(seeds.iter().cloned());
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Replaces the registry in the view if `registry` is newer; returns whether it is.
    fn update_registry(&self, registry: Registry) -> bool {
        self.view.send_if_modified(|view| {
            let is_newer = registry.revision > view.registry.revision;
            if is_newer {
                view.registry = Arc::new(registry);
            }
            is_newer
        })
    }

    /// Applies the registry that a control instance sent; returns whether it is newer.
    pub(crate) fn receive_registry(&self, registry: Registry, from: &str, elapsed_ms: u64) -> bool {
        let (revision, version, bytes) = (registry.revision, registry.version(), registry.size());
        let is_newer = self.update_registry(registry);
        tracing::info!(from, revision, version, bytes, elapsed_ms, is_newer, "registry received");
        is_newer
    }

    /// Sends the planner the instances that can hold a replica; `revision` is the registry
    /// revision by which they were marked as leaving.
    pub(crate) fn set_candidates(&self, candidates: Vec<Candidate>, revision: u64) {
        if let Some(handle) = self.handle() {
            // Sending fails if the thread has ended with a fault; then it does not lead.
            drop(handle.jobs.send(Job::Candidates(candidates)));
            self.candidates_revision.store(revision, Ordering::Relaxed);
        }
    }

    /// Updates the view whenever the local replica has applied a newer registry.
    async fn watch_registry(self: Arc<Self>, handle: Handle) {
        let mut status = handle.status.clone();
        let mut applied = None;
        loop {
            let now = status.borrow_and_update().applied;
            if applied != Some(now) {
                applied = Some(now);
                if let Some(registry) = registry(&handle).await {
                    let (revision, version) = (registry.revision, registry.version());
                    if self.update_registry(registry) {
                        tracing::info!(revision, version, "registry changed");
                    }
                }
            }
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    /// Runs the tasks of the control leader while this instance leads: updates the candidates for
    /// the control journal, and bootstraps the program journal.
    async fn run_control_leader(self: Arc<Self>, handle: Handle) {
        let mut waiting_since = None;
        loop {
            tokio::time::sleep(CONTROL_INTERVAL).await;
            if !handle.leads() {
                continue;
            }
            let registry = self.view.borrow().registry.clone();
            let (control, programs) = match self.presence.lock() {
                Ok(presence) => (
                    presence.candidates(Role::Control, &registry),
                    presence.candidates(Role::Programs, &registry),
                ),
                Err(_) => continue,
            };
            self.set_candidates(control, registry.revision);
            if registry.initial_members.contains_key(&PROGRAMS) {
                continue;
            }
            let since: &Instant = waiting_since.get_or_insert_with(Instant::now);
            let wanted = self.settings.replicas();
            let target = match since.elapsed() < BOOTSTRAP_WAIT {
                true => wanted,
                false => membership::initial_count(wanted, programs.len()),
            };
            if let Some(chosen) = membership::initial_members(target, &programs) {
                self.bootstrap_programs(&handle, &chosen).await;
            }
        }
    }

    /// Submits the initial members of the program journal to the registry.
    async fn bootstrap_programs(&self, handle: &Handle, chosen: &[Candidate]) {
        let member = |c: &Candidate| Voter { id: c.id, address: c.address.clone() };
        let initial_members = chosen.iter().map(member).collect();
        match machine::encode(&Command::Bootstrap { group: PROGRAMS, initial_members }) {
            Ok(command) => {
                let outcome = handle.submit(command.into()).await;
                tracing::info!(?chosen, ?outcome, "program journal bootstrapped");
            }
            Err(error) => tracing::error!(%error, "cannot encode the initial members"),
        }
    }

    /// Records a heartbeat and returns the reply with the state that the sender lacks.
    fn reply(&self, heartbeat: Heartbeat) -> Response {
        let registry = self.view.borrow().registry.clone();
        let (name, role, revision) = (heartbeat.name.clone(), heartbeat.role, heartbeat.revision);
        let fetches = heartbeat.fetches_registry;
        let (wants_relay, roster) = (heartbeat.wants_relay, heartbeat.roster_digest);
        let is_relayed = wants_relay && role != Role::Programs;
        let (snapshot, list, versions) = match is_relayed {
            true => {
                let view = self.servers.borrow();
                let list = view.relay(heartbeat.list_digest);
                let servers = list.as_ref().and_then(|list| list.servers.as_ref());
                let is_complete = matches!(servers, Some(Update::Full(_)));
                let versions = is_complete.then(|| view.versions.settled(self.clock.now()));
                (view.list.clone(), list, versions.unwrap_or_default())
            }
            false => (None, None, Vec::new()),
        };
        self.extend_quarantine(&heartbeat.name, &heartbeat.quarantine);
        self.extend_suspicions(&heartbeat.suspicions);
        let quarantine = if is_relayed { self.relay_quarantine() } else { Report::default() };
        let suspicions = if is_relayed { self.relay_suspicions() } else { Vec::new() };
        let reported = heartbeat.usage.clone();
        let Ok(mut presence) = self.presence.lock() else {
            return Response::Unknown;
        };
        let build = heartbeat.build;
        let now = self.clock.now();
        if presence.record(heartbeat, now) {
            tracing::info!(name, ?role, %build, format = build.format, "instance became present");
        }
        let mut programs = presence.addresses(Role::Programs);
        let leader = presence.leader(Role::Programs).map(|(address, _)| address.to_owned());
        if let Some(leader) = &leader {
            programs.retain(|address| address != leader);
            programs.insert(0, leader.clone());
        }
        let candidates = match role {
            Role::Programs => presence.candidates(Role::Programs, &registry),
            Role::Entry | Role::Control => Vec::new(),
        };
        let compares_roster = wants_relay && role != Role::Control;
        let serves_callers = is_relayed && role == Role::Entry;
        let servers = snapshot.filter(|_| serves_callers).map(|snapshot| snapshot.servers);
        let paced = servers.clone();
        let control = presence.addresses(Role::Control);
        let sends_registry = !fetches
            && presence.is_registry_due(&name, &registry, |name| {
                // Instances of earlier builds take turns with the control instances, beginning with
                // a different one each.
                let own = control.iter().position(|address| *address == self.settings.address);
                let count = control.len().max(1);
                let first = routing::digest(name.as_bytes()) as usize % count;
                (own.unwrap_or(0) + count - first) % count
            });
        if sends_registry {
            let bytes = registry.size();
            self.metrics.registry_bytes_sent.inc_by(bytes);
            tracing::info!(
                to = name,
                from_revision = revision,
                revision = registry.revision,
                bytes,
                "registry sent"
            );
        }
        let members = self.handle().map_or(0, |handle| handle.status.borrow().members.len());
        let controls = control.len().max(members);
        let usage = self.usage.exchange(self.clock.now(), &name, reported.as_ref(), controls);
        let reply = Reply {
            registry: sends_registry.then(|| Registry::clone(&registry)),
            control,
            programs,
            has_leader: leader.is_some(),
            candidates,
            revision: registry.revision,
            list,
            in_flight: servers.map(|list| presence.loads(&name, &list)).unwrap_or_default(),
            rate_limits: if serves_callers { presence.rate_limits(&name) } else { Vec::new() },
            roster: if compares_roster { presence.roster(roster) } else { None },
            versions,
            quarantine,
            serves_parts: true,
            compares_roster,
            confirmation: self.confirmation(),
            usage,
            paces: paced.map(|list| presence.paces(&list, now)).unwrap_or_default(),
            suspicions,
        };
        Response::HeartbeatReply(Box::new(reply))
    }

    /// Adds what another instance knows of content that crashes backend servers.
    pub(crate) fn extend_quarantine(&self, from: &str, report: &Report) {
        let now = self.clock.now();
        let added = self.quarantine.lock().map(|mut quarantine| quarantine.extend(now, report));
        for content in added.unwrap_or_default() {
            tracing::warn!(%content, from, "content quarantined, as another instance reports");
        }
    }

    /// Adds the suspicions of another instance, and drops those that lapsed.
    pub(crate) fn extend_suspicions(&self, reported: &[Crash]) {
        let now = self.clock.now();
        if let Ok(mut quarantine) = self.quarantine.lock() {
            quarantine.extend_suspicions(now, reported);
        }
    }

    /// Returns the suspicions that this instance has or knows.
    fn relay_suspicions(&self) -> Vec<Crash> {
        let now = self.clock.now();
        self.quarantine.lock().map(|quarantine| quarantine.suspicions(now)).unwrap_or_default()
    }

    /// Returns what this instance knows of content that crashes backend servers.
    fn relay_quarantine(&self) -> Report {
        let now = self.clock.now();
        self.quarantine.lock().map(|quarantine| quarantine.relay(now)).unwrap_or_default()
    }

    async fn respond(&self, from: String, request: Request) -> Response {
        let (groups, id) = (self.groups.get(), self.id.get());
        let request = match rpc::serve_journal(groups, id, &from, request).await {
            Ok(response) => return response,
            Err(request) => request,
        };
        match request {
            Request::Heartbeat(body) if self.settings.role == Role::Control => self.reply(*body),
            Request::RegistryPart(request) if self.settings.role == Role::Control => {
                self.registry_part(request).map_or(Response::Unknown, Response::RegistryPart)
            }
            Request::Dump { .. } => Response::Text(self.dump().to_string()),
            other => {
                tracing::warn!(from, ?other, "refused a request that this instance does not serve");
                Response::Unknown
            }
        }
    }

    /// Returns the memory of this process for what others send.
    pub fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    /// Returns the counters of the local replica in the OpenMetrics format.
    pub fn metrics(&self) -> String {
        let mut metrics = crate::metrics::Metrics::new();
        metrics.register(|registry| self.metrics.register(registry));
        for (group, handle) in self.groups.get().into_iter().flatten() {
            metrics.update_journal(*group, &handle.status.borrow());
        }
        metrics.render()
    }

    /// Returns the state of the instance as JSON, for operators.
    pub fn dump(&self) -> serde_json::Value {
        let view = self.view.borrow().clone();
        let replica = self.handle().map(|handle| {
            let status = handle.status.borrow().clone();
            serde_json::json!({
                "id": self.id.get(), "leads": status.is_established, "term": status.term,
                "votes": status.is_voter, "commit": status.commit, "applied": status.applied,
                "leader": status.leader, "members": status.members, "syncs": status.syncs,
                "sync_micros": status.sync_micros, "bytes_written": status.bytes_written,
                "log_bytes": status.log_bytes, "refused_full": status.refused_full,
                "answered": status.answered, "answer_micros": status.answer_micros,
                "overdue": status.overdue, "unanswered": status.unanswered,
                "fault": status.fault,
            })
        });
        let instances = self.presence.lock().map(|presence| presence.dump()).unwrap_or_default();
        let quarantined = self.relay_quarantine().quarantined.into_iter().map(|quarantined| {
            serde_json::json!({
                "content": quarantined.content.to_string(),
                "remaining_ms": quarantined.remaining_ms,
            })
        });
        let quarantined: Vec<serde_json::Value> = quarantined.collect();
        serde_json::json!({
            "name": self.settings.name,
            "role": format!("{:?}", self.settings.role),
            "revision": view.registry.revision,
            "configuration": view.registry.version(),
            "retiring": view.registry.retiring,
            "control": view.control,
            "programs": view.programs,
            "entries": view.roster.entries.len(),
            "lease_age_ms": self.lease_age(),
            "heard_ms": view.last_contact.map(|at| at.elapsed().as_millis()),
            "replica": replica,
            "instances": instances,
            "quarantined": quarantined,
        })
    }
}

impl Handler for Member {
    fn handle<'a>(
        &'a self,
        from: String,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(self.respond(from, request))
    }
}

/// Makes a replica an initial member of its journal, on a thread for blocking work. Repeats it until the disk
/// accepts that, since the journal counts on the replica.
async fn bootstrap(mut replica: Replica, initial_members: Vec<Voter>) -> Result<Replica, Error> {
    let initial_members: Arc<[Voter]> = initial_members.into();
    loop {
        let members = initial_members.clone();
        let attempt = tokio::task::spawn_blocking(move || {
            let written = replica.bootstrap(replica.identity.id, &members);
            (replica, written)
        });
        let written;
        (replica, written) = attempt.await.map_err(Error::new)?;
        let Err(error) = written else {
            return Ok(replica);
        };
        tracing::warn!(%error, "the replica is not bootstrapped yet");
        tokio::time::sleep(BOOTSTRAP_PAUSE).await;
    }
}

/// Reads the registry that the local replica has applied.
async fn registry(handle: &Handle) -> Option<Registry> {
    let query = machine::encode(&Query::All).ok()?;
    match handle.query_applied(query).await {
        crate::replica::Outcome::Data(view) => machine::decode(&view).ok(),
        _ => None,
    }
}

/// Pause after a failed bootstrap of a replica.
const BOOTSTRAP_PAUSE: Duration = Duration::from_millis(500);

/// Exit code of the process after a fault of its replica.
const EXIT_REPLICA: i32 = 3;

/// Pause before the process exits, so that the log of the fault is written.
const LOG_FLUSH_PAUSE: Duration = Duration::from_millis(300);

/// Exits the process when its replica stops with a fault. The replica recovers from its disk when
/// the process is started again.
async fn watch_fault(handle: Handle) {
    let mut status = handle.status;
    if status.wait_for(|status| status.fault.is_some()).await.is_ok() {
        tracing::error!("the replica has stopped; exiting");
        tokio::time::sleep(LOG_FLUSH_PAUSE).await;
        std::process::exit(EXIT_REPLICA);
    }
}
