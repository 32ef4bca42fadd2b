//! HTTP interface for operators, on a separate address.
//!
//! Operators apply tickets, drain instances, list and cancel programs, lift quarantines and read
//! status, dumps and metrics.

use crate::access::Tokens;
use crate::actor::View;
use crate::callers::reply_to_refusal;
use crate::inspect::Inspector;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::replica::Handle as Replica;
use crate::reply::{self, Result, bearer, unexecuted, unreachable};
use crate::rpc::Transport;
use protocol::api::{self, Done};
use protocol::wire::{Request as WireRequest, Response as WireResponse};
use salvo::{FlowCtrl, Request, Response, Router, handler};
use serde_json::{Value, json};
use state::collections::Map;
use state::control::{self, Target, Ticket};
use state::error::{Executed, Kind};
use state::id;
use state::program::{self, Close, Query, Reply, Summary};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time to wait for a ticket to be in force.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Interval between two checks of whether a ticket is in force.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout of a request for another instance's dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of tickets in a list, and of programs of each journal.
const MAX_ROWS: usize = 1_000;

/// State shared by the handlers.
pub(crate) struct Operators {
    pub(crate) clock: crate::clock::Clock,
    pub(crate) tokens: Arc<Tokens>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) transport: Arc<Transport>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) groups: Map<u32, Replica>,
    pub(crate) view: watch::Receiver<View>,
    pub(crate) inspector: Arc<Inspector>,
}

/// Creates the routes of the operators' address.
pub(crate) fn router(operators: Arc<Operators>) -> Router {
    let on = |action| Route { operators: operators.clone(), action };
    let programs = Router::with_path("programs").get(on(Action::Programs)).push(
        Router::with_path("{deployment}/{program}")
            .get(on(Action::Program))
            .delete(on(Action::CancelProgram)),
    );
    let tickets = Router::with_path("tickets")
        .post(on(Action::ApplyTicket))
        .get(on(Action::Tickets))
        .push(Router::with_path("{number}").get(on(Action::Ticket)));
    let quarantine = Router::with_path("quarantine")
        .get(on(Action::Quarantine))
        .push(Router::with_path("{digest}").delete(on(Action::LiftQuarantine)));
    let v1 = Router::with_path("v1")
        .push(tickets)
        .push(programs)
        .push(quarantine)
        .push(Router::with_path("status").get(on(Action::Status)))
        .push(Router::with_path("config").get(on(Action::Config)))
        .push(Router::with_path("instances").get(on(Action::Instances)))
        .push(Router::with_path("drain/{instance}").post(on(Action::Drain)))
        .push(Router::with_path("dump/{instance}").get(on(Action::Dump)));
    Router::new().push(Router::with_path("health").get(on(Action::Health))).push(
        Router::new()
            .hoop(Guard(operators.clone()))
            .push(Router::with_path("metrics").get(on(Action::Metrics)))
            .push(Router::with_path("dump").get(on(Action::LocalDump)))
            .push(v1),
    )
}

/// Middleware that refuses requests without an operator's bearer token.
struct Guard(Arc<Operators>);

#[handler]
impl Guard {
    async fn handle(&self, request: &mut Request, response: &mut Response, ctrl: &mut FlowCtrl) {
        if !self.0.tokens.is_operator(bearer(request).as_deref()) {
            reply::refuse(
                response,
                unexecuted(Kind::Unauthorized, "accepted: an operator's bearer token"),
            );
            ctrl.skip_rest();
        }
    }
}

/// Operation that a route performs.
#[derive(Clone, Copy)]
enum Action {
    Health,
    Metrics,
    LocalDump,
    Dump,
    Status,
    Config,
    Instances,
    Drain,
    Quarantine,
    LiftQuarantine,
    Programs,
    Program,
    CancelProgram,
    ApplyTicket,
    Tickets,
    Ticket,
}

/// Handler of one route.
struct Route {
    operators: Arc<Operators>,
    action: Action,
}

