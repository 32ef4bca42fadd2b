//! Commands and queries of a shard, with their replies.

use crate::budget::{Amount, Budget};
use crate::error::Kind;
use crate::id;
use crate::program::record::Outcome;
use serde::{Deserialize, Serialize};

/// A change to a shard. Each command is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a program.
    Open(Open),
    /// Begins an attempt of a call.
    Begin(Begin),
    /// Ends an attempt and settles its call.
    End(End),
    /// Abandons an attempt that was not executed: it was not sent, or the backend server
    /// rejected it.
    Abandon {
        /// Attempt to abandon.
        attempt: id::Attempt,
        /// Lease holder that began the attempt.
        holder: id::Holder,
    },
    /// Settles a call as [`Outcome::Unknown`]: it is not idempotent and the lease of the holder
    /// that began its attempt has expired.
    SettleUnknown {
        /// Attempt whose outcome is unknown.
        attempt: id::Attempt,
        /// Lease holder that began the attempt; its lease has expired.
        holder: id::Holder,
    },
    /// Settles a call as [`Outcome::NotExecuted`], or as [`Outcome::Unknown`] if an earlier
    /// attempt may have been executed. Has no effect while an attempt is in progress.
    Refuse {
        /// Call to settle.
        call: id::Call,
        /// Digest of service, content and limits.
        digest: id::Digest,
        /// Reason of the refusal.
        kind: Kind,
    },
    /// Ends a program.
    Close(Close),
    /// Records that a backend server has released all memory of a program.
    ConfirmRelease {
        /// Program whose memory was released.
        program: id::Program,
        /// Name of the backend server.
        server: String,
    },
    /// Closes idle programs and removes ended ones.
    Expire {
        /// Current time, in milliseconds since the Unix epoch.
        now_ms: u64,
        /// Idle time after which an open program is closed, in milliseconds.
        idle_ms: u64,
        /// Time for which the answers of an ended program are retained, in milliseconds.
        keep_ms: u64,
    },
}

/// Parameters of [`Command::Open`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Program to open; if it is a sub-agent, its parent must be open.
    pub program: id::Program,
    /// Requested budget; a sub-agent's is reserved in the budget of its parent.
    pub limit: Amount,
    /// Upper bound of `limit` under the deployment's rules.
    pub cap: Amount,
    /// Time after which no new call begins, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Labels that restrict the placement of the program's calls.
    pub labels: Vec<String>,
    /// Current time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Parameters of [`Command::Begin`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Attempt to begin.
    pub attempt: id::Attempt,
    /// Time at which the program was opened, in milliseconds since the Unix epoch; identifies
    /// the program among successive programs of the same name.
    pub opened_ms: u64,
    /// Digest of service, content and limits.
    pub digest: id::Digest,
    /// Lease holder that will dispatch the attempt.
    pub holder: id::Holder,
    /// Name of the service.
    pub service: String,
    /// Name of the backend server.
    pub server: String,
    /// Whether the call may be executed more than once.
    pub is_idempotent: bool,
    /// Whether the backend server holds memory for the program until it is released, such as
    /// cached prompt prefixes.
    pub holds_memory: bool,
    /// Maximum amount that the attempt can spend.
    pub reservation: Amount,
    /// Upper bound of the program's budget under the deployment's rules in force.
    pub cap: Amount,
    /// Configuration revision under which the backend server was chosen.
    pub revision: u64,
    /// Messages that the call adds to the program's history.
    pub messages: Vec<u8>,
    /// Evidence that allows replacing an attempt in progress; `None` if none is in progress.
    pub takeover: Option<Takeover>,
    /// Current time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Evidence that the lease holder of an earlier attempt dispatches nothing more for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Takeover {
    /// The control journal has recorded that the holder's lease expired.
    Expired(id::Holder),
    /// The same holder begins the new attempt, after the earlier one failed or was cancelled.
    SameHolder,
}

/// Parameters of [`Command::End`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Attempt that ended.
    pub attempt: id::Attempt,
    /// Lease holder that began the attempt.
    pub holder: id::Holder,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Amount that the attempt spent; limited to its reservation.
    pub spent: Amount,
    /// Complete answer of the backend server.
    pub answer: Vec<u8>,
    /// Current time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Parameters of [`Command::Close`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Close {
    /// Program to end; its sub-agents end with it.
    pub program: id::Program,
    /// Whether to settle a call in progress as unknown; otherwise such a call makes the command
    /// fail with [`Kind::Busy`].
    pub force: bool,
    /// Current time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Reply to a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command is in effect.
    Done,
    /// The attempt is recorded and its holder may dispatch it.
    Begun,
    /// The call is settled, by this command or an earlier one.
    Settled {
        /// Outcome of the call.
        outcome: Outcome,
        /// Total amount that all attempts of the call spent.
        spent: Amount,
        /// Recorded answer; empty if there is none.
        answer: Vec<u8>,
    },
    /// Another attempt of the call is in progress.
    Busy {
        /// Number of that attempt.
        attempt: u32,
        /// Lease holder that began it; `None` if it was abandoned.
        holder: Option<id::Holder>,
        /// Name of the service.
        service: String,
        /// Name of the backend server.
        server: String,
        /// Whether the call may be executed more than once.
        is_idempotent: bool,
    },
    /// The command is refused and changed nothing; the decision itself is committed.
    Refused(Refusal),
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Error kind, from which the status code for the caller follows.
    pub kind: Kind,
    /// Explanation: what was found and what would be accepted.
    pub detail: String,
}

/// A read of the applied state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Recorded answer of a call.
    Answer(id::Call),
    /// Program state that an entry instance needs to start a call.
    Load {
        /// Call to start.
        call: id::Call,
        /// Digest of service, content and limits.
        digest: id::Digest,
        /// Number of history items that the entry instance has cached.
        cached_items: usize,
    },
    /// Summary of one program.
    Program(id::Program),
    /// Summaries of the programs of one deployment or of all deployments.
    List {
        /// Name of the deployment; `None` for all.
        deployment: Option<String>,
        /// Maximum number of programs to return.
        limit: usize,
    },
    /// Complete history of a program, item by item.
    History(id::Program),
    /// Ended programs and the backend servers that may still hold memory for them.
    Backlog {
        /// Maximum number of rows to return.
        limit: usize,
    },
}

/// Result of a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// State of a call: settled, in progress or refused.
    Answer(Reply),
    /// A program, for a call that is not settled.
    Loaded {
        /// Summary of the program.
        summary: Box<Summary>,
        /// History items after those that the entry instance has cached.
        history: Vec<Vec<u8>>,
    },
    /// Programs, in the order of their ids.
    Programs(Vec<Summary>),
    /// History items, oldest first.
    History(Vec<Vec<u8>>),
    /// Pairs of an ended program and a backend server that may hold memory for it.
    Backlog(Vec<(id::Program, String)>),
    /// The query cannot be answered, for example because no such program exists.
    Refused(Refusal),
}

/// Summary of a program, without content of its calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Id of the program.
    pub program: id::Program,
    /// Limit, reserved and spent amounts.
    pub budget: Budget,
    /// Time at which the program was opened, in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// Time after which no new call begins, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Sequence number of the next call.
    pub next_seq: u64,
    /// Attempt in progress and its lease holder.
    pub current: Option<(id::Attempt, id::Holder)>,
    /// Labels that restrict the placement of the program's calls.
    pub labels: Vec<String>,
    /// Whether the program has ended.
    pub is_closed: bool,
    /// Names of the backend servers that may hold memory for the program.
    pub held: Vec<String>,
}
