//! State of an entry and the dispatch of its inputs.
//!
//! [`Entry`] owns all calls in progress, the cached programs and the view of the backend
//! servers. [`Entry::step`] applies one input, then assigns queued calls to backend servers.

use crate::Millis;
use crate::entry::call::{Active, Cached, Stage};
use crate::entry::input::{Answer, Event, Input, Output, Request, error_answer};
use crate::entry::policy::{self, Candidate, Job, Policy};
use crate::entry::server::{Fleet, dispatcher_count};
use crate::lease::Lease;
use crate::retry;
use crate::routing;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use state::collections::Map;
use state::control::{Snapshot, Weights};
use state::error::{Executed, Kind};
use state::id;
use std::sync::Arc;

/// Limits and timing of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Policy that orders waiting calls and chooses their backend servers.
    pub policy: policy::Name,
    /// Maximum number of calls in progress, including queued ones.
    pub calls_limit: usize,
    /// Number of queued calls at which new programs are refused.
    pub overload_queue: usize,
    /// How long a call that arrives before its predecessor has ended waits for it, in
    /// milliseconds.
    pub early_wait_ms: Millis,
    /// How long a call waits for a backend server or a lease, in milliseconds.
    pub queue_wait_ms: Millis,
    /// Delay before an unanswered journal request is repeated, in milliseconds.
    pub journal_retry_ms: Millis,
    /// Maximum number of attempts of one call.
    pub attempts_limit: u32,
    /// Maximum size of the cached conversation histories, in bytes.
    pub history_cache_bytes: u64,
    /// Duration of a quarantine, in milliseconds.
    pub quarantine_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: policy::Name::default(),
            calls_limit: 4_096,
            overload_queue: 512,
            early_wait_ms: 2_000,
            queue_wait_ms: 60_000,
            journal_retry_ms: 50,
            attempts_limit: 6,
            history_cache_bytes: 8 * 1024 * 1024,
            quarantine_ms: 24 * 3_600 * 1_000,
        }
    }
}

/// State machine that handles calls on one instance, from their arrival to the answer.
pub struct Entry {
    pub(crate) settings: Settings,
    /// Unix time at time 0, in milliseconds.
    pub(crate) start_unix_ms: u64,
    pub(crate) rng: StdRng,
    pub(crate) now: Millis,
    pub(crate) lease: Lease,
    pub(crate) snapshot: Snapshot,
    pub(crate) in_force: u64,
    /// When `in_force` last increased.
    pub(crate) in_force_at: Millis,
    pub(crate) fleet: Fleet,
    pub(crate) calls: Map<id::Call, Active>,
    /// Calls by the operation whose result they wait for.
    pub(crate) ops: Map<u64, id::Call>,
    /// Calls by the identifier of their dispatch.
    pub(crate) dispatches: Map<u64, id::Call>,
    /// Cached programs.
    pub(crate) programs: Map<id::Program, Arc<Cached>>,
    /// Size of the histories of `programs`, in bytes.
    pub(crate) programs_bytes: u64,
    /// Retry budgets by service.
    pub(crate) retry_budgets: Map<String, retry::Budget>,
    pub(crate) outputs: Vec<Output>,
    /// Operation of the request for a trial run that is in flight.
    pub(crate) trial_op: Option<u64>,
    policy: Box<dyn Policy>,
    next_id: u64,
    /// Number of calls that have arrived.
    arrivals: u64,
}

impl Entry {
    /// Creates an entry without a lease and without a configuration.
    ///
    /// `start_unix_ms` is the Unix time at time 0, in milliseconds.
    pub fn new(settings: Settings, start_unix_ms: u64, seed: u64) -> Self {
        Self {
            policy: settings.policy.build(),
            settings,
            start_unix_ms,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            lease: Lease::default(),
            snapshot: Snapshot::default(),
            in_force: 0,
            in_force_at: 0,
            fleet: Fleet::default(),
            calls: Map::default(),
            ops: Map::default(),
            dispatches: Map::default(),
            programs: Map::default(),
            programs_bytes: 0,
            retry_budgets: Map::default(),
            outputs: Vec::new(),
            trial_op: None,
            next_id: 0,
            arrivals: 0,
        }
    }

