//! Inputs and outputs of the entry state machine.
//!
//! The transport layer turns network events into [`Input`] and performs each [`Output`].

use crate::Millis;
use serde::{Deserialize, Serialize};
use state::budget::Amount;
use state::control;
use state::error::{Executed, Kind};
use state::id;
use state::program::{self, Refusal, Summary};
use std::sync::Arc;

/// A caller's request to execute one call.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifies this request among the requests of this entry.
    pub request_id: u64,
    /// Program and sequence number of the call.
    pub call: id::Call,
    /// Name of the service that executes the call.
    pub service: String,
    /// What the call adds to the conversation, or the tool's arguments.
    pub content: Arc<[u8]>,
    /// Whether the call may be executed more than once.
    pub is_idempotent: bool,
    /// Upper bound of the tokens to generate.
    pub max_tokens: u64,
    /// Upper bound of the call's cost, in the deployment's smallest currency unit.
    pub cost: u64,
}

impl Request {
    /// Digest of all fields that must be equal when a caller resends the call.
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

    /// Digest of the content alone, independent of the program that sends it.
    pub fn content_digest(&self) -> id::Digest {
        id::Digest::of(&self.content)
    }
}

/// Final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Program and sequence number of the call.
    pub call: id::Call,
    /// Why the call failed; `None` if it was answered.
    pub error: Option<Refusal>,
    /// Whether the call was executed.
    pub executed: Executed,
    /// The complete answer; empty if the call was not answered.
    pub content: Vec<u8>,
    /// What the call was charged.
    pub spent: Amount,
}

/// One attempt of a call, to be sent to a backend server.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Identifies this dispatch among the dispatches of this entry.
    pub id: u64,
    /// Call and attempt number.
    pub attempt: id::Attempt,
    /// Name of the backend server.
    pub server: String,
    /// Host and port of the backend server.
    pub address: String,
    /// Whether the backend server is an engine or a tool.
    pub role: control::Role,
    /// Name of the service that executes the call.
    pub service: String,
    /// Earlier messages and answers of the program.
    pub history: Arc<Vec<Vec<u8>>>,
    /// What the call adds to the conversation, or the tool's arguments.
    pub content: Arc<[u8]>,
    /// Upper bound of the tokens to generate.
    pub max_tokens: u64,
    /// The request must not be sent at or after this time, when the lease expires.
    pub send_before: Millis,
}

/// A query to a tool whether it executed an attempt whose answer was lost.
#[derive(Debug, Clone)]
pub struct Lookup {
    /// Identifier of the dispatch whose answer was lost.
    pub id: u64,
    /// Call and attempt number that the tool is queried about.
    pub attempt: id::Attempt,
    /// Host and port of the backend server.
    pub address: String,
}

/// How a dispatch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The backend server refused the request before executing any of it.
    Rejected,
    /// The connection was lost or the answer is incomplete.
    Lost,
    /// The service's timeout expired.
    TimedOut,
    /// The backend server's incarnation with this number ended.
    Crashed(u64),
}

/// Event of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Part of a streamed answer.
    Chunk {
        /// Generated text.
        text: String,
        /// Tokens in the text.
        tokens: u64,
    },
    /// The answer is complete.
    Finished {
        /// The complete answer.
        answer: Vec<u8>,
        /// Usage as counted by the backend server.
        spent: Amount,
        /// Prompt tokens that were served from the backend server's cache.
        cached_tokens: u64,
    },
    /// The attempt ended without an answer.
    Failed(Failure),
    /// Result of a lookup: the recorded answer, or `None` if the tool returned none within
    /// the timeout.
    Found(Option<Vec<u8>>),
}

/// Load that a backend server reports of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Identifies the run of the backend server's process; changes with each restart.
    pub incarnation: u64,
    /// Calls that it executes now.
    pub running: u32,
    /// Calls that it has admitted and not started.
    pub waiting: u32,
    /// Size of the used part of its cache, in tokens.
    pub cache_tokens: u64,
    /// Whether it is about to stop and accepts no new calls.
    pub is_leaving: bool,
}

