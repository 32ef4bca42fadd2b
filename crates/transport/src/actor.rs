//! The task that owns the entry's state machine.
//!
//! It feeds inputs from other tasks to the [`Entry`] one at a time and performs the outputs:
//! journal commands, dispatches to backend servers and answers to callers.

use crate::backend::Client;
use crate::journal::Journal;
use crate::metrics::Metrics;
use coordination::entry::{Answer, Dispatch, Entry, Input, Output, Request, Unreachable};
use state::collections::Map;
use state::control::{Role, Snapshot};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Capacity of the channels of inputs and submissions; senders wait while a channel is full.
pub(crate) const CHANNEL_CAPACITY: usize = 8_192;

/// Progress of a call, sent to the caller's handler.
#[derive(Debug)]
pub(crate) enum Update {
    Chunk { attempt: u32, text: String },
    Answer(Answer),
}

/// A caller's request with the channel that receives its updates.
pub(crate) struct Submission {
    pub(crate) request: Request,
    pub(crate) updates: mpsc::UnboundedSender<Update>,
}

/// Published state of the entry, refreshed at each tick.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) snapshot: Arc<Snapshot>,
    /// Version of the control state that the entry applies; 0 before the first.
    pub(crate) version: u64,
    /// Highest version of the control state that is in force.
    pub(crate) in_force: u64,
    pub(crate) is_overloaded: bool,
    /// Number of calls in flight.
    pub(crate) calls: usize,
    /// Number of calls waiting for a backend server.
    pub(crate) queued: usize,
    /// Time at which the lease expires, in milliseconds of the instance's clock.
    pub(crate) lease_expires_at: u64,
    /// Incarnation of the instance; 0 before it is registered.
    pub(crate) epoch: u64,
}

/// Channels to the task, which ends once `submissions` is closed.
#[derive(Clone)]
pub(crate) struct Handle {
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) submissions: mpsc::Sender<Submission>,
    pub(crate) dumps: mpsc::Sender<oneshot::Sender<serde_json::Value>>,
    pub(crate) view: watch::Receiver<View>,
}

/// State of the task.
pub(crate) struct Actor {
    pub(crate) entry: Entry,
    pub(crate) journal: Arc<Journal>,
    pub(crate) client: Client,
    pub(crate) metrics: Arc<Metrics>,
    /// Update channel of each open request, by request id.
    updates: Map<u64, mpsc::UnboundedSender<Update>>,
    /// Requests in flight on backend servers, by dispatch id.
    running: Map<u64, Dispatched>,
    inputs: mpsc::Sender<Input>,
    next_request_id: u64,
    snapshot: Arc<Snapshot>,
}

/// A request in flight on a backend server.
struct Dispatched {
    task: AbortHandle,
    /// `None` for a lookup of an earlier outcome.
    dispatch: Option<Dispatch>,
}

