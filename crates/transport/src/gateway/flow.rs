//! Handling of one caller's request, from its head to the start of the response.
//!
//! A handler reads the body, begins the program's turn, dispatches the request to a backend
//! server and hands the response to a [`Relay`]. A request that cannot be forwarded is answered
//! with a [`Refusal`].

use crate::body::{self, Extra};
use crate::clock::millis;
use crate::connections::{Busy, Connection};
use crate::gateway::attempt::Attempt;
use crate::gateway::awaited::Earlier;
use crate::gateway::dialect::{Metadata, Refusal};
use crate::gateway::entry::Entry;
use crate::gateway::events::Parser;
use crate::gateway::forward;
use crate::gateway::headers;
use crate::gateway::loss::Subject;
use crate::gateway::origin::Versions;
use crate::gateway::relay::{Abort, Body, Draft, Params, Progress, Relay};
use crate::gateway::sending::Outbound;
use crate::gateway::server::{Phase, wait_for_phase};
use crate::gateway::turns::{Admission, Turn};
use crate::gateway::usage::Permit;
use crate::memory::{Grant, Kind as Purpose};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, request};
use http_body::Body as _;
use hyper::body::Incoming;
use protocol::organisations::{KeyDigest, Organisation};
use protocol::routes::{Route, Table};
use rand::Rng;
use state::error::Kind;
use state::turn::{Assignment, Begin, Need, Reservation, Start};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Retry time in refusals for lack of a usable backend server: roughly the duration of one
/// turn, after which a slot becomes free.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Retry time in refusals because the program journal did not respond: roughly the duration
/// of one leader election.
pub(super) const JOURNAL_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Timeout for the program journal, and retry time in refusals, while this instance is
/// isolated from both the journal and the control instances. Both are short so that the
/// caller soon turns to an instance that is connected.
const ISOLATED_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout for the program journal, as a fraction of the time remaining until the deadline.
pub(super) const JOURNAL_SHARE: f64 = 0.5;

/// Assumed timeout of a request that names none, before its route is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Memory for the events of a turn that is retained, which is set aside before the turn is sent: more
/// than those of the longest ordinary turns, in all their copies.
const RETAINED_EVENTS_BYTES: usize = 32 * 1024;

/// Guard that counts a request as in flight until it is dropped.
struct InFlight(Arc<Entry>);

impl InFlight {
    fn new(entry: &Arc<Entry>) -> Self {
        entry.under_way.fetch_add(1, Ordering::Relaxed);
        entry.metrics.under_way.inc();
        Self(entry.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, Ordering::Relaxed);
        self.0.metrics.under_way.dec();
    }
}

