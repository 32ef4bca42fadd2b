//! Dispatch of a request to backend servers until one responds.
//!
//! A request that was not executed may be sent to another server, up to the route's maximum
//! number of attempts. A request that may have been executed is sent to another server only
//! if the route allows repetition.

use crate::clock::millis;
use crate::gateway::attempt::Attempt;
use crate::gateway::awaited::{Answer, Awaited, Earlier};
use crate::gateway::dialect::{Dispatch, Metadata, Refusal, Verdict};
use crate::gateway::flow::{Error, Handler, RETRY_AFTER};
use crate::gateway::headers;
use crate::gateway::loss::{Loss, Subject};
use crate::gateway::origin::Versions;
use crate::gateway::pool::{Connection, SendError};
use crate::gateway::timeouts::Timeout;
use crate::gateway::turns::Turn;
use crate::gateway::waiter::Waiter;
use bytes::Bytes;
use coordination::placement::{Affinity, Listing, Outcome, Query};
use coordination::waiting::{Class, Ticket};
use http::{HeaderMap, Request, Response, header, request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use protocol::routes::{Retry, Route};
use rand::RngExt;
use state::error::Kind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of servers per request that may turn out to be unreachable or replaced.
/// They do not execute the request and do not count as attempts.
const MAX_SKIPPED: u32 = 3;

/// Maximum retry time in refusals for lack of a usable server. Callers honour a third of their
/// remaining time at most.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Pause before placement is tried again if no server is usable: a few steps of an engine.
const PLACEMENT_RETRY_PAUSE: Duration = Duration::from_millis(15);

/// Maximum wait for a usable server, as a fraction of the time remaining until the deadline.
/// A full server is usable again after some engine steps, and waiting is better than a
/// refusal: a program ends when a call of it is refused twice.
pub(super) const PLACEMENT_SHARE: f64 = 0.3;

/// The same for a request that begins a program. The time of the whole program runs while it
/// waits, so it should rather come back or go elsewhere soon.
const NEW_PLACEMENT_SHARE: f64 = 0.1;

/// Minimum time remaining for a request to be sent to a backend server.
pub(super) const MIN_DISPATCH_TIME: Duration = Duration::from_millis(15);

/// Timeout for reading the rest of a refusal from a backend server, so that the connection
/// can be reused.
const BODY_DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum length of the rest of a refusal that is read, in bytes. The connection is closed if
/// there is more.
const BODY_DRAIN_BYTES: usize = 16 * 1024;

/// An outbound request, with what its attempts have in common.
pub(super) struct Outbound<'a> {
    pub(super) metadata: &'a Metadata,
    pub(super) route: &'a Route,
    pub(super) service: &'a str,
    pub(super) head: &'a request::Parts,
    pub(super) subject: Arc<Subject>,
    /// Id of the backend server that executed the program's previous turn.
    pub(super) last_server: Option<&'a str>,
    /// The turn that the request is, if it is one.
    pub(super) turn: Option<&'a Turn>,
    pub(super) deadline: Instant,
}

impl Outbound<'_> {
    /// Which servers are faster for the request. The object is more specific than the program, whose
    /// requests may be about many.
    fn affinity(&self) -> Affinity<'_> {
        let metadata = self.metadata;
        if !self.route.is_sticky {
            return Affinity::None;
        }
        if let Some(object) = metadata.object {
            return Affinity::Object(object);
        }
        let session = metadata.program.as_deref().or(metadata.session.as_deref());
        session.map_or(Affinity::None, Affinity::Session)
    }
}

/// Result of one attempt.
enum AttemptResult {
    Answered(Box<Answer>),
    /// The request may be sent elsewhere while this attempt goes on.
    Left(Box<Awaited>),
    /// The server is unreachable or replaced; the request was not executed.
    Unavailable,
    /// The server has no free slot; the request was not executed.
    Full,
    /// The request must not be sent any more; this attempt was not.
    Refused(Refusal),
    /// No usable response arrived; the request may have been executed. Carries the cause.
    NoResponse(String),
    /// The deadline of the request has passed; the request may have been executed.
    DeadlineExceeded,
}