#[handler]
impl Route {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let operators = &self.operators;
        let result = match self.action {
            Action::Health => return response.render("ok"),
            Action::Metrics => return response.render(operators.metrics()),
            Action::LocalDump => Ok(operators.inspector.dump(request.query("section")).await),
            Action::Dump => operators.dump(request).await,
            Action::Status => operators.status().await,
            Action::Config => to_value(&operators.snapshot().config),
            Action::Instances => to_value(&operators.snapshot().instances),
            Action::Drain => operators.drain(request).await,
            Action::Quarantine => operators.quarantine(),
            Action::LiftQuarantine => operators.lift_quarantine(request).await,
            Action::Programs => operators.programs(request).await,
            Action::Program => operators.program(request).await,
            Action::CancelProgram => operators.cancel_program(request).await,
            Action::ApplyTicket => operators.apply_ticket(request).await,
            Action::Tickets => operators.tickets().await,
            Action::Ticket => operators.ticket(request).await,
        };
        reply::write(response, result);
    }
}

impl Operators {
    fn snapshot(&self) -> Arc<control::Snapshot> {
        self.view.borrow().snapshot.clone()
    }

    fn metrics(&self) -> String {
        for (group, replica) in &self.groups {
            self.metrics.update_journal(*group, &replica.status.borrow());
        }
        self.metrics.render()
    }

    async fn dump(&self, request: &mut Request) -> Result<Value> {
        let instance = reply::param(request, "instance")?;
        let section = request.query("section");
        match self.transport.call(&instance, WireRequest::Dump { section }, DUMP_TIMEOUT).await {
            Ok(WireResponse::Text(text)) => serde_json::from_str(&text)
                .map_err(|error| unexecuted(Kind::Unavailable, error.to_string())),
            _ => {
                let known = self.transport.names();
                let detail =
                    format!("instance {instance:?} returned no dump; known instances: {known:?}");
                Err(unexecuted(Kind::Unavailable, detail))
            }
        }
    }

    async fn status(&self) -> Result<Value> {
        let names = self.transport.names();
        let dumps = names.iter().map(|name| {
            let request = WireRequest::Dump { section: Some("summary".into()) };
            self.transport.call(name, request, DUMP_TIMEOUT)
        });
        let dumps = futures_util::future::join_all(dumps).await;
        let rows = names.iter().zip(dumps).map(|(name, dump)| match dump {
            Ok(WireResponse::Text(text)) => {
                serde_json::from_str(&text).unwrap_or_else(|_| json!({ "name": name }))
            }
            _ => json!({ "name": name, "is_reachable": false }),
        });
        Ok(Value::Array(rows.collect()))
    }

    async fn submit_control(&self, command: &control::Command) -> Result<control::Reply> {
        match self.journal.submit_control(command).await {
            Ok(control::Reply::Refused(refusal)) => Err(unexecuted(refusal.kind, refusal.detail)),
            Ok(reply) => Ok(reply),
            Err(_) => Err(unreachable()),
        }
    }

    async fn drain(&self, request: &mut Request) -> Result<Value> {
        let instance = reply::param(request, "instance")?;
        let is_draining = !request.query::<bool>("undo").unwrap_or(false);
        self.submit_control(&control::Command::Drain { instance, is_draining }).await?;
        to_value(&Done { done: true })
    }

    fn quarantine(&self) -> Result<Value> {
        let snapshot = self.snapshot();
        let rows = snapshot.quarantine.iter().map(|(digest, quarantine)| {
            json!({
                "digest": digest.to_string(), "servers": quarantine.servers,
                "until_ms": quarantine.until_ms,
            })
        });
        Ok(Value::Array(rows.collect()))
    }

    async fn lift_quarantine(&self, request: &mut Request) -> Result<Value> {
        let text = reply::param(request, "digest")?;
        let digest = blake3::Hash::from_hex(&text)
            .map_err(|_| unexecuted(Kind::Malformed, "accepted: 64 hexadecimal digits"))?;
        self.submit_control(&control::Command::LiftQuarantine(id::Digest(*digest.as_bytes())))
            .await?;
        to_value(&Done { done: true })
    }

    async fn list_programs(&self, deployment: Option<String>) -> Result<Vec<Summary>> {
        let mut programs = Vec::new();
        for group in self.journal.groups() {
            let query = Query::List { deployment: deployment.clone(), limit: MAX_ROWS };
            match self.journal.query(group, &query).await {
                Ok(program::View::Programs(rows)) => programs.extend(rows),
                _ => return Err(unreachable()),
            }
        }
        Ok(programs)
    }

