//! What goes into an entry and what comes out.

use crate::Millis;
use serde::{Deserialize, Serialize};
use state::budget::Amount;
use state::control;
use state::error::{Kind, Ran};
use state::id;
use state::program::{self, Refusal, Summary};
use std::sync::Arc;

/// A caller's request for one call.
#[derive(Debug, Clone)]
pub struct Request {
    /// Names this request among the entry's requests.
    pub token: u64,
    /// The call.
    pub call: id::Call,
    /// Name of the service.
    pub service: String,
    /// What the call adds to the conversation, or the tool's arguments.
    pub content: Arc<[u8]>,
    /// Whether the call may be executed again.
    pub is_idempotent: bool,
    /// The most tokens to generate.
    pub max_tokens: u64,
    /// The most money the call may draw, in the deployment's smallest unit.
    pub cost: u64,
}

impl Request {
    /// Digest of everything that a resend must repeat.
    pub fn digest(&self) -> id::Digest {
        let mut bytes = Vec::with_capacity(self.content.len() + 64);
        bytes.extend_from_slice(self.service.as_bytes());
        bytes.push(0);
        bytes.push(u8::from(self.is_idempotent));
        bytes.extend_from_slice(&self.max_tokens.to_le_bytes());
        bytes.extend_from_slice(&self.cost.to_le_bytes());
        bytes.extend_from_slice(&self.content);
        id::Digest::of(&bytes)
    }

    /// Digest of the content alone, whatever program sends it.
    pub fn content_digest(&self) -> id::Digest {
        id::Digest::of(&self.content)
    }
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The call.
    pub call: id::Call,
    /// Why it failed; `None` if it was answered.
    pub error: Option<Refusal>,
    /// Whether the call was executed.
    pub ran: Ran,
    /// The answer, whole.
    pub content: Vec<u8>,
    /// What the call drew.
    pub spent: Amount,
}

/// A call to hand to a backend server.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Names this dispatch among the entry's dispatches.
    pub id: u64,
    /// The attempt.
    pub attempt: id::Attempt,
    /// Name of the backend server.
    pub server: String,
    /// Its host and port.
    pub address: String,
    /// What it is.
    pub role: control::Role,
    /// Name of the service.
    pub service: String,
    /// Earlier messages and answers of the program.
    pub history: Arc<Vec<Vec<u8>>>,
    /// What the call adds.
    pub content: Arc<[u8]>,
    /// The most tokens to generate.
    pub max_tokens: u64,
    /// Instant up to which it may be sent.
    pub send_before: Millis,
}

/// A question to a tool whether it executed an attempt.
#[derive(Debug, Clone)]
pub struct Lookup {
    /// Dispatch that was lost.
    pub id: u64,
    /// The attempt.
    pub attempt: id::Attempt,
    /// Host and port of the backend server.
    pub address: String,
}

/// How a dispatch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request left.
    NotSent,
    /// The backend server refused it before executing anything.
    Rejected,
    /// The connection was lost or the answer is not whole.
    Cut,
    /// The time was over.
    TimedOut,
    /// The backend server's life with this number ended.
    Crashed(u64),
}

/// News of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Backend {
    /// Tokens arrived.
    Chunk {
        /// Text.
        text: String,
        /// Tokens in the text.
        tokens: u64,
    },
    /// The answer is whole.
    Finished {
        /// The answer.
        answer: Vec<u8>,
        /// What the backend server counted.
        spent: Amount,
        /// Prompt tokens that were served from its cache.
        cached_tokens: u64,
    },
    /// The attempt failed.
    Failed(Failure),
    /// Answer to a lookup; `None` if the backend server cannot tell.
    Found(Option<Vec<u8>>),
}

/// A backend server's report of its own load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of its life.
    pub incarnation: u64,
    /// Calls it runs.
    pub running: u32,
    /// Calls it has admitted and not started.
    pub waiting: u32,
    /// Cache in use, in tokens.
    pub cache_tokens: u64,
    /// Whether it takes no new calls.
    pub is_leaving: bool,
}

/// A program as the journal has it.
#[derive(Debug, Clone)]
pub struct Loaded {
    /// The program.
    pub summary: Summary,
    /// History items that the entry had when it asked.
    pub known: usize,
    /// History items after those.
    pub history: Vec<Vec<u8>>,
}

/// The journal gave no answer in time; the command may or may not be in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreachable;

/// Input of an entry.
#[derive(Debug)]
pub enum Input {
    /// A caller makes a call.
    Call(Request),
    /// A program was loaded for operation `op`.
    Loaded {
        /// The operation.
        op: u64,
        /// The program, or a settled reply of the call.
        result: Result<Result<Box<Loaded>, program::Reply>, Unreachable>,
    },
    /// The journal answered operation `op`.
    Submitted {
        /// The operation.
        op: u64,
        /// Its reply.
        result: Result<program::Reply, Unreachable>,
    },
    /// The control journal answered operation `op`.
    Controlled {
        /// The operation.
        op: u64,
        /// Its reply.
        result: Result<control::Reply, Unreachable>,
    },
    /// News of a dispatch.
    Backend {
        /// The dispatch.
        id: u64,
        /// The news.
        event: Backend,
    },
    /// A renewal was granted.
    Renewed {
        /// This life of the instance.
        holder: id::Holder,
        /// When the renewal was sent.
        sent: Millis,
        /// Length of the lease.
        length: Millis,
        /// Newer control state, if there is one.
        snapshot: Option<Box<control::Snapshot>>,
        /// Version that each live instance obeys.
        in_force: u64,
    },
    /// The lease was given back or refused.
    Expelled,
    /// A backend server reported its load at `at`.
    Report {
        /// Name of the backend server.
        server: String,
        /// When the report was taken.
        at: Millis,
        /// The report; `None` if it did not answer.
        load: Option<Load>,
    },
    /// Backend servers that the instance list shows as leaving.
    Leaving(Vec<String>),
    /// Time passed.
    Tick,
}

/// Output of an entry.
#[derive(Debug)]
pub enum Output {
    /// Load a program.
    Load {
        /// The operation.
        op: u64,
        /// The call that needs it.
        call: id::Call,
        /// Digest of service, content and limits.
        digest: id::Digest,
        /// History items that are known.
        known: usize,
    },
    /// Submit a command to a program's journal.
    Submit {
        /// The operation.
        op: u64,
        /// The program.
        program: id::Program,
        /// The command.
        command: Box<program::Command>,
    },
    /// Submit a command to the control journal.
    Control {
        /// The operation.
        op: u64,
        /// The command.
        command: Box<control::Command>,
    },
    /// Hand a call to a backend server.
    Dispatch(Box<Dispatch>),
    /// Stop a dispatch; no more news of it are wanted.
    Cancel(u64),
    /// Ask a tool about a lost attempt.
    Lookup(Lookup),
    /// Tokens for a caller.
    Chunk {
        /// The request.
        token: u64,
        /// Attempt that generated them.
        attempt: u32,
        /// Text.
        text: String,
    },
    /// The final answer for a caller.
    Answer {
        /// The request.
        token: u64,
        /// The answer.
        answer: Answer,
    },
}

pub(crate) fn refused(call: &id::Call, kind: Kind, ran: Ran, detail: &str) -> Answer {
    let error = Some(Refusal { kind, detail: detail.to_owned() });
    Answer { call: call.clone(), error, ran, content: Vec::new(), spent: Amount::default() }
}
