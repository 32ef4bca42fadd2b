//! Turns of programs, recorded in the program journal.
//!
//! A turn reserves tokens from its program's budget before it is dispatched and is charged
//! for the tokens it has used when it ends. On routes that retain turns its content is
//! recorded, so that a later turn can continue from it.

use crate::clock::{self, millis};
use crate::journal::Unreachable;
use crate::member::Member;
use crate::member::PROGRAMS;
use bytes::Bytes;
use protocol::wire::{Request, Response};
use state::machine;
use state::turn::{
    Assign, Assignment, Begin, Command, End, Need, Origin, Part, Query, Range, Record, Reply,
};
use std::sync::Arc;
use std::time::Duration;

/// Time for which the end of a turn is resubmitted in the background. It exceeds the time
/// that a journal needs to elect a new leader after it has lost one.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Length of the parts in which the content of the turns before one is read, in bytes; more than that of
/// an ordinary program, so that it comes with the reply to the begin.
const PART_BYTES: u64 = 256 * 1024;

/// Content of the turns before one.
#[derive(Debug)]
pub(crate) enum Prior {
    /// There are none.
    Nothing,
    /// Its first part.
    First(Part),
    /// The journal had no memory for its first part.
    Later,
}

/// Reply of the journal to the begin of a turn.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The turn has begun and may be dispatched.
    Open {
        /// Content of the preceding turns.
        prior: Prior,
        /// Id of the backend server that executed the program's previous turn.
        holder: Option<String>,
        /// Origin of the turn's stream; `None` if it has none yet or needs none.
        stream: Option<Assignment>,
    },
    /// The journal refused the turn, which has not begun.
    Refused,
    /// The journal has no room to retain the turn.
    NoRoom {
        /// Time after which it is expected to have room.
        retry_after: Duration,
        /// Whether an earlier copy of the begin may have been carried out.
        may_have_begun: bool,
    },
    /// The program's remaining budget is smaller than the turn's limit.
    Exhausted {
        /// Tokens remaining in the budget.
        remaining: u64,
    },
    /// The turn to continue from does not exist or is no longer retained.
    UnknownTurn,
    /// The origin of the stream to take up is not known.
    UnknownStream,
}

/// A turn between its begin and its end. Dropping it submits the end in the background, which
/// replaces the reservation by the tokens that were used.
pub(crate) struct Turn {
    member: Arc<Member>,
    id: String,
    program: Option<String>,
    /// Tokens that were relayed to the caller.
    tokens: u64,
    /// Tokens that the turn may use.
    reserved: u64,
    /// Id of the backend server that executes the turn.
    pub(crate) server: Option<String>,
    is_open: bool,
}

impl Turn {
    /// Reserves the turn's tokens and the room that it needs, and fetches the content of the preceding
    /// turns.
    pub(crate) async fn begin(
        member: &Arc<Member>,
        mut begin: Begin,
        need: Need,
        timeout: Duration,
    ) -> (Self, Result<Admission, Unreachable>) {
        begin.now_ms = clock::unix_ms();
        let program = begin.reservation.as_ref().map(|reservation| reservation.program.clone());
        let reserved = begin.reservation.as_ref().map_or(0, |reservation| reservation.tokens);
        let mut turn = Self {
            member: member.clone(),
            id: begin.turn.clone(),
            is_open: program.is_some(),
            program,
            tokens: 0,
            reserved,
            server: None,
        };
        let previous = begin.previous.clone();
        let command = machine::encode(&Command::Begin(begin))
            .and_then(|command| Ok([command, need.encode()?].concat()));
        let admission = match command {
            Ok(command) => submit_begin(member, command.into(), previous, timeout).await,
            Err(_) => Err(Unreachable),
        };
        // A turn that has certainly not begun needs no end.
        let has_not_begun = matches!(
            admission,
            Ok(Admission::Refused | Admission::NoRoom { may_have_begun: false, .. })
        );
        turn.is_open &= !has_not_begun;
        (turn, admission)
    }

    /// Counts the tokens of the events that were relayed to the caller. If it is not known how many an event
    /// has, the turn has used all that it reserved.
    pub(crate) fn count(&mut self, events: u64, tokens_per_event: u64) {
        self.tokens = match tokens_per_event {
            0 => self.reserved,
            _ => events.saturating_mul(tokens_per_event),
        };
    }

    /// Leaves the end of the turn to the entry that the request is forwarded to.
    pub(crate) fn hand_over(&mut self) {
        self.is_open = false;
    }

    /// Reverses [`Turn::hand_over`].
    pub(crate) fn take_back(&mut self) {
        self.is_open = self.program.is_some();
    }

    /// Changes the origin of the turn's stream, whose `revision` is that of the recorded one or 0.
    /// Returns the recorded origin. The turn may be sent to a server of `origin` only if it is that
    /// one.
    pub(crate) async fn assign(
        &self,
        origin: Origin,
        revision: u64,
        kept: Duration,
        timeout: Duration,
    ) -> Result<Assignment, Unreachable> {
        let (turn, kept_ms, now_ms) = (self.id.clone(), millis(kept), clock::unix_ms());
        let command = Command::Assign(Assign { turn, origin, revision, kept_ms, now_ms });
        let command = machine::encode(&command).map_err(|_| Unreachable)?;
        let request = Request::Submit { group: PROGRAMS, command: command.into() };
        match self.member.leaders.route(PROGRAMS, &request, timeout).await? {
            Response::Data(reply) => match machine::decode(&reply).map_err(|_| Unreachable)? {
                Reply::Assigned(assignment) => Ok(assignment),
                _ => Err(Unreachable),
            },
            _ => Err(Unreachable),
        }
    }