/// Spawns the task.
pub(crate) fn start(
    entry: Entry,
    journal: Arc<Journal>,
    client: Client,
    metrics: Arc<Metrics>,
) -> Handle {
    let (inputs, inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (submissions, submitted) = mpsc::channel(CHANNEL_CAPACITY);
    let (dumps, dump_requests) = mpsc::channel(16);
    let (publish, view) = watch::channel(View::default());
    let actor = Actor {
        entry,
        journal,
        client,
        metrics,
        updates: Map::default(),
        running: Map::default(),
        inputs: inputs.clone(),
        next_request_id: 0,
        snapshot: Arc::default(),
    };
    tokio::spawn(actor.run(inbox, submitted, dump_requests, publish));
    Handle { inputs, submissions, dumps, view }
}

impl Actor {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Input>,
        mut submitted: mpsc::Receiver<Submission>,
        mut dump_requests: mpsc::Receiver<oneshot::Sender<serde_json::Value>>,
        publish: watch::Sender<View>,
    ) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                input = inbox.recv() => match input {
                    Some(input) => self.step(input),
                    None => return,
                },
                submission = submitted.recv() => match submission {
                    Some(submission) => self.submit(submission),
                    None => return,
                },
                Some(reply) = dump_requests.recv() => drop(reply.send(self.dump())),
                _ = interval.tick() => {
                    self.step(Input::Tick);
                    self.publish(&publish);
                }
            }
        }
    }

    fn submit(&mut self, submission: Submission) {
        self.next_request_id += 1;
        let request_id = self.next_request_id;
        self.updates.insert(request_id, submission.updates);
        self.step(Input::Call(Request { request_id, ..submission.request }));
    }

    fn step(&mut self, input: Input) {
        if let Input::DispatchEvent { id, event } = &input
            && !matches!(event, coordination::entry::Event::Chunk { .. })
        {
            self.running.remove(id);
        }
        let outputs = self.entry.step(self.client.clock.now(), input);
        outputs.into_iter().for_each(|output| self.perform(output));
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::LoadProgram { op, call, digest, cached_items } => {
                let (journal, inputs) = (self.journal.clone(), self.inputs.clone());
                tokio::spawn(async move {
                    let result = journal.load(&call, digest, cached_items).await;
                    drop(inputs.send(Input::ProgramLoaded { op, result }).await);
                });
            }
            Output::Submit { op, program, command } => {
                let (journal, inputs) = (self.journal.clone(), self.inputs.clone());
                tokio::spawn(async move {
                    let reply = journal.submit(&program, &command).await;
                    let result = reply.map_err(|_| Unreachable);
                    drop(inputs.send(Input::Submitted { op, result }).await);
                });
            }
            Output::Control { op, command } => {
                let (journal, inputs) = (self.journal.clone(), self.inputs.clone());
                tokio::spawn(async move {
                    let result = journal.submit_control(&command).await.map_err(|_| Unreachable);
                    drop(inputs.send(Input::ControlReply { op, result }).await);
                });
            }
            Output::Dispatch(dispatch) => self.dispatch(*dispatch),
            Output::Lookup(lookup) => {
                let id = lookup.id;
                let task = tokio::spawn(self.client.clone().look_up(lookup, self.inputs.clone()));
                let task = task.abort_handle();
                self.running.insert(id, Dispatched { task, dispatch: None });
            }
            Output::Cancel(id) => self.cancel(id),
            Output::Chunk { request_id, attempt, text } => {
                if let Some(updates) = self.updates.get(&request_id) {
                    drop(updates.send(Update::Chunk { attempt, text }));
                }
            }
            Output::Answer { request_id, answer } => self.answer(request_id, answer),
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let attempt = &dispatch.attempt;
        tracing::info!(%attempt, server = dispatch.server, service = dispatch.service, "dispatch");
        self.metrics.dispatches.inc();
        if attempt.number > 1 {
            self.metrics.retries.inc();
        }
        let id = dispatch.id;
        let run = self.client.clone().run(dispatch.clone(), self.inputs.clone());
        let task = tokio::spawn(run).abort_handle();
        self.running.insert(id, Dispatched { task, dispatch: Some(dispatch) });
    }

    fn cancel(&mut self, id: u64) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        running.task.abort();
        if let Some(dispatch) = running.dispatch {
            let attempt = dispatch.attempt.to_string();
            tracing::info!(attempt, server = dispatch.server, "cancel");
            if dispatch.role == Role::Engine {
                tokio::spawn(self.client.clone().cancel(dispatch.address, attempt));
            }
        }
    }

    fn answer(&mut self, request_id: u64, answer: Answer) {
        match &answer.error {
            Some(refusal) => {
                self.metrics.count_refusal(refusal.kind);
                let (call, kind, ran) = (&answer.call, refusal.kind, answer.executed);
                tracing::info!(%call, ?kind, ?ran, "call refused");
            }
            None => {
                self.metrics.answers.inc();
                self.metrics.spent_tokens.inc_by(answer.spent.tokens);
                tracing::info!(call = %answer.call, tokens = answer.spent.tokens, "call answered");
            }
        }
        if let Some(updates) = self.updates.remove(&request_id) {
            // The caller may have disconnected; the answer stays recorded in the journal.
            drop(updates.send(Update::Answer(answer)));
        }
    }

    fn publish(&mut self, publish: &watch::Sender<View>) {
        if self.snapshot.version != self.entry.version() {
            self.snapshot = Arc::new(self.entry.snapshot().clone());
        }
        let lease = self.entry.lease();
        let view = View {
            snapshot: self.snapshot.clone(),
            version: self.entry.version(),
            in_force: self.entry.in_force(),
            is_overloaded: self.entry.is_overloaded(),
            calls: self.entry.calls(),
            queued: self.entry.queued(),
            lease_expires_at: lease.expires_at(),
            epoch: lease.holder().map_or(0, |holder| holder.epoch),
        };
        self.set_gauges(&view);
        publish.send_replace(view);
    }

    fn set_gauges(&self, view: &View) {
        let clamp = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let remaining = view.lease_expires_at.saturating_sub(self.client.clock.now());
        self.metrics.lease_ms.set(clamp(remaining));
        self.metrics.queued.set(clamp(view.queued as u64));
        self.metrics.calls.set(clamp(view.calls as u64));
        self.metrics.slots_used.set(clamp(self.running.len() as u64));
        self.metrics.version.set(clamp(view.version));
        self.metrics.revision.set(clamp(view.snapshot.revision));
        self.metrics.quarantined.set(clamp(view.snapshot.quarantine.len() as u64));
    }

    fn dump(&self) -> serde_json::Value {
        let calls: Vec<_> = self
            .entry
            .stages()
            .into_iter()
            .map(|(call, stage, attempt, age_ms)| {
                serde_json::json!({ "call": call, "stage": stage, "attempt": attempt, "age_ms": age_ms })
            })
            .collect();
        let servers: Vec<_> = self
            .entry
            .fleet()
            .iter()
            .map(|(name, server)| {
                let load = server.load.map(|(_, load)| load);
                serde_json::json!({
                    "name": name, "outstanding": server.outstanding,
                    "is_leaving": server.is_leaving, "load": load,
                    "is_open": server.is_available(self.client.clock.now()),
                })
            })
            .collect();
        let lease = self.entry.lease();
        let remaining = lease.expires_at().saturating_sub(self.client.clock.now());
        serde_json::json!({
            "calls": calls,
            "servers": servers,
            "lease": { "epoch": lease.holder().map(|h| h.epoch), "left_ms": remaining },
            "version": self.entry.version(),
            "in_force": self.entry.in_force(),
        })
    }
}
