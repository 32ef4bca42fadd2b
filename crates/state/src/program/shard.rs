//! The state machine of one shard.
//!
//! Applies commands to the programs of one replicated journal. Messages and answers are
//! stored in a history store; only their locators are part of the program state.

use crate::budget::{Amount, Budget};
use crate::error::{Kind, Storage};
use crate::history::{Locator, Position, Store};
use crate::id;
use crate::machine::{self, Export, StateMachine};
use crate::program::command::{Command, End, Open, Refusal, Reply};
use crate::program::record::{Attempt, Outcome, Program, Settlement};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

type Programs = BTreeMap<id::Program, Program>;

/// All programs of one replicated journal.
pub struct Shard {
    pub(crate) programs: Programs,
    pub(crate) history: Box<dyn Store>,
}

/// State to restore on the same disk, without history items, which stay in the history store.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    programs: Programs,
    history: Position,
}

/// State to transfer to another replica, with all history items.
#[derive(Serialize, Deserialize)]
struct Transfer {
    programs: Programs,
    /// History items, in the order in which the programs refer to them.
    items: Vec<Vec<u8>>,
}

impl Shard {
    /// Creates an empty shard whose history items are stored in `history`.
    pub fn new(history: Box<dyn Store>) -> Self {
        Self { programs: Programs::new(), history }
    }

    /// The program with the given id.
    pub fn program(&self, program: &id::Program) -> Option<&Program> {
        self.programs.get(program)
    }

