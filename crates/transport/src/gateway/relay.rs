//! The body of an answer, passed on as it arrives.

use crate::clock::{self, millis};
use crate::gateway::attempt::Attempt;
use crate::gateway::entry::Entry;
use crate::gateway::events::Events;
use crate::gateway::stories::Told;
use crate::gateway::turns::Turn;
use crate::journal::Unreachable;
use bytes::Bytes;
use coordination::placement::Outcome;
use http::HeaderMap;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use state::turn::Record;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// Why an answer ends early; the caller sees a broken connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Broken {
    /// The caller did.
    #[error("the request broke off")]
    Caller,
    /// The backend server did.
    #[error("the backend server broke off")]
    Server,
    /// The request's time is over.
    #[error("the time of the request is over")]
    Late,
    /// The turn could not be recorded.
    #[error("the turn could not be recorded")]
    Journal,
}

/// Body of an answer.
pub(crate) enum Body {
    /// One of the gateway's own.
    Own(Full<Bytes>),
    /// A backend server's.
    Relay(Box<Relay>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Own(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Relay(relay) => relay.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Relay(_) => SizeHint::default(),
        }
    }
}

type Keeping = Pin<Box<dyn Future<Output = Result<(), Unreachable>> + Send>>;

/// What is recorded of a turn once its answer is whole.
pub(crate) struct Keep {
    pub(crate) previous: Option<String>,
    pub(crate) input: Bytes,
    pub(crate) retention: Duration,
}

/// What the log says of a request at its end.
pub(crate) struct Story {
    pub(crate) entry: Arc<Entry>,
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) version: u64,
    pub(crate) attempts: u32,
    pub(crate) started: Instant,
    pub(crate) list_age_ms: u64,
}

/// An answer that is being passed on.
pub(crate) struct Relay {
    pub(crate) story: Story,
    pub(crate) status: u16,
    pub(crate) body: Incoming,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) headers: HeaderMap,
    pub(crate) events: Option<Events>,
    pub(crate) tokens_per_event: u64,
    pub(crate) turn: Option<Turn>,
    pub(crate) keep: Option<Keep>,
    pub(crate) until: Instant,
    pub(crate) timer: Pin<Box<Sleep>>,
    keeping: Option<Keeping>,
    server: String,
    is_over: bool,
    _under_way: Box<dyn Send + Sync>,
}

/// The parts of a relay that its maker chooses.
pub(crate) struct Parts {
    pub(crate) story: Story,
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) attempt: Attempt,
    pub(crate) events: Option<Events>,
    pub(crate) tokens_per_event: u64,
    pub(crate) turn: Option<Turn>,
    pub(crate) keep: Option<Keep>,
    pub(crate) until: Instant,
    /// Dropped with the relay.
    pub(crate) under_way: Box<dyn Send + Sync>,
}

impl Relay {
    pub(crate) fn new(parts: Parts) -> Self {
        let server = parts.attempt.server.id.clone();
        Self {
            story: parts.story,
            status: parts.status,
            body: parts.body,
            attempt: Some(parts.attempt),
            headers: parts.headers,
            events: parts.events,
            tokens_per_event: parts.tokens_per_event,
            turn: parts.turn,
            keep: parts.keep,
            until: parts.until,
            timer: Box::pin(tokio::time::sleep_until(parts.until)),
            keeping: None,
            server,
            is_over: false,
            _under_way: parts.under_way,
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if self.is_over {
            return Poll::Ready(None);
        }
        if self.timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.break_off(Broken::Late))));
        }
        if let Some(keeping) = &mut self.keeping {
            return match keeping.as_mut().poll(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Ok(())) => {
                    self.end("kept");
                    Poll::Ready(None)
                }
                Poll::Ready(Err(Unreachable)) => {
                    Poll::Ready(Some(Err(self.break_off(Broken::Journal))))
                }
            };
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(events), Some(data)) = (&mut self.events, frame.data_ref()) {
                    events.feed(data);
                    if let Some(turn) = &mut self.turn {
                        turn.tokens = events.count * self.tokens_per_event;
                    }
                }
                if self.keep.is_none() && self.body.is_end_stream() {
                    // Nobody polls again after the last byte of a body of known length.
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                tracing::debug!(request = self.story.id, %error, "answer broke off");
                Poll::Ready(Some(Err(self.break_off(Broken::Server))))
            }
            Poll::Ready(None) => self.complete(context),
        }
    }

    /// The backend server's answer is whole.
    fn complete(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let is_success = (200..300).contains(&self.status);
        let parts = self.keep.take().filter(|_| is_success).zip(self.turn.take_if(|_| is_success));
        let Some((keep, turn)) = parts else {
            self.finish();
            return Poll::Ready(None);
        };
        self.release();
        let mut content = keep.input.to_vec();
        if let Some(events) = &self.events {
            content.extend_from_slice(&events.content);
        }
        let retention_ms = millis(keep.retention);
        let record = Record { previous: keep.previous, content, retention_ms };
        let left = self.until.saturating_duration_since(Instant::now());
        self.keeping = Some(Box::pin(turn.keep(record, left)));
        self.poll(context)
    }

    /// The answer is whole and nothing of it is recorded.
    fn finish(&mut self) {
        self.release();
        self.turn = None;
        self.end("whole");
    }

    /// Gives the connection back after a whole answer.
    fn release(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(&self.headers);
        }
    }

    fn break_off(&mut self, broken: Broken) -> Broken {
        if let Some(attempt) = self.attempt.take() {
            let is_server = broken == Broken::Server;
            attempt.settle(if is_server { Outcome::Failed } else { Outcome::Cancelled });
        }
        self.turn = None;
        self.end(match broken {
            Broken::Caller => "caller left",
            Broken::Server => "server broke off",
            Broken::Late => "time is over",
            Broken::Journal => "not recorded",
        });
        broken
    }

    fn end(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let events = self.events.as_ref().map_or(0, |events| events.count);
        self.story.tell(outcome, self.status, Some(&self.server), events);
        self.story.entry.metrics.whole.observe(self.story.started.elapsed().as_secs_f64());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end("caller left");
    }
}

impl Story {
    /// One line for the end of a request.
    pub(crate) fn tell(&self, outcome: &str, status: u16, server: Option<&str>, events: u64) {
        self.entry.metrics.request(outcome);
        let ms = millis(self.started.elapsed());
        self.entry.stories.note(Told {
            id: self.id.clone(),
            ended_ms: clock::unix_ms(),
            route: self.route.clone(),
            version: self.version,
            attempts: self.attempts,
            server: server.map(str::to_owned),
            status,
            events,
            ms,
            list_age_ms: self.list_age_ms,
            outcome: outcome.to_owned(),
        });
        tracing::info!(
            request = self.id,
            route = self.route,
            version = self.version,
            attempts = self.attempts,
            server,
            status,
            events,
            ms,
            list_age_ms = self.list_age_ms,
            outcome,
            "request ended"
        );
    }
}
