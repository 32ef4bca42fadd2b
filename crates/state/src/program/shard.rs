//! The state machine of one shard.

use crate::budget::{Amount, Budget};
use crate::error::{Kind, Storage};
use crate::history::{Locator, Position, Store};
use crate::id;
use crate::machine::{self, Export, Machine};
use crate::program::command::{Command, End, Open, Refusal, Reply};
use crate::program::record::{Current, Entry, Program, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

type Programs = BTreeMap<id::Program, Program>;

/// All programs of one replicated journal.
pub struct Shard {
    pub(crate) programs: Programs,
    pub(crate) history: Box<dyn Store>,
}

/// State for this disk; history stays in its segment files.
#[derive(Serialize, Deserialize)]
struct Saved {
    programs: Programs,
    history: Position,
}

/// State for another disk: programs with their history items in order.
#[derive(Serialize, Deserialize)]
struct Exported {
    programs: Programs,
    items: Vec<Vec<u8>>,
}

impl Shard {
    /// An empty shard over `history`.
    pub fn new(history: Box<dyn Store>) -> Self {
        Self { programs: Programs::new(), history }
    }

    /// One program.
    pub fn program(&self, program: &id::Program) -> Option<&Program> {
        self.programs.get(program)
    }

    /// Executes one command.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    pub fn execute(&mut self, command: Command) -> Result<Reply, Storage> {
        match command {
            Command::Open(open) => Ok(self.open(open)),
            Command::Begin(begin) => self.begin(begin),
            Command::End(end) => self.end(end),
            Command::Abandon { attempt, holder } => self.abandon(&attempt, &holder),
            Command::Forfeit { attempt, holder } => self.forfeit(&attempt, &holder),
            Command::Refuse { call, digest, kind } => self.refuse(&call, digest, kind),
            Command::Close(close) => self.close(&close),
            Command::Released { program, server } => Ok(self.released(&program, &server)),
            Command::Sweep { now_ms, idle_ms, keep_ms } => self.sweep(now_ms, idle_ms, keep_ms),
        }
    }

    fn open(&mut self, open: Open) -> Reply {
        if let Some(known) = self.programs.get(&open.program) {
            let is_same = known.budget.limit == open.limit.min(open.cap)
                && known.deadline_ms == open.deadline_ms
                && known.labels == open.labels;
            if is_same && !known.is_closed {
                return Reply::Done;
            }
            return refused(Kind::Conflict, format!("program {} exists", open.program));
        }
        let limit = open.limit.min(open.cap);
        if let Err(refusal) = self.carve(&open.program, limit) {
            return Reply::Refused(refusal);
        }
        let program = Program {
            budget: Budget::new(limit),
            opened_ms: open.now_ms,
            deadline_ms: open.deadline_ms,
            labels: open.labels,
            entries: Vec::new(),
            current: None,
            held: BTreeSet::new(),
            used_ms: open.now_ms,
            is_closed: false,
        };
        self.programs.insert(open.program, program);
        Reply::Done
    }

    /// Reserves a sub-agent's limit in its parent's budget.
    fn carve(&mut self, program: &id::Program, limit: Amount) -> Result<(), Refusal> {
        let Some(parent_id) = program.parent() else {
            return Ok(());
        };
        let parent = self.open_program(&parent_id)?;
        if !parent.budget.reserve(limit, parent.budget.limit) {
            let left = parent.budget.available(parent.budget.limit);
            return Err(refusal(
                Kind::BudgetExhausted,
                format!("sub-agent asks for {limit:?}; parent has {left:?}"),
            ));
        }
        Ok(())
    }

    pub(crate) fn open_program(&mut self, id: &id::Program) -> Result<&mut Program, Refusal> {
        match self.programs.get_mut(id) {
            None => Err(refusal(Kind::UnknownProgram, format!("no program {id}"))),
            Some(program) if program.is_closed => {
                Err(refusal(Kind::Closed, format!("program {id} has ended")))
            }
            Some(program) => Ok(program),
        }
    }

    pub(crate) fn settled(&self, call: &id::Call) -> Option<Entry> {
        self.programs.get(&call.program)?.entry(call.seq).cloned()
    }

    pub(crate) fn recorded(&self, entry: &Entry) -> Result<Reply, Storage> {
        let answer = self.history.read(&entry.answer)?;
        Ok(Reply::Settled { verdict: entry.verdict, spent: entry.spent, answer })
    }

    /// Takes the current attempt if it is `attempt` of `holder`.
    fn take_current(&mut self, attempt: &id::Attempt, holder: &id::Holder) -> Option<Current> {
        let program = self.programs.get_mut(&attempt.call.program)?;
        let is_held = attempt.call.seq == program.next_seq()
            && program.current.as_ref().is_some_and(|current| {
                current.attempt == attempt.number && current.holder.as_ref() == Some(holder)
            });
        if is_held { program.current.take() } else { None }
    }

    /// Reply to a command about an attempt that is not the current one.
    fn not_current(&self, call: &id::Call) -> Result<Reply, Storage> {
        match self.settled(call) {
            Some(entry) => self.recorded(&entry),
            None => Ok(refused(Kind::Conflict, format!("call {call} has another attempt"))),
        }
    }

    fn end(&mut self, end: End) -> Result<Reply, Storage> {
        let Some(current) = self.take_current(&end.attempt, &end.holder) else {
            return self.not_current(&end.attempt.call);
        };
        if let Some(program) = self.programs.get_mut(&end.attempt.call.program) {
            program.used_ms = end.now_ms;
        }
        self.settle(&end.attempt.call, current, end.verdict, end.spent, &end.answer)
    }

    fn abandon(&mut self, attempt: &id::Attempt, holder: &id::Holder) -> Result<Reply, Storage> {
        if self.is_abandoned(attempt) {
            return Ok(Reply::Done);
        }
        let Some(mut current) = self.take_current(attempt, holder) else {
            return self.not_current(&attempt.call);
        };
        if !current.is_idempotent {
            let verdict = Verdict::NotRun(Kind::Rejected);
            return self.settle(&attempt.call, current, verdict, Amount::default(), &[]);
        }
        let Some(program) = self.programs.get_mut(&attempt.call.program) else {
            return Ok(Reply::Done);
        };
        program.budget.settle(current.reserve, Amount::default());
        current.reserve = Amount::default();
        current.holder = None;
        program.current = Some(current);
        Ok(Reply::Done)
    }

    fn is_abandoned(&self, attempt: &id::Attempt) -> bool {
        let program = self.programs.get(&attempt.call.program);
        let program = program.filter(|program| program.next_seq() == attempt.call.seq);
        let current = program.and_then(|program| program.current.as_ref());
        current.is_some_and(|c| c.attempt == attempt.number && c.holder.is_none())
    }

    fn forfeit(&mut self, attempt: &id::Attempt, holder: &id::Holder) -> Result<Reply, Storage> {
        let Some(current) = self.take_current(attempt, holder) else {
            return self.not_current(&attempt.call);
        };
        let charge = current.reserve;
        self.settle(&attempt.call, current, Verdict::Unknown(Kind::Unknown), charge, &[])
    }

    /// Records the outcome of the next call in order.
    pub(crate) fn settle(
        &mut self,
        call: &id::Call,
        current: Current,
        verdict: Verdict,
        spent: Amount,
        answer: &[u8],
    ) -> Result<Reply, Storage> {
        let located = self.history.append(answer)?;
        let Some(program) = self.programs.get_mut(&call.program) else {
            return Ok(refused(Kind::UnknownProgram, format!("no program {}", call.program)));
        };
        let spent = spent.min(current.reserve);
        program.budget.settle(current.reserve, spent);
        let total = spent.plus(current.charged);
        program.entries.push(Entry {
            digest: current.digest,
            attempt: current.attempt,
            verdict,
            spent: total,
            messages: current.messages,
            answer: located,
        });
        Ok(Reply::Settled { verdict, spent: total, answer: answer.to_vec() })
    }

    /// Settles a call whose last attempt was taken back; an earlier one may have run.
    fn refuse_abandoned(&mut self, call: &id::Call, kind: Kind) -> Result<Reply, Storage> {
        let program = self.programs.get_mut(&call.program);
        let Some(current) = program.and_then(|program| program.current.take()) else {
            return self.not_current(call);
        };
        let verdict = match current.charged == Amount::default() {
            true => Verdict::NotRun(kind),
            false => Verdict::Unknown(kind),
        };
        self.settle(call, current, verdict, Amount::default(), &[])
    }

    fn refuse(
        &mut self,
        call: &id::Call,
        digest: id::Digest,
        kind: Kind,
    ) -> Result<Reply, Storage> {
        if let Some(entry) = self.settled(call) {
            return self.recorded(&entry);
        }
        let program = match self.open_program(&call.program) {
            Ok(program) => program,
            Err(refusal) => return Ok(Reply::Refused(refusal)),
        };
        if call.seq != program.next_seq() {
            return Ok(refused(kind, format!("call {call} is not the next one")));
        }
        if let Some(current) = &program.current {
            return match current.holder {
                Some(_) => Ok(busy(current)),
                None => self.refuse_abandoned(call, kind),
            };
        }
        self.settle_not_run(call, digest, kind)
    }

    /// Settles the next call in order, which was never begun.
    pub(crate) fn settle_not_run(
        &mut self,
        call: &id::Call,
        digest: id::Digest,
        kind: Kind,
    ) -> Result<Reply, Storage> {
        let messages = self.history.append(&[])?;
        let current = Current {
            attempt: 0,
            digest,
            holder: None,
            service: String::new(),
            server: String::new(),
            is_idempotent: true,
            reserve: Amount::default(),
            charged: Amount::default(),
            messages,
        };
        self.settle(call, current, Verdict::NotRun(kind), Amount::default(), &[])
    }
}

