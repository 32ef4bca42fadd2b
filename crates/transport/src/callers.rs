//! HTTP interface for callers.
//!
//! Callers look up the entry of a program, open and close programs, make calls and fetch recorded
//! answers.

use crate::access::{Limiter, Tokens};
use crate::actor::{Handle, Submission, Update};
use crate::journal::Journal;
use crate::reply::{self, Result, bearer, unexecuted, unreachable};
use coordination::entry::{self, Answer};
use coordination::routing;
use futures_util::stream;
use protocol::answer::Refusal;
use protocol::api::{self, Call, Done, Endpoint, Event, Open};
use protocol::settings::{Limits, Stop};
use salvo::{Request, Response, Router, handler};
use state::error::{Executed, Kind};
use state::id;
use state::program::{self, Close, Command, Outcome, Query, Reply, View};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum length of a program's name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// State shared by the handlers.
pub(crate) struct Callers {
    pub(crate) clock: crate::clock::Clock,
    pub(crate) limits: Limits,
    pub(crate) stop: Stop,
    pub(crate) tokens: Arc<Tokens>,
    pub(crate) limiter: Limiter,
    pub(crate) entry: Handle,
    pub(crate) journal: Arc<Journal>,
    /// Set while the instance stops; new programs and calls are then refused.
    pub(crate) is_stopping: AtomicBool,
}

/// Creates the routes of the callers' address.
pub(crate) fn router(callers: Arc<Callers>) -> Router {
    let program = Router::with_path("{program}")
        .delete(CloseProgram(callers.clone()))
        .push(Router::with_path("calls").post(MakeCall(callers.clone())))
        .push(Router::with_path("calls/{seq}").get(FetchAnswer(callers.clone())));
    Router::new()
        .push(Router::with_path("health").get(health))
        .push(Router::with_path("v1/entry").get(LocateEntry(callers.clone())))
        .push(Router::with_path("v1/programs").post(OpenProgram(callers)).push(program))
}

#[handler]
async fn health() -> &'static str {
    "ok"
}

struct LocateEntry(Arc<Callers>);
struct OpenProgram(Arc<Callers>);
struct MakeCall(Arc<Callers>);
struct FetchAnswer(Arc<Callers>);
struct CloseProgram(Arc<Callers>);

#[handler]
impl LocateEntry {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        reply::write(response, self.0.which(request));
    }
}

#[handler]
impl OpenProgram {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        reply::write(response, self.0.open(request).await);
    }
}

#[handler]
impl MakeCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match self.0.make(request).await {
            Ok(Body::Complete(answer)) => reply::write(response, answer),
            Ok(Body::Stream(updates)) => write_stream(response, updates),
            Err(refusal) => reply::refuse(response, refusal),
        }
    }
}

#[handler]
impl FetchAnswer {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        reply::write(response, self.0.fetch(request).await);
    }
}

#[handler]
impl CloseProgram {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        reply::write(response, self.0.end(request).await);
    }
}

/// Body of the response to a call.
enum Body {
    /// The complete answer.
    Complete(Result<api::Answer>),
    /// Updates of the call, written as server-sent events.
    Stream(mpsc::UnboundedReceiver<Update>),
}

impl Callers {
    /// Returns the deployment of the request.
    ///
    /// The request is refused if its token is unknown or the deployment exceeds its request rate.
    fn deployment(&self, request: &Request) -> Result<String> {
        let named = request.header::<String>("x-deployment");
        let deployment =
            self.tokens.deployment(bearer(request).as_deref(), named.as_deref()).ok_or_else(
                || unexecuted(Kind::Unauthorized, "accepted: a deployment's bearer token"),
            )?;
        if !self.limiter.take(self.clock.now(), &deployment) {
            let detail =
                format!("accepted: {} requests per second", self.limits.requests_per_second);
            return Err(unexecuted(Kind::RateLimited, detail));
        }
        Ok(deployment)
    }

    fn program(&self, request: &Request) -> Result<id::Program> {
        let deployment = self.deployment(request)?;
        let name = reply::param(request, "program")?;
        check_name(&name)?;
        Ok(id::Program::new(&deployment, &name))
    }

    fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.body_ms)
    }

    fn which(&self, request: &Request) -> Result<Endpoint> {
        let deployment = self.deployment(request)?;
        let name = request.query::<String>("program").unwrap_or_default();
        let snapshot = self.entry.view.borrow().snapshot.clone();
        let program = id::Program::new(&deployment, &name);
        let (instance, address) = routing::entry(&snapshot, &program)
            .ok_or_else(|| unexecuted(Kind::Unavailable, "no live instance is known yet"))?;
        let (instance, address) = (instance.to_owned(), address.to_owned());
        Ok(Endpoint { instance, address, keep_ms: self.stop.keep_ms })
    }

    async fn open(&self, request: &mut Request) -> Result<Done> {
        let deployment = self.deployment(request)?;
        let open: Open = reply::json(request, self.limits.body_bytes, self.body_timeout()).await?;
        check_name(&open.program)?;
        let program = id::Program::new(&deployment, &open.program);
        let view = self.entry.view.borrow().clone();
        if view.version == 0 {
            let detail = "the instance has just started and has no configuration yet";
            return Err(Refusal::new(Kind::Unavailable, Executed::Unknown, detail));
        }
        let Some(rules) = view.snapshot.config.deployments.get(&deployment) else {
            let detail = format!("deployment {deployment:?} has no rules; apply a ticket");
            return Err(unexecuted(Kind::PlacementForbidden, detail));
        };
        if let Some(label) = rules.unknown_label(&open.labels)
            && !self.exists(&program).await?
        {
            let known: Vec<&String> = rules.labels.keys().collect();
            let detail =
                format!("deployment {deployment:?} has no label {label:?}; accepted: {known:?}");
            return Err(unexecuted(Kind::PlacementForbidden, detail));
        }
        let cap = rules.cap;
        let is_refusing = view.is_overloaded || self.is_stopping.load(Ordering::Relaxed);
        if is_refusing && !self.exists(&program).await? {
            let kind = if view.is_overloaded { Kind::Overloaded } else { Kind::Stopping };
            return Err(unexecuted(kind, "this instance accepts no new programs; query /v1/entry"));
        }
        let command = Command::Open(program::Open {
            program: program.clone(),
            limit: open.budget,
            cap,
            deadline_ms: open.deadline_ms,
            labels: open.labels,
            now_ms: self.clock.wall_ms(),
        });
        match self.journal.submit(&program, &command).await {
            Ok(Reply::Done) => Ok(Done { done: true }),
            Ok(other) => Err(reply_to_refusal(other)),
            Err(_) => Err(unreachable()),
        }
    }

    async fn exists(&self, program: &id::Program) -> Result<bool> {
        let query = Query::Program(program.clone());
        match self.journal.query(self.journal.group(program), &query).await {
            Ok(View::Programs(_)) => Ok(true),
            Ok(_) => Ok(false),
            Err(_) => Err(unreachable()),
        }
    }

    async fn make(&self, request: &mut Request) -> Result<Body> {
        let program = self.program(request)?;
        let call: Call = reply::json(request, self.limits.body_bytes, self.body_timeout()).await?;
        let is_stream = call.stream;
        let entry_request = to_request(program, call)?;
        if self.is_stopping.load(Ordering::Relaxed) {
            return self.refuse_stopping(&entry_request).await;
        }
        let id = entry_request.call.clone();
        let (updates, mut inbox) = mpsc::unbounded_channel();
        if self
            .entry
            .submissions
            .send(Submission { request: entry_request, updates })
            .await
            .is_err()
        {
            return Err(unexecuted(Kind::Stopping, "the instance is stopping"));
        }
        if is_stream {
            return Ok(Body::Stream(inbox));
        }
        while let Some(update) = inbox.recv().await {
            if let Update::Answer(answer) = update {
                return Ok(Body::Complete(to_answer(answer)));
            }
        }
        Err(Refusal::new(
            Kind::Unknown,
            Executed::Unknown,
            format!("call {id}: the entry stopped before it answered"),
        ))
    }

    /// Refuses a call while the instance stops.
    ///
    /// The call is reported as not executed only if the journal has no attempt of it; a recorded
    /// outcome is returned.
    async fn refuse_stopping(&self, request: &entry::Request) -> Result<Body> {
        let query = Query::Answer(request.call.clone());
        let group = self.journal.group(&request.call.program);
        match self.journal.query(group, &query).await {
            Ok(View::Answer(Reply::Refused(_))) => {
                Err(unexecuted(Kind::Stopping, "the instance is stopping; query /v1/entry again"))
            }
            Ok(View::Answer(reply)) => Ok(Body::Complete(reply_to_answer(&request.call, reply))),
            _ => Err(unreachable()),
        }
    }

    async fn fetch(&self, request: &mut Request) -> Result<api::Answer> {
        let program = self.program(request)?;
        let text = reply::param(request, "seq")?;
        let seq = text
            .parse()
            .map_err(|_| unexecuted(Kind::Malformed, format!("seq {text:?} is not a number")))?;
        let call = id::Call { program, seq };
        let query = Query::Answer(call.clone());
        match self.journal.query(self.journal.group(&call.program), &query).await {
            Ok(View::Answer(reply)) => reply_to_answer(&call, reply),
            _ => Err(unreachable()),
        }
    }

    async fn end(&self, request: &mut Request) -> Result<Done> {
        let program = self.program(request)?;
        let now_ms = self.clock.wall_ms();
        let command = Command::Close(Close { program: program.clone(), force: false, now_ms });
        match self.journal.submit(&program, &command).await {
            Ok(Reply::Done) => Ok(Done { done: true }),
            Ok(other) => Err(reply_to_refusal(other)),
            Err(_) => Err(unreachable()),
        }
    }
}

