//! One instance: its connections, its replica, and what it knows of the others.

use crate::clock::Clock;
use crate::fabric::Fabric;
use crate::leaders::{self, Leaders};
use crate::links::{self, Handler};
use crate::member::register::Register;
use crate::member::seat::{CONTROL, PROGRAMS, Seat, control_founders};
use crate::member::{Settings, beats, servers};
use crate::node::Error;
use crate::replica::{Handle, Job};
use coordination::membership::{self, Candidate};
use protocol::presence::{Heartbeat, HeartbeatReply, Role, Roster};
use protocol::wire::{Request, Response};
use state::collections::Map;
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

/// Pause between two looks of the control leader at who is present; short against the time
/// in which a replica must be back at full strength.
const CONTROL_PAUSE: Duration = Duration::from_millis(100);

/// Time for which the control leader waits for as many instances as a journal should have;
/// all start within a moment of each other, and a beat says so.
const FOUNDING_PATIENCE: Duration = Duration::from_secs(3);

/// Time for one replica to answer a request for the leader: a commit with two slow syncs.
const CALL_TIME: Duration = Duration::from_millis(350);

/// Pause between two tries while no instance leads; an election takes a few of these.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// What an instance knows of the others.
#[derive(Debug, Clone, Default)]
pub(crate) struct Known {
    pub(crate) registry: Arc<Registry>,
    pub(crate) control: Vec<String>,
    pub(crate) programs: Vec<String>,
    pub(crate) heard: Option<Instant>,
    /// Ready entries.
    pub(crate) roster: Arc<Roster>,
}

/// A running instance.
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) fabric: Arc<Fabric>,
    pub(crate) leaders: Leaders,
    pub(crate) known: watch::Sender<Known>,
    pub(crate) register: Mutex<Register>,
    pub(crate) id: OnceLock<u64>,
    pub(crate) is_ready: AtomicBool,
    pub(crate) is_leaving: AtomicBool,
    /// Revision of the registry by which the planner's candidates were marked.
    pub(crate) present_revision: AtomicU64,
    /// Asks for a beat before it is due.
    pub(crate) hurry: Notify,
    /// What is known of the backend servers.
    pub(crate) servers: watch::Sender<servers::Known>,
    pub(crate) loads: OnceLock<servers::Loads>,
    groups: OnceLock<Map<u32, Handle>>,
    seeds: Mutex<Vec<String>>,
}