impl Machine for Shard {
    fn apply(&mut self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        let reply = self.execute(machine::decode(data)?)?;
        machine::encode(&reply)
    }

    fn query(&self, data: &[u8]) -> Result<Vec<u8>, Storage> {
        machine::encode(&self.view(&machine::decode(data)?)?)
    }

    fn reset(&mut self) -> Result<(), Storage> {
        self.programs.clear();
        self.history.rewind(Position::default())
    }

    fn save(&mut self) -> Result<Vec<u8>, Storage> {
        let history = self.history.sync()?;
        machine::encode(&(&self.programs, history))
    }

    fn prune(&mut self) -> Result<(), Storage> {
        let used: BTreeSet<u64> = self
            .programs
            .values()
            .flat_map(|program| locators(program).map(|locator| locator.segment))
            .collect();
        self.history.retain(&|segment| used.contains(&segment))
    }

    fn load(&mut self, saved: &[u8]) -> Result<(), Storage> {
        let saved: Saved = machine::decode(saved)?;
        self.history.rewind(saved.history)?;
        self.programs = saved.programs;
        Ok(())
    }

    fn export(&self) -> Result<Box<dyn Export>, Storage> {
        let mut items = Vec::new();
        for locator in self.programs.values().flat_map(locators) {
            items.push(self.history.read(locator)?);
        }
        // Where items lie differs from disk to disk.
        let mut programs = self.programs.clone();
        for locator in programs.values_mut().flat_map(locators_mut) {
            *locator = Locator::default();
        }
        Ok(Box::new(machine::encode(&Exported { programs, items })?))
    }

