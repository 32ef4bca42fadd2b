//! The task that owns the entry's state machine.

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

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(10);

/// Inputs that may wait.
pub(crate) const INBOX: usize = 8_192;

/// News for a caller.
#[derive(Debug)]
pub(crate) enum News {
    Chunk { attempt: u32, text: String },
    Answer(Answer),
}

/// A caller's request and where its news go.
pub(crate) struct Ask {
    pub(crate) request: Request,
    pub(crate) news: mpsc::UnboundedSender<News>,
}

/// What other tasks see of the entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) version: u64,
    pub(crate) in_force: u64,
    pub(crate) is_overloaded: bool,
    pub(crate) calls: usize,
    pub(crate) queued: usize,
    pub(crate) lease_until: u64,
    pub(crate) epoch: u64,
}

/// Access to the task; closing the channels ends it.
#[derive(Clone)]
pub(crate) struct Handle {
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) asks: mpsc::Sender<Ask>,
    pub(crate) dumps: mpsc::Sender<oneshot::Sender<serde_json::Value>>,
    pub(crate) view: watch::Receiver<View>,
}

/// The task.
pub(crate) struct Actor {
    pub(crate) entry: Entry,
    pub(crate) journal: Arc<Journal>,
    pub(crate) client: Client,
    pub(crate) metrics: Arc<Metrics>,
    waiters: Map<u64, mpsc::UnboundedSender<News>>,
    running: Map<u64, Dispatched>,
    inputs: mpsc::Sender<Input>,
    next_request_id: u64,
    snapshot: Arc<Snapshot>,
}

struct Dispatched {
    task: AbortHandle,
    dispatch: Option<Dispatch>,
}

/// Starts the task.
pub(crate) fn start(
    entry: Entry,
    journal: Arc<Journal>,
    client: Client,
    metrics: Arc<Metrics>,
) -> Handle {
    let (inputs, inbox) = mpsc::channel(INBOX);
    let (asks, asked) = mpsc::channel(INBOX);
    let (dumps, dumped) = mpsc::channel(16);
    let (publish, view) = watch::channel(View::default());
    let actor = Actor {
        entry,
        journal,
        client,
        metrics,
        waiters: Map::default(),
        running: Map::default(),
        inputs: inputs.clone(),
        next_request_id: 0,
        snapshot: Arc::default(),
    };
    tokio::spawn(actor.run(inbox, asked, dumped, publish));
    Handle { inputs, asks, dumps, view }
}

impl Actor {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Input>,
        mut asked: mpsc::Receiver<Ask>,
        mut dumped: mpsc::Receiver<oneshot::Sender<serde_json::Value>>,
        publish: watch::Sender<View>,
    ) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                input = inbox.recv() => match input {
                    Some(input) => self.step(input),
                    None => return,
                },
                ask = asked.recv() => match ask {
                    Some(ask) => self.ask(ask),
                    None => return,
                },
                Some(reply) = dumped.recv() => drop(reply.send(self.dump())),
                _ = interval.tick() => {
                    self.step(Input::Tick);
                    self.publish(&publish);
                }
            }
        }
    }

    fn ask(&mut self, ask: Ask) {
        self.next_request_id += 1;
        let request_id = self.next_request_id;
        self.waiters.insert(request_id, ask.news);
        self.step(Input::Call(Request { request_id, ..ask.request }));
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
            Output::LoadProgram { op, call, digest, known } => {
                let (journal, inputs) = (self.journal.clone(), self.inputs.clone());
                tokio::spawn(async move {
                    let result = journal.load(&call, digest, known).await;
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
                if let Some(waiter) = self.waiters.get(&request_id) {
                    drop(waiter.send(News::Chunk { attempt, text }));
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
                self.metrics.refuse(refusal.kind);
                let (call, kind, ran) = (&answer.call, refusal.kind, answer.executed);
                tracing::info!(%call, ?kind, ?ran, "call refused");
            }
            None => {
                self.metrics.answers.inc();
                self.metrics.spent_tokens.inc_by(answer.spent.tokens);
                tracing::info!(call = %answer.call, tokens = answer.spent.tokens, "call answered");
            }
        }
        if let Some(waiter) = self.waiters.remove(&request_id) {
            // The caller may have gone; the answer stays recorded.
            drop(waiter.send(News::Answer(answer)));
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
            lease_until: lease.expires_at(),
            epoch: lease.holder().map_or(0, |holder| holder.epoch),
        };
        self.set_gauges(&view);
        publish.send_replace(view);
    }

    fn set_gauges(&self, view: &View) {
        let clamp = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let left = view.lease_until.saturating_sub(self.client.clock.now());
        self.metrics.lease_ms.set(clamp(left));
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
        let left = lease.expires_at().saturating_sub(self.client.clock.now());
        serde_json::json!({
            "calls": calls,
            "servers": servers,
            "lease": { "epoch": lease.holder().map(|h| h.epoch), "left_ms": left },
            "version": self.entry.version(),
            "in_force": self.entry.in_force(),
        })
    }
}