    /// Handles one input at time `now` and returns the outputs to perform.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        let may_free_slot = !matches!(
            input,
            Input::Call(_) | Input::DispatchEvent { event: Event::Chunk { .. }, .. }
        );
        match input {
            Input::Call(request) => self.on_call(request),
            Input::ProgramLoaded { op, result } => self.on_loaded(op, result),
            Input::Submitted { op, result } => self.on_submitted(op, result),
            Input::ControlReply { op, result } => self.on_control_reply(op, result),
            Input::DispatchEvent { id, event } => self.on_dispatch_event(id, event),
            Input::LeaseRenewed { holder, sent_at, length, snapshot, in_force } => {
                self.lease.renew(holder, sent_at, length);
                self.on_snapshot(snapshot, in_force);
            }
            Input::LeaseEnded => self.lease.release(),
            Input::LoadReport { server, at, load } => self.fleet.record_load(&server, at, load),
            Input::LeavingServers(names) => self.fleet.set_leaving(names),
            Input::Tick => self.on_tick(),
        }
        if may_free_slot {
            self.schedule();
        }
        std::mem::take(&mut self.outputs)
    }

    /// Version of the control state that this entry has applied.
    pub fn version(&self) -> u64 {
        self.snapshot.version
    }

    /// Version of the control state that every instance that may dispatch has applied.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Control state that this entry has applied.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Lease that permits this instance to dispatch.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Local view of the backend servers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Number of calls in progress.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether so many calls are queued that new programs should be refused.
    pub fn is_overloaded(&self) -> bool {
        self.queued() >= self.settings.overload_queue
    }

    /// Number of calls that wait for a backend server.
    pub fn queued(&self) -> usize {
        self.calls.values().filter(|call| call.is_queued()).count()
    }

    /// Calls in progress, for a dump: call, stage, attempt and age in milliseconds.
    pub fn stages(&self) -> Vec<(String, &'static str, u32, Millis)> {
        let rows = self.calls.values();
        rows.map(|c| (c.call().to_string(), c.stage.name(), c.attempt, self.now - c.arrived_at))
            .collect()
    }

    /// Current Unix time, in milliseconds.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.start_unix_ms + self.now
    }

    /// Removes the completed operation `op`; returns its call if that is still in progress.
    pub(crate) fn complete_op(&mut self, op: u64) -> Option<id::Call> {
        let call = self.ops.remove(&op)?;
        self.calls.get_mut(&call)?.op = None;
        Some(call)
    }

    /// Schedules the call's stage to be retried after the journal did not answer.
    pub(crate) fn retry_later(&mut self, call: &id::Call) {
        let due = self.now + self.settings.journal_retry_ms;
        if let Some(active) = self.calls.get_mut(call) {
            active.due = Some(due);
        }
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn on_call(&mut self, request: Request) {
        let call = request.call.clone();
        if let Some(active) = self.calls.get_mut(&call) {
            if active.request_digest == request.digest() {
                active.waiters.push(request.request_id);
            } else {
                let detail = "the call is in progress with different content";
                let answer = error_answer(&call, Kind::Conflict, Executed::No, detail);
                self.outputs.push(Output::Answer { request_id: request.request_id, answer });
            }
            return;
        }
        self.arrivals += 1;
        let deadline = self.now + self.settings.queue_wait_ms;
        let active = Active::new(request, self.now, self.arrivals, deadline);
        self.calls.insert(call.clone(), active);
        if self.calls.len() > self.settings.calls_limit {
            self.refuse(&call, Kind::Overloaded);
        } else {
            self.load_program(&call);
        }
    }

    fn on_snapshot(&mut self, snapshot: Option<Box<Snapshot>>, in_force: u64) {
        if let Some(snapshot) = snapshot
            && snapshot.version >= self.snapshot.version
        {
            self.snapshot = *snapshot;
            self.fleet.configure(&self.snapshot);
            self.cancel_disallowed();
        }
        if in_force > self.in_force {
            self.in_force = in_force;
            self.in_force_at = self.now;
        }
    }

    /// Cancels running idempotent calls on backend servers that the placement rules no longer
    /// allow.
    fn cancel_disallowed(&mut self) {
        let disallowed: Vec<id::Call> = self
            .calls
            .values()
            .filter(|active| match &active.stage {
                Stage::Running(running) => {
                    active.request.is_idempotent && !self.is_allowed(active, &running.server)
                }
                _ => false,
            })
            .map(|active| active.call().clone())
            .collect();
        disallowed.iter().for_each(|call| self.cancel_and_requeue(call));
    }

    fn on_tick(&mut self) {
        if self.lease.valid_holder(self.now).is_none() {
            self.cancel_without_lease();
        }
        let due: Vec<id::Call> = self
            .calls
            .values()
            .filter(|active| {
                active.due.is_some_and(|due| due <= self.now)
                    || active.deadline <= self.now
                    || matches!(&active.stage,
                        Stage::Running(r) | Stage::LookingUp(r) if r.deadline <= self.now)
            })
            .map(|active| active.call().clone())
            .collect();
        due.iter().for_each(|call| self.on_timer(call));
    }

    /// Cancels running idempotent calls, because the placement rules may have changed since the
    /// lease expired.
    fn cancel_without_lease(&mut self) {
        let running: Vec<id::Call> = self
            .calls
            .values()
            .filter(|a| matches!(a.stage, Stage::Running(_)) && a.request.is_idempotent)
            .map(|active| active.call().clone())
            .collect();
        running.iter().for_each(|call| self.cancel_and_requeue(call));
    }

    /// Whether `server` provides the call's service and the placement rules allow it.
    pub(crate) fn is_allowed(&self, active: &Active, server: &str) -> bool {
        let labels = active.program.as_ref().map_or(&[][..], |program| &program.labels);
        let deployment = &active.call().program.deployment;
        let provides_service = self
            .snapshot
            .config
            .servers
            .get(server)
            .is_some_and(|server| server.service == active.request.service);
        provides_service && self.snapshot.config.allows(deployment, server, labels)
    }

    /// Places the queued calls in the order of the policy, if the lease is valid.
    fn schedule(&mut self) {
        let Some(holder) = self.lease.valid_holder(self.now).cloned() else {
            return;
        };
        let mut queue: Vec<((u8, u64), u64, id::Call)> = self
            .calls
            .values()
            .filter(|active| active.is_queued())
            .filter(|active| active.due.is_none_or(|due| due <= self.now))
            .map(|active| {
                let job = self.job(active);
                (self.policy.rank(self.now, &job), active.arrival_order, active.call().clone())
            })
            .collect();
        queue.sort();
        let mut unplaced_by_group: Map<Group, u32> = Map::default();
        for (_, _, call) in queue {
            let Some(group) = self.calls.get(&call).map(Group::of) else {
                continue;
            };
            let unplaced = unplaced_by_group.entry(group).or_default();
            if *unplaced < MAX_UNPLACED {
                self.place(&call, &holder);
                let is_waiting = self.calls.get(&call).is_some_and(Active::is_queued);
                *unplaced += u32::from(is_waiting);
            }
        }
    }

    /// Begins an attempt of a queued call if a backend server is available, and refuses a call
    /// that may not be executed at all.
    fn place(&mut self, call: &id::Call, holder: &id::Holder) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        if self.is_quarantined(&active.content_digest) {
            self.refuse(call, Kind::Quarantined);
            return;
        }
        let allowed = self.allowed_servers(active);
        if allowed.is_empty() {
            let is_known = self.snapshot.config.services.contains_key(&active.request.service);
            let kind = if is_known { Kind::PlacementForbidden } else { Kind::UnknownService };
            self.refuse(call, kind);
            return;
        }
        if active.is_suspect || self.snapshot.suspects.contains_key(&active.content_digest) {
            if let Some(server) = self.trial_server(call, &allowed, holder) {
                self.begin(call, &server, holder);
            }
            return;
        }
        let (names, candidates) = self.candidates(active, allowed);
        let job = self.job(active);
        if let Some(name) = self.policy.place(&job, &candidates).and_then(|index| names.get(index))
        {
            let server = name.clone();
            self.begin(call, &server, holder);
        }
    }

    /// Backend servers that the placement rules allow for the call.
    fn allowed_servers(&self, active: &Active) -> Vec<String> {
        let names = self.snapshot.config.servers.keys();
        names.filter(|name| self.is_allowed(active, name)).cloned().collect()
    }

    /// Names and properties of the allowed backend servers that are available and not reserved
    /// for a trial run.
    fn candidates(&self, active: &Active, allowed: Vec<String>) -> (Vec<String>, Vec<Candidate>) {
        let trial = self.snapshot.trial.as_ref().map(|trial| trial.server.as_str());
        let available = allowed.into_iter().filter(|name| {
            trial != Some(name.as_str())
                && self.fleet.get(name).is_some_and(|server| server.is_available(self.now))
        });
        available.filter_map(|name| Some((name.clone(), self.candidate(active, &name)?))).unzip()
    }

    fn candidate(&self, active: &Active, name: &str) -> Option<Candidate> {
        let server = self.fleet.get(name)?;
        let slots = self.snapshot.config.servers.get(name)?.slots;
        let reported = server.load.map_or(0, |(_, load)| load.running + load.waiting);
        let is_cached = server.last_used(program_key(&active.call().program)).is_some();
        Some(Candidate {
            outstanding: server.outstanding,
            reported,
            slots,
            share: slots.div_ceil(dispatcher_count(&self.snapshot)),
            warm_tokens: if is_cached { self.prompt_tokens(active) } else { 0 },
        })
    }

    /// Estimated size of the call's prompt, in tokens.
    pub(crate) fn prompt_tokens(&self, active: &Active) -> u64 {
        let service = self.snapshot.config.services.get(&active.request.service);
        let bytes_per_token = service.map_or(1, |s| u64::from(s.prompt_bytes_per_token));
        active.prompt_bytes().div_ceil(bytes_per_token.max(1))
    }

    fn job(&self, active: &Active) -> Job {
        let config = &self.snapshot.config;
        let deployment = config.deployments.get(&active.call().program.deployment);
        let program = active.program.as_ref();
        let deadline = program.map_or(0, |p| p.deadline_ms.saturating_sub(self.start_unix_ms));
        Job {
            arrival_order: active.arrival_order,
            arrived_at: active.arrived_at,
            opened_ms: program.map_or(0, |program| program.opened_ms),
            deadline,
            attained_tokens: program.map_or(0, |program| program.attained_tokens),
            prompt_tokens: self.prompt_tokens(active),
            is_urgent: config.services.get(&active.request.service).is_some_and(|s| s.is_urgent),
            weights: deployment.map_or(Weights { latency: 1, cache: 1 }, |d| d.weights),
        }
    }

    fn is_quarantined(&self, digest: &id::Digest) -> bool {
        let quarantine = self.snapshot.quarantine.get(digest);
        quarantine.is_some_and(|quarantine| quarantine.until_ms > self.unix_ms())
    }

    /// Answers all requests that wait for the call and removes it.
    pub(crate) fn finish(&mut self, call: &id::Call, answer: Answer) {
        let Some(active) = self.calls.remove(call) else {
            return;
        };
        if let Some(op) = active.op {
            self.ops.remove(&op);
        }
        for request_id in active.waiters {
            self.outputs.push(Output::Answer { request_id, answer: answer.clone() });
        }
    }
}

/// Number of calls of one group that may find no backend server in one scheduling pass before
/// the rest of the group is skipped.
const MAX_UNPLACED: u32 = 16;

/// Key of calls that are allowed on the same backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Group {
    service: String,
    deployment: String,
    labels: Vec<String>,
}

impl Group {
    fn of(active: &Active) -> Self {
        Self {
            service: active.request.service.clone(),
            deployment: active.call().program.deployment.clone(),
            labels: active.program.as_ref().map_or_else(Vec::new, |p| p.labels.clone()),
        }
    }
}

/// Key under which a program's prompt is tracked in a backend server's cache.
pub(crate) fn program_key(program: &id::Program) -> u64 {
    routing::score(&program.deployment, &program.name)
}