impl Handler {
    /// Sends the request to one backend server after another until one responds; `None` if it
    /// should be forwarded to another entry instead. Attempts that it has left go on meanwhile.
    pub(super) async fn dispatch(
        &mut self,
        outbound: &Outbound<'_>,
        earlier: &mut Earlier,
    ) -> Result<Option<Answer>, Error> {
        let mut attempted: Vec<String> = Vec::new();
        let mut skipped = 0;
        loop {
            let is_alone = earlier.is_empty();
            let step = earlier.beside(self.try_next(outbound, &mut attempted)).await;
            let result = match step {
                Ok(Ok(Some(result))) => result,
                Ok(Ok(None)) => return Ok(None),
                Ok(Err(error)) => {
                    return earlier.answer_until(outbound.deadline).await.ok_or(error).map(Some);
                }
                Err(answer) => return Ok(Some(answer)),
            };
            if matches!(result, AttemptResult::Unavailable | AttemptResult::Full) && is_alone {
                self.set_permit_used(false);
            }
            let ended = match result {
                AttemptResult::Answered(answered) => {
                    if matches!(self.versions, Versions::Only(_)) {
                        self.entry.metrics.resumption("answered");
                    }
                    return Ok(Some(*answered));
                }
                AttemptResult::Unavailable
                    if self.should_forward_after_attempts(outbound.route) =>
                {
                    return Ok(None);
                }
                AttemptResult::Unavailable if skipped < MAX_SKIPPED => {
                    skipped += 1;
                    Ok(())
                }
                AttemptResult::Unavailable => {
                    Err(self.refuse("no backend server could be reached"))
                }
                AttemptResult::Full => {
                    self.progress.attempts += 1;
                    match self.progress.attempts < outbound.route.max_attempts {
                        true => Ok(()),
                        false => Err(self.refuse("the backend server has no free slot")),
                    }
                }
                AttemptResult::Left(awaited) => {
                    let is_stream = outbound.route.is_stream;
                    earlier.push(*awaited, &self.entry, &outbound.metadata.id, is_stream);
                    if self.count_attempt(outbound) {
                        return Ok(None);
                    }
                    self.check_attempts(outbound, "the backend server did not respond".to_owned())
                }
                AttemptResult::NoResponse(detail) => {
                    if self.count_attempt(outbound) {
                        return Ok(None);
                    }
                    self.check_attempts(outbound, detail)
                }
                AttemptResult::Refused(refusal) => Err(refusal.into()),
                AttemptResult::DeadlineExceeded => {
                    let detail = "the backend server did not respond before the deadline";
                    Err(Refusal::new(Kind::Unknown, detail).into())
                }
            };
            if let Err(error) = ended {
                return earlier.answer_until(outbound.deadline).await.ok_or(error).map(Some);
            }
        }
    }

    /// Chooses the next backend server and makes an attempt there; `None` if the request should be
    /// forwarded to another entry instead.
    async fn try_next(
        &mut self,
        outbound: &Outbound<'_>,
        attempted: &mut Vec<String>,
    ) -> Result<Option<AttemptResult>, Error> {
        self.check_quarantine(outbound)?;
        let Some(attempt) = self.choose_server(outbound, attempted).await? else {
            return Ok(None);
        };
        // Waiting for a server takes time, in which the content may be quarantined.
        self.check_quarantine(outbound)?;
        attempted.push(attempt.server.id.clone());
        Ok(Some(self.attempt(outbound, attempt, attempted).await))
    }

    /// Counts an attempt that may have been executed; whether the request should be forwarded now.
    fn count_attempt(&mut self, outbound: &Outbound<'_>) -> bool {
        self.may_have_executed = true;
        self.progress.attempts += 1;
        self.should_forward_after_attempts(outbound.route)
    }

    /// Checks that the request may be sent once more after an attempt that may have been executed.
    fn check_attempts(&mut self, outbound: &Outbound<'_>, detail: String) -> Result<(), Error> {
        let may_repeat = outbound.route.retry == Retry::Always;
        if !may_repeat || self.progress.attempts >= outbound.route.max_attempts {
            return Err(Refusal::new(Kind::Failed, detail).into());
        }
        self.renew_permit()?;
        Ok(())
    }

    /// Refuses content that crashes backend servers.
    pub(super) fn check_quarantine(&self, outbound: &Outbound<'_>) -> Result<(), Error> {
        let quarantine = &self.entry.member.quarantine;
        if quarantine.lock().is_ok_and(|quarantine| quarantine.is_empty()) {
            return Ok(());
        }
        let (now, content) = (self.entry.now(), outbound.subject.content());
        let remaining = quarantine.lock().ok().and_then(|q| q.remaining(now, &content));
        let Some(remaining) = remaining else {
            return Ok(());
        };
        let is_held = quarantine.lock().is_ok_and(|quarantine| quarantine.is_held(&content));
        let fate = if is_held { "are silent" } else { "ended" };
        let detail = format!("backend servers {fate} while they executed content {content}");
        if self.may_have_executed {
            return Err(Refusal::new(Kind::Failed, detail).into());
        }
        let remaining = Duration::from_millis(remaining);
        Err(Refusal::retryable(Kind::Quarantined, remaining, detail).into())
    }