/// Reason why a request got no response from a backend server.
pub(super) enum Error {
    /// The gateway answers the request itself.
    Refused(Refusal),
    /// The connection to the caller ends without a response.
    Aborted(Abort),
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Handles one request of a caller and returns the response.
pub(crate) async fn respond(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    source: Source,
    connection: Arc<Connection>,
) -> Result<Response<Body>, Abort> {
    let in_flight = InFlight::new(&entry);
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = entry.adapter.metadata(&head);
    // A caller that waits for an interim response is refused before it sends the body.
    let awaits_continue = head.headers.contains_key(header::EXPECT);
    let id = metadata.as_ref().map(|metadata| metadata.id.clone()).unwrap_or_default();
    // A request without a body is complete, whatever it waits for.
    let busy = body.is_end_stream().then(|| connection.busy());
    let mut handler = Handler {
        progress: Progress {
            entry: entry.clone(),
            id,
            route: String::new(),
            version: 0,
            attempts: 0,
            started,
            list_age_ms: 0,
        },
        entry: entry.clone(),
        may_have_executed: false,
        is_sent: AtomicBool::new(false),
        versions: Versions::Any,
        source,
        organisation: None,
        permit: None,
        checks_keys: false,
        key: None,
        connection,
        body: Some(body),
        busy,
    };
    let outcome = match metadata {
        Ok(metadata) => handler.handle_until_stopped(&metadata, head).await,
        Err(refusal) => Err(Error::Refused(refusal)),
    };
    match outcome {
        Ok(answered) => Ok(handler.relay(answered, in_flight)),
        Err(Error::Refused(refusal)) => {
            let id = Some(handler.progress.id.as_str()).filter(|id| !id.is_empty());
            let mut response = entry.adapter.refusal_response(id, &refusal);
            if let Some(body) = handler.body.take()
                && (awaits_continue || !body::drop_rest(body).await)
            {
                handler.connection.leave_body();
            }
            let is_body_unread = handler.connection.has_unread_body();
            if is_body_unread {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            let kind = format!("{:?}", refusal.kind);
            handler.count_refusal(&kind);
            tracing::info!(
                request = handler.progress.id,
                kind,
                detail = refusal.detail,
                retry_ms = refusal.retry_after.map(millis),
                is_body_unread,
                "request refused"
            );
            handler.progress.record_end(&kind, response.status().as_u16(), None);
            Ok(response.map(Body::Local))
        }
        Err(Error::Aborted(abort)) => {
            handler.progress.record_end("caller broke off", 0, None);
            Err(abort)
        }
    }
}

/// State of a request that is being handled.
pub(super) struct Handler {
    pub(super) entry: Arc<Entry>,
    pub(super) progress: Progress,
    /// Whether a backend server may have executed an attempt that got no response.
    pub(super) may_have_executed: bool,
    /// Whether the request was sent to a backend server or another entry.
    pub(super) is_sent: AtomicBool,
    /// Software versions of the backend servers that the request may be sent to.
    pub(super) versions: Versions,
    pub(super) source: Source,
    /// Organisation whose key the caller presented; `None` if no keys are checked.
    pub(super) organisation: Option<Arc<Organisation>>,
    /// Permission within the limit of the organisation; `None` without a limit.
    pub(super) permit: Option<Permit>,
    /// Whether keys are checked, on this route or others.
    pub(super) checks_keys: bool,
    /// Digest of the key by which `organisation` was found.
    pub(super) key: Option<KeyDigest>,
    /// Connection of the caller.
    connection: Arc<Connection>,
    /// Body of the request until it is read.
    body: Option<Incoming>,
    /// Marks the connection as one that is needed, from the end of the request body on.
    busy: Option<Busy>,
}

/// Who sent a request to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// A caller.
    Callers,
    /// Another entry, which forwards the request of a caller.
    Entries,
}

/// Result of beginning a turn; empty for requests that are not turns.
#[derive(Default)]
struct Begun {
    turn: Option<Turn>,
    /// Content of the preceding turns, followed by the request body; `None` if there are none.
    content: Option<Bytes>,
    /// Id of the backend server that executed the program's previous turn and may hold its
    /// cache.
    holder: Option<String>,
    /// Origin of the turn's stream.
    stream: Option<Assignment>,
}

/// A backend server's response, with what is needed to relay it.
pub(super) struct Answered {
    response: Response<Incoming>,
    attempt: Attempt,
    turn: Option<Turn>,
    draft: Option<Draft>,
    is_stream: bool,
    tokens_per_event: u64,
    /// Maximum number of events of a stream.
    max_events: u64,
    deadline: Instant,
}

impl Answered {
    /// Wraps the response of another entry, which has handled the request in full.
    pub(super) fn forwarded(
        response: Response<Incoming>,
        attempt: Attempt,
        is_stream: bool,
        deadline: Instant,
    ) -> Self {
        Self {
            response,
            attempt,
            turn: None,
            draft: None,
            is_stream,
            tokens_per_event: 0,
            max_events: u64::MAX,
            deadline,
        }
    }
}

impl Handler {
    /// Handles the request, unless this entry stops. A request that arrives when no more are sent on
    /// is refused; one without a response at the end of the stop is answered.
    async fn handle_until_stopped(
        &mut self,
        metadata: &Metadata,
        head: request::Parts,
    ) -> Result<Answered, Error> {
        let mut phase = self.entry.stop.subscribe();
        if *phase.borrow() >= Phase::Closed {
            return Err(Refusal::new(Kind::Stopping, "this instance is stopping").into());
        }
        let handled = tokio::select! {
            handled = self.handle(metadata, head) => Some(handled),
            () = wait_for_phase(&mut phase, Phase::Ended) => None,
        };
        handled.unwrap_or_else(|| {
            let refusal = match self.is_sent.load(Ordering::Relaxed) {
                true => Refusal::new(Kind::Unknown, "this instance stopped before a response"),
                false => Refusal::new(Kind::Stopping, "this instance is stopping"),
            };
            Err(refusal.into())
        })
    }

