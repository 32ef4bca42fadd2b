//! The state machine of the turn journal.
//!
//! Applies [`Command`]s to the token budgets and retained turns of one journal. The content
//! of retained turns is stored in a history store; only locators stay in memory.

use crate::collections::{Map, Set};
use crate::error::Storage;
use crate::history::{Locator, Position, Store};
use crate::machine::{self, Class, Export, Import, StateMachine};
use crate::turn::command::{
    Assign, Begin, Command, End, Kind, Need, Part, Query, Range, Record, Reply, Reservation,
};
use crate::turn::room::Room;
use crate::turn::stream::{Assignment, Origin, Start, Streams};
use crate::turn::transfer::{Exporter, Importer};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Interval at which expired entries are removed, in milliseconds of command time; short
/// compared with the usual turn retention of one minute.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// Time added to each retention, in milliseconds, because the clocks of different senders
/// may be some seconds apart.
const MAX_CLOCK_SKEW_MS: u64 = 15_000;

/// Minimum time for which a program's budget is retained after its last turn, in milliseconds;
/// a stopped program may resume as long as its turns are retained, which is usually one minute.
const BUDGET_RETENTION_MS: u64 = 180_000;

/// Longest chain that is read, in turns. Chains cannot contain cycles, so this only bounds the
/// work of one query.
const MAX_CHAIN_TURNS: usize = 4_096;

/// Default limit of the content of all retained turns, in bytes; docs/CAPACITY.md has the time that
/// a new replica takes to receive as much.
pub const MAX_RETAINED_BYTES: u64 = 192 * 1024 * 1024;

/// Token budget of one program.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Program {
    /// Tokens charged for ended turns.
    spent: u64,
    /// Reserved tokens of turns in progress, by turn id.
    reservations: Map<String, u64>,
    /// Ids of ended turns; a late copy of their [`Begin`] reserves nothing.
    ended: Set<String>,
    /// Backend server that executed the last turn.
    server: Option<String>,
    /// Origin of the last stream that was executed.
    origin: Option<Origin>,
    /// Time after which the budget is removed, in milliseconds since the Unix epoch.
    expires_ms: u64,
}

impl Program {
    /// Spent and reserved tokens.
    fn allocated_tokens(&self) -> u64 {
        self.reservations.values().fold(self.spent, |sum, tokens| sum.saturating_add(*tokens))
    }
}

/// A retained turn, from which later turns may continue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Turn {
    /// Id of the turn that it continued from.
    previous: Option<String>,
    /// Location of its content in the history store.
    pub(crate) item: Locator,
    /// Time after which the turn is removed, in milliseconds since the Unix epoch.
    expires_ms: u64,
}

/// Saved state, without the content of turns, which stays in the history store.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    now_ms: u64,
    programs: Map<String, Program>,
    pub(crate) retained: Map<String, Turn>,
    streams: Streams,
    /// End of the history store; unused in an export.
    pub(crate) history: Position,
}

/// Token budgets and retained turns of one replicated journal.
pub struct Turns {
    programs: Map<String, Program>,
    /// Retained turns by id.
    retained: Map<String, Turn>,
    room: Room,
    streams: Streams,
    history: Box<dyn Store>,
    /// Highest `now_ms` of all applied commands, so that a clock set back expires nothing.
    now_ms: u64,
    /// Time at which expired entries were last removed, in milliseconds since the Unix epoch.
    last_expiry_ms: u64,
}

impl Turns {
    /// Creates an empty state whose turn content is stored in `history`.
    pub fn new(history: Box<dyn Store>) -> Self {
        Self {
            programs: Map::default(),
            retained: Map::default(),
            room: Room::new(MAX_RETAINED_BYTES),
            streams: Streams::default(),
            history,
            now_ms: 0,
            last_expiry_ms: 0,
        }
    }

    /// Sets the room for the content of retained turns, in bytes.
    #[must_use]
    pub fn with_max_retained_bytes(self, max_retained_bytes: u64) -> Self {
        Self { room: Room::new(max_retained_bytes), ..self }
    }

