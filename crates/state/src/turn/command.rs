//! Commands, queries and replies of the turn journal.

use crate::error::Storage;
use crate::machine;
use crate::turn::stream::{Assignment, Origin, Start};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A change to the turn journal. Each command is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Starts a turn, before it is sent to a backend server.
    Begin(Begin),
    /// Ends a turn, which completed or was abandoned before it was sent.
    End(End),
    /// Changes the origin of a stream that has no events yet, before it is sent to a backend server
    /// of another origin.
    Assign(Assign),
}

/// Kind of a [`Command`], which decodes from it without the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) enum Kind {
    Begin,
    End,
    Assign,
}

/// Follows the encoded [`Begin`] of a turn whose content isn't retained, so that the leader knows that
/// it needs no room; [`Begin::retention_ms`] tells nothing of it, since budgets depend on it, too. The
/// state machines of all builds ignore what follows a command.
pub const UNRETAINED: &[u8] = b"u";

/// First byte of what follows the encoded [`Begin`] of a turn whose content is retained.
const RETAINED: u8 = b'r';

/// What the content of a turn that begins needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Nothing is retained.
    Nothing,
    /// An input of this size, in bytes, is retained.
    Retained(u64),
    /// The sender is of an earlier build, which names no size; its input is retained.
    Unknown,
}

impl Need {
    /// Returns what follows the encoded [`Begin`].
    ///
    /// # Errors
    ///
    /// Returns [`Storage::Codec`] if the size cannot be encoded.
    pub fn encode(self) -> Result<Vec<u8>, Storage> {
        match self {
            Self::Nothing => Ok(UNRETAINED.to_vec()),
            Self::Retained(bytes) => machine::encode(&(RETAINED, bytes)),
            Self::Unknown => Ok(Vec::new()),
        }
    }

    /// Reads what follows the encoded [`Begin`].
    pub(crate) fn decode(rest: &[u8]) -> Self {
        match machine::decode(rest) {
            _ if rest == UNRETAINED => Self::Nothing,
            Ok((RETAINED, bytes)) => Self::Retained(bytes),
            _ => Self::Unknown,
        }
    }
}

/// Start of a turn: reserves its tokens and extends the retention of the turns before it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Request id of the turn; identifies the turn.
    pub turn: String,
    /// Tokens to reserve; `None` for a turn without a budget.
    pub reservation: Option<Reservation>,
    /// Id of the turn that this one continues from.
    pub previous: Option<String>,
    /// Minimum time for which `previous` and all turns before it stay retained, in
    /// milliseconds from `now_ms`.
    pub retention_ms: u64,
    /// How the turn's stream starts; `None` if no later request may take it up.
    pub start: Option<Start>,
    /// Sender's wall clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Change of a stream's origin.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assign {
    /// Request id of the turn.
    pub turn: String,
    /// The new origin.
    pub origin: Origin,
    /// [`Assignment::revision`] of the origin to replace; 0 if the stream has none.
    pub revision: u64,
    /// Minimum time for which the origin is kept, in milliseconds from `now_ms`.
    pub kept_ms: u64,
    /// Sender's wall clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Reservation of tokens in a program's budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Id of the program.
    pub program: String,
    /// Total tokens that all turns of the program may use.
    pub budget: u64,
    /// Maximum tokens that this turn can use.
    pub tokens: u64,
}

/// End of a turn: settles its reservation and optionally retains its content.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Request id of the turn.
    pub turn: String,
    /// Program whose budget is charged; `None` for a turn without a budget.
    pub program: Option<String>,
    /// Tokens that were delivered to the caller; charged to the budget.
    pub tokens: u64,
    /// Backend server that executed the turn; `None` if none did.
    pub server: Option<String>,
    /// Content to retain so that later turns may continue from this one.
    pub record: Option<Record>,
    /// Sender's wall clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Content of an ended turn that is retained for later turns.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the turn that it continued from.
    pub previous: Option<String>,
    /// Input of the turn, followed by the data of its output events.
    #[serde(with = "serde_bytes")]
    pub content: Vec<u8>,
    /// Minimum time for which the turn and all turns before it stay retained, in milliseconds
    /// from [`End::now_ms`].
    pub retention_ms: u64,
}

