//! Stand-in for a tool service.
//!
//! It executes whatever arrives and never recognises a repeated key, so its ledger shows
//! every execution. A call's arguments say how it behaves.

use crate::engine::body;
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

/// Time for which a hanging call keeps its connection.
const HANG: Duration = Duration::from_secs(120);

/// Arguments of a call.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Arguments {
    /// What to do, such as `charge`.
    pub op: String,
    /// Time that it takes, in milliseconds.
    pub ms: u64,
    /// How it behaves.
    pub behaviour: Behaviour,
}

/// How a call behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// It is executed and answered.
    #[default]
    Answer,
    /// It is not executed, and nothing is answered.
    Hang,
    /// It is executed, and the answer is lost.
    Lose,
}

/// A tool service.
#[derive(Clone)]
pub struct Tool(Arc<Shared>);

struct Shared {
    ledger: Ledger,
    incarnation: u64,
    running: AtomicU32,
    executed: Mutex<BTreeMap<String, String>>,
}

impl Tool {
    /// A tool service that writes to the ledger at `path`.
    ///
    /// # Errors
    ///
    /// Returns the error of the ledger file.
    pub fn new(path: &Path, incarnation: u64) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Shared {
            ledger: Ledger::open(path)?,
            incarnation,
            running: AtomicU32::new(0),
            executed: Mutex::default(),
        })))
    }

    /// Routes of the tool.
    pub fn router(&self) -> Router {
        Router::new()
            .push(Router::with_path(backend::EXECUTE).post(Execute(self.clone())))
            .push(Router::with_path(backend::OUTCOME).post(Tell(self.clone())))
            .push(Router::with_path(backend::LOAD).get(Loaded(self.clone())))
    }

    /// Executes a call; `None` if the answer is lost.
    async fn execute(&self, key: &str, arguments: &Arguments) -> Option<String> {
        tokio::time::sleep(Duration::from_millis(arguments.ms)).await;
        if arguments.behaviour == Behaviour::Hang {
            tokio::time::sleep(HANG).await;
            return None;
        }
        self.0.ledger.write(Event::Execute { key: key.to_owned() });
        let answer = format!("{{\"op\":{:?},\"key\":{key:?}}}", arguments.op);
        let mut executed = self.0.executed.lock().unwrap_or_else(PoisonError::into_inner);
        executed.insert(key.to_owned(), answer.clone());
        (arguments.behaviour == Behaviour::Answer).then_some(answer)
    }
}

struct Execute(Tool);
struct Tell(Tool);
struct Loaded(Tool);

#[handler]
impl Execute {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let key = request.header::<String>(IDEMPOTENCY_KEY).unwrap_or_default();
        let arguments = match body::<Arguments>(request).await {
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
            // An answer that says nothing stands for one that is lost.
            None => drop(response.status_code(StatusCode::INTERNAL_SERVER_ERROR)),
        }
    }
}

#[handler]
impl Tell {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Ok(Query { key }) = body::<Query>(request).await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let executed = self.0.0.executed.lock().unwrap_or_else(PoisonError::into_inner);
        response.render(Json(Outcome { answer: executed.get(&key).cloned() }));
    }
}

#[handler]
impl Loaded {
    async fn handle(&self, response: &mut Response) {
        let running = self.0.0.running.load(Ordering::Relaxed);
        let load = Load { incarnation: self.0.0.incarnation, running, ..Load::default() };
        response.render(Json(Report { load, version: String::new() }));
    }
}
