//! Callers: they play programs and keep records of their own.

use crate::cluster::Cluster;
use crate::engine::{answer_tokens, wanted_tokens};
use crate::workload::{Program, Step};
use protocol::answer::Refusal;
use protocol::api::{Answer, Call, Endpoint, Open};
use serde_json::{Value, json};
use state::error::{Executed, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after which a caller gives a call up.
const PATIENCE: Duration = Duration::from_secs(40);

/// Pause before a caller sends the same request again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Time for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// What callers share.
pub struct Crowd {
    /// Client for all callers.
    pub http: reqwest::Client,
    /// Callers' addresses of all instances.
    pub addresses: Vec<String>,
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the model service.
    pub model: String,
    /// Name of the tool service.
    pub tool: String,
    /// Latency one way to an instance.
    pub latency: Duration,
    /// Address that is stopping, once it is.
    pub stopping: Mutex<Option<String>>,
    /// Connections cut on the stopping address.
    pub cut: AtomicU64,
    /// Resends of a request.
    pub resends: AtomicU64,
    /// Programs that have ended.
    pub ended: AtomicU64,
    /// Sessions of the programs that were closed.
    closed: Mutex<BTreeSet<String>>,
}

impl Crowd {
    /// Callers of a cluster.
    pub fn new(cluster: &Cluster, http: reqwest::Client, latency: Duration) -> Arc<Self> {
        Arc::new(Self {
            http,
            addresses: cluster.instances.iter().map(|instance| instance.callers.clone()).collect(),
            deployment: cluster.plan.deployment.clone(),
            model: cluster.plan.model.0.clone(),
            tool: cluster.plan.tool.0.clone(),
            latency,
            stopping: Mutex::default(),
            cut: AtomicU64::new(0),
            resends: AtomicU64::new(0),
            ended: AtomicU64::new(0),
            closed: Mutex::default(),
        })
    }

    /// Whether the program of an engine's session was closed by its caller.
    pub fn has_ended(&self, session: &str) -> bool {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner).contains(session)
    }

    fn note_closed(&self, program: &str) {
        let session = format!("{}/{program}", self.deployment);
        self.closed.lock().unwrap_or_else(PoisonError::into_inner).insert(session);
    }
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With its answer.
    Answered(String),
    /// Refused; it was not executed.
    NotRun(Kind),
    /// It may have been executed.
    Unknown(Kind),
    /// It was executed and failed.
    Failed(Kind),
    /// No instance answered in time.
    Silent,
}

/// A caller's record of one program.
#[derive(Debug, Clone)]
pub struct Record {
    /// Name of the program.
    pub name: String,
    /// Budget in tokens.
    pub budget_tokens: u64,
    /// Outcomes by sequence number.
    pub calls: BTreeMap<u64, Outcome>,
    /// Answers that belong to another conversation.
    pub mixed: u64,
    /// Whether each step was answered and the program closed.
    pub is_finished: bool,
    /// Time from opening to the last answer, without pauses.
    pub latency: Duration,
    /// Records of sub-agents.
    pub children: Vec<Record>,
}

impl Record {
    /// This record and those of all sub-agents.
    pub fn all(&self) -> Vec<&Record> {
        let children = self.children.iter().flat_map(Record::all);
        std::iter::once(self).chain(children).collect()
    }
}

/// A program under way.
struct Player {
    crowd: Arc<Crowd>,
    record: Record,
    messages: Vec<Value>,
    entry: Option<(String, Instant)>,
    turn: usize,
}

/// Plays a program to its end.
pub async fn play(crowd: Arc<Crowd>, program: Program) -> Record {
    let record = Record {
        name: program.name.clone(),
        budget_tokens: program.budget.tokens,
        calls: BTreeMap::new(),
        mixed: 0,
        is_finished: false,
        latency: Duration::ZERO,
        children: Vec::new(),
    };
    let turn = program.name.len();
    let mut player = Player { crowd, record, messages: Vec::new(), entry: None, turn };
    let start = Instant::now();
    let mut paused = Duration::ZERO;
    let mut is_whole = player.open(&program).await;
    if is_whole {
        for step in &program.steps {
            if let Step::Pause(ms) = step {
                let pause = Duration::from_millis(*ms);
                paused += pause;
                tokio::time::sleep(pause).await;
                continue;
            }
            is_whole &= player.step(step).await;
        }
        player.record.latency = start.elapsed().saturating_sub(paused);
        is_whole &= player.end().await;
    }
    player.record.is_finished = is_whole;
    player.crowd.ended.fetch_add(1, Ordering::Relaxed);
    player.record
}

