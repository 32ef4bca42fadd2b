//! The callers' interface.

use crate::access::{Rates, Tokens};
use crate::actor::{Ask, Handle, News};
use crate::journal::Journal;
use crate::reply::{self, Result, bearer, not_run, unreachable};
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

/// Longest name of a program, in bytes.
const NAME_BYTES: usize = 128;

/// What the handlers share.
pub(crate) struct Callers {
    pub(crate) clock: crate::clock::Clock,
    pub(crate) limits: Limits,
    pub(crate) stop: Stop,
    pub(crate) tokens: Arc<Tokens>,
    pub(crate) rates: Rates,
    pub(crate) entry: Handle,
    pub(crate) journal: Arc<Journal>,
    pub(crate) is_stopping: AtomicBool,
}

/// Routes of the callers' address.
pub(crate) fn router(callers: Arc<Callers>) -> Router {
    let program = Router::with_path("{program}")
        .delete(End(callers.clone()))
        .push(Router::with_path("calls").post(Make(callers.clone())))
        .push(Router::with_path("calls/{seq}").get(Fetch(callers.clone())));
    Router::new()
        .push(Router::with_path("health").get(health))
        .push(Router::with_path("v1/entry").get(WhichEntry(callers.clone())))
        .push(Router::with_path("v1/programs").post(OpenProgram(callers)).push(program))
}

#[handler]
async fn health() -> &'static str {
    "ok"
}

struct WhichEntry(Arc<Callers>);
struct OpenProgram(Arc<Callers>);
struct Make(Arc<Callers>);
struct Fetch(Arc<Callers>);
struct End(Arc<Callers>);

#[handler]
impl WhichEntry {
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
impl Make {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match self.0.make(request).await {
            Ok(Made::Whole(answer)) => reply::write(response, answer),
            Ok(Made::Stream(news)) => write_stream(response, news),
            Err(refusal) => reply::refuse(response, refusal),
        }
    }
}

#[handler]
impl Fetch {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        reply::write(response, self.0.fetch(request).await);
    }
}

#[handler]
impl End {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        reply::write(response, self.0.end(request).await);
    }
}

/// Answer to a call: whole, or as it arrives.
enum Made {
    Whole(Result<api::Answer>),
    Stream(mpsc::UnboundedReceiver<News>),
}

impl Callers {
    /// Deployment of the request, if it is within its rate.
    fn deployment(&self, request: &Request) -> Result<String> {
        let named = request.header::<String>("x-deployment");
        let deployment = self
            .tokens
            .deployment(bearer(request).as_deref(), named.as_deref())
            .ok_or_else(|| not_run(Kind::Unauthorized, "a bearer token of a deployment"))?;
        if !self.rates.take(self.clock.now(), &deployment) {
            let detail = format!("accepted: {} requests a second", self.limits.requests_per_second);
            return Err(not_run(Kind::RateLimited, detail));
        }
        Ok(deployment)
    }

    fn program(&self, request: &Request) -> Result<id::Program> {
        let deployment = self.deployment(request)?;
        let name = reply::param(request, "program")?;
        check_name(&name)?;
        Ok(id::Program::new(&deployment, &name))
    }

    fn body_time(&self) -> Duration {
        Duration::from_millis(self.limits.body_ms)
    }

    fn which(&self, request: &Request) -> Result<Endpoint> {
        let deployment = self.deployment(request)?;
        let name = request.query::<String>("program").unwrap_or_default();
        let snapshot = self.entry.view.borrow().snapshot.clone();
        let program = id::Program::new(&deployment, &name);
        let (instance, address) = routing::entry(&snapshot, &program)
            .ok_or_else(|| not_run(Kind::Unavailable, "no live instance is known yet"))?;
        let (instance, address) = (instance.to_owned(), address.to_owned());
        Ok(Endpoint { instance, address, keep_ms: self.stop.keep_ms })
    }