    /// Encodes the end of the turn with `record`, which has no content yet, and the content `parts`.
    pub(crate) fn encode(&self, record: Record, parts: &[&[u8]]) -> Result<Bytes, Unreachable> {
        let command = self.end(Some(record)).encode_with(parts).map_err(|_| Unreachable)?;
        Ok(command.into())
    }

    /// Submits the encoded end of the turn. The response may end only after that.
    pub(crate) async fn record(
        mut self,
        command: Bytes,
        timeout: Duration,
    ) -> Result<(), Unreachable> {
        self.is_open = false;
        let recorded = submit(&self.member, command, timeout).await;
        if recorded.is_err() {
            // The reservation must still be replaced by the tokens used; see `drop`.
            self.is_open = self.program.is_some();
        }
        recorded
    }

    /// Builds the command that ends the turn, with its content if it is to be recorded.
    fn end(&self, record: Option<Record>) -> End {
        End {
            turn: self.id.clone(),
            program: self.program.clone(),
            tokens: self.tokens,
            server: self.server.clone(),
            record,
            now_ms: clock::unix_ms(),
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let (member, id) = (self.member.clone(), self.id.clone());
        let Ok(end) = machine::encode(&Command::End(self.end(None))) else {
            return;
        };
        tokio::spawn(async move {
            if submit(&member, end.into(), END_TIMEOUT).await.is_err() {
                tracing::warn!(
                    request = id,
                    "end of a turn was not recorded; its full reservation stays charged"
                );
            }
        });
    }
}

async fn submit(member: &Member, command: Bytes, timeout: Duration) -> Result<(), Unreachable> {
    let request = Request::Submit { group: PROGRAMS, command };
    match member.leaders.route(PROGRAMS, &request, timeout).await? {
        Response::Data(_) => Ok(()),
        _ => Err(Unreachable),
    }
}

/// Reads the part of the content of a turn and all turns before it that begins at `offset`.
pub(crate) async fn read_content(
    member: &Member,
    turn: &str,
    offset: u64,
    timeout: Duration,
) -> Result<Part, Unreachable> {
    let query = encode_query(turn, offset)?;
    let request = Request::Query { group: PROGRAMS, query };
    match member.leaders.route(PROGRAMS, &request, timeout).await? {
        Response::Data(view) => {
            Part::decode(&view, offset).map_err(|_| Unreachable)?.ok_or(Unreachable)
        }
        _ => Err(Unreachable),
    }
}

fn encode_query(turn: &str, offset: u64) -> Result<Vec<u8>, Unreachable> {
    let range = Range { offset, len: PART_BYTES };
    Query::Chain(turn.to_owned()).encode_range(range).map_err(|_| Unreachable)
}

/// Submits the encoded begin of a turn and, if it continues from a `previous` turn, queries the first
/// part of the content of the turns up to that one.
async fn submit_begin(
    member: &Member,
    command: Bytes,
    previous: Option<String>,
    timeout: Duration,
) -> Result<Admission, Unreachable> {
    let group = PROGRAMS;
    let request = match &previous {
        Some(turn) => Request::SubmitThenQuery { group, command, query: encode_query(turn, 0)? },
        None => Request::Submit { group, command },
    };
    let routed = member.leaders.route_once(group, &request, timeout).await?;
    let may_have_begun = routed.is_repeated;
    let (reply, view) = match routed.response {
        Response::Data(reply) => (reply, None),
        Response::SubmitThenQuery(reply, view) => (reply, Some(view)),
        Response::NotLeader(_) => return Ok(Admission::Refused),
        _ => return Err(Unreachable),
    };
    match machine::decode(&reply).map_err(|_| Unreachable)? {
        Reply::Begun { server, stream } => {
            let prior = match view {
                None => Prior::Nothing,
                Some(view) if view.is_empty() => Prior::Later,
                Some(view) => {
                    let part = Part::decode(&view, 0).map_err(|_| Unreachable)?;
                    Prior::First(part.ok_or(Unreachable)?)
                }
            };
            Ok(Admission::Open { prior, holder: server, stream })
        }
        Reply::NoRoom { retry_ms } => {
            let retry_after = Duration::from_millis(retry_ms);
            Ok(Admission::NoRoom { retry_after, may_have_begun })
        }
        Reply::UnknownStream => Ok(Admission::UnknownStream),
        Reply::Exhausted { remaining } => Ok(Admission::Exhausted { remaining }),
        Reply::NoSuchTurn => Ok(Admission::UnknownTurn),
        // A begin can find its turn already ended only if it is a late copy of a begin that was
        // given up.
        Reply::Ended | Reply::Done | Reply::Assigned(_) => Err(Unreachable),
    }
}