    /// Returns a refusal, which is retryable only if no server can have executed the request.
    pub(super) fn refuse(&self, detail: &str) -> Error {
        if self.may_have_executed {
            return Refusal::new(Kind::Failed, detail).into();
        }
        Refusal::retryable(Kind::Overloaded, RETRY_AFTER, detail).into()
    }

    /// Returns a refusal of a request that was not executed and would have to wait for `expected`.
    fn refuse_for(&self, detail: &str, expected: Duration) -> Error {
        if self.may_have_executed {
            return self.refuse(detail);
        }
        // The jitter keeps callers that were refused together from returning together.
        let pause = expected.clamp(RETRY_AFTER, MAX_RETRY_AFTER);
        let pause = pause.mul_f64(rand::rng().random_range(0.75..1.25));
        Refusal::retryable(Kind::Overloaded, pause, detail).into()
    }

    /// Chooses a backend server and begins an attempt there; waits for a limited time if none is
    /// usable, unless the wait is expected to be longer. Returns `None` if the request should be
    /// forwarded to another entry instead.
    async fn choose_server(
        &mut self,
        outbound: &Outbound<'_>,
        attempted: &[String],
    ) -> Result<Option<Attempt>, Error> {
        let is_resumption = matches!(self.versions, Versions::Only(_));
        let is_new = outbound.route.is_stream && outbound.last_server.is_none() && !is_resumption;
        let query = Query {
            service: outbound.service,
            affinity: outbound.affinity(),
            shared_prompt: outbound.metadata.shared_prompt,
            last_server: outbound.last_server,
            is_new,
            attempted,
            software_version: None,
            is_resumption,
        };
        let class = Class { priority: self.priority(outbound.route), is_new };
        if let Some(attempt) = self.place(outbound, &query, class, None).await? {
            return Ok(Some(attempt));
        }
        let arrived = Instant::now();
        let remaining = outbound.deadline.saturating_duration_since(arrived);
        let share = match is_new {
            // It can't come back: a refusal would not be true.
            _ if self.may_have_executed => 1.0,
            true => NEW_PLACEMENT_SHARE,
            false => PLACEMENT_SHARE,
        };
        let limit = remaining.mul_f64(share);
        let waiter = match Waiter::join(&self.entry, outbound.service, class, limit) {
            Ok(waiter) => waiter,
            Err(expected) => {
                let (service, ms) = (outbound.service, millis(expected));
                let detail =
                    format!("no backend server of service {service} is usable for {ms} ms");
                let detail = detail + &self.entry.explain_limits(service);
                return Err(self.refuse_for(&detail, expected));
            }
        };
        while arrived.elapsed() < limit {
            tokio::time::sleep(PLACEMENT_RETRY_PAUSE).await;
            let ticket = Some(waiter.ticket);
            if let Some(attempt) = self.place(outbound, &query, class, ticket).await? {
                return Ok(Some(attempt));
            }
            if self.should_forward_after_attempts(outbound.route) {
                return Ok(None);
            }
        }
        let detail = format!("no backend server of service {} is usable", outbound.service);
        Err(self.refuse(&(detail + &self.entry.explain_limits(outbound.service))))
    }

    /// Begins an attempt on a backend server of a version that the request may be sent to, if there
    /// is room for it. A stream that begins at another version than the recorded one is recorded
    /// again first.
    async fn place(
        &mut self,
        outbound: &Outbound<'_>,
        query: &Query<'_>,
        class: Class,
        ticket: Option<Ticket>,
    ) -> Result<Option<Attempt>, Error> {
        let version = match &self.versions {
            Versions::Any => None,
            Versions::Only(version) => Some(version.clone()),
            Versions::Recorded(recorded) => {
                recorded.as_ref().map(|recorded| recorded.origin.software_version.clone())
            }
        };
        let software_version = version.as_deref();
        let bound = Query { software_version, ..*query };
        match &self.versions {
            Versions::Any => return Ok(self.begin_attempt(query, class, ticket)),
            Versions::Only(version) => {
                let has_candidate =
                    self.entry.fleet.lock().is_ok_and(|fleet| fleet.has_candidate(&bound));
                if !has_candidate {
                    let detail = format!(
                        "no further backend server of service {} has version {version}, which began \
                         the stream",
                        query.service
                    );
                    return Err(self.refuse_resumption("gone", &detail));
                }
                return Ok(self.begin_attempt(&bound, class, ticket));
            }
            Versions::Recorded(_) => {}
        }
        if version.is_some()
            && let Some(attempt) = self.begin_attempt(&bound, class, ticket)
        {
            return Ok(Some(attempt));
        }
        let Some(attempt) = self.begin_attempt(query, class, ticket) else {
            return Ok(None);
        };
        self.record_origin(outbound, &attempt.server).await?;
        Ok(Some(attempt))
    }

