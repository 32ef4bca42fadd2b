//! Stand-in for a tool service.
//!
//! The service executes every request and does not deduplicate by idempotency key, so its
//! ledger shows each execution. The arguments of a call select its behaviour.

use crate::engine::read_json;
use crate::ledger::{Event, Ledger};
use coordination::entry::Load;
use protocol::backend::{self, IDEMPOTENCY_KEY, Outcome, Query, Report};
use salvo::http::StatusCode;
use salvo::writing::{Json, Text};
use salvo::{Request, Response, Router, handler};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time after which a hanging call fails.
const HANG_DURATION: Duration = Duration::from_secs(120);

/// Arguments of a call.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Arguments {
    /// Name of the operation, such as `charge`; repeated in the answer.
    pub op: String,
    /// Duration of the execution, in milliseconds.
    pub ms: u64,
    /// Behaviour of the service for this call.
    pub behaviour: Behaviour,
}

/// Behaviour of the tool service for one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// The call is executed and answered.
    #[default]
    Answer,
    /// The call is not executed and gets no answer.
    Hang,
    /// The call is executed and its answer is lost.
    Lose,
}

/// A tool service; clones share one state.
#[derive(Clone)]
pub struct Tool(Arc<Shared>);

struct Shared {
    ledger: Ledger,
    incarnation: u64,
    /// Number of calls in progress.
    running: AtomicU32,
    /// Answers of the executed calls by idempotency key.
    executed: Mutex<BTreeMap<String, String>>,
}

impl Tool {
    /// Creates a tool service that appends to the ledger at `path` and reports the given
    /// incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if the ledger file cannot be opened.
    pub fn new(path: &Path, incarnation: u64) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Shared {
            ledger: Ledger::open(path)?,
            incarnation,
            running: AtomicU32::new(0),
            executed: Mutex::default(),
        })))
    }

    /// Returns the routes of the service's HTTP interface.
    pub fn router(&self) -> Router {
        Router::new()
            .push(Router::with_path(backend::EXECUTE).post(Execute(self.clone())))
            .push(Router::with_path(backend::OUTCOME).post(Lookup(self.clone())))
            .push(Router::with_path(backend::LOAD).get(ReportLoad(self.clone())))
    }

    /// Executes a call; `None` if the call hangs or its answer is lost.
    async fn execute(&self, key: &str, arguments: &Arguments) -> Option<String> {
        tokio::time::sleep(Duration::from_millis(arguments.ms)).await;
        if arguments.behaviour == Behaviour::Hang {
            tokio::time::sleep(HANG_DURATION).await;
            return None;
        }
        self.0.ledger.write(Event::Execute { key: key.to_owned() });
        let answer = format!("{{\"op\":{:?},\"key\":{key:?}}}", arguments.op);
        let mut executed = self.0.executed.lock().unwrap_or_else(PoisonError::into_inner);
        executed.insert(key.to_owned(), answer.clone());
        (arguments.behaviour == Behaviour::Answer).then_some(answer)
    }
}

/// Handler that executes calls.
struct Execute(Tool);
/// Handler that returns the outcome of a call by its key.
struct Lookup(Tool);
/// Handler of the load report.
struct ReportLoad(Tool);

#[handler]
impl Execute {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let key = request.header::<String>(IDEMPOTENCY_KEY).unwrap_or_default();
        let arguments = match read_json::<Arguments>(request).await {
            Ok(arguments) => arguments,
            Err(status) => {
                response.status_code(status);
                return;
            }
        };
        self.0.0.running.fetch_add(1, Ordering::Relaxed);
        let answer = self.0.execute(&key, &arguments).await;
        self.0.0.running.fetch_sub(1, Ordering::Relaxed);
        match answer {
            Some(answer) => response.render(Text::Json(answer)),
            // An error without a body stands for a lost answer.
            None => drop(response.status_code(StatusCode::INTERNAL_SERVER_ERROR)),
        }
    }
}

#[handler]
impl Lookup {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Ok(Query { key }) = read_json::<Query>(request).await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let executed = self.0.0.executed.lock().unwrap_or_else(PoisonError::into_inner);
        response.render(Json(Outcome { answer: executed.get(&key).cloned() }));
    }
}

#[handler]
impl ReportLoad {
    async fn handle(&self, response: &mut Response) {
        let running = self.0.0.running.load(Ordering::Relaxed);
        let load = Load { incarnation: self.0.0.incarnation, running, ..Load::default() };
        response.render(Json(Report { load, version: String::new() }));
    }
}
