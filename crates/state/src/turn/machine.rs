//! The state machine of the turn journal.

use crate::collections::{Map, Set};
use crate::error::Storage;
use crate::history::{Locator, Position, Store};
use crate::machine::{self, Export, Import, Machine};
use crate::turn::command::{Begin, Command, End, Query, Record, Reply};
use crate::turn::transfer::{Incoming, Outgoing};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Time between two sweeps for what has expired, in milliseconds of command time; short
/// against the minute for which turns are usually kept.
const SWEEP_MS: u64 = 5_000;

/// Time that is added to each retention, in milliseconds: covers clocks of different
/// senders that are some seconds apart.
const CLOCK_SLACK_MS: u64 = 15_000;

/// Time for which a program's budget is remembered after its last turn, in milliseconds; a
/// program that was stopped may come back as long as its turns are kept, which is a minute.
const BUDGET_KEPT_MS: u64 = 180_000;

/// Longest chain that is read, in turns; a cycle cannot be made, so this only bounds work.
const CHAIN_LIMIT: usize = 4_096;

/// Budget of one program.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Program {
    spent: u64,
    /// Reserved tokens of turns under way.
    open: Map<String, u64>,
    /// Turns that have ended; a late copy of their begin reserves nothing.
    ended: Set<String>,
    /// Backend server that ran the last turn.
    server: Option<String>,
    expires_ms: u64,
}

impl Program {
    fn drawn(&self) -> u64 {
        self.open.values().fold(self.spent, |sum, most| sum.saturating_add(*most))
    }
}

/// A turn that later ones may continue from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Kept {
    previous: Option<String>,
    pub(crate) item: Locator,
    expires_ms: u64,
}

/// State for this disk; contents stay in their segment files.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Saved {
    now_ms: u64,
    programs: Map<String, Program>,
    pub(crate) kept: Map<String, Kept>,
    pub(crate) history: Position,
}

/// All turns of one replicated journal.
pub struct Turns {
    programs: Map<String, Program>,
    kept: Map<String, Kept>,
    history: Box<dyn Store>,
    /// Latest time that a command carried.
    now_ms: u64,
    swept_ms: u64,
}

impl Turns {
    /// An empty journal over `history`.
    pub fn new(history: Box<dyn Store>) -> Self {
        Self { programs: Map::default(), kept: Map::default(), history, now_ms: 0, swept_ms: 0 }
    }