    /// Begins an attempt on a backend server, if there is room for the request after those that
    /// go before it.
    fn begin_attempt(
        &mut self,
        query: &Query<'_>,
        class: Class,
        ticket: Option<Ticket>,
    ) -> Option<Attempt> {
        let now = self.entry.now();
        let mut fleet = self.entry.fleet.lock().ok()?;
        self.progress.list_age_ms = fleet.list_age(now).unwrap_or(0);
        let mut queues = self.entry.queues.lock().ok()?;
        let queue = queues.get(query.service);
        let ahead = queue.map_or(0, |queue| queue.ahead(now, class, ticket));
        if fleet.room(now, query) as usize <= ahead {
            return None;
        }
        let server = fleet.choose(now, query)?.clone();
        fleet.begin(now, &server.id);
        queues.entry(query.service.to_owned()).or_default().depart(now, class);
        Some(Attempt::new(&self.entry, server))
    }

    /// Makes one attempt. If a pooled connection turns out to be closed before
    /// anything was sent, the attempt goes on with another connection.
    async fn attempt(
        &self,
        outbound: &Outbound<'_>,
        mut attempt: Attempt,
        attempted: &[String],
    ) -> AttemptResult {
        let (id, address) = (attempt.server.id.clone(), attempt.server.address.clone());
        let server_version = attempt.server.software_version.clone();
        attempt.subject = Some(outbound.subject.clone());
        attempt.is_before_stream = outbound.route.is_stream;
        let resumption = outbound.metadata.resumption.as_ref();
        let resumes = resumption.map(|resumption| resumption.origin.as_deref().unwrap_or_default());
        loop {
            let Some((connection, is_new)) = self.connect(outbound, &attempt.server).await else {
                attempt.end(Outcome::Failed);
                return AttemptResult::Unavailable;
            };
            let remaining = outbound.deadline.saturating_duration_since(Instant::now());
            if remaining < MIN_DISPATCH_TIME {
                return AttemptResult::Unavailable;
            }
            if let Err(refusal) = self.check_key_again() {
                return AttemptResult::Refused(refusal);
            }
            let identity = self.identity();
            let dispatch = Dispatch { id: &outbound.metadata.id, server: &id, remaining, identity };
            let Some(request) = self.build_request(outbound, &dispatch) else {
                return AttemptResult::Unavailable;
            };
            let (load, rate_limit) = self.entry.load_and_limit(&id);
            let crossing = self.crossing(outbound, &attempt.server);
            tracing::info!(
                request = outbound.metadata.id,
                server = id,
                address,
                server_version,
                resumes,
                object = outbound.metadata.object.map(|object| format!("{object:016x}")),
                is_last_server = outbound.last_server == Some(id.as_str()),
                crossing,
                load,
                rate_limit = rate_limit.map(|limit| limit.per_second),
                rate_share = rate_limit.map(|limit| limit.share),
                rate_limit_age_ms = rate_limit.map(|limit| limit.age_ms),
                attempt = self.progress.attempts + 1,
                new_connection = is_new,
                remaining_ms = millis(remaining),
                list_age_ms = self.progress.list_age_ms,
                "request sent"
            );
            self.is_sent.store(true, Ordering::Relaxed);
            self.set_permit_used(true);
            let peer = connection.peer.clone();
            attempt.register(&outbound.metadata.id, &connection);
            let mut awaited = Awaited::new(attempt, connection, request);
            let sent = self.wait(outbound, awaited.response(), remaining, attempted, &peer).await;
            if matches!(sent, Err(Timeout::Attempt | Timeout::Partition | Timeout::Silence)) {
                return AttemptResult::Left(Box::new(awaited));
            }
            attempt = awaited.attempt;
            let response = match sent {
                Ok(Ok(response)) => response,
                Ok(Err(SendError::NotSent)) if !is_new => continue,
                Ok(Err(SendError::NotSent)) => {
                    attempt.end(Outcome::Failed);
                    return AttemptResult::Unavailable;
                }
                Ok(Err(SendError::NoResponse(detail))) => {
                    let loss = attempt.lose(&outbound.metadata.id, outbound.route.is_stream);
                    if let Some(loss) = loss {
                        self.examine(outbound, loss).await;
                    }
                    return AttemptResult::NoResponse(detail);
                }
                Err(_) => return AttemptResult::DeadlineExceeded,
            };
            return self.classify(response, attempt, &dispatch).await;
        }
    }

