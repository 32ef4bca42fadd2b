//! Forwarding of callers' requests to another entry while this one reaches no backend server.
//!
//! The other entry handles the request as if its caller had sent it there; this one relays the
//! response unchanged. A forwarded request is not forwarded again.
//!
//! The other entry may have no room, or not be reached either, for a moment. A request that a backend
//! server may have executed can't be refused for that, since it would not be sent again. If it may be
//! repeated, it is forwarded once more after a pause, until its deadline.

use crate::clock::millis;
use crate::gateway::attempt::Attempt;
use crate::gateway::dialect::{Metadata, Refusal};
use crate::gateway::flow::{Answered, Error, Handler, Source};
use crate::gateway::headers;
use crate::gateway::pool::SendError;
use crate::gateway::sending::{self, MIN_DISPATCH_TIME};
use bytes::Bytes;
use coordination::placement::Outcome;
use coordination::retry;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, request};
use hyper::body::Incoming;
use protocol::routes::{Retry, Route};
use rand::seq::IndexedRandom;
use state::error::Kind;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of entries to which a request is forwarded, one after the other.
const MAX_RELAYS: usize = 3;

/// Pause before a request is forwarded again if no entry names one.
const FORWARD_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Header with the id of the backend server, in a response from one entry to another.
const SERVER: HeaderName = HeaderName::from_static("buckthornshelf-server");

/// Names the backend server in a response to another entry.
pub(super) fn name_server(headers: &mut HeaderMap, id: &str) {
    match HeaderValue::from_str(id) {
        Ok(id) => drop(headers.insert(SERVER, id)),
        Err(error) => tracing::warn!(server = id, %error, "invalid server id"),
    }
}

/// Result of forwarding a request to one entry.
enum Forwarded {
    /// It responded.
    Answered(Box<(Response<Incoming>, Attempt)>),
    /// It could not be reached; the request was not executed.
    Unreachable,
    /// No response arrived; the request may have been executed. Carries the cause.
    NoResponse(String),
}

/// Result of forwarding a request to some entries, one after the other.
enum Round {
    /// One responded.
    Answered(Box<Answered>),
    /// One refused a request that a backend server may have executed before, perhaps with a pause after
    /// which it may come again.
    Refused { status: StatusCode, pause: Option<Duration> },
    /// None responded.
    NoResponse,
}

impl Handler {
    /// Whether the request should be forwarded: this instance reaches no backend server, another
    /// entry does, and the request came from a caller.
    pub(super) fn should_forward(&self) -> bool {
        self.source == Source::Callers
            && self.entry.is_partitioned()
            && !self.entry.member.relays().is_empty()
    }

    /// Whether the request should be forwarded after attempts at backend servers.
    pub(super) fn should_forward_after_attempts(&self, route: &Route) -> bool {
        let may_repeat = !self.may_have_executed || route.retry == Retry::Always;
        may_repeat && self.should_forward()
    }