    /// Applies one command.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    pub fn execute(&mut self, command: Command) -> Result<Reply, Storage> {
        let now_ms = match &command {
            Command::Begin(begin) => begin.now_ms,
            Command::End(end) => end.now_ms,
            Command::Assign(assign) => assign.now_ms,
        };
        self.now_ms = self.now_ms.max(now_ms);
        self.remove_expired();
        match command {
            Command::Begin(begin) => Ok(self.begin(begin)),
            Command::End(end) => self.end(end),
            Command::Assign(assign) => Ok(self.assign(assign)),
        }
    }

    fn begin(&mut self, begin: Begin) -> Reply {
        let expires_ms = self.expiry_ms(begin.retention_ms);
        if let Some(previous) = &begin.previous {
            if !self.retained.contains_key(previous) {
                return Reply::NoSuchTurn;
            }
            self.extend_retention(previous, expires_ms);
        }
        let assignment = match &begin.start {
            Some(start) => match self.assignment(&begin, start) {
                Ok(assignment) => assignment,
                Err(reply) => return reply,
            },
            None => None,
        };
        let server = match begin.reservation {
            Some(reservation) => match self.reserve(&begin.turn, reservation, begin.retention_ms) {
                Ok(server) => server,
                Err(reply) => return reply,
            },
            None => None,
        };
        if let (Some(start), Some(assignment)) = (begin.start, &assignment) {
            let expires_ms = self.expiry_ms(start.kept_ms);
            self.streams.insert(&begin.turn, assignment.clone(), expires_ms);
        }
        Reply::Begun { server, stream: assignment }
    }

    /// Returns the origin of a stream that is about to start or to be taken up; `None` if it
    /// starts and there is no candidate.
    fn assignment(&self, begin: &Begin, start: &Start) -> Result<Option<Assignment>, Reply> {
        if let Some(recorded) = self.streams.get(&begin.turn) {
            return Ok(Some(recorded.clone()));
        }
        if let Some(first) = &start.first {
            let recorded = self.streams.get(first).ok_or(Reply::UnknownStream)?;
            return Ok(Some(recorded.clone()));
        }
        let program = begin.reservation.as_ref().and_then(|r| self.programs.get(&r.program));
        let last = program.and_then(|program| program.origin.as_ref());
        let last = last.filter(|last| start.candidates.contains(last));
        let origin = last.or(start.candidates.first());
        Ok(origin.map(|origin| Assignment { origin: origin.clone(), revision: 0 }))
    }

    /// Reserves the tokens of a turn and returns the server of the program's last turn.
    fn reserve(
        &mut self,
        turn: &str,
        reservation: Reservation,
        retention_ms: u64,
    ) -> Result<Option<String>, Reply> {
        let expires_ms = self.now_ms + BUDGET_RETENTION_MS.max(retention_ms + MAX_CLOCK_SKEW_MS);
        let program = self.programs.entry(reservation.program).or_default();
        program.expires_ms = program.expires_ms.max(expires_ms);
        if program.ended.contains(turn) {
            return Err(Reply::Ended);
        }
        if !program.reservations.contains_key(turn) {
            let allocated = program.allocated_tokens();
            if allocated.saturating_add(reservation.tokens) > reservation.budget {
                let remaining = reservation.budget.saturating_sub(allocated);
                return Err(Reply::Exhausted { remaining });
            }
            program.reservations.insert(turn.to_owned(), reservation.tokens);
        }
        Ok(program.server.clone())
    }

    fn assign(&mut self, assign: Assign) -> Reply {
        let expires_ms = self.expiry_ms(assign.kept_ms);
        let Assign { turn, origin, revision, .. } = assign;
        Reply::Assigned(self.streams.assign(&turn, origin, revision, expires_ms))
    }

    fn end(&mut self, end: End) -> Result<Reply, Storage> {
        self.room.settle(&end.turn);
        let origin = self.streams.get(&end.turn).map(|recorded| recorded.origin.clone());
        if let Some(id) = end.program {
            let expires_ms = self.now_ms + BUDGET_RETENTION_MS;
            let program = self.programs.entry(id).or_default();
            program.expires_ms = program.expires_ms.max(expires_ms);
            if program.ended.insert(end.turn.clone()) {
                program.reservations.remove(&end.turn);
                program.spent = program.spent.saturating_add(end.tokens);
                if end.server.is_some() {
                    program.server = end.server;
                    program.origin = origin.or(program.origin.take());
                }
            }
        }
        if let Some(record) = end.record {
            self.retain(end.turn, record)?;
        }
        Ok(Reply::Done)
    }

    /// Stores the content of a turn, unless an earlier copy of the command did.
    fn retain(&mut self, id: String, record: Record) -> Result<(), Storage> {
        if self.retained.contains_key(&id) {
            return Ok(());
        }
        let expires_ms = self.expiry_ms(record.retention_ms);
        if let Some(previous) = &record.previous {
            self.extend_retention(previous, expires_ms);
        }
        let item = self.history.append(&record.content)?;
        self.room.add(expires_ms, item.len);
        self.retained.insert(id, Turn { previous: record.previous, item, expires_ms });
        Ok(())
    }

    /// Time at which a retention that starts now ends, in milliseconds since the Unix epoch.
    fn expiry_ms(&self, retention_ms: u64) -> u64 {
        self.now_ms.saturating_add(retention_ms).saturating_add(MAX_CLOCK_SKEW_MS)
    }

    /// Retains a turn and all turns before it at least until `expires_ms`.
    ///
    /// Stops at the first turn that expires no earlier than that, because the turns before a
    /// turn never expire earlier than the turn itself.
    fn extend_retention(&mut self, id: &str, expires_ms: u64) {
        let mut next = Some(id.to_owned());
        while let Some(turn) = next.and_then(|id| self.retained.get_mut(&id)) {
            if turn.expires_ms >= expires_ms {
                return;
            }
            turn.expires_ms = expires_ms;
            next = turn.previous.clone();
        }
    }

    fn remove_expired(&mut self) {
        let now_ms = self.now_ms;
        if !self.is_expiry_due(now_ms) {
            return;
        }
        self.last_expiry_ms = now_ms;
        self.programs.retain(|_, program| program.expires_ms > now_ms);
        self.retained.retain(|_, turn| turn.expires_ms > now_ms);
        self.count_retained();
        self.streams.remove_expired(now_ms);
    }

    /// Whether expired entries are removed at this time.
    fn is_expiry_due(&self, now_ms: u64) -> bool {
        now_ms >= self.last_expiry_ms + EXPIRY_INTERVAL_MS
    }

    fn count_retained(&mut self) {
        let contents = self.retained.values().map(|turn| (turn.expires_ms, turn.item.len));
        self.room.count(self.now_ms, contents);
    }

    /// Whether the program of a turn is under way.
    fn continues(&self, begin: &Begin) -> bool {
        let program = begin.reservation.as_ref().map(|reservation| &reservation.program);
        let is_known = program.is_some_and(|program| self.programs.contains_key(program));
        begin.previous.is_some() || is_known
    }

    /// Number of bytes that are lacking for the effects of the command `data`.
    fn lack(&self, data: &[u8]) -> u64 {
        // The end of a turn is always accepted: the turn has run, and its caller was promised that it
        // is retained.
        match Self::decode_begin(data) {
            Some((begin, rest)) if begin.retention_ms > 0 => {
                self.room.lack(Need::decode(rest), self.continues(&begin))
            }
            _ => 0,
        }
    }

    /// Decodes the command `data`, and returns what follows it; `None` unless it begins a turn.
    fn decode_begin(data: &[u8]) -> Option<(Begin, &[u8])> {
        let (kind, _): (Kind, _) = machine::decode_first(data).ok()?;
        if kind != Kind::Begin {
            return None;
        }
        match machine::decode_first(data).ok()? {
            (Command::Begin(begin), rest) => Some((begin, rest)),
            _ => None,
        }
    }

    /// Concatenated content of a turn and all turns before it, oldest first; `None` if one of
    /// them is not retained or the chain is longer than `MAX_CHAIN_TURNS`.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the content of a turn cannot be read.
    pub fn chain(&self, id: &str) -> Result<Option<Vec<u8>>, Storage> {
        let whole = Range { offset: 0, len: u64::MAX };
        Ok(self.chain_part(id, whole)?.map(|part| part.content))
    }

    /// As [`Turns::chain`], but returns a part of the content.
    ///
    /// # Errors
    ///
    /// As [`Turns::chain`].
    pub fn chain_part(&self, id: &str, range: Range) -> Result<Option<Part>, Storage> {
        let Some(items) = self.items(id) else {
            return Ok(None);
        };
        let total = items.iter().map(|item| item.len).sum::<u64>();
        let end = range.offset.saturating_add(range.len).min(total);
        let len = end.saturating_sub(range.offset);
        let mut content = Vec::with_capacity(usize::try_from(len).unwrap_or(0));
        let mut start = 0;
        for item in items.iter().rev() {
            let (from, to) = (range.offset.max(start), end.min(start + item.len));
            if from < to {
                let len = usize::try_from(to - from).unwrap_or(usize::MAX);
                content.extend_from_slice(&self.history.read_part(item, from - start, len)?);
            }
            start += item.len;
        }
        Ok(Some(Part { content, total }))
    }

    /// Locations of the content of a turn and all turns before it, latest first; `None` if one of them is
    /// not retained or the chain is longer than `MAX_CHAIN_TURNS`.
    fn items(&self, id: &str) -> Option<Vec<Locator>> {
        let mut items = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            let turn = self.retained.get(id).filter(|_| items.len() < MAX_CHAIN_TURNS)?;
            items.push(turn.item);
            next = turn.previous.as_deref();
        }
        Some(items)
    }

    fn snapshot(&self, history: Position) -> Snapshot {
        Snapshot {
            now_ms: self.now_ms,
            programs: self.programs.clone(),
            retained: self.retained.clone(),
            streams: self.streams.clone(),
            history,
        }
    }

    fn restore(&mut self, snapshot: Snapshot) {
        self.now_ms = snapshot.now_ms;
        self.last_expiry_ms = snapshot.now_ms;
        self.programs = snapshot.programs;
        self.retained = snapshot.retained;
        self.count_retained();
        self.streams = snapshot.streams;
    }
}