    /// Executes one command.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    pub fn execute(&mut self, command: Command) -> Result<Reply, Storage> {
        let now_ms = match &command {
            Command::Begin(begin) => begin.now_ms,
            Command::End(end) => end.now_ms,
        };
        self.now_ms = self.now_ms.max(now_ms);
        self.sweep();
        match command {
            Command::Begin(begin) => Ok(self.begin(begin)),
            Command::End(end) => self.end(end),
        }
    }

    fn begin(&mut self, begin: Begin) -> Reply {
        let until = self.until(begin.keep_ms);
        if let Some(previous) = &begin.previous {
            if !self.kept.contains_key(previous) {
                return Reply::NoSuchTurn;
            }
            self.extend(previous, until);
        }
        let Some(reserve) = begin.reserve else {
            return Reply::Begun { server: None };
        };
        let expires_ms = self.now_ms + BUDGET_KEPT_MS.max(begin.keep_ms + CLOCK_SLACK_MS);
        let program = self.programs.entry(reserve.program).or_default();
        program.expires_ms = program.expires_ms.max(expires_ms);
        if program.ended.contains(&begin.turn) {
            return Reply::Ended;
        }
        let server = program.server.clone();
        if program.open.contains_key(&begin.turn) {
            return Reply::Begun { server };
        }
        let drawn = program.drawn();
        if drawn.saturating_add(reserve.most) > reserve.budget {
            return Reply::Exhausted { left: reserve.budget.saturating_sub(drawn) };
        }
        program.open.insert(begin.turn, reserve.most);
        Reply::Begun { server }
    }

    fn end(&mut self, end: End) -> Result<Reply, Storage> {
        if let Some(name) = end.program {
            let expires_ms = self.now_ms + BUDGET_KEPT_MS;
            let program = self.programs.entry(name).or_default();
            program.expires_ms = program.expires_ms.max(expires_ms);
            if program.ended.insert(end.turn.clone()) {
                program.open.remove(&end.turn);
                program.spent = program.spent.saturating_add(end.tokens);
                program.server = end.server.or(program.server.take());
            }
        }
        if let Some(record) = end.record {
            self.keep(end.turn, record)?;
        }
        Ok(Reply::Done)
    }

    fn keep(&mut self, turn: String, record: Record) -> Result<(), Storage> {
        if self.kept.contains_key(&turn) {
            return Ok(());
        }
        let expires_ms = self.until(record.keep_ms);
        if let Some(previous) = &record.previous {
            self.extend(previous, expires_ms);
        }
        let item = self.history.append(&record.content)?;
        self.kept.insert(turn, Kept { previous: record.previous, item, expires_ms });
        Ok(())
    }

    fn until(&self, keep_ms: u64) -> u64 {
        self.now_ms.saturating_add(keep_ms).saturating_add(CLOCK_SLACK_MS)
    }

    /// Keeps a turn and all before it at least until `expires_ms`.
    fn extend(&mut self, turn: &str, expires_ms: u64) {
        let mut next = Some(turn.to_owned());
        while let Some(kept) = next.and_then(|name| self.kept.get_mut(&name)) {
            if kept.expires_ms >= expires_ms {
                return;
            }
            kept.expires_ms = expires_ms;
            next = kept.previous.clone();
        }
    }

    fn sweep(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.swept_ms + SWEEP_MS {
            return;
        }
        self.swept_ms = now_ms;
        self.programs.retain(|_, program| program.expires_ms > now_ms);
        self.kept.retain(|_, kept| kept.expires_ms > now_ms);
    }

    /// Content of a turn and of all before it, oldest first.
    ///
    /// # Errors
    ///
    /// Returns the storage error of a content that cannot be read.
    pub fn chain(&self, turn: &str) -> Result<Option<Vec<u8>>, Storage> {
        let mut items = Vec::new();
        let mut next = Some(turn);
        while let Some(name) = next {
            let Some(kept) = self.kept.get(name).filter(|_| items.len() < CHAIN_LIMIT) else {
                return Ok(None);
            };
            items.push(kept.item);
            next = kept.previous.as_deref();
        }
        let mut content = Vec::new();
        for item in items.iter().rev() {
            content.extend_from_slice(&self.history.read(item)?);
        }
        Ok(Some(content))
    }

    fn index(&self, history: Position) -> Saved {
        let (programs, kept) = (self.programs.clone(), self.kept.clone());
        Saved { now_ms: self.now_ms, programs, kept, history }
    }

    fn restore(&mut self, saved: Saved) {
        self.now_ms = saved.now_ms;
        self.swept_ms = saved.now_ms;
        self.programs = saved.programs;
        self.kept = saved.kept;
    }
}

impl Machine for Turns {
    fn apply(&mut self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let reply = self.execute(machine::decode(data)?)?;
        machine::encode(&reply)
    }

    fn query(&self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let Query::Chain(turn) = machine::decode(data)?;
        machine::encode(&self.chain(&turn)?.map(ByteBuf::from))
    }

    fn reset(&mut self) -> Result<(), Storage> {
        self.restore(Saved::default());
        self.history.rewind(Position::default())
    }

    fn save(&mut self) -> Result<Vec<u8>, Storage> {
        let position = self.history.sync()?;
        machine::encode(&self.index(position))
    }

    fn prune(&mut self) -> Result<(), Storage> {
        let live: Set<u64> = self.kept.values().map(|kept| kept.item.segment).collect();
        self.history.retain(&|segment| live.contains(&segment))
    }

    fn load(&mut self, saved: &[u8]) -> Result<(), Storage> {
        let saved: Saved = machine::decode(saved)?;
        self.history.rewind(saved.history)?;
        self.restore(saved);
        Ok(())
    }

    fn export(&self) -> Result<Box<dyn Export>, Storage> {
        let saved = self.index(Position::default());
        Ok(Box::new(Outgoing::new(saved, self.history.reader())?))
    }

    fn importer(&self) -> Result<Box<dyn Import>, Storage> {
        Ok(Box::new(Incoming::new(self.history.beside()?)))
    }

    fn import(&mut self, received: &[u8]) -> Result<(), Storage> {
        let saved: Saved = machine::decode(received)?;
        self.history.adopt(saved.history)?;
        self.restore(saved);
        Ok(())
    }

    fn dump(&self) -> String {
        let open: usize = self.programs.values().map(|program| program.open.len()).sum();
        format!(
            "programs {}, turns under way {open}, turns kept {}",
            self.programs.len(),
            self.kept.len()
        )
    }
}
