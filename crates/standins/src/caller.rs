//! Callers that run agent programs over HTTP and record the outcome of each call.
//!
//! The records are kept apart from the system, so that [`crate::check`] can compare them with
//! the ledgers of the stand-ins.

use crate::cluster::Cluster;
use crate::engine::{answer_tokens, requested_tokens};
use crate::workload::{Program, Step};
use protocol::answer::Refusal;
use protocol::api::{Answer, Call, Endpoint, Open};
use serde_json::{Value, json};
use state::error::{Executed, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after which a caller stops resending a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause before a caller resends a request.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a single request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// State that the callers of a run share.
pub struct Context {
    /// HTTP client of all callers.
    pub http: reqwest::Client,
    /// Addresses of all instances for callers.
    pub addresses: Vec<String>,
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the model service.
    pub model: String,
    /// Name of the tool service.
    pub tool: String,
    /// Simulated one-way latency between a caller and an instance.
    pub latency: Duration,
    /// Address of the instance that is being stopped, if any.
    pub stopping_address: Mutex<Option<String>>,
    /// Number of connections that were cut by a planned stop.
    pub cut_connections: AtomicU64,
    /// Number of resent requests.
    pub resends: AtomicU64,
    /// Number of programs that have ended, finished or not; sub-agents count as programs.
    pub ended_programs: AtomicU64,
    /// Engine sessions of the programs that were closed.
    closed_sessions: Mutex<BTreeSet<String>>,
}

impl Context {
    /// Creates the shared state for the callers of a cluster.
    pub fn new(cluster: &Cluster, http: reqwest::Client, latency: Duration) -> Arc<Self> {
        Arc::new(Self {
            http,
            addresses: cluster
                .instances
                .iter()
                .map(|instance| instance.caller_address.clone())
                .collect(),
            deployment: cluster.spec.deployment.clone(),
            model: cluster.spec.model.0.clone(),
            tool: cluster.spec.tool.0.clone(),
            latency,
            stopping_address: Mutex::default(),
            cut_connections: AtomicU64::new(0),
            resends: AtomicU64::new(0),
            ended_programs: AtomicU64::new(0),
            closed_sessions: Mutex::default(),
        })
    }

    /// Returns whether the program of an engine session was closed by its caller.
    pub fn is_closed(&self, session: &str) -> bool {
        self.closed_sessions.lock().unwrap_or_else(PoisonError::into_inner).contains(session)
    }

    fn mark_closed(&self, program: &str) {
        let session = format!("{}/{program}", self.deployment);
        self.closed_sessions.lock().unwrap_or_else(PoisonError::into_inner).insert(session);
    }
}

/// Outcome of a call as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The call was answered.
    Answered(String),
    /// The call was refused and not executed.
    NotExecuted(Kind),
    /// The call failed and may have been executed.
    Unknown(Kind),
    /// The call was executed and failed.
    Failed(Kind),
    /// No instance sent a valid response in time.
    NoResponse,
}

/// A caller's record of one program.
#[derive(Debug, Clone)]
pub struct Record {
    /// Name of the program.
    pub name: String,
    /// Token budget of the program.
    pub budget_tokens: u64,
    /// Outcomes of the calls by sequence number.
    pub calls: BTreeMap<u64, Outcome>,
    /// Number of answers that do not belong to the program's conversation.
    pub mismatches: u64,
    /// Whether each step succeeded and the program was closed.
    pub is_finished: bool,
    /// Time from the opening to the last answer, without the pauses.
    pub latency: Duration,
    /// Records of sub-agents.
    pub children: Vec<Record>,
}

impl Record {
    /// Returns this record and, recursively, those of its sub-agents.
    pub fn flatten(&self) -> Vec<&Record> {
        let children = self.children.iter().flat_map(Record::flatten);
        std::iter::once(self).chain(children).collect()
    }
}

/// Runs one program and records the outcomes of its calls.
struct Runner {
    context: Arc<Context>,
    record: Record,
    messages: Vec<Value>,
    /// Cached address of an instance, and the time at which it expires.
    entry_address: Option<(String, Instant)>,
    /// Position in [`Context::addresses`], which are queried in turn.
    address_index: usize,
}

/// Runs a program to its end and returns its record.
pub async fn run(context: Arc<Context>, program: Program) -> Record {
    let record = Record {
        name: program.name.clone(),
        budget_tokens: program.budget.tokens,
        calls: BTreeMap::new(),
        mismatches: 0,
        is_finished: false,
        latency: Duration::ZERO,
        children: Vec::new(),
    };
    let address_index = program.name.len();
    let mut runner =
        Runner { context, record, messages: Vec::new(), entry_address: None, address_index };
    let start = Instant::now();
    let mut paused = Duration::ZERO;
    let mut is_finished = runner.open(&program).await;
    if is_finished {
        for step in &program.steps {
            if let Step::Pause(duration_ms) = step {
                let pause = Duration::from_millis(*duration_ms);
                paused += pause;
                tokio::time::sleep(pause).await;
                continue;
            }
            is_finished &= runner.execute(step).await;
        }
        runner.record.latency = start.elapsed().saturating_sub(paused);
        is_finished &= runner.close().await;
    }
    runner.record.is_finished = is_finished;
    runner.context.ended_programs.fetch_add(1, Ordering::Relaxed);
    runner.record
}

