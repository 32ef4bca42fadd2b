//! The state machine of one shard.

use crate::budget::{Amount, Budget};
use crate::error::{Kind, Storage};
use crate::history::{Locator, Position, Store};
use crate::id;
use crate::machine::{self, Machine};
use crate::program::command::{
    Begin, Close, Command, End, Open, Query, Refusal, Reply, Summary, Takeover, View,
};
use crate::program::record::{Current, Entry, Program, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

type Programs = BTreeMap<id::Program, Program>;

/// All programs of one replicated journal.
pub struct Shard {
    programs: Programs,
    history: Box<dyn Store>,
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

    fn open_program(&mut self, id: &id::Program) -> Result<&mut Program, Refusal> {
        match self.programs.get_mut(id) {
            None => Err(refusal(Kind::UnknownProgram, format!("no program {id}"))),
            Some(program) if program.is_closed => {
                Err(refusal(Kind::Closed, format!("program {id} has ended")))
            }
            Some(program) => Ok(program),
        }
    }

    fn begin(&mut self, begin: Begin) -> Result<Reply, Storage> {
        if let Some(entry) = self.settled(&begin.attempt.call) {
            if entry.digest != begin.digest {
                return Ok(refused(Kind::Conflict, differs(&begin.attempt.call)));
            }
            return self.recorded(&entry);
        }
        let program = match self.open_program(&begin.attempt.call.program) {
            Ok(program) => program,
            Err(refusal) => return Ok(Reply::Refused(refusal)),
        };
        if let Some(reply) = admission(program, &begin) {
            return Ok(reply);
        }
        if program.current.is_none() && begin.now_ms > program.deadline_ms {
            let call = &begin.attempt.call;
            return self.settle_not_run(call, begin.digest, Kind::DeadlineExceeded);
        }
        let previous = program.current.take();
        let charged = settle_lost(&mut program.budget, previous.as_ref());
        if !program.budget.reserve(begin.reserve, begin.cap) {
            return self.refuse_budget(&begin, previous, charged);
        }
        let messages = match &previous {
            Some(previous) => previous.messages,
            None => self.history.append(&begin.messages)?,
        };
        let Some(program) = self.programs.get_mut(&begin.attempt.call.program) else {
            return Ok(refused(Kind::UnknownProgram, String::new()));
        };
        if begin.holds_memory {
            program.held.insert(begin.server.clone());
        }
        program.used_ms = begin.now_ms;
        program.current = Some(Current {
            attempt: begin.attempt.number,
            digest: begin.digest,
            holder: Some(begin.holder),
            service: begin.service,
            server: begin.server,
            is_idempotent: begin.is_idempotent,
            reserve: begin.reserve,
            charged,
            messages,
        });
        Ok(Reply::Begun)
    }

    /// Refuses a call that the budget does not cover.
    ///
    /// A lost earlier attempt may have run, so then the call ends as unknown.
    fn refuse_budget(
        &mut self,
        begin: &Begin,
        previous: Option<Current>,
        charged: Amount,
    ) -> Result<Reply, Storage> {
        let call = &begin.attempt.call;
        let Some(mut previous) = previous else {
            return self.settle_not_run(call, begin.digest, Kind::BudgetExhausted);
        };
        previous.reserve = Amount::default();
        previous.charged = charged;
        let verdict = match charged == Amount::default() {
            true => Verdict::NotRun(Kind::BudgetExhausted),
            false => Verdict::Unknown(Kind::BudgetExhausted),
        };
        self.settle(call, previous, verdict, Amount::default(), &[])
    }

    fn settled(&self, call: &id::Call) -> Option<Entry> {
        self.programs.get(&call.program)?.entry(call.seq).cloned()
    }

    fn recorded(&self, entry: &Entry) -> Result<Reply, Storage> {
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
    fn settle(
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

    fn close(&mut self, close: &Close) -> Result<Reply, Storage> {
        let Some(program) = self.programs.get(&close.program) else {
            return Ok(refused(Kind::UnknownProgram, format!("no program {}", close.program)));
        };
        if program.is_closed {
            return Ok(Reply::Done);
        }
        let family = self.family(&close.program);
        let busy = family.iter().find(|id| self.is_running(id));
        if let (Some(busy), false) = (busy, close.force) {
            return Ok(refused(Kind::Busy, format!("program {busy} has a call under way")));
        }
        // Deepest first, so that each settles into a parent that is still open.
        for id in family.iter().rev() {
            self.close_one(id, close.now_ms)?;
        }
        Ok(Reply::Done)
    }

    /// The program and its open sub-agents, parents before children.
    fn family(&self, program: &id::Program) -> Vec<id::Program> {
        let prefix = format!("{}.", program.name);
        let from = id::Program::new(&program.deployment, &prefix);
        let children = self
            .programs
            .range(from..)
            .take_while(|(id, _)| {
                id.deployment == program.deployment && id.name.starts_with(&prefix)
            })
            .filter(|(_, child)| !child.is_closed)
            .map(|(id, _)| id.clone());
        std::iter::once(program.clone()).chain(children).collect()
    }

    fn is_running(&self, program: &id::Program) -> bool {
        let current = self.programs.get(program).and_then(|program| program.current.as_ref());
        current.is_some_and(|current| current.holder.is_some())
    }

    fn close_one(&mut self, id: &id::Program, now_ms: u64) -> Result<(), Storage> {
        let Some(program) = self.programs.get_mut(id) else {
            return Ok(());
        };
        program.is_closed = true;
        program.used_ms = now_ms;
        if let Some(current) = program.current.take() {
            let call = id::Call { program: id.clone(), seq: program.next_seq() };
            let charge = current.reserve;
            let may_have_run = current.holder.is_some() || current.charged != Amount::default();
            let verdict = match may_have_run {
                true => Verdict::Unknown(Kind::Cancelled),
                false => Verdict::NotRun(Kind::Cancelled),
            };
            self.settle(&call, current, verdict, charge, &[])?;
        }
        self.return_to_parent(id);
        Ok(())
    }

    fn return_to_parent(&mut self, id: &id::Program) {
        let Some(budget) = self.programs.get(id).map(|program| program.budget) else {
            return;
        };
        if let Some(parent) = id.parent().and_then(|parent| self.programs.get_mut(&parent)) {
            parent.budget.settle(budget.limit, budget.spent);
        }
    }

    fn released(&mut self, program: &id::Program, server: &str) -> Reply {
        if let Some(program) = self.programs.get_mut(program) {
            program.held.remove(server);
        }
        Reply::Done
    }

    fn sweep(&mut self, now_ms: u64, idle_ms: u64, keep_ms: u64) -> Result<Reply, Storage> {
        let idle: Vec<id::Program> = self
            .programs
            .iter()
            .filter(|(_, program)| !program.is_closed && program.used_ms + idle_ms <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for program in idle {
            self.close(&Close { program, force: true, now_ms })?;
        }
        self.programs.retain(|_, program| {
            !program.is_closed || !program.held.is_empty() || program.used_ms + keep_ms > now_ms
        });
        Ok(Reply::Done)
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

    fn answer(&self, call: &id::Call) -> Result<Reply, Storage> {
        let Some(program) = self.programs.get(&call.program) else {
            return Ok(refused(Kind::UnknownProgram, format!("no program {}", call.program)));
        };
        if let Some(entry) = program.entry(call.seq) {
            return self.recorded(entry);
        }
        let current = program.current.as_ref().filter(|_| call.seq == program.next_seq());
        Ok(match current {
            Some(current) => busy(current),
            None => refused(Kind::UnknownCall, format!("no call {call}")),
        })
    }

    fn load_call(
        &self,
        call: &id::Call,
        digest: &id::Digest,
        known: usize,
    ) -> Result<View, Storage> {
        let Some(program) = self.programs.get(&call.program) else {
            let detail = format!("no program {}", call.program);
            return Ok(View::Refused(refusal(Kind::UnknownProgram, detail)));
        };
        if let Some(entry) = program.entry(call.seq) {
            if entry.digest != *digest {
                return Ok(View::Refused(refusal(Kind::Conflict, differs(call))));
            }
            return Ok(View::Answer(self.recorded(entry)?));
        }
        let summary = Box::new(summary(&call.program, program));
        Ok(View::Loaded { summary, history: self.history(program, known)? })
    }

    /// Messages and answers of the answered calls, in order, without the first `known`.
    fn history(&self, program: &Program, known: usize) -> Result<Vec<Vec<u8>>, Storage> {
        let answered = program.entries.iter().filter(|entry| entry.verdict == Verdict::Answered);
        let locators = answered.flat_map(|entry| [&entry.messages, &entry.answer]);
        locators.skip(known).map(|locator| self.history.read(locator)).collect()
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
    fn settle_not_run(
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

    fn backlog(&self, limit: usize) -> Vec<(id::Program, String)> {
        let closed = self.programs.iter().filter(|(_, program)| program.is_closed);
        closed
            .flat_map(|(id, program)| {
                program.held.iter().map(|server| (id.clone(), server.clone()))
            })
            .take(limit)
            .collect()
    }

    /// Executes one query.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    pub fn view(&self, query: &Query) -> Result<View, Storage> {
        Ok(match query {
            Query::Answer(call) => View::Answer(self.answer(call)?),
            Query::Load { call, digest, known } => self.load_call(call, digest, *known)?,
            Query::Program(id) => match self.programs.get(id) {
                Some(program) => View::Programs(vec![summary(id, program)]),
                None => View::Refused(refusal(Kind::UnknownProgram, format!("no program {id}"))),
            },
            Query::List { deployment, limit } => View::Programs(
                self.programs
                    .iter()
                    .filter(|(id, _)| deployment.as_ref().is_none_or(|d| *d == id.deployment))
                    .take(*limit)
                    .map(|(id, program)| summary(id, program))
                    .collect(),
            ),
            Query::History(id) => match self.programs.get(id) {
                Some(program) => View::History(self.history(program, 0)?),
                None => View::Refused(refusal(Kind::UnknownProgram, format!("no program {id}"))),
            },
            Query::Backlog { limit } => View::Backlog(self.backlog(*limit)),
        })
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

    fn export(&self) -> Result<Vec<u8>, Storage> {
        let mut items = Vec::new();
        for locator in self.programs.values().flat_map(locators) {
            items.push(self.history.read(locator)?);
        }
        // Where items lie differs from disk to disk.
        let mut programs = self.programs.clone();
        for locator in programs.values_mut().flat_map(locators_mut) {
            *locator = Locator::default();
        }
        machine::encode(&Exported { programs, items })
    }

    fn import(&mut self, exported: &[u8]) -> Result<(), Storage> {
        // Older items stay until the new state is durable.
        let exported: Exported = machine::decode(exported)?;
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

/// Decides whether `begin` may start; `None` means yes.
fn admission(program: &Program, begin: &Begin) -> Option<Reply> {
    let call = &begin.attempt.call;
    if begin.opened_ms != program.opened_ms {
        let detail = format!("program {} was opened again since", call.program);
        return Some(refused(Kind::OutOfOrder, detail));
    }
    if call.seq != program.next_seq() {
        let detail = format!("call {call}: the next sequence number is {}", program.next_seq());
        return Some(refused(Kind::OutOfOrder, detail));
    }
    if let Some(current) = &program.current {
        return replacement(current, begin);
    }
    (begin.attempt.number != 1).then(|| refused(Kind::Conflict, "the first attempt is 1".into()))
}

/// Decides whether `begin` may replace the attempt under way; `None` means yes.
fn replacement(current: &Current, begin: &Begin) -> Option<Reply> {
    if current.digest != begin.digest {
        return Some(refused(Kind::Conflict, differs(&begin.attempt.call)));
    }
    let is_own = current.holder.as_ref() == Some(&begin.holder);
    if is_own && current.attempt == begin.attempt.number {
        return Some(if current.server == begin.server {
            Reply::Begun
        } else {
            refused(Kind::Conflict, "the attempt was begun on another server".into())
        });
    }
    let is_free = match (&current.holder, &begin.takeover) {
        (None, _) => true,
        (Some(holder), Some(Takeover::Expired(expired))) => holder == expired,
        (Some(_), Some(Takeover::GivenUp)) => is_own,
        (Some(_), None) => false,
    };
    if is_free && current.is_idempotent && begin.attempt.number == current.attempt + 1 {
        return None;
    }
    Some(busy(current))
}

/// Charges a lost attempt its whole reservation; returns the charges of the call so far.
fn settle_lost(budget: &mut Budget, previous: Option<&Current>) -> Amount {
    let Some(previous) = previous else {
        return Amount::default();
    };
    budget.settle(previous.reserve, previous.reserve);
    previous.charged.plus(previous.reserve)
}

fn busy(current: &Current) -> Reply {
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

fn summary(id: &id::Program, program: &Program) -> Summary {
    let running = program.current.as_ref().and_then(|current| {
        let call = id::Call { program: id.clone(), seq: program.next_seq() };
        Some((id::Attempt { call, number: current.attempt }, current.holder.clone()?))
    });
    Summary {
        program: id.clone(),
        budget: program.budget,
        opened_ms: program.opened_ms,
        deadline_ms: program.deadline_ms,
        next_seq: program.next_seq(),
        current: running,
        labels: program.labels.clone(),
        is_closed: program.is_closed,
        held: program.held.iter().cloned().collect(),
    }
}

fn refusal(kind: Kind, detail: String) -> Refusal {
    Refusal { kind, detail }
}

fn refused(kind: Kind, detail: String) -> Reply {
    Reply::Refused(refusal(kind, detail))
}

fn differs(call: &id::Call) -> String {
    format!("call {call} was made before with other content")
}