    /// Why a request leaves the failure domain for `server`, for the log and the metrics; `None` if it doesn't.
    fn crossing(&self, outbound: &Outbound<'_>, server: &Listing) -> Option<&'static str> {
        if server.failure_domain == self.entry.settings.failure_domain {
            return None;
        }
        let stays = outbound.last_server == Some(server.id.as_str());
        let share = || {
            let fleet = self.entry.fleet.lock();
            fleet.map_or(0.0, |fleet| fleet.crossing_share(outbound.service))
        };
        let reason = match stays {
            true => "program stays",
            false if share() > 0.0 => "shorter elsewhere",
            false => "no room",
        };
        self.entry.metrics.crossing(reason);
        Some(reason)
    }

    /// Examines a loss. A request that goes to another server waits for that, since its content may
    /// then be quarantined.
    async fn examine(&self, outbound: &Outbound<'_>, loss: Loss) {
        if outbound.route.retry == Retry::Always {
            self.entry.examine_loss(&loss).await;
        } else {
            self.entry.report_loss(loss);
        }
    }

    /// Returns a connection to a backend server, and whether it is new; `None` if none can be
    /// opened.
    async fn connect(
        &self,
        outbound: &Outbound<'_>,
        server: &Listing,
    ) -> Option<(Connection, bool)> {
        let started = Instant::now();
        match self.entry.pool.get(&server.address).await {
            Ok((connection, is_new)) => {
                if is_new {
                    self.entry.metrics.connections.inc();
                    self.entry.report_opened_connection();
                }
                Some((connection, is_new))
            }
            Err(error) => {
                tracing::info!(
                    request = outbound.metadata.id,
                    server = server.id,
                    address = server.address,
                    %error,
                    ms = millis(started.elapsed()),
                    "no connection to a backend server"
                );
                self.entry.report_failed_connection(&server.id);
                None
            }
        }
    }

    /// Turns a response into the result of its attempt.
    async fn classify(
        &self,
        response: Response<Incoming>,
        mut attempt: Attempt,
        dispatch: &Dispatch<'_>,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let verdict = self.entry.adapter.verdict(&head, dispatch);
        if matches!(verdict, Verdict::Answer | Verdict::Full) {
            self.entry.observe_rate_limit(dispatch, &head);
            self.entry.observe_leaving(dispatch.id, dispatch.server, &head);
        }
        if verdict == Verdict::Answer {
            attempt.is_before_stream = false;
            return AttemptResult::Answered(Box::new((Response::from_parts(head, body), attempt)));
        }
        let is_named = self.entry.adapter.names_request(&head);
        let (request, server) = (dispatch.id, dispatch.server);
        tracing::info!(request, server, ?verdict, is_named, "not answered");
        if verdict == Verdict::Foreign {
            attempt.end(Outcome::Failed);
            return AttemptResult::NoResponse("the response belongs to another request".to_owned());
        }
        let rest = Limited::new(body, BODY_DRAIN_BYTES).collect();
        let drained = tokio::time::timeout(BODY_DRAIN_TIMEOUT, rest).await;
        // A server may write a refusal once more. Without a name, it would be taken for the response
        // to the next request on the connection.
        if is_named
            && !self.entry.has_announced_leaving(dispatch.server)
            && matches!(drained, Ok(Ok(_)))
            && let Some(connection) = attempt.connection.take()
        {
            self.entry.pool.put(&attempt.server.address, connection, &head.headers);
        }
        if verdict == Verdict::Full {
            attempt.end(Outcome::Full);
            AttemptResult::Full
        } else {
            attempt.end(Outcome::Gone);
            AttemptResult::Unavailable
        }
    }

    /// Builds the request to the backend server; `None` if its head is invalid.
    fn build_request(
        &self,
        outbound: &Outbound<'_>,
        dispatch: &Dispatch<'_>,
    ) -> Option<Request<Full<Bytes>>> {
        let headers = headers::end_to_end(&outbound.head.headers);
        let headers = self.entry.adapter.request_headers(headers, dispatch);
        outgoing(outbound.head, headers, outbound.subject.body.clone())
    }
}

/// Builds a request that is sent on; `None` if its head is invalid.
pub(super) fn outgoing(
    head: &request::Parts,
    mut headers: HeaderMap,
    content: Bytes,
) -> Option<Request<Full<Bytes>>> {
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let request = Request::builder().method(head.method.clone()).uri(path);
    let mut request = request.body(Full::new(content)).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}