/// Reply to one request: an answer, a refusal, or nothing.
enum Reply {
    Body(Value),
    Refused(Refusal),
    Lost,
}

impl Player {
    async fn open(&mut self, program: &Program) -> bool {
        let now_ms = crate::ledger::now_us() / 1_000;
        let open = Open {
            program: program.name.clone(),
            budget: program.budget,
            deadline_ms: now_ms + 600_000,
            labels: Vec::new(),
        };
        let body = serde_json::to_value(open).unwrap_or_default();
        matches!(self.insist(reqwest::Method::POST, "/v1/programs", &body).await, Reply::Body(_))
    }

    async fn end(&mut self) -> bool {
        let path = format!("/v1/programs/{}", self.record.name);
        let reply = self.insist(reqwest::Method::DELETE, &path, &Value::Null).await;
        let is_closed = matches!(reply, Reply::Body(_));
        if is_closed {
            self.crowd.note_closed(&self.record.name);
        }
        is_closed
    }

    async fn step(&mut self, step: &Step) -> bool {
        match step {
            Step::Model { content, max_tokens } => self.model(content, *max_tokens).await,
            Step::Tool { op, ms, cost } => self.tool(op, *ms, *cost).await,
            Step::Pause(_) => true,
            Step::Child(program) => {
                let child = Box::pin(play(self.crowd.clone(), program.as_ref().clone())).await;
                let is_finished = child.is_finished;
                self.record.children.push(child);
                is_finished
            }
        }
    }

    async fn model(&mut self, content: &str, max_tokens: u64) -> bool {
        let message = json!({ "role": "user", "content": content });
        let call = Call {
            messages: Some(vec![message.clone()]),
            max_tokens,
            ..self.call(&self.crowd.model)
        };
        let mut prompt = self.messages.clone();
        prompt.push(message);
        let outcome = self.make(call).await;
        if let Outcome::Answered(text) = &outcome {
            let count = wanted_tokens(&prompt).min(max_tokens);
            if *text != answer_tokens(&prompt, count).concat() {
                self.record.mixed += 1;
            }
            prompt.push(json!({ "role": "assistant", "content": text }));
            self.messages = prompt;
        }
        self.note(outcome)
    }

    async fn tool(&mut self, op: &str, ms: u64, cost: u64) -> bool {
        let arguments = json!({ "op": op, "ms": ms });
        let call = Call { arguments: Some(arguments.clone()), cost, ..self.call(&self.crowd.tool) };
        let outcome = self.make(call).await;
        if let Outcome::Answered(text) = &outcome {
            let key = format!("{}/{}/{}", self.crowd.deployment, self.record.name, self.seq());
            if !text.contains(&format!("{key:?}")) {
                self.record.mixed += 1;
            }
            self.messages.push(json!({ "role": "assistant", "content": arguments.to_string() }));
            self.messages.push(json!({ "role": "tool", "content": text }));
        }
        self.note(outcome)
    }

    fn seq(&self) -> u64 {
        self.record.calls.len() as u64 + 1
    }

    fn call(&self, service: &str) -> Call {
        Call {
            seq: self.seq(),
            service: service.to_owned(),
            messages: None,
            arguments: None,
            idempotent: false,
            max_tokens: 0,
            cost: 0,
            stream: false,
        }
    }

    fn note(&mut self, outcome: Outcome) -> bool {
        let is_answered = matches!(outcome, Outcome::Answered(_));
        self.record.calls.insert(self.seq(), outcome);
        is_answered
    }

    async fn make(&mut self, call: Call) -> Outcome {
        let path = format!("/v1/programs/{}/calls", self.record.name);
        let body = serde_json::to_value(call).unwrap_or_default();
        match self.insist(reqwest::Method::POST, &path, &body).await {
            Reply::Body(body) => match serde_json::from_value::<Answer>(body) {
                Ok(answer) => Outcome::Answered(answer.content),
                Err(_) => Outcome::Silent,
            },
            Reply::Refused(refusal) => match refusal.ran {
                Executed::No => Outcome::NotRun(refusal.error),
                Executed::Unknown => Outcome::Unknown(refusal.error),
                Executed::Yes => Outcome::Failed(refusal.error),
            },
            Reply::Lost => Outcome::Silent,
        }
    }