impl StateMachine for Turns {
    fn apply(&mut self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let (command, rest) = machine::decode_first(data)?;
        let begun = match &command {
            Command::Begin(begin) => Some((begin.turn.clone(), begin.retention_ms)),
            Command::End(_) | Command::Assign(_) => None,
        };
        let reply = self.execute(command)?;
        if let (Some((turn, retention_ms)), Reply::Begun { .. }) = (begun, &reply) {
            self.room.expect(&turn, Need::decode(rest), self.expiry_ms(retention_ms));
        }
        machine::encode(&reply)
    }

    fn has_room(&self, data: &[u8]) -> bool {
        self.lack(data) == 0
    }

    fn refusal(&self, data: &[u8]) -> Option<Vec<u8>> {
        let (_, rest) = Self::decode_begin(data)?;
        let Need::Retained(_) = Need::decode(rest) else {
            return None;
        };
        let retry_ms = self.room.retry_ms(self.now_ms, self.lack(data));
        machine::encode(&Reply::NoRoom { retry_ms }).ok()
    }

    fn class(&self, data: &[u8]) -> Option<Class> {
        let Some((begin, _)) = Self::decode_begin(data) else {
            return Some(Class::End);
        };
        Some(if self.continues(&begin) { Class::Continue } else { Class::Begin })
    }

