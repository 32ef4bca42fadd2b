//! Stand-in for a model engine.
//!
//! The engine batches streams at a fixed token rate, caches prompt prefixes up to a size
//! limit, reports its load with a delay, and exits on a prompt that contains
//! [`CRASH_MARKER`]. The answer is a function of the whole prompt, so a caller detects an
//! answer that was generated from the wrong conversation.

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

/// Text in a prompt that makes the engine process exit with an error.
pub const CRASH_MARKER: &str = "[[poison]]";

/// Text in a prompt that makes the engine ignore the token limit.
pub const OVERSHOOT_MARKER: &str = "[[overshoot]]";

/// Exit code of the process when it crashes on [`CRASH_MARKER`].
const CRASH_EXIT_CODE: i32 = 70;

/// Number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Time for which a stream can be resumed after its last token.
const STREAM_RETENTION: Duration = Duration::from_secs(20);

/// Maximum number of cache events that are retained; the oldest are dropped first.
const MAX_CACHE_EVENTS: usize = 4_096;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time to generate one token while at most [`Settings::slots`] streams run, in
    /// microseconds.
    pub token_us: u64,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us: u64,
    /// Number of streams that run at full speed; further streams slow all of them down.
    pub slots: u32,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Delay with which the load is reported, in milliseconds.
    pub report_lag_ms: u64,
    /// Every n-th cache event is lost, where n is this value; with 0 no event is lost.
    pub lose_event_every: u64,
    /// Whether orders with a stale fencing token are executed instead of rejected.
    pub ignores_fence: bool,
    /// URL of the weight store that loading a version requests, if any.
    pub weight_store: Option<String>,
    /// Path of the ledger file.
    pub ledger: PathBuf,
}

/// A model engine; clones share one state.
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
    /// Streams by id, until their retention time has passed.
    streams: BTreeMap<String, Stream>,
    /// Number of streams that are being generated.
    running: u32,
    sessions: BTreeMap<String, Session>,
    prefixes: BTreeMap<[u8; 32], Prefix>,
    cache_tokens: u64,
    /// Logical clock of prompts, for least-recently-used eviction.
    access_counter: u64,
    /// Earlier loads with their time, oldest first, for the delayed report.
    load_samples: VecDeque<(Instant, Load)>,
    is_leaving: bool,
    /// Fencing token of the last accepted order.
    fence: (u64, u64),
    version: String,
    events: VecDeque<CacheEvent>,
    event_count: u64,
}

struct Stream {
    tokens: Vec<String>,
    usage: Option<Usage>,
    is_cancelled: bool,
    ended_at: Option<Instant>,
}

/// Cached prompt prefixes of one program, each identified by its hash.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Session {
    prefixes: Vec<[u8; 32]>,
}

#[derive(Debug, Clone, Copy)]
struct Prefix {
    tokens: u64,
    last_access: u64,
}

/// Change of the cache, published with a delay and with gaps.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Consecutive number of the event; a gap shows lost events.
    pub number: u64,
    /// Program whose cached prefixes changed.
    pub session: String,
    /// Whether the program is in the cache after the event.
    pub is_held: bool,
}

/// Programs that have prefixes in the cache of an engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Sessions {
    /// Names of the programs, each prefixed with the deployment.
    pub sessions: Vec<String>,
}

/// Returns the `count` tokens of the answer to a prompt, each made of the prompt's digest.
pub fn answer_tokens(messages: &[Value], count: u64) -> Vec<String> {
    let text = serde_json::to_string(messages).unwrap_or_default();
    let digest = blake3::hash(text.as_bytes()).to_hex();
    (0..count).map(|index| format!("{}.{index} ", &digest[..12])).collect()
}

/// Returns the answer length that a prompt requests by a marker such as `[[n=12]]`, in tokens;
/// 8 without a marker.
pub fn requested_tokens(messages: &[Value]) -> u64 {
    let last = messages.last().map(ToString::to_string).unwrap_or_default();
    let marker = last.split("[[n=").nth(1).and_then(|rest| rest.split("]]").next());
    marker.and_then(|number| number.parse().ok()).unwrap_or(8)
}

impl Engine {
    /// Creates an engine that reports the given incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if the ledger file cannot be opened.
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

