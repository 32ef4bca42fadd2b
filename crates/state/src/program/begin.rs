//! The start of an attempt.

use crate::budget::{Amount, Budget};
use crate::error::{Kind, Storage};
use crate::program::command::{Begin, Reply, Takeover};
use crate::program::record::{Current, Program, Verdict};
use crate::program::shard::{Shard, busy, differs, refused};

impl Shard {
    pub(crate) fn begin(&mut self, begin: Begin) -> Result<Reply, Storage> {
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