    async fn programs(&self, request: &mut Request) -> Result<Value> {
        to_value(&self.list_programs(request.query("deployment")).await?)
    }

    async fn program(&self, request: &mut Request) -> Result<Value> {
        let program = program_id(request)?;
        let query = Query::Program(program.clone());
        match self.journal.query(self.journal.group(&program), &query).await {
            Ok(program::View::Programs(rows)) => to_value(&rows),
            Ok(program::View::Refused(refusal)) => Err(unexecuted(refusal.kind, refusal.detail)),
            _ => Err(unreachable()),
        }
    }

    async fn cancel_program(&self, request: &mut Request) -> Result<Value> {
        let program = program_id(request)?;
        let now_ms = self.clock.wall_ms();
        let close = Close { program: program.clone(), force: true, now_ms };
        match self.journal.submit(&program, &program::Command::Close(close)).await {
            Ok(Reply::Done) => to_value(&Done { done: true }),
            Ok(other) => Err(reply_to_refusal(other)),
            Err(_) => Err(unreachable()),
        }
    }

    async fn apply_ticket(&self, request: &mut Request) -> Result<Value> {
        let wait_ms = request.query::<u64>("wait_ms").unwrap_or(0);
        let ticket: Ticket = reply::json(request, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
        let number = ticket.number;
        let command = control::Command::Ticket { ticket, now_ms: self.clock.wall_ms() };
        let control::Reply::Accepted(acceptance) = self.submit_control(&command).await? else {
            return Err(unreachable());
        };
        tracing::info!(ticket = number, version = acceptance.version, "ticket accepted");
        let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let mut latest = acceptance;
        while !latest.is_in_force && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
            latest = self.acceptance(number).await?;
        }
        to_value(&to_ticket(number, &latest))
    }

    async fn acceptance(&self, number: u64) -> Result<control::Acceptance> {
        let after = number.saturating_sub(1);
        let query = control::Query::Tickets { after, limit: 1 };
        match self.journal.query_control(&query).await {
            Ok(control::View::Tickets(tickets)) => tickets
                .get(&number)
                .cloned()
                .ok_or_else(|| unexecuted(Kind::NotFound, format!("no ticket {number}"))),
            _ => Err(unreachable()),
        }
    }

    async fn tickets(&self) -> Result<Value> {
        let query = control::Query::Tickets { after: 0, limit: usize::MAX };
        match self.journal.query_control(&query).await {
            Ok(control::View::Tickets(tickets)) => {
                let rows: Vec<_> = tickets
                    .iter()
                    .rev()
                    .take(MAX_ROWS)
                    .map(|(number, acceptance)| to_ticket(*number, acceptance))
                    .collect();
                to_value(&rows)
            }
            _ => Err(unreachable()),
        }
    }

    async fn ticket(&self, request: &mut Request) -> Result<Value> {
        let text = reply::param(request, "number")?;
        let number = text.parse().map_err(|_| {
            unexecuted(Kind::Malformed, format!("ticket {text:?}; accepted: a number"))
        })?;
        to_value(&to_ticket(number, &self.acceptance(number).await?))
    }
}

fn program_id(request: &Request) -> Result<id::Program> {
    let deployment = reply::param(request, "deployment")?;
    Ok(id::Program::new(&deployment, &reply::param(request, "program")?))
}

fn to_ticket(number: u64, acceptance: &control::Acceptance) -> api::Ticket {
    let name = |target: &Target| match target {
        Target::Deployment(name) => format!("deployment {name}"),
        Target::Server(name) => format!("server {name}"),
        Target::Service(name) => format!("service {name}"),
    };
    api::Ticket {
        number,
        version: acceptance.version,
        in_force: acceptance.is_in_force,
        accepted_ms: acceptance.accepted_ms,
        objects: acceptance.targets.iter().map(name).collect(),
    }
}

fn to_value<T: serde::Serialize>(value: &T) -> Result<Value> {
    serde_json::to_value(value)
        .map_err(|e| protocol::answer::Refusal::new(Kind::Failed, Executed::Yes, e.to_string()))
}