    /// Returns the routes of the engine's HTTP interface.
    pub fn router(&self) -> Router {
        let endpoint = |action| Endpoint { engine: self.clone(), action };
        Router::new()
            .push(Router::with_path(backend::COMPLETIONS).post(endpoint(Action::Complete)))
            .push(Router::with_path(backend::RESUME).post(endpoint(Action::Resume)))
            .push(Router::with_path(backend::CANCEL).post(endpoint(Action::Cancel)))
            .push(Router::with_path(backend::RELEASE).post(endpoint(Action::Release)))
            .push(Router::with_path(backend::LOAD).get(endpoint(Action::Load)))
            .push(Router::with_path(backend::ORDERS).post(endpoint(Action::Order)))
            .push(
                Router::with_path("v1/kv/{session}")
                    .get(endpoint(Action::Export))
                    .put(endpoint(Action::Import)),
            )
            .push(Router::with_path("v1/events").get(endpoint(Action::Events)))
            .push(Router::with_path("held").get(endpoint(Action::Sessions)))
            .push(Router::with_path("leave").post(endpoint(Action::Leave)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to generate a stream and returns its id.
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
            state.record_event(&completion.session, true);
            state.running += 1;
            let stream =
                Stream { tokens: Vec::new(), usage: None, is_cancelled: false, ended_at: None };
            state.streams.insert(id.clone(), stream);
            self.0.ledger.write(Event::Start {
                stream_id: id.clone(),
                session: completion.session.clone(),
                prompt_tokens,
                cached_tokens,
                known_tokens: known_tokens(&completion.messages),
            });
            if text.contains(CRASH_MARKER) {
                std::process::exit(CRASH_EXIT_CODE);
            }
            let engine = self.clone();
            tokio::spawn(engine.generate(completion, prompt_tokens, cached_tokens));
        }
        Ok(id)
    }

    /// Generates the tokens of a stream and removes it after [`STREAM_RETENTION`].
    async fn generate(self, completion: Completion, prompt_tokens: u64, cached_tokens: u64) {
        let settings = &self.0.settings;
        let prefill_us = settings.prefill_us * prompt_tokens.saturating_sub(cached_tokens);
        tokio::time::sleep(Duration::from_micros(prefill_us)).await;
        let requested = requested_tokens(&completion.messages);
        let ignores_limit =
            completion.messages.iter().any(|m| m.to_string().contains(OVERSHOOT_MARKER));
        let count = if ignores_limit { requested } else { requested.min(completion.max_tokens) };
        let mut generated = 0;
        for token in answer_tokens(&completion.messages, count) {
            let oversubscription =
                f64::from(self.state().running) / f64::from(settings.slots.max(1));
            let token_time =
                Duration::from_micros(settings.token_us).mul_f64(oversubscription.max(1.0));
            tokio::time::sleep(token_time).await;
            let mut state = self.state();
            let Some(stream) = state.streams.get_mut(&completion.stream_id) else {
                break;
            };
            if stream.is_cancelled {
                break;
            }
            stream.tokens.push(token);
            generated += 1;
            self.0.progress.notify_waiters();
        }
        self.finish_stream(
            &completion,
            Usage { prompt_tokens, completion_tokens: generated, cached_tokens },
        );
        tokio::time::sleep(STREAM_RETENTION).await;
        self.state().streams.remove(&completion.stream_id);
    }

    /// Marks a stream as ended and records its end in the ledger.
    fn finish_stream(&self, completion: &Completion, usage: Usage) {
        let mut state = self.state();
        state.running -= 1;
        if let Some(stream) = state.streams.get_mut(&completion.stream_id) {
            stream.usage = Some(usage);
            stream.ended_at = Some(Instant::now());
        }
        self.0.ledger.write(Event::Stop {
            stream_id: completion.stream_id.clone(),
            session: completion.session.clone(),
            completion_tokens: usage.completion_tokens,
        });
        self.0.progress.notify_waiters();
    }

    /// Waits for the event of a stream that follows `offset` tokens; `None` if the stream was
    /// cancelled or removed.
    async fn next_chunk(&self, id: &str, offset: u64) -> Option<Chunk> {
        loop {
            let notified = self.0.progress.notified();
            {
                let state = self.state();
                let stream = state.streams.get(id)?;
                let index = usize::try_from(offset).unwrap_or(usize::MAX);
                let stream_id = id.to_owned();
                if let Some(token) = stream.tokens.get(index) {
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
            // The timeout covers a notification that arrives between the check and the wait.
            let _ = tokio::time::timeout(Duration::from_millis(20), notified).await;
        }
    }

    /// Responds with the events of a stream that follow `from` tokens.
    fn write_stream(&self, response: &mut Response, id: String, from: u64) {
        let incarnation = HeaderValue::from(self.0.incarnation);
        response.headers_mut().insert("x-incarnation", incarnation);
        let first = Some((self.clone(), id, from));
        let events = stream::unfold(first, |state| async move {
            let (engine, id, offset) = state?;
            let chunk = engine.next_chunk(&id, offset).await?;
            let text = serde_json::to_string(&chunk).unwrap_or_default();
            let next = chunk.usage.is_none().then_some((engine, id, offset + 1));
            Some((Ok::<_, std::convert::Infallible>(format!("data: {text}\n\n")), next))
        });
        response.stream(events);
    }

    /// Returns the load as it was before the report delay.
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
        state.load_samples.push_back((now, load));
        while state.load_samples.len() > 1
            && state.load_samples.get(1).is_some_and(|(taken_at, _)| *taken_at + lag <= now)
        {
            state.load_samples.pop_front();
        }
        let load = state.load_samples.front().map_or(load, |(_, load)| *load);
        Report { load, version: state.version.clone() }
    }

    /// Loads the version of an order; rejects an order with a stale fencing token unless
    /// [`Settings::ignores_fence`] is set.
    async fn order(&self, order: Order) -> StatusCode {
        {
            let mut state = self.state();
            let is_stale = order.fence < state.fence;
            if is_stale && !self.0.settings.ignores_fence {
                return StatusCode::CONFLICT;
            }
            state.fence = order.fence;
        }
        if let Some(url) = &self.0.settings.weight_store {
            let response = self.0.http.post(url).send().await;
            if !response.is_ok_and(|response| response.status().is_success()) {
                return StatusCode::SERVICE_UNAVAILABLE;
            }
        }
        self.state().version.clone_from(&order.version);
        self.0.ledger.write(Event::Load { fence: order.fence, version: order.version });
        StatusCode::OK
    }

    /// Returns the cache events after number `from`, without lost events and without the two
    /// latest, which are published with a delay.
    fn events(&self, from: u64) -> Vec<CacheEvent> {
        let interval = self.0.settings.lose_event_every;
        let state = self.state();
        let published = state.event_count.saturating_sub(2);
        let is_published = |event: &&CacheEvent| {
            event.number > from
                && event.number <= published
                && (interval == 0 || !event.number.is_multiple_of(interval))
        };
        state.events.iter().filter(is_published).cloned().collect()
    }
}

impl State {
    /// Adds the prefixes of a prompt to the cache; returns the length of the longest prefix that
    /// was cached before, in tokens.
    fn admit(&mut self, completion: &Completion, limit: u64) -> u64 {
        self.access_counter += 1;
        let mut hasher = blake3::Hasher::new();
        let mut cached_tokens = 0;
        let mut is_prefix = true;
        let mut keys = Vec::new();
        for message in &completion.messages {
            let text = message.to_string();
            let tokens = (text.len() as u64).div_ceil(BYTES_PER_TOKEN);
            hasher.update(text.as_bytes());
            let key = *hasher.finalize().as_bytes();
            let is_cached = self.prefixes.contains_key(&key);
            is_prefix &= is_cached;
            if is_prefix {
                cached_tokens += tokens;
            }
            if !is_cached {
                self.cache_tokens += tokens;
            }
            self.prefixes.insert(key, Prefix { tokens, last_access: self.access_counter });
            keys.push(key);
        }
        self.sessions.insert(completion.session.clone(), Session { prefixes: keys });
        self.evict(limit);
        cached_tokens
    }

    /// Evicts the least recently used prefixes until the cache is within `limit` tokens.
    fn evict(&mut self, limit: u64) {
        while self.cache_tokens > limit {
            let oldest = self.prefixes.iter().min_by_key(|(_, prefix)| prefix.last_access);
            let Some((key, prefix)) = oldest.map(|(key, prefix)| (*key, *prefix)) else {
                return;
            };
            self.prefixes.remove(&key);
            self.cache_tokens -= prefix.tokens;
            self.sessions.retain(|_, session| {
                session.prefixes.retain(|prefix| *prefix != key);
                !session.prefixes.is_empty()
            });
        }
    }

    /// Removes the prefixes that no other program uses from the cache.
    fn release(&mut self, session: &str) {
        let Some(removed) = self.sessions.remove(session) else {
            return;
        };
        for key in removed.prefixes {
            let is_shared = self.sessions.values().any(|other| other.prefixes.contains(&key));
            if is_shared {
                continue;
            }
            if let Some(prefix) = self.prefixes.remove(&key) {
                self.cache_tokens -= prefix.tokens;
            }
        }
        self.record_event(session, false);
    }

    /// Appends a cache event, and drops the oldest beyond [`MAX_CACHE_EVENTS`].
    fn record_event(&mut self, session: &str, is_held: bool) {
        self.event_count += 1;
        let number = self.event_count;
        self.events.push_back(CacheEvent { number, session: session.to_owned(), is_held });
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Estimates the prompt tokens of earlier turns, which some engine has computed before.
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
    Sessions,
    Leave,
}

struct Endpoint {
    engine: Engine,
    action: Action,
}

#[handler]
impl Endpoint {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let engine = &self.engine;
        let status = match self.action {
            Action::Complete => match read_json::<Completion>(request).await {
                Ok(completion) => match engine.complete(completion) {
                    Ok(id) => return engine.write_stream(response, id, 0),
                    Err(status) => status,
                },
                Err(status) => status,
            },
            Action::Resume => match read_json::<Position>(request).await {
                Ok(position) if engine.state().streams.contains_key(&position.stream_id) => {
                    return engine.write_stream(response, position.stream_id, position.from);
                }
                Ok(_) => StatusCode::NOT_FOUND,
                Err(status) => status,
            },
            Action::Cancel => match read_json::<Position>(request).await {
                Ok(position) => {
                    if let Some(stream) = engine.state().streams.get_mut(&position.stream_id) {
                        stream.is_cancelled = true;
                    }
                    StatusCode::OK
                }
                Err(status) => status,
            },
            Action::Release => match read_json::<Release>(request).await {
                Ok(release) => {
                    engine.state().release(&release.session);
                    StatusCode::OK
                }
                Err(status) => status,
            },
            Action::Order => match read_json::<Order>(request).await {
                Ok(order) => engine.order(order).await,
                Err(status) => status,
            },
            Action::Import => {
                let session = request.param::<String>("session").unwrap_or_default();
                match read_json::<Session>(request).await {
                    Ok(imported) => {
                        engine.state().sessions.insert(session, imported);
                        StatusCode::OK
                    }
                    Err(status) => status,
                }
            }
            Action::Export => {
                let session = request.param::<String>("session").unwrap_or_default();
                match engine.state().sessions.get(&session).cloned() {
                    Some(exported) => return response.render(Json(exported)),
                    None => StatusCode::NOT_FOUND,
                }
            }
            Action::Load => return response.render(Json(engine.load())),
            Action::Events => {
                let from = request.query("from").unwrap_or(0);
                return response.render(Json(engine.events(from)));
            }
            Action::Sessions => {
                let sessions = engine.state().sessions.keys().cloned().collect();
                return response.render(Json(Sessions { sessions }));
            }
            Action::Leave => {
                engine.state().is_leaving = true;
                StatusCode::OK
            }
        };
        response.status_code(status);
    }
}

/// Deserializes the JSON body of a request; status 400 if it is too large or invalid.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    request: &mut Request,
) -> Result<T, StatusCode> {
    let bytes = request.payload_with_max_size(MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|_| StatusCode::BAD_REQUEST)?;
    serde_json::from_slice(bytes).map_err(|_| StatusCode::BAD_REQUEST)
}

impl Engine {
    /// Returns the time since the engine was created.
    pub fn uptime(&self) -> Duration {
        self.0.start.elapsed()
    }
}