    /// Sends a request until it has a final answer.
    async fn insist(&mut self, method: reqwest::Method, path: &str, body: &Value) -> Reply {
        let start = Instant::now();
        let mut last = Reply::Lost;
        while start.elapsed() < PATIENCE {
            let Some(address) = self.entry().await else {
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
            self.entry = None;
            self.crowd.resends.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        last
    }

    /// Address to use, kept for as long as it may be.
    async fn entry(&mut self) -> Option<String> {
        if let Some((address, until)) = &self.entry
            && Instant::now() < *until
        {
            return Some(address.clone());
        }
        let count = self.crowd.addresses.len();
        for _ in 0..count {
            self.turn += 1;
            let asked = self.crowd.addresses[self.turn % count].clone();
            let path = format!("/v1/entry?program={}", self.record.name);
            let reply = self.send(&asked, reqwest::Method::GET, &path, &Value::Null).await;
            if let Reply::Body(body) = reply
                && let Ok(which) = serde_json::from_value::<Endpoint>(body)
            {
                let until = Instant::now() + Duration::from_millis(which.keep_ms);
                self.entry = Some((which.address.clone(), until));
                return Some(which.address);
            }
        }
        None
    }

    async fn send(
        &self,
        address: &str,
        method: reqwest::Method,
        path: &str,
        body: &Value,
    ) -> Reply {
        tokio::time::sleep(self.crowd.latency).await;
        let url = format!("http://{address}{path}");
        let mut request = self.crowd.http.request(method, url).timeout(REQUEST_TIMEOUT);
        request = request.header("x-deployment", &self.crowd.deployment);
        if !body.is_null() {
            request = request.json(body);
        }
        let reply = self.receive(address, request).await;
        tokio::time::sleep(self.crowd.latency).await;
        reply
    }

    async fn receive(&self, address: &str, request: reqwest::RequestBuilder) -> Reply {
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                self.note_cut(address, &error);
                return Reply::Lost;
            }
        };
        let is_success = response.status().is_success();
        match response.json::<Value>().await {
            Ok(body) if is_success => Reply::Body(body),
            Ok(body) => serde_json::from_value(body).map_or(Reply::Lost, Reply::Refused),
            Err(error) => {
                self.note_cut(address, &error);
                Reply::Lost
            }
        }
    }

    /// Counts a connection that a planned stop cut.
    fn note_cut(&self, address: &str, error: &reqwest::Error) {
        let stopping = self.crowd.stopping.lock().unwrap_or_else(PoisonError::into_inner);
        if !error.is_connect() && stopping.as_deref() == Some(address) {
            self.crowd.cut.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Answers that the system does not give again, equal byte for byte.
pub async fn count_lost(crowd: &Crowd, records: &[Record]) -> u64 {
    let mut lost = 0;
    for record in records.iter().flat_map(Record::all) {
        for (seq, outcome) in &record.calls {
            let Outcome::Answered(text) = outcome else {
                continue;
            };
            if fetch(crowd, &record.name, *seq).await.as_ref() != Some(text) {
                lost += 1;
            }
        }
    }
    lost
}

async fn fetch(crowd: &Crowd, program: &str, seq: u64) -> Option<String> {
    for address in &crowd.addresses {
        let url = format!("http://{address}/v1/programs/{program}/calls/{seq}");
        let request = crowd.http.get(url).header("x-deployment", &crowd.deployment);
        let Ok(response) = request.timeout(REQUEST_TIMEOUT).send().await else {
            continue;
        };
        if let Ok(answer) = response.json::<Answer>().await {
            return Some(answer.content);
        }
    }
    None
}

/// Whether the same request, sent again, may end otherwise.
fn should_resend(refusal: &Refusal) -> bool {
    let is_passing = matches!(
        refusal.error,
        Kind::Busy
            | Kind::Unavailable
            | Kind::Stopping
            | Kind::RateLimited
            | Kind::SlowSender
            | Kind::OutOfOrder
    );
    is_passing && refusal.may_resend
}