    fn time_ms(&self) -> Option<u64> {
        Some(self.now_ms)
    }

    fn expiry(&self, time_ms: u64) -> Option<Vec<u8>> {
        let has_expired = self.is_expiry_due(time_ms)
            && (self.retained.values().any(|turn| turn.expires_ms <= time_ms)
                || self.programs.values().any(|program| program.expires_ms <= time_ms)
                || self.streams.has_expired(time_ms));
        // Earlier builds know no command for this, but the end of a turn that nobody began.
        let end = End { now_ms: time_ms, ..End::default() };
        has_expired.then(|| machine::encode(&Command::End(end)).ok()).flatten()
    }

    fn answer_bytes(&self, data: &[u8]) -> usize {
        let Ok((Query::Chain(id), rest)) = machine::decode_first(data) else {
            return 0;
        };
        let total = self.items(&id).unwrap_or_default().iter().map(|item| item.len).sum::<u64>();
        let range = machine::decode(rest).unwrap_or(Range { offset: 0, len: u64::MAX });
        let len = total.saturating_sub(range.offset).min(range.len);
        usize::try_from(len).unwrap_or(usize::MAX)
    }

    fn query(&self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let (Query::Chain(id), rest) = machine::decode_first(data)?;
        if rest.is_empty() {
            return machine::encode(&self.chain(&id)?.map(ByteBuf::from));
        }
        Part::encode(self.chain_part(&id, machine::decode(rest)?)?)
    }

    fn reset(&mut self) -> Result<(), Storage> {
        self.restore(Snapshot::default());
        self.history.rewind(Position::default())
    }

    fn save(&mut self) -> Result<Vec<u8>, Storage> {
        let position = self.history.sync()?;
        machine::encode(&self.snapshot(position))
    }

    fn export_bytes(&self, saved: &[u8]) -> u64 {
        self.room.retained() + saved.len() as u64
    }

    fn prune(&mut self) -> Result<(), Storage> {
        let live: Set<u64> = self.retained.values().map(|turn| turn.item.segment).collect();
        self.history.retain(&|segment| live.contains(&segment))
    }

    fn load(&mut self, saved: &[u8]) -> Result<(), Storage> {
        let snapshot: Snapshot = machine::decode(saved)?;
        self.history.rewind(snapshot.history)?;
        self.restore(snapshot);
        Ok(())
    }

    fn export(&self) -> Result<Box<dyn Export>, Storage> {
        let snapshot = self.snapshot(Position::default());
        Ok(Box::new(Exporter::new(snapshot, self.history.reader())?))
    }

    fn importer(&self) -> Result<Box<dyn Import>, Storage> {
        Ok(Box::new(Importer::new(self.history.staging()?)?))
    }

    fn import(&mut self, received: &[u8]) -> Result<(), Storage> {
        let snapshot: Snapshot = machine::decode(received)?;
        self.history.commit_staging(snapshot.history)?;
        self.restore(snapshot);
        Ok(())
    }

    fn dump(&self) -> String {
        let active: usize = self.programs.values().map(|program| program.reservations.len()).sum();
        format!(
            "programs {}, turns in progress {active}, turns retained {}, origins of streams {}",
            self.programs.len(),
            self.retained.len(),
            self.streams.len()
        )
    }
}
