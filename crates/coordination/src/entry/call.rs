//! One call under way on an entry.

use crate::Millis;
use crate::entry::input::{Answer, Request, refused};
use state::error::{Kind, Ran};
use state::id;
use state::program::{Begin, Command, Refusal, Reply, Takeover, Verdict};
use std::sync::Arc;

/// Where a call stands.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Its program is being loaded.
    Loading,
    /// It waits before its program is loaded again.
    Waiting,
    /// It waits for a backend server.
    Queued,
    /// Its Begin is being committed.
    Beginning(Box<Begin>),
    /// A backend server runs it.
    Running(Running),
    /// A tool is asked about a lost attempt.
    LookingUp(Running),
    /// Its outcome is being committed.
    Settling(Box<Command>),
    /// A crash is being reported to the control journal.
    Reporting {
        /// Name of the backend server.
        server: String,
        /// Life of the backend server that ended.
        incarnation: u64,
    },
}

impl Stage {
    /// Short name for a dump.
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

/// An attempt that was dispatched.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) dispatch: u64,
    pub(crate) server: String,
    pub(crate) until: Millis,
}

/// A call under way.
#[derive(Debug)]
pub(crate) struct Active {
    pub(crate) request: Request,
    pub(crate) digest: id::Digest,
    pub(crate) content: id::Digest,
    /// Requests that wait for the answer.
    pub(crate) waiters: Vec<u64>,
    pub(crate) stage: Stage,
    /// When the stage is tried again.
    pub(crate) due: Option<Millis>,
    /// Operation whose result the stage waits for.
    pub(crate) op: Option<u64>,
    /// Highest attempt number known.
    pub(crate) attempt: u32,
    pub(crate) takeover: Option<Takeover>,
    /// Life of this instance that holds the attempt, once it is begun.
    pub(crate) holder: Option<id::Holder>,
    pub(crate) arrival: u64,
    pub(crate) since: Millis,
    pub(crate) deadline: Millis,
    pub(crate) retries: u32,
    pub(crate) text: String,
    pub(crate) tokens: u64,
    pub(crate) program: Option<Arc<Cached>>,
    /// Whether it was present at a crash; known here before the control state shows it.
    pub(crate) was_at_crash: bool,
    /// Whether this call runs alone as suspect content.
    pub(crate) is_trial: bool,
}

impl Active {
    /// A call that just arrived.
    pub(crate) fn new(request: Request, now: Millis, arrival: u64, deadline: Millis) -> Self {
        Self {
            digest: request.digest(),
            content: request.content_digest(),
            waiters: vec![request.token],
            request,
            stage: Stage::Loading,
            due: None,
            op: None,
            attempt: 0,
            takeover: None,
            holder: None,
            arrival,
            since: now,
            deadline,
            retries: 0,
            text: String::new(),
            tokens: 0,
            program: None,
            was_at_crash: false,
            is_trial: false,
        }
    }

    /// The call.
    pub(crate) fn call(&self) -> &id::Call {
        &self.request.call
    }

    /// The attempt with the highest number known.
    pub(crate) fn attempt(&self) -> id::Attempt {
        id::Attempt { call: self.call().clone(), number: self.attempt }
    }

    /// Whether it waits for a backend server.
    pub(crate) fn is_queued(&self) -> bool {
        matches!(self.stage, Stage::Queued)
    }

    /// Prompt size of the loaded program and this call, in bytes.
    pub(crate) fn prompt_bytes(&self) -> u64 {
        let history = self.program.as_ref().map_or(0, |program| program.bytes);
        history + self.request.content.len() as u64
    }

    /// Forgets the output of a lost attempt.
    pub(crate) fn reset_output(&mut self) {
        self.text.clear();
        self.tokens = 0;
    }
}

/// A loaded program.
#[derive(Debug)]
pub(crate) struct Cached {
    pub(crate) labels: Vec<String>,
    /// When it was opened, in milliseconds since the Unix epoch.
    pub(crate) opened_ms: u64,
    /// End of its time, in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: u64,
    pub(crate) next_seq: u64,
    pub(crate) attained_tokens: u64,
    pub(crate) history: Arc<Vec<Vec<u8>>>,
    /// Size of the history, in bytes.
    pub(crate) bytes: u64,
}

/// Turns the journal's settled reply into an answer.
pub(crate) fn settled(call: &id::Call, reply: Reply) -> Answer {
    let Reply::Settled { verdict, spent, answer } = reply else {
        return refused(call, Kind::Unknown, Ran::Unknown, "the journal gave another reply");
    };
    let (error, ran) = match verdict {
        Verdict::Answered => (None, Ran::Yes),
        Verdict::NotRun(kind) => (Some(kind), Ran::No),
        Verdict::Failed(kind) => (Some(kind), Ran::Yes),
        Verdict::Unknown(kind) => (Some(kind), Ran::Unknown),
    };
    let error = error.map(|kind| Refusal { kind, detail: format!("call {call}") });
    Answer { call: call.clone(), error, ran, content: answer, spent }
}
