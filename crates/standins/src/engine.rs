//! Stand-in for a model engine.
//!
//! It batches continuously at a token rate, caches prompt prefixes in limited memory,
//! reports its load late, and crashes on a prompt that contains [`POISON`]. Its answer is
//! a function of the whole prompt, so a caller can tell when a history was mixed up.

use crate::ledger::{Event, Ledger};
use coordination::entry::Load;
use futures_util::stream;
use protocol::backend::{
    self, Choice, Chunk, Completion, Delta, Order, Position, Release, Report, Usage,
};
use salvo::http::{HeaderValue, StatusCode};
use salvo::writing::Json;
use salvo::{Request, Response, Router, handler};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Text in a prompt that makes the engine crash.
pub const POISON: &str = "[[poison]]";

/// Text in a prompt that makes the engine ignore the token limit.
pub const OVERSHOOT: &str = "[[overshoot]]";

/// Exit code of a crash.
const CRASH_CODE: i32 = 70;

/// Prompt bytes to a token.
const BYTES_PER_TOKEN: u64 = 4;

/// Largest body, in bytes.
const BODY_BYTES: usize = 64 * 1024 * 1024;

/// Time for which a stream that nobody reads can be resumed.
const KEEP: Duration = Duration::from_secs(20);

/// Cache events that are remembered.
const EVENTS: usize = 4_096;

/// Behaviour of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time for one token while no more streams run than there are slots, in microseconds.
    pub token_us: u64,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us: u64,
    /// Streams that run at full speed.
    pub slots: u32,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Lag of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Every how many cache events one is lost; 0 loses none.
    pub lose_event_every: u64,
    /// Whether orders with an old fencing number are obeyed.
    pub ignores_fence: bool,
    /// URL of the weight store, if loads pass through it.
    pub weight_store: Option<String>,
    /// Ledger file.
    pub ledger: PathBuf,
}

/// An engine.
#[derive(Clone)]
pub struct Engine(Arc<Shared>);

struct Shared {
    settings: Settings,
    ledger: Ledger,
    http: reqwest::Client,
    start: Instant,
    incarnation: u64,
    state: Mutex<State>,
    progress: Notify,
}

#[derive(Default)]
struct State {
    streams: BTreeMap<String, Running>,
    running: u32,
    sessions: BTreeMap<String, Cached>,
    prefixes: BTreeMap<[u8; 32], Prefix>,
    cache_tokens: u64,
    clock: u64,
    reports: VecDeque<(Instant, Load)>,
    is_leaving: bool,
    fence: (u64, u64),
    version: String,
    events: VecDeque<CacheEvent>,
    event_count: u64,
}

struct Running {
    tokens: Vec<String>,
    usage: Option<Usage>,
    is_cancelled: bool,
    ended: Option<Instant>,
}

/// Memory held for one program.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Cached {
    prefixes: Vec<[u8; 32]>,
}

#[derive(Debug, Clone, Copy)]
struct Prefix {
    tokens: u64,
    used: u64,
}

/// News of the cache, late and with gaps.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps are lost events.
    pub number: u64,
    /// The program.
    pub session: String,
    /// Whether it is now in the cache.
    pub is_held: bool,
}

/// Programs whose memory an engine holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Held {
    /// The programs.
    pub sessions: Vec<String>,
}

/// Answer text for a prompt: a few tokens that name the prompt's digest.
pub fn answer_tokens(messages: &[Value], count: u64) -> Vec<String> {
    let text = serde_json::to_string(messages).unwrap_or_default();
    let digest = blake3::hash(text.as_bytes()).to_hex();
    (0..count).map(|at| format!("{}.{at} ", &digest[..12])).collect()
}

/// Number of tokens that a prompt asks for, by a mark such as `[[n=12]]`.
pub fn wanted_tokens(messages: &[Value]) -> u64 {
    let last = messages.last().map(ToString::to_string).unwrap_or_default();
    let mark = last.split("[[n=").nth(1).and_then(|rest| rest.split("]]").next());
    mark.and_then(|number| number.parse().ok()).unwrap_or(8)
}

impl Engine {
    /// An engine whose life has the number `incarnation`.
    ///
    /// # Errors
    ///
    /// Returns the error of the ledger file.
    pub fn new(settings: Settings, incarnation: u64) -> std::io::Result<Self> {
        let ledger = Ledger::open(&settings.ledger)?;
        Ok(Self(Arc::new(Shared {
            settings,
            ledger,
            http: reqwest::Client::new(),
            start: Instant::now(),
            incarnation,
            state: Mutex::default(),
            progress: Notify::new(),
        })))
    }

