//! Response body that is relayed to the caller as it arrives from the backend server.
//!
//! The relay enforces the deadline, counts the events of a stream, and records the turn, if
//! its route retains turns, before the body ends. It also writes the log record of the
//! request.

use crate::bounded::RESPONSE_BYTES;
use crate::clock::{self, millis};
use crate::gateway::attempt::Attempt;
use crate::gateway::entry::Entry;
use crate::gateway::error;
use crate::gateway::events::Parser;
use crate::gateway::framing::Framing;
use crate::gateway::stories::Record;
use crate::gateway::turns::Turn;
use crate::journal::Unreachable;
use crate::memory::{Grant, Kind};
use bytes::Bytes;
use coordination::memory;
use coordination::placement::Outcome;
use http::HeaderMap;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use state::turn::Record as TurnRecord;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// Number of copies of a turn's events that exist at the same time while it is recorded: the events and
/// its command, which the message to the journal shares.
const RECORD_COPIES: usize = 2;

/// Reason why a request ends without a complete response. The caller sees a closed
/// connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Abort {
    /// The caller closed the connection before the request body was complete.
    #[error("the caller closed the connection")]
    Caller,
    /// The backend server closed the connection before the response body was complete.
    #[error("the backend server closed the connection")]
    Server,
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    DeadlineExceeded,
    /// The backend server sent more than a response may have.
    #[error("the backend server sent more than a response may have")]
    Excess,
    /// There is no memory for the events of the turn.
    #[error("there is no memory for the events of the turn")]
    NoMemory,
    /// The turn could not be recorded in the program journal.
    #[error("the turn could not be recorded")]
    NotRecorded,
}

/// Body of a response to a caller.
pub(crate) enum Body {
    /// Body that the gateway itself has made.
    Local(Full<Bytes>),
    /// Body relayed from a backend server.
    Relay(Box<Relay>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        match self.get_mut() {
            Self::Local(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Relay(relay) => relay.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Relay(_) => SizeHint::default(),
        }
    }
}

/// Recording of a turn in the program journal, in progress.
type Recording = Pin<Box<dyn Future<Output = Result<(), Unreachable>> + Send>>;

/// Data to record for a turn once its response is complete.
pub(crate) struct Draft {
    pub(crate) previous: Option<String>,
    pub(crate) input: Bytes,
    pub(crate) retention: Duration,
    /// Memory for the copy of the input in the command that records it, and for events.
    pub(crate) grant: Grant,
}

/// State of a request that its log record is made of when it ends.
pub(crate) struct Progress {
    pub(crate) entry: Arc<Entry>,
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) version: u64,
    pub(crate) attempts: u32,
    pub(crate) started: Instant,
    pub(crate) list_age_ms: u64,
}

/// What was received of a backend server's response.
pub(crate) struct Received<'a> {
    /// Id of the backend server.
    pub(crate) server: &'a str,
    pub(crate) framing: Framing,
    /// Length of the body so far, in bytes.
    pub(crate) bytes: usize,
    /// Number of complete events.
    pub(crate) events: u64,
    /// Whether the body ends within an event.
    pub(crate) is_inside_event: bool,
    /// Why the body ended early, if the connection failed.
    pub(crate) error: Option<&'a str>,
}

/// A response that is being relayed.
pub(crate) struct Relay {
    pub(crate) progress: Progress,
    pub(crate) status: u16,
    pub(crate) body: Incoming,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) headers: HeaderMap,
    framing: Framing,
    is_length_relayed: bool,
    is_event_stream: bool,
    pub(crate) events: Option<Parser>,
    /// Memory that the events take, also while they are recorded.
    grant: Grant,
    pub(crate) tokens_per_event: u64,
    pub(crate) turn: Option<Turn>,
    pub(crate) draft: Option<Draft>,
    pub(crate) deadline: Instant,
    pub(crate) timer: Pin<Box<Sleep>>,
    /// Number of events when the first ones had arrived, and the times at which the first and the last ones did.
    events_between: Option<(u64, Instant, Instant)>,
    recording: Option<Recording>,
    /// How the response is about to end early.
    aborting: Option<Abort>,
    /// Error of the connection to the backend server.
    error: Option<String>,
    server: String,
    /// Number of bytes of the body so far.
    received: usize,
    has_ended: bool,
    _in_flight: Box<dyn Send + Sync>,
}

