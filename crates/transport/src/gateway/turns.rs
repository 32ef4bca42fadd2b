//! Turns of programs and the journal that keeps them.

use crate::journal::Unreachable;
use crate::member::Member;
use crate::member::PROGRAMS;
use protocol::wire::{Request, Response};
use serde_bytes::ByteBuf;
use state::machine;
use state::turn::{Begin, Command, End, Query, Record, Reply};
use std::sync::Arc;
use std::time::Duration;

/// Time for which an end is sent again in the background; longer than a journal is without
/// a leader after the loss of one.
const END_TIME: Duration = Duration::from_secs(10);

/// What the journal says to a turn that is about to be sent.
#[derive(Debug)]
pub(crate) enum Begun {
    /// It may be sent.
    Go {
        /// Content of the turns before it.
        before: Vec<u8>,
        /// Backend server that ran the program's last turn.
        holder: Option<String>,
    },
    /// Its program's budget is spent.
    Exhausted {
        /// Tokens that are left.
        remaining: u64,
    },
    /// The turn that it continues from does not exist.
    NoSuchTurn,
}

/// A turn between its begin and its end; dropping it settles what it drew.
pub(crate) struct Turn {
    member: Arc<Member>,
    id: String,
    program: Option<String>,
    /// Tokens that reached the caller.
    pub(crate) tokens: u64,
    /// Backend server that ran it.
    pub(crate) server: Option<String>,
    is_open: bool,
}

impl Turn {
    /// Reserves the turn's tokens and fetches what comes before it.
    pub(crate) async fn begin(
        member: &Arc<Member>,
        mut begin: Begin,
        timeout: Duration,
    ) -> (Self, Result<Begun, Unreachable>) {
        begin.now_ms = crate::clock::unix_ms();
        let program = begin.reservation.as_ref().map(|reservation| reservation.program.clone());
        let turn = Self {
            member: member.clone(),
            id: begin.turn.clone(),
            is_open: program.is_some(),
            program,
            tokens: 0,
            server: None,
        };
        let previous = begin.previous.clone();
        let answer = ask(member, &Command::Begin(begin), previous, timeout).await;
        (turn, answer)
    }

    /// Records the turn; its answer may end only after that.
    pub(crate) async fn keep(
        mut self,
        record: Record,
        timeout: Duration,
    ) -> Result<(), Unreachable> {
        let end = self.end(Some(record));
        self.is_open = false;
        let kept = submit(&self.member, &end, timeout).await;
        if kept.is_err() {
            // The budget must be settled all the same.
            self.is_open = self.program.is_some();
        }
        kept
    }

    fn end(&self, record: Option<Record>) -> Command {
        Command::End(End {
            turn: self.id.clone(),
            program: self.program.clone(),
            tokens: self.tokens,
            server: self.server.clone(),
            record,
            now_ms: crate::clock::unix_ms(),
        })
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let (member, end, id) = (self.member.clone(), self.end(None), self.id.clone());
        tokio::spawn(async move {
            if submit(&member, &end, END_TIME).await.is_err() {
                tracing::warn!(request = id, "a turn stays charged with the most it could draw");
            }
        });
    }
}

async fn submit(member: &Member, command: &Command, timeout: Duration) -> Result<(), Unreachable> {
    let command = machine::encode(command).map_err(|_| Unreachable)?;
    let request = Request::Submit { group: PROGRAMS, command };
    match member.leaders.route(PROGRAMS, &request, timeout).await? {
        Response::Data(_) => Ok(()),
        _ => Err(Unreachable),
    }
}

async fn ask(
    member: &Member,
    command: &Command,
    previous: Option<String>,
    timeout: Duration,
) -> Result<Begun, Unreachable> {
    let command = machine::encode(command).map_err(|_| Unreachable)?;
    let group = PROGRAMS;
    let request = match &previous {
        Some(turn) => {
            let query = machine::encode(&Query::Chain(turn.clone())).map_err(|_| Unreachable)?;
            Request::SubmitThenQuery { group, command, query }
        }
        None => Request::Submit { group, command },
    };
    let (reply, chain) = match member.leaders.route(group, &request, timeout).await? {
        Response::Data(reply) => (reply, None),
        Response::SubmitThenQuery(reply, view) => (reply, Some(view)),
        _ => return Err(Unreachable),
    };
    let chain: Option<ByteBuf> = match chain {
        Some(view) => machine::decode(&view).map_err(|_| Unreachable)?,
        None => Some(ByteBuf::new()),
    };
    match machine::decode(&reply).map_err(|_| Unreachable)? {
        Reply::Begun { server } => {
            let before = chain.ok_or(Unreachable)?.into_vec();
            Ok(Begun::Go { before, holder: server })
        }
        Reply::Exhausted { remaining } => Ok(Begun::Exhausted { remaining }),
        Reply::NoSuchTurn => Ok(Begun::NoSuchTurn),
        // Only a copy of a begin that was given up meets its own end.
        Reply::Ended | Reply::Done => Err(Unreachable),
    }
}