impl End {
    /// Encodes the command of this end, whose record has no content yet, with the content `parts`. They are
    /// copied once.
    ///
    /// # Errors
    ///
    /// Returns [`Storage::Codec`] if the command cannot be encoded.
    pub fn encode_with(self, parts: &[&[u8]]) -> Result<Vec<u8>, Storage> {
        let Some(record) = &self.record else {
            return machine::encode(&Command::End(self));
        };
        debug_assert!(record.content.is_empty());
        let tail = machine::encode(&(record.retention_ms, self.now_ms))?;
        let whole = machine::encode(&Command::End(self))?;
        // The length of the empty content takes one byte.
        let head = &whole[..whole.len() - tail.len() - 1];
        let content_len = parts.iter().map(|part| part.len()).sum::<usize>();
        let len = machine::encode(&(content_len as u64))?;
        let mut command = Vec::with_capacity(head.len() + len.len() + content_len + tail.len());
        command.extend_from_slice(head);
        command.extend_from_slice(&len);
        parts.iter().for_each(|part| command.extend_from_slice(part));
        command.extend_from_slice(&tail);
        Ok(command)
    }
}

/// Reply to a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The end of the turn is recorded, by this command or an earlier copy of it.
    Done,
    /// The turn may be sent to a backend server.
    Begun {
        /// Backend server that executed the program's last turn and may still cache its prompt.
        server: Option<String>,
        /// Origin of the turn's stream; `None` if it has none yet or needs none.
        stream: Option<Assignment>,
    },
    /// The recorded origin of the stream, which is the requested one unless another change came
    /// first.
    Assigned(Assignment),
    /// The stream to take up was never begun, or its origin is no longer kept.
    UnknownStream,
    /// The remaining budget is less than the maximum that the turn can use.
    Exhausted {
        /// Tokens that are neither spent nor reserved.
        remaining: u64,
    },
    /// The turn to continue from was never retained, or its retention has expired.
    NoSuchTurn,
    /// The turn has already ended and must not be sent again.
    Ended,
    /// There is no room to retain the turn, which has not begun. Sent to those that name what they
    /// [need](Need).
    NoRoom {
        /// Time after which there is expected to be room, in milliseconds.
        retry_ms: u64,
    },
}

/// A read of the turn journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Concatenated content of the given turn and all turns before it, oldest first; answered
    /// by `Option<Vec<u8>>`, which is `None` if a turn of the chain is not retained. If a [`Range`]
    /// follows, it is answered by a [`Part`]; earlier builds ignore it.
    Chain(String),
}

impl Query {
    /// Encodes a query of a range of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`Storage::Codec`] if the query cannot be encoded.
    pub fn encode_range(&self, range: Range) -> Result<Vec<u8>, Storage> {
        let mut encoded = machine::encode(self)?;
        machine::encode_into(&range, &mut encoded)?;
        Ok(encoded)
    }
}

/// Range of the content of a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Offset of its first byte.
    pub offset: u64,
    /// Maximum length, in bytes.
    pub len: u64,
}

/// Part of the content of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The bytes of the range.
    pub content: Vec<u8>,
    /// Length of the whole content, in bytes.
    pub total: u64,
}

impl Part {
    /// Encodes the answer to a query of a range.
    pub(crate) fn encode(part: Option<Self>) -> Result<Vec<u8>, Storage> {
        let Some(Self { content, total }) = part else {
            return machine::encode(&None::<ByteBuf>);
        };
        // As a chain in full, so that a reader tells one from the other by what follows.
        let mut encoded = machine::encode(&Some(ByteBuf::from(content)))?;
        machine::encode_into(&total, &mut encoded)?;
        Ok(encoded)
    }

    /// Reads the answer to a query of a range. An earlier build answers with the whole content, whose
    /// bytes before `offset` are removed.
    ///
    /// # Errors
    ///
    /// Returns [`Storage::Codec`] if it cannot be decoded.
    pub fn decode(answer: &[u8], offset: u64) -> Result<Option<Self>, Storage> {
        let (content, rest): (Option<ByteBuf>, _) = machine::decode_first(answer)?;
        let Some(mut content) = content.map(ByteBuf::into_vec) else {
            return Ok(None);
        };
        if !rest.is_empty() {
            return Ok(Some(Self { content, total: machine::decode(rest)? }));
        }
        let total = content.len() as u64;
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(content.len());
        content.drain(..start);
        Ok(Some(Self { content, total }))
    }
}
