//! State of one call in progress on an entry.
//!
//! A call passes through [`Stage`]s: its program is loaded, it is queued, its attempt is
//! committed, dispatched and settled.

use crate::Millis;
use crate::entry::input::{Answer, Request, error_answer};
use state::error::{Executed, Kind};
use state::id;
use state::program::{Begin, Command, Outcome, Refusal, Reply, Takeover};
use std::sync::Arc;

/// Stage of a call in progress.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Its program is being loaded.
    Loading,
    /// It waits until its program is loaded again.
    Waiting,
    /// It waits for a backend server.
    Queued,
    /// The start of its attempt is being committed.
    Beginning(Box<Begin>),
    /// A backend server executes it.
    Running(Running),
    /// A tool is queried about an attempt whose answer was lost.
    LookingUp(Running),
    /// Its outcome is being committed.
    Settling(Box<Command>),
    /// A crash is being reported to the control journal.
    Reporting {
        /// Name of the backend server.
        server: String,
        /// Incarnation of the backend server that crashed.
        incarnation: u64,
    },
}

impl Stage {
    /// Name in dumps.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Stage::Loading => "loading",
            Stage::Waiting => "waiting",
            Stage::Queued => "queued",
            Stage::Beginning(_) => "beginning",
            Stage::Running(_) => "running",
            Stage::LookingUp(_) => "looking_up",
            Stage::Settling(_) => "settling",
            Stage::Reporting { .. } => "reporting",
        }
    }
}

/// A dispatched attempt.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) dispatch: u64,
    pub(crate) server: String,
    /// Time at which the attempt or lookup times out.
    pub(crate) deadline: Millis,
}

/// A call in progress.
#[derive(Debug)]
pub(crate) struct Active {
    pub(crate) request: Request,
    /// [Digest of the request](Request::digest), by which resends are compared.
    pub(crate) request_digest: id::Digest,
    /// [Digest of the content](Request::content_digest), by which it is quarantined.
    pub(crate) content_digest: id::Digest,
    /// Identifiers of the requests that wait for the answer.
    pub(crate) waiters: Vec<u64>,
    pub(crate) stage: Stage,
    /// Time at which the stage is retried, if a retry is scheduled.
    pub(crate) due: Option<Millis>,
    /// Operation whose result the stage waits for.
    pub(crate) op: Option<u64>,
    /// Highest known attempt number; 0 before the first attempt.
    pub(crate) attempt: u32,
    /// Why the next attempt may replace the previous one.
    pub(crate) takeover: Option<Takeover>,
    /// Incarnation of this instance that holds the attempt, once the attempt has begun.
    pub(crate) holder: Option<id::Holder>,
    pub(crate) arrival_order: u64,
    pub(crate) arrived_at: Millis,
    /// Time at which the wait for a backend server or for the journal ends.
    pub(crate) deadline: Millis,
    /// Number of retries of the call.
    pub(crate) retries: u32,
    /// Text that the current attempt has streamed.
    pub(crate) output_text: String,
    pub(crate) output_tokens: u64,
    pub(crate) program: Option<Arc<Cached>>,
    /// Whether it was running when a backend server crashed; known here before the control
    /// state lists the content as suspect.
    pub(crate) is_suspect: bool,
    /// Whether this call is the trial run of suspect content.
    pub(crate) is_trial: bool,
}

impl Active {
    /// Creates a call that has just arrived.
    pub(crate) fn new(request: Request, now: Millis, arrival_order: u64, deadline: Millis) -> Self {
        Self {
            request_digest: request.digest(),
            content_digest: request.content_digest(),
            waiters: vec![request.request_id],
            request,
            stage: Stage::Loading,
            due: None,
            op: None,
            attempt: 0,
            takeover: None,
            holder: None,
            arrival_order,
            arrived_at: now,
            deadline,
            retries: 0,
            output_text: String::new(),
            output_tokens: 0,
            program: None,
            is_suspect: false,
            is_trial: false,
        }
    }

    pub(crate) fn call(&self) -> &id::Call {
        &self.request.call
    }

    /// Attempt with the highest known number.
    pub(crate) fn attempt(&self) -> id::Attempt {
        id::Attempt { call: self.call().clone(), number: self.attempt }
    }

    /// Whether it waits for a backend server.
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.stage, Stage::Queued)
    }

    /// Size of the prompt in bytes: the program's history and this call's content.
    pub(crate) fn prompt_bytes(&self) -> u64 {
        let history = self.program.as_ref().map_or(0, |program| program.bytes);
        history + self.request.content.len() as u64
    }

    /// Discards the output of a lost attempt.
    pub(crate) fn reset_output(&mut self) {
        self.output_text.clear();
        self.output_tokens = 0;
    }
}

/// A cached program.
#[derive(Debug)]
pub(crate) struct Cached {
    pub(crate) labels: Vec<String>,
    /// Unix time at which it was opened, in milliseconds.
    pub(crate) opened_ms: u64,
    /// Unix time after which no new call of the program begins, in milliseconds.
    pub(crate) deadline_ms: u64,
    pub(crate) next_seq: u64,
    /// Tokens that the program has been charged.
    pub(crate) attained_tokens: u64,
    pub(crate) history: Arc<Vec<Vec<u8>>>,
    /// Size of the history, in bytes.
    pub(crate) bytes: u64,
}

/// Converts the journal's settled reply to an answer for the caller.
pub(crate) fn settled_answer(call: &id::Call, reply: Reply) -> Answer {
    let Reply::Settled { outcome, spent, answer } = reply else {
        return error_answer(
            call,
            Kind::Unknown,
            Executed::Unknown,
            "unexpected reply from the journal",
        );
    };
    let (error, executed) = match outcome {
        Outcome::Answered => (None, Executed::Yes),
        Outcome::NotExecuted(kind) => (Some(kind), Executed::No),
        Outcome::Failed(kind) => (Some(kind), Executed::Yes),
        Outcome::Unknown(kind) => (Some(kind), Executed::Unknown),
    };
    let error = error.map(|kind| Refusal { kind, detail: format!("call {call}") });
    Answer { call: call.clone(), error, executed, content: answer, spent }
}