/// State of a program as read from its journal.
#[derive(Debug, Clone)]
pub struct Loaded {
    /// Everything but the history.
    pub summary: Summary,
    /// Number of history items that the entry had cached when it sent the query.
    pub cached_items: usize,
    /// History items after the cached ones.
    pub history: Vec<Vec<u8>>,
}

/// The journal did not respond within the timeout; a submitted command may or may not be in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreachable;

/// Input of an entry.
#[derive(Debug)]
pub enum Input {
    /// A caller sent a call.
    Call(Request),
    /// Result of [`Output::LoadProgram`].
    ProgramLoaded {
        /// Identifier of the operation.
        op: u64,
        /// The program, or the journal's reply if the call is already decided.
        result: Result<Result<Box<Loaded>, program::Reply>, Unreachable>,
    },
    /// Result of [`Output::Submit`].
    Submitted {
        /// Identifier of the operation.
        op: u64,
        /// Reply of the program's journal.
        result: Result<program::Reply, Unreachable>,
    },
    /// Result of [`Output::Control`].
    ControlReply {
        /// Identifier of the operation.
        op: u64,
        /// Reply of the control journal.
        result: Result<control::Reply, Unreachable>,
    },
    /// Something happened to a dispatch.
    DispatchEvent {
        /// Identifier of the dispatch.
        id: u64,
        /// What happened.
        event: Event,
    },
    /// The control leader granted or renewed the lease.
    LeaseRenewed {
        /// Lease holder: this instance and its incarnation.
        holder: id::Holder,
        /// Time at which the renewal was sent; the lease runs from then.
        sent_at: Millis,
        /// Duration of the lease, in milliseconds.
        length: Millis,
        /// Newer control state, if there is one.
        snapshot: Option<Box<control::Snapshot>>,
        /// Version of the control state that every instance that may dispatch has applied.
        in_force: u64,
    },
    /// The lease was released, or its renewal was refused.
    LeaseEnded,
    /// The load of a backend server was polled.
    LoadReport {
        /// Name of the backend server.
        server: String,
        /// Time at which the load was polled.
        at: Millis,
        /// The reported load; `None` if the backend server did not answer.
        load: Option<Load>,
    },
    /// Names of the backend servers that the platform's instance list shows as leaving.
    LeavingServers(Vec<String>),
    /// Periodic timer, for everything that depends on the time alone.
    Tick,
}

/// Output of an entry.
#[derive(Debug)]
pub enum Output {
    /// Load a program from its journal.
    LoadProgram {
        /// Identifier of the operation.
        op: u64,
        /// The call that needs the program.
        call: id::Call,
        /// [Digest of the request](Request::digest).
        digest: id::Digest,
        /// Number of history items that are cached and need not be sent.
        cached_items: usize,
    },
    /// Submit a command to a program's journal.
    Submit {
        /// Identifier of the operation.
        op: u64,
        /// The program, which determines the journal.
        program: id::Program,
        /// The command to commit.
        command: Box<program::Command>,
    },
    /// Submit a command to the control journal.
    Control {
        /// Identifier of the operation.
        op: u64,
        /// The command to commit.
        command: Box<control::Command>,
    },
    /// Send a call to a backend server.
    Dispatch(Box<Dispatch>),
    /// Cancel the dispatch with this identifier; further events of it are ignored.
    Cancel(u64),
    /// Query a tool about an attempt whose answer was lost.
    Lookup(Lookup),
    /// Part of a streamed answer for a caller.
    Chunk {
        /// Identifier of the request.
        request_id: u64,
        /// Number of the attempt that generated the text.
        attempt: u32,
        /// Generated text.
        text: String,
    },
    /// Final answer for a caller.
    Answer {
        /// Identifier of the request.
        request_id: u64,
        /// Content, or why there is none.
        answer: Answer,
    },
}

/// An answer that carries an error and no content.
pub(crate) fn error_answer(
    call: &id::Call,
    kind: Kind,
    executed: Executed,
    detail: &str,
) -> Answer {
    let error = Some(Refusal { kind, detail: detail.to_owned() });
    Answer { call: call.clone(), error, executed, content: Vec::new(), spent: Amount::default() }
}