    /// Reads the body, begins the turn and dispatches the request.
    async fn handle(
        &mut self,
        metadata: &Metadata,
        head: request::Parts,
    ) -> Result<Answered, Error> {
        let remaining = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let Some(table) = self.entry.await_start(&metadata.id, remaining).await else {
            return Err(
                Refusal::retryable(Kind::Unavailable, RETRY_AFTER, "no configuration yet").into()
            );
        };
        self.progress.version = table.version();
        let Some(route) = table.find(&metadata.host, head.uri.path()).cloned() else {
            return Err(Refusal::new(Kind::NotFound, "no route matches this host and path").into());
        };
        self.progress.route.clone_from(&route.name);
        self.authenticate(&table, &route, &head.headers)?;
        let scoped = self.scope(metadata);
        let metadata = scoped.as_ref();
        let timeout = metadata.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let deadline = self.progress.started + timeout;
        if !self.should_forward() {
            self.admit(metadata, &route)?;
        }
        let extra = match route.retains_turns {
            true => Extra { copies: 1, bytes: RETAINED_EVENTS_BYTES },
            false => Extra::default(),
        };
        let limit = table.limits().body_bytes;
        let (body, record) = self.read_body(limit, extra, deadline).await?;
        if self.should_forward()
            && let Some(answered) = self.forward(metadata, &route, &head, &body, deadline).await?
        {
            return Ok(answered);
        }
        self.admit(metadata, &route)?;
        let service = route.pick(rand::rng().next_u64());
        self.await_versions(metadata, &route, service, deadline).await?;
        let start = self.start_of_stream(metadata, &route, service)?;
        let begun = self.begin(metadata, &route, start, &body, deadline).await?;
        let service = self.bind_to_origin(metadata, &route, service, begun.stream)?;
        let Begun { mut turn, content, holder, .. } = begun;
        let caller = metadata.program.as_ref().or(metadata.session.as_ref());
        let subject = Arc::new(Subject {
            method: head.method.clone(),
            host: self.scope_id(&metadata.host),
            path: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            body: content.unwrap_or_else(|| body.clone()),
            caller: caller.cloned(),
        });
        let outbound = Outbound {
            metadata,
            route: &route,
            service: &service,
            head: &head,
            subject,
            last_server: holder.as_deref(),
            turn: turn.as_ref(),
            deadline,
        };
        let mut earlier = Earlier::default();
        let answer = match self.dispatch(&outbound, &mut earlier).await? {
            Some(answer) => answer,
            None => {
                let turn = turn.as_mut();
                let forwarding = self.forward_begun(metadata, &route, &head, &body, deadline, turn);
                match earlier.beside(forwarding).await {
                    Ok(Ok(answered)) => return Ok(answered),
                    Ok(Err(error)) => earlier.answer_until(deadline).await.ok_or(error)?,
                    Err(answer) => answer,
                }
            }
        };
        let (response, attempt) = answer;
        if let Some(turn) = &mut turn {
            turn.server = Some(attempt.server.id.clone());
        }
        let draft = route.retains_turns.then(|| Draft {
            previous: metadata.previous.clone(),
            input: body,
            retention: route.retention,
            grant: record,
        });
        let tokens_per_event = tokens_per_event(&table, &service);
        let max_tokens = metadata.budget.map(|budget| budget.max);
        let max_events = max_tokens.and_then(|tokens| max_events(tokens, tokens_per_event));
        Ok(Answered {
            response,
            attempt,
            turn,
            draft,
            is_stream: route.is_stream,
            tokens_per_event,
            max_events: max_events.unwrap_or(u64::MAX),
            deadline,
        })
    }

    /// Reads the body, and takes the `extra` memory. The connection does not make room for
    /// others from then on.
    async fn read_body(
        &mut self,
        limit: usize,
        extra: Extra,
        deadline: Instant,
    ) -> Result<(Bytes, Grant), Error> {
        let budget = &self.entry.member.budget;
        let Some(body) = self.body.take() else {
            return Ok((Bytes::new(), budget.grant(Purpose::Record)));
        };
        let error = match body::read_with(budget, body, limit, extra, deadline).await {
            Ok(body) => {
                self.busy.get_or_insert_with(|| self.connection.busy());
                return Ok(body);
            }
            Err(body::Error::Lost) => return Err(Error::Aborted(Abort::Caller)),
            Err(error) => error,
        };
        self.connection.leave_body();
        let detail = error.to_string();
        Err(match error {
            body::Error::TooLarge(_) => Refusal::new(Kind::TooLarge, detail),
            body::Error::Late => Refusal::new(Kind::SlowSender, detail),
            _ => Refusal::retryable(Kind::Overloaded, RETRY_AFTER, detail),
        }
        .into())
    }

    /// Forwards a request whose turn has begun. The other entry finds that and ends the turn.
    async fn forward_begun(
        &mut self,
        metadata: &Metadata,
        route: &Route,
        head: &request::Parts,
        body: &Bytes,
        deadline: Instant,
        mut turn: Option<&mut Turn>,
    ) -> Result<Answered, Error> {
        if let Some(turn) = &mut turn {
            turn.hand_over();
        }
        let forwarded = self.forward(metadata, route, head, body, deadline).await?;
        if let (None, Some(turn)) = (&forwarded, &mut turn) {
            turn.take_back();
        }
        forwarded.ok_or_else(|| self.refuse("no backend server and no other entry is reached"))
    }

