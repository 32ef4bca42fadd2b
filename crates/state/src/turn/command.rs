//! Commands, queries and replies of the turn journal.

use serde::{Deserialize, Serialize};

/// A change of the turn journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A turn is about to be sent to a backend server.
    Begin(Begin),
    /// A turn has ended, or was given up before it was sent.
    End(End),
}

/// A turn that is about to be sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Id of the turn's request.
    pub turn: String,
    /// Tokens to reserve; `None` for a turn without a budget.
    pub reserve: Option<Reserve>,
    /// Turn that this one continues from.
    pub previous: Option<String>,
    /// How long turns of the chain are kept from now on, in milliseconds.
    pub keep_ms: u64,
    /// Time of day at the sender, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// A claim on a program's token budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// The program.
    pub program: String,
    /// Tokens that all its turns may draw.
    pub budget: u64,
    /// The most that this turn can draw.
    pub most: u64,
}

/// The end of a turn.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Id of the turn's request.
    pub turn: String,
    /// Program whose budget is charged.
    pub program: Option<String>,
    /// Tokens that reached the caller.
    pub tokens: u64,
    /// Backend server that ran it.
    pub server: Option<String>,
    /// What later turns may continue from.
    pub record: Option<Record>,
    /// Time of day at the sender, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// What is kept of a turn.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Turn that it continued from.
    pub previous: Option<String>,
    /// Its input, then the data of its events.
    #[serde(with = "serde_bytes")]
    pub content: Vec<u8>,
    /// How long it is kept, in milliseconds.
    pub keep_ms: u64,
}

/// Answer to a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The end is recorded, now or before.
    Done,
    /// The turn may be sent.
    Begun {
        /// Backend server that ran the program's last turn, and may hold its cache.
        server: Option<String>,
    },
    /// The budget does not cover the most that the turn can draw.
    Exhausted {
        /// Tokens that are neither drawn nor reserved.
        left: u64,
    },
    /// The turn to continue from was never kept, or no longer is.
    NoSuchTurn,
    /// The turn has ended before; it must not be sent.
    Ended,
}

/// A question about the turn journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Content of a turn and of all before it, oldest first; answered by `Option<Vec<u8>>`.
    Chain(String),
}