    /// Applies one command.
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
            Command::SettleUnknown { attempt, holder } => self.settle_unknown(&attempt, &holder),
            Command::Refuse { call, digest, kind } => self.refuse(&call, digest, kind),
            Command::Close(close) => self.close(&close),
            Command::ConfirmRelease { program, server } => Ok(self.remove_held(&program, &server)),
            Command::Expire { now_ms, idle_ms, keep_ms } => self.expire(now_ms, idle_ms, keep_ms),
        }
    }

    fn open(&mut self, open: Open) -> Reply {
        if let Some(existing) = self.programs.get(&open.program) {
            let is_same = existing.budget.limit == open.limit.min(open.cap)
                && existing.deadline_ms == open.deadline_ms
                && existing.labels == open.labels;
            if is_same && !existing.is_closed {
                return Reply::Done;
            }
            return refused(Kind::Conflict, format!("program {} already exists", open.program));
        }
        let limit = open.limit.min(open.cap);
        if let Err(refusal) = self.reserve_in_parent(&open.program, limit) {
            return Reply::Refused(refusal);
        }
        let program = Program {
            budget: Budget::new(limit),
            opened_ms: open.now_ms,
            deadline_ms: open.deadline_ms,
            labels: open.labels,
            settled: Vec::new(),
            current: None,
            held: BTreeSet::new(),
            last_used_ms: open.now_ms,
            is_closed: false,
        };
        self.programs.insert(open.program, program);
        Reply::Done
    }

    /// Reserves a sub-agent's limit in the budget of its parent; does nothing for other programs.
    fn reserve_in_parent(&mut self, program: &id::Program, limit: Amount) -> Result<(), Refusal> {
        let Some(parent_id) = program.parent() else {
            return Ok(());
        };
        let parent = self.open_program(&parent_id)?;
        if !parent.budget.reserve(limit, parent.budget.limit) {
            let available = parent.budget.available(parent.budget.limit);
            return Err(refusal(
                Kind::BudgetExhausted,
                format!("sub-agent requests {limit:?}; available in the parent: {available:?}"),
            ));
        }
        Ok(())
    }

    /// The program with the given id, unless it has ended.
    pub(crate) fn open_program(&mut self, id: &id::Program) -> Result<&mut Program, Refusal> {
        match self.programs.get_mut(id) {
            None => Err(refusal(Kind::UnknownProgram, format!("no program {id}"))),
            Some(program) if program.is_closed => {
                Err(refusal(Kind::Closed, format!("program {id} has ended")))
            }
            Some(program) => Ok(program),
        }
    }

    pub(crate) fn settled_call(&self, call: &id::Call) -> Option<Settlement> {
        self.programs.get(&call.program)?.settled_call(call.seq).cloned()
    }

    /// Reply with the recorded outcome and answer of a settled call.
    pub(crate) fn recorded_reply(&self, settled: &Settlement) -> Result<Reply, Storage> {
        let answer = self.history.read(&settled.answer)?;
        Ok(Reply::Settled { outcome: settled.outcome, spent: settled.spent, answer })
    }

    /// Removes and returns the current attempt if it is `attempt` and was begun by `holder`.
    fn take_current(&mut self, attempt: &id::Attempt, holder: &id::Holder) -> Option<Attempt> {
        let program = self.programs.get_mut(&attempt.call.program)?;
        let is_match = attempt.call.seq == program.next_seq()
            && program.current.as_ref().is_some_and(|current| {
                current.number == attempt.number && current.holder.as_ref() == Some(holder)
            });
        if is_match { program.current.take() } else { None }
    }

    /// Reply to a command for an attempt that is not the current one.
    fn stale_attempt_reply(&self, call: &id::Call) -> Result<Reply, Storage> {
        match self.settled_call(call) {
            Some(settled) => self.recorded_reply(&settled),
            None => Ok(refused(Kind::Conflict, format!("call {call}: the attempt is not current"))),
        }
    }

    fn end(&mut self, end: End) -> Result<Reply, Storage> {
        let Some(current) = self.take_current(&end.attempt, &end.holder) else {
            return self.stale_attempt_reply(&end.attempt.call);
        };
        if let Some(program) = self.programs.get_mut(&end.attempt.call.program) {
            program.last_used_ms = end.now_ms;
        }
        self.settle(&end.attempt.call, current, end.outcome, end.spent, &end.answer)
    }

    fn abandon(&mut self, attempt: &id::Attempt, holder: &id::Holder) -> Result<Reply, Storage> {
        if self.is_abandoned(attempt) {
            return Ok(Reply::Done);
        }
        let Some(mut current) = self.take_current(attempt, holder) else {
            return self.stale_attempt_reply(&attempt.call);
        };
        if !current.is_idempotent {
            let outcome = Outcome::NotExecuted(Kind::Rejected);
            return self.settle(&attempt.call, current, outcome, Amount::default(), &[]);
        }
        let Some(program) = self.programs.get_mut(&attempt.call.program) else {
            return Ok(Reply::Done);
        };
        program.budget.settle(current.reservation, Amount::default());
        current.reservation = Amount::default();
        current.holder = None;
        program.current = Some(current);
        Ok(Reply::Done)
    }

    fn is_abandoned(&self, attempt: &id::Attempt) -> bool {
        let program = self.programs.get(&attempt.call.program);
        let program = program.filter(|program| program.next_seq() == attempt.call.seq);
        let current = program.and_then(|program| program.current.as_ref());
        current.is_some_and(|c| c.number == attempt.number && c.holder.is_none())
    }

    fn settle_unknown(
        &mut self,
        attempt: &id::Attempt,
        holder: &id::Holder,
    ) -> Result<Reply, Storage> {
        let Some(current) = self.take_current(attempt, holder) else {
            return self.stale_attempt_reply(&attempt.call);
        };
        let charge = current.reservation;
        self.settle(&attempt.call, current, Outcome::Unknown(Kind::Unknown), charge, &[])
    }

    /// Settles the next call of a program: records its outcome and answer, and charges its budget.
    pub(crate) fn settle(
        &mut self,
        call: &id::Call,
        current: Attempt,
        outcome: Outcome,
        spent: Amount,
        answer: &[u8],
    ) -> Result<Reply, Storage> {
        let locator = self.history.append(answer)?;
        let Some(program) = self.programs.get_mut(&call.program) else {
            return Ok(refused(Kind::UnknownProgram, format!("no program {}", call.program)));
        };
        let spent = spent.min(current.reservation);
        program.budget.settle(current.reservation, spent);
        let total = spent.plus(current.charged);
        program.settled.push(Settlement {
            digest: current.digest,
            attempt: current.number,
            outcome,
            spent: total,
            messages: current.messages,
            answer: locator,
        });
        Ok(Reply::Settled { outcome, spent: total, answer: answer.to_vec() })
    }

    /// Settles a call whose latest attempt was abandoned. The outcome is unknown if an earlier
    /// attempt was charged, because that attempt may have been executed.
    fn refuse_abandoned(&mut self, call: &id::Call, kind: Kind) -> Result<Reply, Storage> {
        let program = self.programs.get_mut(&call.program);
        let Some(current) = program.and_then(|program| program.current.take()) else {
            return self.stale_attempt_reply(call);
        };
        let outcome = match current.charged == Amount::default() {
            true => Outcome::NotExecuted(kind),
            false => Outcome::Unknown(kind),
        };
        self.settle(call, current, outcome, Amount::default(), &[])
    }

    fn refuse(
        &mut self,
        call: &id::Call,
        digest: id::Digest,
        kind: Kind,
    ) -> Result<Reply, Storage> {
        if let Some(settled) = self.settled_call(call) {
            return self.recorded_reply(&settled);
        }
        let program = match self.open_program(&call.program) {
            Ok(program) => program,
            Err(refusal) => return Ok(Reply::Refused(refusal)),
        };
        if call.seq != program.next_seq() {
            return Ok(refused(kind, format!("call {call} is not the next call")));
        }
        if let Some(current) = &program.current {
            return match current.holder {
                Some(_) => Ok(busy_reply(current)),
                None => self.refuse_abandoned(call, kind),
            };
        }
        self.settle_not_executed(call, digest, kind)
    }

    /// Settles the next call of a program, of which no attempt was begun, as not executed.
    pub(crate) fn settle_not_executed(
        &mut self,
        call: &id::Call,
        digest: id::Digest,
        kind: Kind,
    ) -> Result<Reply, Storage> {
        let messages = self.history.append(&[])?;
        let current = Attempt {
            number: 0,
            digest,
            holder: None,
            service: String::new(),
            server: String::new(),
            is_idempotent: true,
            reservation: Amount::default(),
            charged: Amount::default(),
            messages,
        };
        self.settle(call, current, Outcome::NotExecuted(kind), Amount::default(), &[])
    }
}