/// Result of one request: a response body, a refusal or no valid response.
enum Reply {
    Body(Value),
    Refused(Refusal),
    Lost,
}

impl Runner {
    async fn open(&mut self, program: &Program) -> bool {
        let now_ms = crate::ledger::now_us() / 1_000;
        let open = Open {
            program: program.name.clone(),
            budget: program.budget,
            deadline_ms: now_ms + 600_000,
            labels: Vec::new(),
        };
        let body = serde_json::to_value(open).unwrap_or_default();
        matches!(
            self.send_until_final(reqwest::Method::POST, "/v1/programs", &body).await,
            Reply::Body(_)
        )
    }

    async fn close(&mut self) -> bool {
        let path = format!("/v1/programs/{}", self.record.name);
        let reply = self.send_until_final(reqwest::Method::DELETE, &path, &Value::Null).await;
        let is_closed = matches!(reply, Reply::Body(_));
        if is_closed {
            self.context.mark_closed(&self.record.name);
        }
        is_closed
    }

    /// Executes a step; returns whether it succeeded.
    async fn execute(&mut self, step: &Step) -> bool {
        match step {
            Step::Model { content, max_tokens } => self.call_model(content, *max_tokens).await,
            Step::Tool { op, duration_ms, cost } => self.call_tool(op, *duration_ms, *cost).await,
            Step::Pause(_) => true,
            Step::Child(program) => {
                let child = Box::pin(run(self.context.clone(), program.as_ref().clone())).await;
                let is_finished = child.is_finished;
                self.record.children.push(child);
                is_finished
            }
        }
    }

    /// Calls the model service and compares the answer with the expected one.
    async fn call_model(&mut self, content: &str, max_tokens: u64) -> bool {
        let message = json!({ "role": "user", "content": content });
        let call = Call {
            messages: Some(vec![message.clone()]),
            max_tokens,
            ..self.new_call(&self.context.model)
        };
        let mut prompt = self.messages.clone();
        prompt.push(message);
        let outcome = self.submit(call).await;
        if let Outcome::Answered(text) = &outcome {
            let count = requested_tokens(&prompt).min(max_tokens);
            if *text != answer_tokens(&prompt, count).concat() {
                self.record.mismatches += 1;
            }
            prompt.push(json!({ "role": "assistant", "content": text }));
            self.messages = prompt;
        }
        self.record_outcome(outcome)
    }

    /// Calls the tool service and checks that the answer contains the key of the call.
    async fn call_tool(&mut self, op: &str, duration_ms: u64, cost: u64) -> bool {
        let arguments = json!({ "op": op, "ms": duration_ms });
        let call =
            Call { arguments: Some(arguments.clone()), cost, ..self.new_call(&self.context.tool) };
        let outcome = self.submit(call).await;
        if let Outcome::Answered(text) = &outcome {
            let key =
                format!("{}/{}/{}", self.context.deployment, self.record.name, self.next_seq());
            if !text.contains(&format!("{key:?}")) {
                self.record.mismatches += 1;
            }
            self.messages.push(json!({ "role": "assistant", "content": arguments.to_string() }));
            self.messages.push(json!({ "role": "tool", "content": text }));
        }
        self.record_outcome(outcome)
    }

    /// Returns the sequence number of the next call.
    fn next_seq(&self) -> u64 {
        self.record.calls.len() as u64 + 1
    }

    /// Creates the next call to a service, without its content.
    fn new_call(&self, service: &str) -> Call {
        Call {
            seq: self.next_seq(),
            service: service.to_owned(),
            messages: None,
            arguments: None,
            idempotent: false,
            max_tokens: 0,
            cost: 0,
            stream: false,
        }
    }

    /// Records the outcome of the next call; returns whether the call was answered.
    fn record_outcome(&mut self, outcome: Outcome) -> bool {
        let is_answered = matches!(outcome, Outcome::Answered(_));
        self.record.calls.insert(self.next_seq(), outcome);
        is_answered
    }

    /// Sends a call until its outcome is final.
    async fn submit(&mut self, call: Call) -> Outcome {
        let path = format!("/v1/programs/{}/calls", self.record.name);
        let body = serde_json::to_value(call).unwrap_or_default();
        match self.send_until_final(reqwest::Method::POST, &path, &body).await {
            Reply::Body(body) => match serde_json::from_value::<Answer>(body) {
                Ok(answer) => Outcome::Answered(answer.content),
                Err(_) => Outcome::NoResponse,
            },
            Reply::Refused(refusal) => match refusal.ran {
                Executed::No => Outcome::NotExecuted(refusal.error),
                Executed::Unknown => Outcome::Unknown(refusal.error),
                Executed::Yes => Outcome::Failed(refusal.error),
            },
            Reply::Lost => Outcome::NoResponse,
        }
    }

