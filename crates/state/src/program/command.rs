//! Commands and queries of a shard.

use crate::budget::{Amount, Budget};
use crate::error::Kind;
use crate::id;
use crate::program::record::Verdict;
use serde::{Deserialize, Serialize};

/// A change to a shard; each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a program.
    Open(Open),
    /// Begins an attempt of a call.
    Begin(Begin),
    /// Settles an attempt.
    End(End),
    /// Takes back an attempt of which no byte was sent.
    Abandon {
        /// The attempt.
        attempt: id::Attempt,
        /// Its holder.
        holder: id::Holder,
    },
    /// Settles a call that cannot be repeated and whose holder is gone.
    Forfeit {
        /// The attempt.
        attempt: id::Attempt,
        /// Its holder, whose lease has run out.
        holder: id::Holder,
    },
    /// Settles a call as not run, unless an attempt of it exists.
    Refuse {
        /// The call.
        call: id::Call,
        /// Digest of service, content and limits.
        digest: id::Digest,
        /// Why.
        kind: Kind,
    },
    /// Ends a program.
    Close(Close),
    /// A backend server holds nothing of the program any more.
    Released {
        /// The program.
        program: id::Program,
        /// Name of the backend server.
        server: String,
    },
    /// Closes idle programs and drops ended ones.
    Sweep {
        /// Time since the Unix epoch, in milliseconds.
        now_ms: u64,
        /// Idleness after which an open program is closed, in milliseconds.
        idle_ms: u64,
        /// Time for which an ended program's answers are kept, in milliseconds.
        keep_ms: u64,
    },
}

/// Opens a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The program; its parent, if any, must be open.
    pub program: id::Program,
    /// What it may draw; carved out of the parent's budget.
    pub limit: Amount,
    /// Upper bound by the deployment's rules.
    pub cap: Amount,
    /// End of its time, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Labels for placement.
    pub labels: Vec<String>,
    /// Time since the Unix epoch, in milliseconds.
    pub now_ms: u64,
}

/// Begins an attempt of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The attempt.
    pub attempt: id::Attempt,
    /// When the program was opened, in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// Digest of service, content and limits.
    pub digest: id::Digest,
    /// The entry that will dispatch it.
    pub holder: id::Holder,
    /// Name of the service.
    pub service: String,
    /// Name of the backend server.
    pub server: String,
    /// Whether the call may be executed again.
    pub is_idempotent: bool,
    /// Whether the backend server keeps memory for the program.
    pub holds_memory: bool,
    /// The most that the call may draw.
    pub reserve: Amount,
    /// Upper bound of the program's budget by the deployment's rules in force.
    pub cap: Amount,
    /// Configuration revision under which the backend server was chosen.
    pub revision: u64,
    /// What the call adds to the history.
    pub messages: Vec<u8>,
    /// Why an earlier attempt may be replaced.
    pub takeover: Option<Takeover>,
    /// Time since the Unix epoch, in milliseconds.
    pub now_ms: u64,
}

/// Evidence that an earlier attempt sends nothing more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Takeover {
    /// Its holder's lease has run out by a committed record.
    Expired(id::Holder),
    /// Its holder, which begins this attempt too, has given it up.
    GivenUp,
}

/// Settles an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Its holder.
    pub holder: id::Holder,
    /// How it ended.
    pub verdict: Verdict,
    /// What it drew; never more than was reserved.
    pub spent: Amount,
    /// The answer, whole.
    pub answer: Vec<u8>,
    /// Time since the Unix epoch, in milliseconds.
    pub now_ms: u64,
}

/// Ends a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// The program; its sub-agents end with it.
    pub program: id::Program,
    /// Whether a call under way is settled as unknown instead of refusing.
    pub force: bool,
    /// Time since the Unix epoch, in milliseconds.
    pub now_ms: u64,
}

/// Answer to a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command is in effect.
    Done,
    /// The attempt may be dispatched by its holder.
    Begun,
    /// The call was settled before.
    Settled {
        /// How.
        verdict: Verdict,
        /// What it drew.
        spent: Amount,
        /// The recorded answer.
        answer: Vec<u8>,
    },
    /// Another attempt is under way.
    Busy {
        /// Its number.
        attempt: u32,
        /// Its holder; `None` once it was taken back.
        holder: Option<id::Holder>,
        /// Its service.
        service: String,
        /// Its backend server.
        server: String,
        /// Whether the call may be executed again.
        is_idempotent: bool,
    },
    /// Nothing was changed, by a committed decision.
    Refused(Refusal),
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind.
    pub kind: Kind,
    /// What was found, and what would be accepted.
    pub detail: String,
}

/// A question about applied state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The settled answer of a call.
    Answer(id::Call),
    /// What an entry needs to start a call.
    Load {
        /// The call.
        call: id::Call,
        /// Digest of service, content and limits.
        digest: id::Digest,
        /// History items that the entry has.
        known: usize,
    },
    /// One program.
    Program(id::Program),
    /// Programs of a deployment, or of all.
    List {
        /// Name of the deployment.
        deployment: Option<String>,
        /// The most programs to return.
        limit: usize,
    },
    /// The whole history of a program, item by item.
    History(id::Program),
    /// Memory that may still be held for ended programs: program and backend server.
    Backlog {
        /// The most rows to return.
        limit: usize,
    },
}

/// Answer to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// Answer of a call.
    Answer(Reply),
    /// A program, with its history from the items on that the entry has.
    Loaded {
        /// The program.
        summary: Box<Summary>,
        /// Later history items.
        history: Vec<Vec<u8>>,
    },
    /// Programs.
    Programs(Vec<Summary>),
    /// History items.
    History(Vec<Vec<u8>>),
    /// Program and backend server.
    Backlog(Vec<(id::Program, String)>),
    /// Nothing has this name.
    Refused(Refusal),
}

/// What an operator sees of a program; no content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The program.
    pub program: id::Program,
    /// Limit, reservations and expenses.
    pub budget: Budget,
    /// When it was opened, in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// End of its time, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Sequence number of the next call.
    pub next_seq: u64,
    /// Attempt under way.
    pub current: Option<(id::Attempt, id::Holder)>,
    /// Labels for placement.
    pub labels: Vec<String>,
    /// Whether it has ended.
    pub is_closed: bool,
    /// Backend servers that may hold memory for it.
    pub held: Vec<String>,
}