    /// Begins a turn if the request reserves tokens or its route retains turns.
    async fn begin(
        &self,
        metadata: &Metadata,
        route: &Route,
        start: Option<Start>,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Begun, Error> {
        let reservation = match (&metadata.program, metadata.budget) {
            (Some(id), Some(budget)) if route.is_stream => {
                Some(Reservation { program: id.clone(), budget: budget.total, tokens: budget.max })
            }
            _ => None,
        };
        let previous = metadata.previous.clone().filter(|_| route.retains_turns);
        if reservation.is_none() && !route.retains_turns && start.is_none() {
            return Ok(Begun::default());
        }
        let need = match route.retains_turns {
            true => Need::Retained(body.len() as u64),
            false => Need::Nothing,
        };
        let begin = Begin {
            turn: self.scope_id(&metadata.id),
            reservation,
            previous: previous.clone(),
            retention_ms: millis(route.retention),
            start,
            now_ms: 0,
        };
        let started = Instant::now();
        let remaining = deadline.saturating_duration_since(started).mul_f64(JOURNAL_SHARE);
        let is_isolated = self.entry.is_isolated();
        let timeout = if is_isolated { remaining.min(ISOLATED_TIMEOUT) } else { remaining };
        let (turn, admission) = Turn::begin(&self.entry.member, begin, need, timeout).await;
        let is_unreachable = matches!(admission, Err(_) | Ok(Admission::Refused));
        self.entry.is_journal_unreachable.store(is_unreachable, Ordering::Relaxed);
        self.entry.metrics.journal.observe(started.elapsed().as_secs_f64());
        match admission {
            Ok(Admission::Open { prior, holder, stream }) => {
                let content = match previous {
                    Some(previous) => self.content(&previous, prior, body, deadline).await?,
                    None => None,
                };
                Ok(Begun { turn: Some(turn), content, holder, stream })
            }
            Ok(Admission::NoRoom { retry_after, .. }) => {
                let detail = "the journal has no room to retain the turn";
                Err(Refusal::retryable(Kind::Unavailable, retry_after, detail).into())
            }
            Ok(Admission::Refused) => {
                let detail = "the journal is behind, or has no leader";
                Err(Refusal::retryable(Kind::Unavailable, JOURNAL_RETRY_AFTER, detail).into())
            }
            Ok(Admission::UnknownStream) => {
                Err(self.refuse_resumption("unknown", "the origin of the stream is not known"))
            }
            Ok(Admission::Exhausted { remaining }) => {
                let detail =
                    format!("{remaining} tokens remain in the budget, the turn may use more");
                Err(Refusal::new(Kind::BudgetExhausted, detail).into())
            }
            Ok(Admission::UnknownTurn) => {
                Err(Refusal::new(Kind::UnknownCall, "the turn to continue from is not retained")
                    .into())
            }
            Err(error) => {
                let pause = if is_isolated { ISOLATED_TIMEOUT } else { JOURNAL_RETRY_AFTER };
                Err(Refusal::retryable(Kind::Unavailable, pause, error.to_string()).into())
            }
        }
    }

    /// Builds the response to the caller, whose body is relayed as it arrives.
    fn relay(self, answered: Answered, in_flight: InFlight) -> Response<Body> {
        let Answered { response, attempt, turn, draft, is_stream, .. } = answered;
        let (mut head, body) = response.into_parts();
        let original = std::mem::take(&mut head.headers);
        head.headers = headers::end_to_end(&original);
        let is_event_stream =
            is_stream && head.status.is_success() && headers::may_be_event_stream(&original);
        if self.source == Source::Entries {
            forward::name_server(&mut head.headers, &attempt.server.id);
        }
        if draft.is_some() || is_event_stream {
            // The body may end only after the turn is recorded and the last event is complete.
            // With a content length, the caller would take the last byte for the end.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let is_length_relayed = head.headers.contains_key(header::CONTENT_LENGTH);
        self.entry.metrics.first_byte.observe(self.progress.started.elapsed().as_secs_f64());
        let mut progress = self.progress;
        progress.attempts += 1;
        let relay = Relay::new(Params {
            progress,
            status: head.status.as_u16(),
            headers: original,
            is_length_relayed,
            is_event_stream,
            body,
            attempt,
            events: is_stream.then(|| Parser::new(answered.max_events, draft.is_some())),
            tokens_per_event: answered.tokens_per_event,
            turn,
            draft,
            deadline: answered.deadline,
            in_flight: Box::new((in_flight, self.busy)),
        });
        Response::from_parts(head, Body::Relay(Box::new(relay)))
    }
}

fn tokens_per_event(table: &Table, service: &str) -> u64 {
    table.service(service).map_or(0, |service| service.tokens_per_event)
}

/// Returns the number of events that a turn of at most `max_tokens` can have; `None` if that is
/// unknown.
fn max_events(max_tokens: u64, tokens_per_event: u64) -> Option<u64> {
    let is_known = max_tokens > 0 && tokens_per_event > 0;
    is_known.then(|| max_tokens.div_ceil(tokens_per_event))
}