    /// Resends a request until its response is final or [`CALL_TIMEOUT`] has passed.
    async fn send_until_final(
        &mut self,
        method: reqwest::Method,
        path: &str,
        body: &Value,
    ) -> Reply {
        let start = Instant::now();
        let mut last = Reply::Lost;
        while start.elapsed() < CALL_TIMEOUT {
            let Some(address) = self.entry_address().await else {
                tokio::time::sleep(RESEND_PAUSE).await;
                continue;
            };
            last = self.send(&address, method.clone(), path, body).await;
            let is_final = match &last {
                Reply::Body(_) => true,
                Reply::Refused(refusal) => !should_resend(refusal),
                Reply::Lost => false,
            };
            if is_final {
                return last;
            }
            self.entry_address = None;
            self.context.resends.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        last
    }

    /// Returns the address of an instance, from the cache until it expires; `None` if no
    /// instance responds.
    async fn entry_address(&mut self) -> Option<String> {
        if let Some((address, expires_at)) = &self.entry_address
            && Instant::now() < *expires_at
        {
            return Some(address.clone());
        }
        let count = self.context.addresses.len();
        for _ in 0..count {
            self.address_index += 1;
            let queried_address = self.context.addresses[self.address_index % count].clone();
            let path = format!("/v1/entry?program={}", self.record.name);
            let reply =
                self.send(&queried_address, reqwest::Method::GET, &path, &Value::Null).await;
            if let Reply::Body(body) = reply
                && let Ok(endpoint) = serde_json::from_value::<Endpoint>(body)
            {
                let expires_at = Instant::now() + Duration::from_millis(endpoint.keep_ms);
                self.entry_address = Some((endpoint.address.clone(), expires_at));
                return Some(endpoint.address);
            }
        }
        None
    }

    /// Sends a request to an instance, with the simulated latency in both directions.
    async fn send(
        &self,
        address: &str,
        method: reqwest::Method,
        path: &str,
        body: &Value,
    ) -> Reply {
        tokio::time::sleep(self.context.latency).await;
        let url = format!("http://{address}{path}");
        let mut request = self.context.http.request(method, url).timeout(REQUEST_TIMEOUT);
        request = request.header("x-deployment", &self.context.deployment);
        if !body.is_null() {
            request = request.json(body);
        }
        let reply = self.receive(address, request).await;
        tokio::time::sleep(self.context.latency).await;
        reply
    }

    /// Sends a prepared request and reads its response.
    async fn receive(&self, address: &str, request: reqwest::RequestBuilder) -> Reply {
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                self.count_cut(address, &error);
                return Reply::Lost;
            }
        };
        let is_success = response.status().is_success();
        match response.json::<Value>().await {
            Ok(body) if is_success => Reply::Body(body),
            Ok(body) => serde_json::from_value(body).map_or(Reply::Lost, Reply::Refused),
            Err(error) => {
                self.count_cut(address, &error);
                Reply::Lost
            }
        }
    }

    /// Counts a failed request as cut if it reached the instance that is being stopped.
    fn count_cut(&self, address: &str, error: &reqwest::Error) {
        let stopping_address =
            self.context.stopping_address.lock().unwrap_or_else(PoisonError::into_inner);
        if !error.is_connect() && stopping_address.as_deref() == Some(address) {
            self.context.cut_connections.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Fetches each recorded answer again and counts those that are missing or differ.
pub async fn count_lost(context: &Context, records: &[Record]) -> u64 {
    let mut lost = 0;
    for record in records.iter().flat_map(Record::flatten) {
        for (seq, outcome) in &record.calls {
            let Outcome::Answered(text) = outcome else {
                continue;
            };
            if fetch_answer(context, &record.name, *seq).await.as_ref() != Some(text) {
                lost += 1;
            }
        }
    }
    lost
}

/// Fetches the recorded answer of a call from the first instance that returns it.
async fn fetch_answer(context: &Context, program: &str, seq: u64) -> Option<String> {
    for address in &context.addresses {
        let url = format!("http://{address}/v1/programs/{program}/calls/{seq}");
        let request = context.http.get(url).header("x-deployment", &context.deployment);
        let Ok(response) = request.timeout(REQUEST_TIMEOUT).send().await else {
            continue;
        };
        if let Ok(answer) = response.json::<Answer>().await {
            return Some(answer.content);
        }
    }
    None
}

/// Returns whether a resend of the refused request may succeed.
fn should_resend(refusal: &Refusal) -> bool {
    let is_transient = matches!(
        refusal.error,
        Kind::Busy
            | Kind::Unavailable
            | Kind::Stopping
            | Kind::RateLimited
            | Kind::SlowSender
            | Kind::OutOfOrder
    );
    is_transient && refusal.may_resend
}
