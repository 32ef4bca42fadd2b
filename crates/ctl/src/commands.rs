//! Executes the commands: sends the requests and formats the output.

use crate::arguments::{
    Arguments, Command, ListAction, MemberAction, ProgramAction, QuarantineAction, RequestAction,
    TicketAction, TicketApply,
};
use crate::call;
use crate::client::{Client, Request, read_token};
use crate::error::Error;
use crate::members;
use crate::table::{Column, named_rows, render};
use protocol::api;
use reqwest::Method;
use serde_json::Value;
use state::control::Ticket;
use std::path::Path;
use std::time::Duration;

const TICKETS: [Column; 4] = [
    ("TICKET", "number"),
    ("VERSION", "version"),
    ("IN FORCE", "in_force"),
    ("OBJECTS", "objects"),
];

const INSTANCES: [Column; 5] = [
    ("INSTANCE", "name"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("STANDING", "standing"),
    ("EPOCH", "epoch"),
    ("CALLERS", "address"),
];

const SERVERS: [Column; 5] = [
    ("SERVER", "name"),
    ("SERVICE", "service"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("SLOTS", "slots"),
    ("ADDRESS", "address"),
];

const DEPLOYMENTS: [Column; 5] = [
    ("DEPLOYMENT", "name"),
    ("FAILURE DOMAINS", "failure_domains"),
    ("LATENCY", "weights.latency"),
    ("CACHE", "weights.cache"),
    ("SERVERS", "servers"),
];

const PROGRAMS: [Column; 7] = [
    ("DEPLOYMENT", "program.deployment"),
    ("PROGRAM", "program.name"),
    ("NEXT", "next_seq"),
    ("ENDED", "is_closed"),
    ("TOKENS", "budget.spent.tokens"),
    ("OF", "budget.limit.tokens"),
    ("HELD ON", "held"),
];

const QUARANTINE: [Column; 3] =
    [("DIGEST", "digest"), ("UNTIL (MS)", "until_ms"), ("CRASHED", "servers")];

const STATUS: [Column; 9] = [
    ("INSTANCE", "name"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("ANSWERS", "is_reachable"),
    ("LEASE (MS)", "lease_ms"),
    ("VERSION", "version"),
    ("IN FORCE", "in_force"),
    ("LEADS", "leads"),
    ("CALLS", "calls"),
    ("QUEUED", "queued"),
];

/// Runs a command and returns its output.
pub(crate) async fn run(arguments: Arguments) -> Result<String, Error> {
    let addresses: Vec<String> =
        arguments.operators.split(',').map(|address| address.trim().to_owned()).collect();
    let client = Client::new(addresses, read_token(arguments.token_file.as_deref())?)?;
    let is_json = arguments.json;
    match arguments.command {
        Command::Ticket(ticket) => match ticket.action {
            TicketAction::Apply(apply) => apply_ticket(&client, &apply, is_json).await,
            TicketAction::Show(show) => {
                let status = get(&client, format!("/v1/tickets/{}", show.number)).await?;
                Ok(format_rows(is_json, &TICKETS, vec![status]))
            }
            TicketAction::List(_) => list(&client, "/v1/tickets", is_json, &TICKETS).await,
        },
        Command::Deployment(command) => {
            let ListAction::List(_) = command.action;
            list_objects(&client, "deployments", is_json, &DEPLOYMENTS).await
        }
        Command::Server(command) => {
            let ListAction::List(_) = command.action;
            list_objects(&client, "servers", is_json, &SERVERS).await
        }
        Command::Instance(command) => {
            let ListAction::List(_) = command.action;
            let rows = named_rows(&get(&client, "/v1/instances".into()).await?);
            Ok(format_rows(is_json, &INSTANCES, rows))
        }
        Command::Program(program) => run_program_action(&client, program.action, is_json).await,
        Command::Quarantine(quarantine) => match quarantine.action {
            QuarantineAction::List(_) => {
                list(&client, "/v1/quarantine", is_json, &QUARANTINE).await
            }
            QuarantineAction::Lift(lift) => {
                let path = format!("/v1/quarantine/{}", lift.digest);
                send_action(&client, Method::DELETE, path, "lifted").await
            }
        },
        Command::Drain(drain) => {
            let path = format!("/v1/drain/{}?undo={}", drain.instance, drain.undo);
            let message = if drain.undo { "live again" } else { "draining" };
            send_action(&client, Method::POST, path, message).await
        }
        Command::Dump(dump) => {
            let section =
                dump.section.map_or(String::new(), |section| format!("?section={section}"));
            let dump = get(&client, format!("/v1/dump/{}{section}", dump.instance)).await?;
            Ok(to_pretty_json(&dump))
        }
        Command::Call(call_arguments) => {
            let response = call::run(&client, call_arguments).await?;
            let content = response["content"].as_str().unwrap_or_default().to_owned();
            Ok(if is_json { to_pretty_json(&response) } else { content })
        }
        Command::Status(_) => list(&client, "/v1/status", is_json, &STATUS).await,
        Command::Member(member) => match member.action {
            MemberAction::List(_) => {
                Ok(format_rows(is_json, &members::MEMBERS, members::members(&client).await?))
            }
            MemberAction::Status(_) => {
                Ok(format_rows(is_json, &members::STATUS, members::status(&client).await?))
            }
        },
        Command::Request(request) => {
            let RequestAction::Show(show) = request.action;
            let records = members::request_records(&client, &show.id).await?;
            Ok(format_rows(is_json, &members::REQUESTS, records))
        }
    }
}

async fn get(client: &Client, path: String) -> Result<Value, Error> {
    client.send(&Request::new(Method::GET, path)).await
}

/// Lists the JSON array at `path`.
async fn list(
    client: &Client,
    path: &str,
    is_json: bool,
    columns: &[Column],
) -> Result<String, Error> {
    let rows = get(client, path.to_owned()).await?;
    Ok(format_rows(is_json, columns, rows.as_array().cloned().unwrap_or_default()))
}

/// Lists the objects of one class of the configuration.
async fn list_objects(
    client: &Client,
    class: &str,
    is_json: bool,
    columns: &[Column],
) -> Result<String, Error> {
    let config = get(client, "/v1/config".into()).await?;
    Ok(format_rows(is_json, columns, named_rows(&config[class])))
}

/// Sends a request without a body and returns `message` if it is accepted.
async fn send_action(
    client: &Client,
    method: Method,
    path: String,
    message: &str,
) -> Result<String, Error> {
    client.send(&Request::new(method, path)).await?;
    Ok(message.to_owned())
}

async fn run_program_action(
    client: &Client,
    action: ProgramAction,
    is_json: bool,
) -> Result<String, Error> {
    match action {
        ProgramAction::List(filter) => {
            let query = filter
                .deployment
                .map_or(String::new(), |deployment| format!("?deployment={deployment}"));
            list(client, &format!("/v1/programs{query}"), is_json, &PROGRAMS).await
        }
        ProgramAction::Show(show) => {
            let path = format!("/v1/programs/{}", validate_program_path(&show.program)?);
            list(client, &path, is_json, &PROGRAMS).await
        }
        ProgramAction::Cancel(cancel) => {
            let path = format!("/v1/programs/{}", validate_program_path(&cancel.program)?);
            send_action(client, Method::DELETE, path, "cancelled").await
        }
    }
}

fn validate_program_path(program: &str) -> Result<&str, Error> {
    match program.split_once('/') {
        Some((deployment, name)) if !deployment.is_empty() && !name.is_empty() => Ok(program),
        _ => Err(Error::Usage(format!("invalid program {program:?}; expected DEPLOYMENT/PROGRAM"))),
    }
}

async fn apply_ticket(
    client: &Client,
    apply: &TicketApply,
    is_json: bool,
) -> Result<String, Error> {
    let ticket = read_ticket(&apply.file)?;
    let body = serde_json::to_value(&ticket).map_err(|error| Error::Usage(error.to_string()))?;
    let path = format!("/v1/tickets?wait_ms={}", apply.wait);
    let wait = Duration::from_millis(apply.wait);
    let request = Request { body: Some(body), wait, ..Request::new(Method::POST, path) };
    let response = client.send(&request).await?;
    let is_in_force =
        serde_json::from_value::<api::Ticket>(response.clone()).is_ok_and(|status| status.in_force);
    if apply.wait > 0 && !is_in_force {
        return Err(Error::NotInForce(ticket.number));
    }
    Ok(format_rows(is_json, &TICKETS, vec![response]))
}

fn read_ticket(path: &Path) -> Result<Ticket, Error> {
    let usage_error = |error: String| Error::Usage(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| usage_error(error.to_string()))?;
    let is_json = path.extension().is_some_and(|extension| extension == "json");
    match is_json {
        true => serde_json::from_str(&text).map_err(|error| usage_error(error.to_string())),
        false => toml::from_str(&text).map_err(|error| usage_error(error.to_string())),
    }
}

fn format_rows(is_json: bool, columns: &[Column], rows: Vec<Value>) -> String {
    match is_json {
        true => to_pretty_json(&Value::Array(rows)),
        false => render(columns, &rows),
    }
}

fn to_pretty_json(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