impl StateMachine for Shard {
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
        let live: BTreeSet<u64> = self
            .programs
            .values()
            .flat_map(|program| locators(program).map(|locator| locator.segment))
            .collect();
        self.history.retain(&|segment| live.contains(&segment))
    }

    fn load(&mut self, saved: &[u8]) -> Result<(), Storage> {
        let saved: Snapshot = machine::decode(saved)?;
        self.history.rewind(saved.history)?;
        self.programs = saved.programs;
        Ok(())
    }

    fn export(&self) -> Result<Box<dyn Export>, Storage> {
        let mut items = Vec::new();
        for locator in self.programs.values().flat_map(locators) {
            items.push(self.history.read(locator)?);
        }
        // Locators are valid on this disk only.
        let mut programs = self.programs.clone();
        for locator in programs.values_mut().flat_map(locators_mut) {
            *locator = Locator::default();
        }
        Ok(Box::new(machine::encode(&Transfer { programs, items })?))
    }

    fn import(&mut self, received: &[u8]) -> Result<(), Storage> {
        // Older items stay until `prune`, after the new state is durable.
        let exported: Transfer = machine::decode(received)?;
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

pub(crate) fn busy_reply(current: &Attempt) -> Reply {
    Reply::Busy {
        attempt: current.number,
        holder: current.holder.clone(),
        service: current.service.clone(),
        server: current.server.clone(),
        is_idempotent: current.is_idempotent,
    }
}

fn locators(program: &Program) -> impl Iterator<Item = &Locator> {
    let settled = program.settled.iter().flat_map(|call| [&call.messages, &call.answer]);
    settled.chain(program.current.iter().map(|current| &current.messages))
}

fn locators_mut(program: &mut Program) -> impl Iterator<Item = &mut Locator> {
    let settled = program.settled.iter_mut();
    let settled = settled.flat_map(|call| [&mut call.messages, &mut call.answer]);
    settled.chain(program.current.iter_mut().map(|current| &mut current.messages))
}

pub(crate) fn refusal(kind: Kind, detail: String) -> Refusal {
    Refusal { kind, detail }
}

pub(crate) fn refused(kind: Kind, detail: String) -> Reply {
    Reply::Refused(refusal(kind, detail))
}

pub(crate) fn conflict_detail(call: &id::Call) -> String {
    format!("call {call} was made before with different content")
}