    /// Routes of the engine.
    pub fn router(&self) -> Router {
        let on = |action| Route { engine: self.clone(), action };
        Router::new()
            .push(Router::with_path(backend::COMPLETIONS).post(on(Action::Complete)))
            .push(Router::with_path(backend::RESUME).post(on(Action::Resume)))
            .push(Router::with_path(backend::CANCEL).post(on(Action::Cancel)))
            .push(Router::with_path(backend::RELEASE).post(on(Action::Release)))
            .push(Router::with_path(backend::LOAD).get(on(Action::Load)))
            .push(Router::with_path(backend::ORDERS).post(on(Action::Order)))
            .push(
                Router::with_path("v1/kv/{session}")
                    .get(on(Action::Export))
                    .put(on(Action::Import)),
            )
            .push(Router::with_path("v1/events").get(on(Action::Events)))
            .push(Router::with_path("held").get(on(Action::Held)))
            .push(Router::with_path("leave").post(on(Action::Leave)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn complete(&self, completion: Completion) -> Result<String, StatusCode> {
        let text = serde_json::to_string(&completion.messages).unwrap_or_default();
        let id = completion.stream_id.clone();
        let prompt_tokens = (text.len() as u64).div_ceil(BYTES_PER_TOKEN);
        {
            let mut state = self.state();
            if state.is_leaving {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            let cached_tokens = state.admit(&completion, self.0.settings.cache_tokens);
            state.note_event(&completion.session, true);
            state.running += 1;
            let running =
                Running { tokens: Vec::new(), usage: None, is_cancelled: false, ended: None };
            state.streams.insert(id.clone(), running);
            self.0.ledger.write(Event::Start {
                stream_id: id.clone(),
                session: completion.session.clone(),
                prompt_tokens,
                cached_tokens,
                known_tokens: known_tokens(&completion.messages),
            });
            if text.contains(POISON) {
                std::process::exit(CRASH_CODE);
            }
            let engine = self.clone();
            tokio::spawn(engine.generate(completion, prompt_tokens, cached_tokens));
        }
        Ok(id)
    }

    async fn generate(self, completion: Completion, prompt_tokens: u64, cached_tokens: u64) {
        let settings = &self.0.settings;
        let prefill = settings.prefill_us * prompt_tokens.saturating_sub(cached_tokens);
        tokio::time::sleep(Duration::from_micros(prefill)).await;
        let wanted = wanted_tokens(&completion.messages);
        let ignores_limit = completion.messages.iter().any(|m| m.to_string().contains(OVERSHOOT));
        let count = if ignores_limit { wanted } else { wanted.min(completion.max_tokens) };
        let mut done = 0;
        for token in answer_tokens(&completion.messages, count) {
            let crowd = f64::from(self.state().running) / f64::from(settings.slots.max(1));
            let pace = Duration::from_micros(settings.token_us).mul_f64(crowd.max(1.0));
            tokio::time::sleep(pace).await;
            let mut state = self.state();
            let Some(stream) = state.streams.get_mut(&completion.stream_id) else {
                break;
            };
            if stream.is_cancelled {
                break;
            }
            stream.tokens.push(token);
            done += 1;
            self.0.progress.notify_waiters();
        }
        self.end(&completion, Usage { prompt_tokens, completion_tokens: done, cached_tokens });
        tokio::time::sleep(KEEP).await;
        self.state().streams.remove(&completion.stream_id);
    }

    fn end(&self, completion: &Completion, usage: Usage) {
        let mut state = self.state();
        state.running -= 1;
        if let Some(stream) = state.streams.get_mut(&completion.stream_id) {
            stream.usage = Some(usage);
            stream.ended = Some(Instant::now());
        }
        self.0.ledger.write(Event::Stop {
            stream_id: completion.stream_id.clone(),
            session: completion.session.clone(),
            completion_tokens: usage.completion_tokens,
        });
        self.0.progress.notify_waiters();
    }

    /// Next event of a stream after `offset` tokens; `None` once it is over.
    async fn next(&self, id: &str, offset: u64) -> Option<Chunk> {
        loop {
            let waiting = self.0.progress.notified();
            {
                let state = self.state();
                let stream = state.streams.get(id)?;
                let at = usize::try_from(offset).unwrap_or(usize::MAX);
                let stream_id = id.to_owned();
                if let Some(token) = stream.tokens.get(at) {
                    let delta = Delta { content: token.clone() };
                    let choices = vec![Choice { delta, finish_reason: None }];
                    return Some(Chunk { stream_id, offset, choices, usage: None });
                }
                if stream.is_cancelled {
                    return None;
                }
                if let Some(usage) = stream.usage {
                    let finish_reason = Some("stop".to_owned());
                    let choices = vec![Choice { delta: Delta::default(), finish_reason }];
                    return Some(Chunk { stream_id, offset, choices, usage: Some(usage) });
                }
            }
            // The timeout covers a notification between the look and the wait.
            let _ = tokio::time::timeout(Duration::from_millis(20), waiting).await;
        }
    }

    fn write_stream(&self, response: &mut Response, id: String, from: u64) {
        let incarnation = HeaderValue::from(self.0.incarnation);
        response.headers_mut().insert("x-incarnation", incarnation);
        let start = Some((self.clone(), id, from));
        let events = stream::unfold(start, |state| async move {
            let (engine, id, offset) = state?;
            let chunk = engine.next(&id, offset).await?;
            let text = serde_json::to_string(&chunk).unwrap_or_default();
            let next = chunk.usage.is_none().then_some((engine, id, offset + 1));
            Some((Ok::<_, std::convert::Infallible>(format!("data: {text}\n\n")), next))
        });
        response.stream(events);
    }

    /// Load as it was before the report's lag.
    fn load(&self) -> Report {
        let lag = Duration::from_millis(self.0.settings.report_lag_ms);
        let mut state = self.state();
        let load = Load {
            incarnation: self.0.incarnation,
            running: state.running,
            waiting: 0,
            cache_tokens: state.cache_tokens,
            is_leaving: state.is_leaving,
        };
        let now = Instant::now();
        state.reports.push_back((now, load));
        while state.reports.len() > 1
            && state.reports.get(1).is_some_and(|(at, _)| *at + lag <= now)
        {
            state.reports.pop_front();
        }
        let load = state.reports.front().map_or(load, |(_, load)| *load);
        Report { load, version: state.version.clone() }
    }

    async fn order(&self, order: Order) -> StatusCode {
        {
            let mut state = self.state();
            let is_old = order.fence < state.fence;
            if is_old && !self.0.settings.ignores_fence {
                return StatusCode::CONFLICT;
            }
            state.fence = order.fence;
        }
        if let Some(url) = &self.0.settings.weight_store {
            let answer = self.0.http.post(url).send().await;
            if !answer.is_ok_and(|answer| answer.status().is_success()) {
                return StatusCode::SERVICE_UNAVAILABLE;
            }
        }
        self.state().version.clone_from(&order.version);
        self.0.ledger.write(Event::Load { fence: order.fence, version: order.version });
        StatusCode::OK
    }

    /// Cache events since `from`, without the youngest, which are not yet published.
    fn events(&self, from: u64) -> Vec<CacheEvent> {
        let lose = self.0.settings.lose_event_every;
        let state = self.state();
        let published = state.event_count.saturating_sub(2);
        let wanted = |event: &&CacheEvent| {
            event.number > from
                && event.number <= published
                && (lose == 0 || !event.number.is_multiple_of(lose))
        };
        state.events.iter().filter(wanted).cloned().collect()
    }
}

impl State {
    /// Takes a prompt into the cache; returns the tokens that were there.
    fn admit(&mut self, completion: &Completion, limit: u64) -> u64 {
        self.clock += 1;
        let mut hasher = blake3::Hasher::new();
        let mut cached = 0;
        let mut is_prefix = true;
        let mut chain = Vec::new();
        for message in &completion.messages {
            let text = message.to_string();
            let tokens = (text.len() as u64).div_ceil(BYTES_PER_TOKEN);
            hasher.update(text.as_bytes());
            let key = *hasher.finalize().as_bytes();
            let known = self.prefixes.contains_key(&key);
            is_prefix &= known;
            if is_prefix {
                cached += tokens;
            }
            if !known {
                self.cache_tokens += tokens;
            }
            self.prefixes.insert(key, Prefix { tokens, used: self.clock });
            chain.push(key);
        }
        self.sessions.insert(completion.session.clone(), Cached { prefixes: chain });
        self.evict(limit);
        cached
    }

    fn evict(&mut self, limit: u64) {
        while self.cache_tokens > limit {
            let oldest = self.prefixes.iter().min_by_key(|(_, prefix)| prefix.used);
            let Some((key, prefix)) = oldest.map(|(key, prefix)| (*key, *prefix)) else {
                return;
            };
            self.prefixes.remove(&key);
            self.cache_tokens -= prefix.tokens;
            self.sessions.retain(|_, cached| {
                cached.prefixes.retain(|held| *held != key);
                !cached.prefixes.is_empty()
            });
        }
    }

    /// Frees what only this program uses.
    fn release(&mut self, session: &str) {
        let Some(cached) = self.sessions.remove(session) else {
            return;
        };
        for key in cached.prefixes {
            let is_shared = self.sessions.values().any(|other| other.prefixes.contains(&key));
            if is_shared {
                continue;
            }
            if let Some(prefix) = self.prefixes.remove(&key) {
                self.cache_tokens -= prefix.tokens;
            }
        }
        self.note_event(session, false);
    }

    fn note_event(&mut self, session: &str, is_held: bool) {
        self.event_count += 1;
        let number = self.event_count;
        self.events.push_back(CacheEvent { number, session: session.to_owned(), is_held });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}

/// Prompt tokens of earlier turns, which an engine computed before.
fn known_tokens(messages: &[Value]) -> u64 {
    let is_assistant = |message: &Value| message.get("role").is_some_and(|role| role != "user");
    let last = messages.iter().rposition(is_assistant).unwrap_or(0);
    let bytes: u64 = messages.iter().take(last).map(|m| m.to_string().len() as u64).sum();
    bytes / BYTES_PER_TOKEN
}

#[derive(Clone, Copy)]
enum Action {
    Complete,
    Resume,
    Cancel,
    Release,
    Load,
    Order,
    Export,
    Import,
    Events,
    Held,
    Leave,
}

struct Route {
    engine: Engine,
    action: Action,
}

#[handler]
impl Route {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let engine = &self.engine;
        let status = match self.action {
            Action::Complete => match body::<Completion>(request).await {
                Ok(completion) => match engine.complete(completion) {
                    Ok(id) => return engine.write_stream(response, id, 0),
                    Err(status) => status,
                },
                Err(status) => status,
            },
            Action::Resume => match body::<Position>(request).await {
                Ok(stream) if engine.state().streams.contains_key(&stream.stream_id) => {
                    return engine.write_stream(response, stream.stream_id, stream.from);
                }
                Ok(_) => StatusCode::NOT_FOUND,
                Err(status) => status,
            },
            Action::Cancel => match body::<Position>(request).await {
                Ok(stream) => {
                    if let Some(running) = engine.state().streams.get_mut(&stream.stream_id) {
                        running.is_cancelled = true;
                    }
                    StatusCode::OK
                }
                Err(status) => status,
            },
            Action::Release => match body::<Release>(request).await {
                Ok(release) => {
                    engine.state().release(&release.session);
                    StatusCode::OK
                }
                Err(status) => status,
            },
            Action::Order => match body::<Order>(request).await {
                Ok(order) => engine.order(order).await,
                Err(status) => status,
            },
            Action::Import => {
                let session = request.param::<String>("session").unwrap_or_default();
                match body::<Cached>(request).await {
                    Ok(cached) => {
                        engine.state().sessions.insert(session, cached);
                        StatusCode::OK
                    }
                    Err(status) => status,
                }
            }
            Action::Export => {
                let session = request.param::<String>("session").unwrap_or_default();
                match engine.state().sessions.get(&session).cloned() {
                    Some(cached) => return response.render(Json(cached)),
                    None => StatusCode::NOT_FOUND,
                }
            }
            Action::Load => return response.render(Json(engine.load())),
            Action::Events => {
                let from = request.query("from").unwrap_or(0);
                return response.render(Json(engine.events(from)));
            }
            Action::Held => {
                let sessions = engine.state().sessions.keys().cloned().collect();
                return response.render(Json(Held { sessions }));
            }
            Action::Leave => {
                engine.state().is_leaving = true;
                StatusCode::OK
            }
        };
        response.status_code(status);
    }
}

/// Reads a JSON body.
pub(crate) async fn body<T: serde::de::DeserializeOwned>(
    request: &mut Request,
) -> Result<T, StatusCode> {
    let bytes = request.payload_with_max_size(BODY_BYTES).await;
    let bytes = bytes.map_err(|_| StatusCode::BAD_REQUEST)?;
    serde_json::from_slice(bytes).map_err(|_| StatusCode::BAD_REQUEST)
}

impl Engine {
    /// Time since the engine started.
    pub fn uptime(&self) -> Duration {
        self.0.start.elapsed()
    }
}
