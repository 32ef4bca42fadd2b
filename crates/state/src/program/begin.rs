//! Starts attempts of calls: admission checks, takeover of earlier attempts and reservation
//! of the budget.

use crate::budget::{Amount, Budget};
use crate::error::{Kind, Storage};
use crate::program::command::{Begin, Reply, Takeover};
use crate::program::record::{Attempt, Outcome, Program};
use crate::program::shard::{Shard, busy_reply, conflict_detail, refused};

impl Shard {
    pub(crate) fn begin(&mut self, begin: Begin) -> Result<Reply, Storage> {
        if let Some(settled) = self.settled_call(&begin.attempt.call) {
            if settled.digest != begin.digest {
                return Ok(refused(Kind::Conflict, conflict_detail(&begin.attempt.call)));
            }
            return self.recorded_reply(&settled);
        }
        let program = match self.open_program(&begin.attempt.call.program) {
            Ok(program) => program,
            Err(refusal) => return Ok(Reply::Refused(refusal)),
        };
        if let Some(reply) = check_admission(program, &begin) {
            return Ok(reply);
        }
        if program.current.is_none() && begin.now_ms > program.deadline_ms {
            let call = &begin.attempt.call;
            return self.settle_not_executed(call, begin.digest, Kind::DeadlineExceeded);
        }
        let previous = program.current.take();
        let charged = charge_lost_attempt(&mut program.budget, previous.as_ref());
        if !program.budget.reserve(begin.reservation, begin.cap) {
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
        program.last_used_ms = begin.now_ms;
        program.current = Some(Attempt {
            number: begin.attempt.number,
            digest: begin.digest,
            holder: Some(begin.holder),
            service: begin.service,
            server: begin.server,
            is_idempotent: begin.is_idempotent,
            reservation: begin.reservation,
            charged,
            messages,
        });
        Ok(Reply::Begun)
    }

    /// Settles a call that the budget does not cover.
    ///
    /// If an earlier attempt was charged, it may have been executed, so the outcome is unknown.
    fn refuse_budget(
        &mut self,
        begin: &Begin,
        previous: Option<Attempt>,
        charged: Amount,
    ) -> Result<Reply, Storage> {
        let call = &begin.attempt.call;
        let Some(mut previous) = previous else {
            return self.settle_not_executed(call, begin.digest, Kind::BudgetExhausted);
        };
        previous.reservation = Amount::default();
        previous.charged = charged;
        let outcome = match charged == Amount::default() {
            true => Outcome::NotExecuted(Kind::BudgetExhausted),
            false => Outcome::Unknown(Kind::BudgetExhausted),
        };
        self.settle(call, previous, outcome, Amount::default(), &[])
    }
}

/// Checks whether `begin` may start an attempt; returns the reply that refuses it if not.
fn check_admission(program: &Program, begin: &Begin) -> Option<Reply> {
    let call = &begin.attempt.call;
    if begin.opened_ms != program.opened_ms {
        let detail = format!("program {} was closed and opened again", call.program);
        return Some(refused(Kind::OutOfOrder, detail));
    }
    if call.seq != program.next_seq() {
        let detail = format!("call {call}: the next sequence number is {}", program.next_seq());
        return Some(refused(Kind::OutOfOrder, detail));
    }
    if let Some(current) = &program.current {
        return check_replacement(current, begin);
    }
    (begin.attempt.number != 1)
        .then(|| refused(Kind::Conflict, "the first attempt has number 1".into()))
}

/// Checks whether `begin` may replace the current attempt; returns the reply to it if not.
fn check_replacement(current: &Attempt, begin: &Begin) -> Option<Reply> {
    if current.digest != begin.digest {
        return Some(refused(Kind::Conflict, conflict_detail(&begin.attempt.call)));
    }
    let is_same_holder = current.holder.as_ref() == Some(&begin.holder);
    if is_same_holder && current.number == begin.attempt.number {
        return Some(if current.server == begin.server {
            Reply::Begun
        } else {
            refused(Kind::Conflict, "the attempt was begun on another backend server".into())
        });
    }
    let is_replaceable = match (&current.holder, &begin.takeover) {
        (None, _) => true,
        (Some(holder), Some(Takeover::Expired(expired))) => holder == expired,
        (Some(_), Some(Takeover::SameHolder)) => is_same_holder,
        (Some(_), None) => false,
    };
    if is_replaceable && current.is_idempotent && begin.attempt.number == current.number + 1 {
        return None;
    }
    Some(busy_reply(current))
}

/// Charges the full reservation of a replaced attempt, which may have been executed; returns the
/// total charges of the call's earlier attempts.
fn charge_lost_attempt(budget: &mut Budget, previous: Option<&Attempt>) -> Amount {
    let Some(previous) = previous else {
        return Amount::default();
    };
    budget.settle(previous.reservation, previous.reservation);
    previous.charged.plus(previous.reservation)
}