    async fn open(&self, request: &mut Request) -> Result<Done> {
        let deployment = self.deployment(request)?;
        let open: Open = reply::json(request, self.limits.body_bytes, self.body_time()).await?;
        check_name(&open.program)?;
        let program = id::Program::new(&deployment, &open.program);
        let view = self.entry.view.borrow().clone();
        if view.version == 0 {
            let detail = "the instance has just started and has no configuration yet";
            return Err(Refusal::new(Kind::Unavailable, Executed::Unknown, detail));
        }
        let Some(rules) = view.snapshot.config.deployments.get(&deployment) else {
            let detail = format!("deployment {deployment:?} has no rules; apply a ticket");
            return Err(not_run(Kind::PlacementForbidden, detail));
        };
        let cap = rules.cap;
        let refuses = view.is_overloaded || self.is_stopping.load(Ordering::Relaxed);
        if refuses && !self.exists(&program).await? {
            let kind = if view.is_overloaded { Kind::Overloaded } else { Kind::Stopping };
            return Err(not_run(kind, "new programs are refused here; ask which entry to use"));
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
            Ok(other) => Err(refusal_of(other)),
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

    async fn make(&self, request: &mut Request) -> Result<Made> {
        let program = self.program(request)?;
        let call: Call = reply::json(request, self.limits.body_bytes, self.body_time()).await?;
        let is_stream = call.stream;
        let ask = to_request(program, call)?;
        if self.is_stopping.load(Ordering::Relaxed) {
            return self.refuse_stopping(&ask).await;
        }
        let id = ask.call.clone();
        let (news, mut inbox) = mpsc::unbounded_channel();
        if self.entry.asks.send(Ask { request: ask, news }).await.is_err() {
            return Err(not_run(Kind::Stopping, "the instance is stopping"));
        }
        if is_stream {
            return Ok(Made::Stream(inbox));
        }
        while let Some(news) = inbox.recv().await {
            if let News::Answer(answer) = news {
                return Ok(Made::Whole(to_answer(answer)));
            }
        }
        Err(Refusal::new(Kind::Unknown, Executed::Unknown, format!("call {id}: the entry ended")))
    }

    /// Refuses a call while stopping, truthfully: only if no attempt exists.
    async fn refuse_stopping(&self, ask: &entry::Request) -> Result<Made> {
        let query = Query::Answer(ask.call.clone());
        let group = self.journal.group(&ask.call.program);
        match self.journal.query(group, &query).await {
            Ok(View::Answer(Reply::Refused(_))) => {
                Err(not_run(Kind::Stopping, "the instance is stopping; ask which entry to use"))
            }
            Ok(View::Answer(reply)) => Ok(Made::Whole(settled(&ask.call, reply))),
            _ => Err(unreachable()),
        }
    }

    async fn fetch(&self, request: &mut Request) -> Result<api::Answer> {
        let program = self.program(request)?;
        let text = reply::param(request, "seq")?;
        let seq = text
            .parse()
            .map_err(|_| not_run(Kind::Malformed, format!("seq {text:?}; accepted: a number")))?;
        let call = id::Call { program, seq };
        let query = Query::Answer(call.clone());
        match self.journal.query(self.journal.group(&call.program), &query).await {
            Ok(View::Answer(reply)) => settled(&call, reply),
            _ => Err(unreachable()),
        }
    }

    async fn end(&self, request: &mut Request) -> Result<Done> {
        let program = self.program(request)?;
        let now_ms = self.clock.wall_ms();
        let command = Command::Close(Close { program: program.clone(), force: false, now_ms });
        match self.journal.submit(&program, &command).await {
            Ok(Reply::Done) => Ok(Done { done: true }),
            Ok(other) => Err(refusal_of(other)),
            Err(_) => Err(unreachable()),
        }
    }
}

fn check_name(name: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    let has_empty_part = name.split('.').any(str::is_empty);
    if name.len() > NAME_BYTES || has_empty_part || !name.chars().all(is_allowed) {
        let detail = format!(
            "program {name:?}; accepted: 1 to {NAME_BYTES} of letters, digits, - _ : and single dots"
        );
        return Err(not_run(Kind::Malformed, detail));
    }
    Ok(())
}

fn to_request(program: id::Program, call: Call) -> Result<entry::Request> {
    if call.seq == 0 {
        return Err(not_run(Kind::OutOfOrder, "seq 0; accepted: 1 or more"));
    }
    let content = match (&call.messages, &call.arguments) {
        (Some(messages), None) => serde_json::to_vec(messages),
        (None, Some(arguments)) if !arguments.is_array() => serde_json::to_vec(arguments),
        _ => {
            let detail = "accepted: either messages (an array) or arguments (not an array)";
            return Err(not_run(Kind::Malformed, detail));
        }
    };
    let content = content.map_err(|error| not_run(Kind::Malformed, error.to_string()))?;
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

/// Answer from the journal's reply about a call.
fn settled(call: &id::Call, reply: Reply) -> Result<api::Answer> {
    match reply {
        Reply::Settled { outcome: Outcome::Answered, spent, answer } => to_answer(Answer {
            call: call.clone(),
            error: None,
            executed: Executed::Yes,
            content: answer,
            spent,
        }),
        other => Err(refusal_of(other)),
    }
}

/// Refusal that a reply stands for.
pub(crate) fn refusal_of(reply: Reply) -> Refusal {
    match reply {
        Reply::Refused(refusal) => not_run(refusal.kind, refusal.detail),
        Reply::Settled { outcome: Outcome::NotExecuted(kind), .. } => not_run(kind, "recorded"),
        Reply::Settled { outcome: Outcome::Failed(kind), .. } => {
            Refusal::new(kind, Executed::Yes, "recorded")
        }
        Reply::Settled { outcome: Outcome::Unknown(kind), .. } => {
            Refusal::new(kind, Executed::Unknown, "recorded")
        }
        Reply::Busy { attempt, .. } => {
            let detail = format!("attempt {attempt} is under way");
            Refusal::new(Kind::Busy, Executed::Unknown, detail)
        }
        Reply::Done | Reply::Begun | Reply::Settled { outcome: Outcome::Answered, .. } => {
            Refusal::new(Kind::Unknown, Executed::Unknown, "the journal gave another reply")
        }
    }
}

/// Writes server-sent events, one for each [`Event`].
fn write_stream(response: &mut Response, inbox: mpsc::UnboundedReceiver<News>) {
    let headers = response.headers_mut();
    headers.insert("content-type", salvo::http::HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", salvo::http::HeaderValue::from_static("no-cache"));
    let events = stream::unfold(inbox, |mut inbox| async move {
        let event = match inbox.recv().await? {
            News::Chunk { attempt, text } => Event::Chunk { attempt, text },
            News::Answer(answer) => match to_answer(answer) {
                Ok(answer) => Event::Done(answer),
                Err(refusal) => Event::Error(refusal),
            },
        };
        let text = serde_json::to_string(&event).unwrap_or_default();
        Some((Ok::<_, std::convert::Infallible>(format!("data: {text}\n\n")), inbox))
    });
    response.stream(events);
}