fn check_name(name: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    let has_empty_segment = name.split('.').any(str::is_empty);
    if name.len() > MAX_NAME_BYTES || has_empty_segment || !name.chars().all(is_allowed) {
        let detail = format!(
            "program {name:?}; accepted: 1 to {MAX_NAME_BYTES} of letters, digits, - _ : and single dots"
        );
        return Err(unexecuted(Kind::Malformed, detail));
    }
    Ok(())
}

fn to_request(program: id::Program, call: Call) -> Result<entry::Request> {
    if call.seq == 0 {
        return Err(unexecuted(Kind::OutOfOrder, "seq 0; accepted: 1 or more"));
    }
    let content = match (&call.messages, &call.arguments) {
        (Some(messages), None) => serde_json::to_vec(messages),
        (None, Some(arguments)) if !arguments.is_array() => serde_json::to_vec(arguments),
        _ => {
            let detail = "accepted: either messages (an array) or arguments (not an array)";
            return Err(unexecuted(Kind::Malformed, detail));
        }
    };
    let content = content.map_err(|error| unexecuted(Kind::Malformed, error.to_string()))?;
    Ok(entry::Request {
        request_id: 0,
        call: id::Call { program, seq: call.seq },
        service: call.service,
        content: content.into(),
        is_idempotent: call.idempotent || call.messages.is_some(),
        max_tokens: call.max_tokens,
        cost: call.cost,
    })
}

fn to_answer(answer: Answer) -> Result<api::Answer> {
    if let Some(refusal) = answer.error {
        return Err(Refusal::new(refusal.kind, answer.executed, refusal.detail));
    }
    Ok(api::Answer {
        program: answer.call.program.name,
        seq: answer.call.seq,
        ran: answer.executed,
        content: String::from_utf8_lossy(&answer.content).into_owned(),
        spent: answer.spent,
    })
}

/// Converts the journal's reply about a call to the caller's answer or refusal.
fn reply_to_answer(call: &id::Call, reply: Reply) -> Result<api::Answer> {
    match reply {
        Reply::Settled { outcome: Outcome::Answered, spent, answer } => to_answer(Answer {
            call: call.clone(),
            error: None,
            executed: Executed::Yes,
            content: answer,
            spent,
        }),
        other => Err(reply_to_refusal(other)),
    }
}

/// Converts a reply of the journal other than the expected one to a refusal.
pub(crate) fn reply_to_refusal(reply: Reply) -> Refusal {
    match reply {
        Reply::Refused(refusal) => unexecuted(refusal.kind, refusal.detail),
        Reply::Settled { outcome: Outcome::NotExecuted(kind), .. } => unexecuted(kind, "recorded"),
        Reply::Settled { outcome: Outcome::Failed(kind), .. } => {
            Refusal::new(kind, Executed::Yes, "recorded")
        }
        Reply::Settled { outcome: Outcome::Unknown(kind), .. } => {
            Refusal::new(kind, Executed::Unknown, "recorded")
        }
        Reply::Busy { attempt, .. } => {
            let detail = format!("attempt {attempt} is in progress");
            Refusal::new(Kind::Busy, Executed::Unknown, detail)
        }
        Reply::Done | Reply::Begun | Reply::Settled { outcome: Outcome::Answered, .. } => {
            Refusal::new(Kind::Unknown, Executed::Unknown, "unexpected reply of the journal")
        }
    }
}

/// Writes the updates as server-sent events, one for each [`Event`].
fn write_stream(response: &mut Response, inbox: mpsc::UnboundedReceiver<Update>) {
    let headers = response.headers_mut();
    headers.insert("content-type", salvo::http::HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", salvo::http::HeaderValue::from_static("no-cache"));
    let events = stream::unfold(inbox, |mut inbox| async move {
        let event = match inbox.recv().await? {
            Update::Chunk { attempt, text } => Event::Chunk { attempt, text },
            Update::Answer(answer) => match to_answer(answer) {
                Ok(answer) => Event::Done(answer),
                Err(refusal) => Event::Error(refusal),
            },
        };
        let text = serde_json::to_string(&event).unwrap_or_default();
        Some((Ok::<_, std::convert::Infallible>(format!("data: {text}\n\n")), inbox))
    });
    response.stream(events);
}