    /// Forwards the request to another entry; `None` if none responded. A request that must not be
    /// repeated was not executed then.
    pub(super) async fn forward(
        &mut self,
        metadata: &Metadata,
        route: &Route,
        head: &request::Parts,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Option<Answered>, Error> {
        loop {
            let refused = match self.forward_once(metadata, route, head, body, deadline).await? {
                Round::Answered(answered) => return Ok(Some(*answered)),
                Round::NoResponse if !self.may_have_executed => return Ok(None),
                Round::NoResponse => None,
                Round::Refused { status, pause } => Some((status, pause)),
            };
            let named = refused.and_then(|(_, pause)| pause).map(millis);
            let remaining = millis(deadline.saturating_duration_since(Instant::now()));
            let (least, needed) = (millis(FORWARD_RETRY_PAUSE), millis(MIN_DISPATCH_TIME));
            let Some(pause) = retry::pause_within(named, least, remaining, needed) else {
                let Some((status, _)) = refused else {
                    return Ok(None);
                };
                let detail = format!("the entry that it was forwarded to answers {status}");
                return Err(Refusal::new(Kind::Failed, detail).into());
            };
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Forwards the request to one entry after another until one responds.
    async fn forward_once(
        &mut self,
        metadata: &Metadata,
        route: &Route,
        head: &request::Parts,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Round, Error> {
        let relays = self.entry.member.relays();
        let chosen: Vec<&String> = relays.sample(&mut rand::rng(), MAX_RELAYS).collect();
        let mut round = Round::NoResponse;
        for relay in chosen {
            match self.forward_to(relay, metadata, head, body, deadline).await? {
                Forwarded::Answered(answered) => {
                    let (response, attempt) = *answered;
                    let response = self.observe_server(&metadata.id, response);
                    let status = response.status();
                    if self.may_have_executed && self.entry.adapter.denies_execution(status) {
                        let pause = self.entry.adapter.retry_after(response.headers());
                        let (request, pause_ms) = (&metadata.id, pause.map(millis));
                        tracing::info!(request, relay, %status, pause_ms, "not taken by the entry");
                        round = Round::Refused { status, pause };
                        continue;
                    }
                    let is_stream = route.is_stream;
                    let answered = Answered::forwarded(response, attempt, is_stream, deadline);
                    return Ok(Round::Answered(Box::new(answered)));
                }
                Forwarded::Unreachable => {}
                Forwarded::NoResponse(_) if route.retry == Retry::Always => {
                    self.may_have_executed = true;
                }
                Forwarded::NoResponse(detail) => {
                    return Err(Refusal::new(Kind::Failed, detail).into());
                }
            }
        }
        Ok(round)
    }

    /// Applies what the backend server of a forwarded request announces: this entry passes that on,
    /// and may reach the server itself later.
    fn observe_server(&self, request: &str, response: Response<Incoming>) -> Response<Incoming> {
        let (mut head, body) = response.into_parts();
        let server = head.headers.remove(SERVER);
        if let Some(server) = server.as_ref().and_then(|server| server.to_str().ok()) {
            self.entry.observe_leaving(request, server, &head);
        }
        Response::from_parts(head, body)
    }

    /// Forwards the request to the entry that accepts such requests at `relay`.
    async fn forward_to(
        &self,
        relay: &str,
        metadata: &Metadata,
        head: &request::Parts,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Forwarded, Error> {
        let mut attempt = Attempt::to_entry(&self.entry, relay);
        loop {
            let (connection, is_new) = match self.entry.relays.get(relay).await {
                Ok(connection) => connection,
                Err(error) => {
                    let request = &metadata.id;
                    tracing::info!(request, relay, %error, "no connection to another entry");
                    attempt.end(Outcome::Failed);
                    return Ok(Forwarded::Unreachable);
                }
            };
            let connection = attempt.connection.insert(connection);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining < MIN_DISPATCH_TIME {
                return Ok(Forwarded::Unreachable);
            }
            self.check_key_again()?;
            // The key is passed on: the other entry checks it by its own lease.
            let mut headers = headers::end_to_end(&head.headers);
            self.entry.adapter.set_timeout(&mut headers, remaining);
            let Some(request) = sending::outgoing(head, headers, body.clone()) else {
                return Ok(Forwarded::Unreachable);
            };
            let remaining_ms = millis(remaining);
            tracing::info!(request = metadata.id, relay, remaining_ms, "request forwarded");
            self.is_sent.store(true, Ordering::Relaxed);
            match tokio::time::timeout(remaining, connection.send(request)).await {
                Ok(Ok(response)) => {
                    return Ok(Forwarded::Answered(Box::new((response, attempt))));
                }
                Ok(Err(SendError::NotSent)) if !is_new => {}
                Ok(Err(SendError::NotSent)) => {
                    attempt.end(Outcome::Failed);
                    return Ok(Forwarded::Unreachable);
                }
                Ok(Err(SendError::NoResponse(detail))) => {
                    attempt.end(Outcome::Failed);
                    return Ok(Forwarded::NoResponse(detail));
                }
                Err(_) => {
                    let detail = "the entry that it was forwarded to did not respond in time";
                    return Err(Refusal::new(Kind::Unknown, detail).into());
                }
            }
        }
    }
}