impl Member {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns what keeps it from starting: an address in use, a folder that cannot be
    /// opened.
    pub async fn start(settings: Settings) -> Result<Arc<Self>, Error> {
        let listen = settings.listen.as_ref().unwrap_or(&settings.address);
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|error| Error::new(format!("{listen}: {error}")))?;
        let fabric = Fabric::new(&settings.address);
        let times = leaders::Settings { call: CALL_TIME, pause: RETRY_PAUSE };
        let member = Arc::new(Self {
            clock: Clock::new(),
            leaders: Leaders::new(fabric.clone(), times),
            fabric: fabric.clone(),
            known: watch::Sender::new(Known::default()),
            register: Mutex::new(Register::new(settings.absent_after)),
            id: OnceLock::new(),
            is_ready: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            present_revision: AtomicU64::new(0),
            hurry: Notify::new(),
            servers: watch::Sender::new(servers::Known::default()),
            loads: OnceLock::new(),
            groups: OnceLock::new(),
            seeds: Mutex::new(settings.seeds.clone()),
            settings,
        });
        member.leaders.place(CONTROL, &member.control_addresses(), None);
        fabric.set_handler(member.clone());
        tokio::spawn(fabric.serve(listener));
        member.open_seat()?;
        tokio::spawn(beats::run(member.clone()));
        Ok(member)
    }

    fn open_seat(self: &Arc<Self>) -> Result<(), Error> {
        let group = match self.settings.role {
            Role::Entry => return Ok(()),
            Role::Control => CONTROL,
            Role::Programs => PROGRAMS,
        };
        let folder = self.settings.folder.as_ref();
        let folder =
            folder.ok_or_else(|| Error::new("an instance with a journal needs a folder"))?;
        let mut seat = Seat::open(group, folder).map_err(Error::new)?;
        if group == CONTROL
            && seat.is_blank()
            && let Some((id, founders)) = control_founders(&self.settings)
        {
            seat.found(id, &founders).map_err(Error::new)?;
        }
        self.id.get_or_init(|| seat.identity.id);
        if group == PROGRAMS && seat.is_blank() {
            tokio::spawn(self.clone().await_founding(seat));
            return Ok(());
        }
        self.seat(group, seat)
    }

    /// Waits until the registry says who founds the journal of programs.
    async fn await_founding(self: Arc<Self>, mut seat: Seat) {
        let mut known = self.known.subscribe();
        let is_founded = |known: &Known| known.registry.initial_members.contains_key(&PROGRAMS);
        let founders = match known.wait_for(is_founded).await {
            Ok(known) => known.registry.initial_members.get(&PROGRAMS).cloned().unwrap_or_default(),
            Err(_) => return,
        };
        let id = seat.identity.id;
        let founded = match founders.iter().any(|founder| founder.id == id) {
            true => seat.found(id, &founders).map_err(Error::new),
            false => Ok(()),
        };
        if let Err(error) = founded.and_then(|()| self.seat(PROGRAMS, seat)) {
            tracing::error!(%error, "replica cannot start");
        }
    }

    fn seat(self: &Arc<Self>, group: u32, seat: Seat) -> Result<(), Error> {
        let handle = seat.start(&self.settings, self.clock, self.fabric.clone());
        let handle = handle.map_err(Error::new)?;
        tokio::spawn(watch_fault(handle.clone()));
        if group == CONTROL {
            tokio::spawn(self.clone().follow_registry(handle.clone()));
            tokio::spawn(self.clone().lead_control(handle.clone()));
        }
        let mut groups = Map::default();
        groups.insert(group, handle);
        drop(self.groups.set(groups));
        Ok(())
    }

    /// The replica of this instance, once it runs.
    pub(crate) fn handle(&self) -> Option<&Handle> {
        self.groups.get()?.values().next()
    }

    /// Replaces the addresses of control instances to start from.
    pub fn set_seeds(&self, seeds: Vec<String>) {
        if let Ok(mut held) = self.seeds.lock() {
            *held = seeds;
        }
    }

    /// Says whether callers may be sent here.
    pub fn set_ready(&self, is_ready: bool) {
        if self.is_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            tracing::info!(is_ready, "readiness changed");
            self.hurry.notify_one();
        }
    }

    /// Time since a control instance was heard; `None` if none ever was.
    pub(crate) fn silence(&self) -> Option<Duration> {
        self.known.borrow().heard.map(|heard| heard.elapsed())
    }

    /// Whether the instance is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Takes the instance out of service: callers are sent elsewhere, and another replica
    /// leads.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.hurry.notify_one();
        if let Some(handle) = self.handle() {
            // The thread may have ended with a fault; then it does not lead.
            drop(handle.jobs.send(Job::Transfer));
        }
    }

    /// Addresses for callers in `failure_domain`, as far as this instance knows.
    pub fn entries(&self, failure_domain: &str) -> Vec<String> {
        let own = match self.settings.role {
            Role::Control => self.register.lock().ok().and_then(|register| register.roster(0)),
            Role::Entry | Role::Programs => None,
        };
        let roster = own.map_or_else(|| self.known.borrow().roster.clone(), Arc::new);
        roster.near(failure_domain)
    }

    /// Addresses of control instances: those that were reported, and the seeds.
    pub(crate) fn control_addresses(&self) -> Vec<String> {
        let mut all = self.known.borrow().control.clone();
        if let Ok(seeds) = self.seeds.lock() {
            all.extend(seeds.iter().cloned());
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Takes a newer registry.
    pub(crate) fn learn(&self, registry: Registry) {
        self.known.send_modify(|known| known.registry = Arc::new(registry));
    }

    /// Tells the planner who can hold the journal.
    pub(crate) fn set_present(&self, present: Vec<Candidate>, revision: u64) {
        if let Some(handle) = self.handle() {
            // The thread may have ended with a fault; then it does not lead.
            drop(handle.jobs.send(Job::Present(present)));
            self.present_revision.store(revision, Ordering::Relaxed);
        }
    }

    /// Keeps the known registry equal to the applied one.
    async fn follow_registry(self: Arc<Self>, handle: Handle) {
        let mut status = handle.status.clone();
        let mut applied = None;
        loop {
            let now = status.borrow_and_update().applied;
            if applied != Some(now) {
                applied = Some(now);
                match registry(&handle).await {
                    Some(registry) if registry.revision > self.known.borrow().registry.revision => {
                        let (revision, version) = (registry.revision, registry.version());
                        tracing::info!(revision, version, "registry changed");
                        self.learn(registry);
                    }
                    _ => {}
                }
            }
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    /// What the control leader does: it plans the own journal and founds the others.
    async fn lead_control(self: Arc<Self>, handle: Handle) {
        let mut waiting = None;
        loop {
            tokio::time::sleep(CONTROL_PAUSE).await;
            if !handle.leads() {
                continue;
            }
            let registry = self.known.borrow().registry.clone();
            let (own, programs) = match self.register.lock() {
                Ok(register) => (
                    register.candidates(Role::Control, &registry),
                    register.candidates(Role::Programs, &registry),
                ),
                Err(_) => continue,
            };
            self.set_present(own, registry.revision);
            if registry.initial_members.contains_key(&PROGRAMS) {
                continue;
            }
            let since: &Instant = waiting.get_or_insert_with(Instant::now);
            let wanted = self.settings.replicas();
            let target = match since.elapsed() < FOUNDING_PATIENCE {
                true => wanted,
                false => membership::initial_count(wanted, programs.len()),
            };
            if let Some(chosen) = membership::initial_members(target, &programs) {
                self.found(&handle, &chosen).await;
            }
        }
    }

    async fn found(&self, handle: &Handle, chosen: &[Candidate]) {
        let founder = |c: &Candidate| Voter { id: c.id, address: c.address.clone() };
        let initial_members = chosen.iter().map(founder).collect();
        match machine::encode(&Command::Bootstrap { group: PROGRAMS, initial_members }) {
            Ok(command) => {
                let outcome = handle.submit(command).await;
                tracing::info!(?chosen, ?outcome, "journal of programs founded");
            }
            Err(error) => tracing::error!(%error, "founders cannot be encoded"),
        }
    }

    fn report(&self, beat: Heartbeat) -> Response {
        let registry = self.known.borrow().registry.clone();
        let (name, role, revision) = (beat.name.clone(), beat.role, beat.revision);
        let (wants_relay, roster) = (beat.wants_relay, beat.roster_digest);
        let is_relayed = wants_relay && role != Role::Programs;
        let (held, list) = match is_relayed {
            true => {
                let known = self.servers.borrow();
                (known.list.clone(), known.relay(beat.list_digest))
            }
            false => (None, None),
        };
        let Ok(mut register) = self.register.lock() else {
            return Response::Unknown;
        };
        if register.hear(beat) {
            tracing::info!(name, ?role, "instance is present");
        }
        let mut programs = register.addresses(Role::Programs);
        let leader = register.leader(Role::Programs).map(|(address, _)| address.to_owned());
        if let Some(leader) = &leader {
            programs.retain(|address| address != leader);
            programs.insert(0, leader.clone());
        }
        let candidates = match role {
            Role::Programs => register.candidates(Role::Programs, &registry),
            Role::Entry | Role::Control => Vec::new(),
        };
        let serves_callers = is_relayed && role == Role::Entry;
        let servers = held.filter(|_| serves_callers).map(|held| held.servers);
        let report = HeartbeatReply {
            registry: (revision < registry.revision).then(|| Registry::clone(&registry)),
            control: register.addresses(Role::Control),
            programs,
            has_leader: leader.is_some(),
            candidates,
            revision: registry.revision,
            list,
            in_flight: servers.map(|list| register.loads(&name, &list)).unwrap_or_default(),
            roster: if serves_callers { register.roster(roster) } else { None },
        };
        Response::HeartbeatReply(Box::new(report))
    }

    async fn respond(&self, from: String, request: Request) -> Response {
        let (groups, id) = (self.groups.get(), self.id.get());
        let request = match links::serve_journal(groups, id, &from, request).await {
            Ok(response) => return response,
            Err(request) => request,
        };
        match request {
            Request::Heartbeat(beat) if self.settings.role == Role::Control => self.report(*beat),
            Request::Dump { .. } => Response::Text(self.dump().to_string()),
            other => {
                tracing::warn!(from, ?other, "request that this instance does not serve");
                Response::Unknown
            }
        }
    }

    /// Counters of the replica in the OpenMetrics format.
    pub fn metrics(&self) -> String {
        let metrics = crate::metrics::Metrics::new();
        for (group, handle) in self.groups.get().into_iter().flatten() {
            metrics.journal(*group, &handle.status.borrow());
        }
        metrics.render()
    }

    /// The instance's state, for an operator.
    pub fn dump(&self) -> serde_json::Value {
        let known = self.known.borrow().clone();
        let replica = self.handle().map(|handle| {
            let status = handle.status.borrow().clone();
            serde_json::json!({
                "id": self.id.get(), "leads": status.is_established, "term": status.term,
                "votes": status.is_voter, "commit": status.commit, "applied": status.applied,
                "leader": status.leader, "members": status.members, "syncs": status.syncs,
                "sync_micros": status.sync_micros, "bytes_written": status.bytes_written,
                "fault": status.fault,
            })
        });
        let instances = self.register.lock().map(|register| register.dump()).unwrap_or_default();
        serde_json::json!({
            "name": self.settings.name,
            "role": format!("{:?}", self.settings.role),
            "revision": known.registry.revision,
            "configuration": known.registry.version(),
            "retiring": known.registry.retiring,
            "control": known.control,
            "programs": known.programs,
            "entries": known.roster.entries.len(),
            "heard_ms": known.heard.map(|at| at.elapsed().as_millis()),
            "replica": replica,
            "instances": instances,
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

/// The applied registry.
async fn registry(handle: &Handle) -> Option<Registry> {
    let query = machine::encode(&Query::All).ok()?;
    match handle.peek(query).await {
        crate::replica::Outcome::Data(view) => machine::decode(&view).ok(),
        _ => None,
    }
}

/// Exit code of an instance whose replica has stopped.
const EXIT_REPLICA: i32 = 3;

/// Pause before the end, so that the log of the fault gets out.
const FAULT_PAUSE: Duration = Duration::from_millis(300);

/// Ends the process when its replica stops, so that it starts anew from its disk.
async fn watch_fault(handle: Handle) {
    let mut status = handle.status;
    if status.wait_for(|status| status.fault.is_some()).await.is_ok() {
        tracing::error!("the replica has stopped; the process ends");
        tokio::time::sleep(FAULT_PAUSE).await;
        std::process::exit(EXIT_REPLICA);
    }
}