    fn import(&mut self, received: &[u8]) -> Result<(), Storage> {
        // Older items stay until the new state is durable.
        let exported: Exported = machine::decode(received)?;
        self.programs = exported.programs;
        let mut items = exported.items.iter();
        for program in self.programs.values_mut() {
            for locator in locators_mut(program) {
                let item = items.next().ok_or(Storage::Stopped)?;
                *locator = self.history.append(item)?;
            }
        }
        Ok(())
    }

    fn dump(&self) -> String {
        let running = self.programs.values().filter(|program| program.current.is_some()).count();
        let open = self.programs.values().filter(|program| !program.is_closed).count();
        let held: usize = self.backlog(usize::MAX).len();
        format!(
            "{{\"programs\":{},\"open\":{open},\"running\":{running},\"backlog\":{held}}}",
            self.programs.len()
        )
    }
}

pub(crate) fn busy(current: &Current) -> Reply {
    Reply::Busy {
        attempt: current.attempt,
        holder: current.holder.clone(),
        service: current.service.clone(),
        server: current.server.clone(),
        is_idempotent: current.is_idempotent,
    }
}

fn locators(program: &Program) -> impl Iterator<Item = &Locator> {
    let settled = program.entries.iter().flat_map(|entry| [&entry.messages, &entry.answer]);
    settled.chain(program.current.iter().map(|current| &current.messages))
}

fn locators_mut(program: &mut Program) -> impl Iterator<Item = &mut Locator> {
    let settled = program.entries.iter_mut();
    let settled = settled.flat_map(|entry| [&mut entry.messages, &mut entry.answer]);
    settled.chain(program.current.iter_mut().map(|current| &mut current.messages))
}

pub(crate) fn refusal(kind: Kind, detail: String) -> Refusal {
    Refusal { kind, detail }
}

pub(crate) fn refused(kind: Kind, detail: String) -> Reply {
    Reply::Refused(refusal(kind, detail))
}

pub(crate) fn differs(call: &id::Call) -> String {
    format!("call {call} was made before with other content")
}