/// Parameters of [`Relay::new`].
pub(crate) struct Params {
    pub(crate) progress: Progress,
    pub(crate) status: u16,
    /// Headers of the backend server's response.
    pub(crate) headers: HeaderMap,
    /// Whether the caller is told the length of the body in advance.
    pub(crate) is_length_relayed: bool,
    /// Whether the body is complete only if its last event is.
    pub(crate) is_event_stream: bool,
    pub(crate) body: Incoming,
    pub(crate) attempt: Attempt,
    pub(crate) events: Option<Parser>,
    pub(crate) tokens_per_event: u64,
    pub(crate) turn: Option<Turn>,
    pub(crate) draft: Option<Draft>,
    pub(crate) deadline: Instant,
    /// Guard that is dropped with the relay.
    pub(crate) in_flight: Box<dyn Send + Sync>,
}

impl Relay {
    pub(crate) fn new(params: Params) -> Self {
        let server = params.attempt.server.id.clone();
        let mut draft = params.draft;
        let grant = match &mut draft {
            Some(draft) => {
                let for_events = draft.grant.bytes().saturating_sub(draft.input.len());
                draft.grant.split(for_events, Kind::Response)
            }
            None => params.progress.entry.member.budget.grant(Kind::Response),
        };
        Self {
            grant,
            progress: params.progress,
            status: params.status,
            framing: Framing::of(&params.body, &params.headers),
            body: params.body,
            attempt: Some(params.attempt),
            headers: params.headers,
            is_length_relayed: params.is_length_relayed,
            is_event_stream: params.is_event_stream,
            events: params.events,
            tokens_per_event: params.tokens_per_event,
            turn: params.turn,
            draft,
            deadline: params.deadline,
            timer: Box::pin(tokio::time::sleep_until(params.deadline)),
            events_between: None,
            recording: None,
            aborting: None,
            error: None,
            server,
            received: 0,
            has_ended: false,
            _in_flight: params.in_flight,
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        if let Some(abort) = self.aborting.take() {
            return Poll::Ready(Some(Err(self.abort(abort))));
        }
        if self.timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.abort(Abort::DeadlineExceeded))));
        }
        if let Some(recording) = &mut self.recording {
            return match recording.as_mut().poll(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Ok(())) => {
                    self.record_end("kept");
                    Poll::Ready(None)
                }
                Poll::Ready(Err(Unreachable)) => {
                    Poll::Ready(Some(Err(self.abort(Abort::NotRecorded))))
                }
            };
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref()
                    && let Err((abort, detail)) = self.inspect(data)
                {
                    tracing::warn!(
                        request = self.progress.id,
                        server = self.server,
                        detail,
                        "response body given up"
                    );
                    return Poll::Ready(Some(Err(self.abort(abort))));
                }
                if self.is_length_relayed && self.body.is_end_stream() {
                    // The server does not poll again after the last byte of a body whose
                    // length is known.
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.error = Some(error::chain(&error));
                self.abort_after_flush(Abort::Server, context)
            }
            Poll::Ready(None) => self.complete(context),
        }
    }

    /// Counts the bytes and events of the next part of the body.
    ///
    /// # Errors
    ///
    /// Returns the limit that the body exceeds, and how the response ends.
    fn inspect(&mut self, data: &[u8]) -> Result<(), (Abort, String)> {
        self.received += data.len();
        if self.received > RESPONSE_BYTES {
            let detail = format!("the body has more than {RESPONSE_BYTES} bytes");
            return Err((Abort::Excess, detail));
        }
        if let Some(events) = &mut self.events {
            let count_before = events.count;
            events.feed(data).map_err(|excess| (Abort::Excess, excess.to_string()))?;
            let copies = if self.draft.is_some() { RECORD_COPIES } else { 1 };
            let counted = memory::counted(events.held_bytes(), copies);
            let grown = self.grant.grow_response(counted);
            grown.map_err(|full| (Abort::NoMemory, full.to_string()))?;
            if events.count > count_before {
                if count_before == 0
                    && let Some(attempt) = &self.attempt
                {
                    attempt.observe_output();
                }
                let now = Instant::now();
                let (first_count, first_at) =
                    self.events_between.map_or((events.count, now), |(count, at, _)| (count, at));
                self.events_between = Some((first_count, first_at, now));
            }
            if let Some(turn) = &mut self.turn {
                turn.count(events.count, self.tokens_per_event);
            }
        }
        Ok(())
    }

    /// Whether the body ended before the stream did. A server that crashes closes its connection,
    /// which also ends a body that has no other framing.
    fn is_broken_off(&self) -> bool {
        self.is_event_stream
            && self.events.as_ref().is_some_and(|events| {
                let is_empty = self.framing == Framing::Connection && events.count == 0;
                is_empty || events.is_inside_event()
            })
    }

    /// Handles the end of the backend server's body: starts recording the turn if it is to be
    /// retained and the response is a success, otherwise ends the request.
    fn complete(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        if self.is_broken_off() {
            return self.abort_after_flush(Abort::Server, context);
        }
        let is_success = (200..300).contains(&self.status);
        let retained =
            self.draft.take().filter(|_| is_success).zip(self.turn.take_if(|_| is_success));
        let Some((draft, turn)) = retained else {
            self.finish();
            return Poll::Ready(None);
        };
        self.release_connection();
        let events = self.events.as_mut().map(|events| std::mem::take(&mut events.content));
        let (content, retention_ms) = (Vec::new(), millis(draft.retention));
        let record = TurnRecord { previous: draft.previous, content, retention_ms };
        let command = turn.encode(record, &[&draft.input, events.as_deref().unwrap_or_default()]);
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let grant = draft.grant;
        self.recording = Some(Box::pin(async move {
            let recorded = turn.record(command?, remaining).await;
            drop(grant);
            recorded
        }));
        self.poll(context)
    }

    /// Ends a request whose response is complete and whose turn is not recorded.
    fn finish(&mut self) {
        self.release_connection();
        self.turn = None;
        self.record_end("whole");
    }

    /// Returns the connection to the pool after a complete response.
    fn release_connection(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            if let (Some(events), Some((first_count, first_at, last_at))) =
                (&self.events, self.events_between)
            {
                let micros = last_at.duration_since(first_at).as_micros();
                let micros = u64::try_from(micros).unwrap_or(u64::MAX);
                attempt.observe_pace(micros, events.count - first_count);
            }
            attempt.complete(&self.headers);
        }
    }

    /// Lets the caller's connection send the frames that it has before the response is aborted,
    /// since an error of the body drops them.
    fn abort_after_flush(
        &mut self,
        abort: Abort,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        self.aborting = Some(abort);
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Ends the request early; the connection to the backend server is closed.
    fn abort(&mut self, abort: Abort) -> Abort {
        if let Some(attempt) = self.attempt.take() {
            match abort {
                Abort::Server => {
                    let is_before_first_event = self.events.as_ref().is_some_and(|e| e.count == 0);
                    if let Some(loss) = attempt.lose(&self.progress.id, is_before_first_event) {
                        self.progress.entry.report_loss(loss);
                    }
                }
                Abort::Excess | Abort::NoMemory => attempt.end(Outcome::Failed),
                Abort::Caller | Abort::DeadlineExceeded | Abort::NotRecorded => {
                    attempt.end(Outcome::Cancelled);
                }
            }
        }
        self.turn = None;
        self.record_end(match abort {
            Abort::Caller => "caller left",
            Abort::Server => "server broke off",
            Abort::DeadlineExceeded => "time is over",
            Abort::Excess => "server sent too much",
            Abort::NoMemory => "no memory",
            Abort::NotRecorded => "not recorded",
        });
        abort
    }

    /// Records the end of the request, once.
    fn record_end(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let events = self.events.as_ref();
        let received = Received {
            server: &self.server,
            framing: self.framing,
            bytes: self.received,
            events: events.map_or(0, |events| events.count),
            is_inside_event: events.is_some_and(Parser::is_inside_event),
            error: self.error.as_deref(),
        };
        self.progress.record_end(outcome, self.status, Some(&received));
        self.progress.entry.metrics.duration.observe(self.progress.started.elapsed().as_secs_f64());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.record_end("caller left");
    }
}

impl Progress {
    /// Records the end of a request in the metrics, the list of recent requests and the log.
    pub(crate) fn record_end(&self, outcome: &str, status: u16, received: Option<&Received<'_>>) {
        let server = received.map(|received| received.server);
        let events = received.map_or(0, |received| received.events);
        self.entry.metrics.request(outcome);
        let ms = millis(self.started.elapsed());
        self.entry.records.add(Record {
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
            framing = received.map(|received| received.framing.name()),
            bytes = received.map(|received| received.bytes),
            is_inside_event = received.map(|received| received.is_inside_event),
            error = received.and_then(|received| received.error),
            ms,
            list_age_ms = self.list_age_ms,
            outcome,
            "request ended"
        );
    }
}
