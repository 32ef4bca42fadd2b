//! Settling of calls: committing outcomes, retries, refusals and timeouts.

use crate::Millis;
use crate::entry::call::{Stage, settled_answer};
use crate::entry::core::Entry;
use crate::entry::input::{Answer, Output, Unreachable, error_answer};
use crate::retry::Backoff;
use state::budget::Amount;
use state::error::{Executed, Kind};
use state::id;
use state::program::{Command, End, Outcome, Reply, Takeover};

/// Time within which the journal must settle a call, in milliseconds; after it the callers are
/// answered that the outcome is unknown.
const SETTLE_WAIT_MS: Millis = 5_000;

/// Backoff between the attempts of a call.
const RETRY: Backoff = Backoff { first_ms: 50, max_ms: 2_000 };

impl Entry {
    /// Submits a command that decides the call, and retries it until the journal replies.
    fn submit_settling(&mut self, call: &id::Call, command: Box<Command>) {
        let copy = command.as_ref().clone();
        let settle_deadline = self.now + SETTLE_WAIT_MS;
        if let Some(active) = self.calls.get_mut(call) {
            if !matches!(active.stage, Stage::Settling(_)) {
                active.deadline = active.deadline.max(settle_deadline);
            }
            active.stage = Stage::Settling(command);
        }
        self.submit(call, copy);
    }

    /// Submits a command to the program's journal; its reply continues the call.
    pub(crate) fn submit(&mut self, call: &id::Call, command: Command) {
        let op = self.next_id();
        if let Some(active) = self.calls.get_mut(call) {
            active.op = Some(op);
            active.due = None;
        }
        self.ops.insert(op, call.clone());
        let program = call.program.clone();
        self.outputs.push(Output::Submit { op, program, command: Box::new(command) });
    }

    /// Settles a call of which this entry has begun no attempt as not executed.
    pub(crate) fn refuse(&mut self, call: &id::Call, kind: Kind) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        if active.holder.is_some() {
            self.settle(call, Outcome::Unknown(kind));
            return;
        }
        let command = Command::Refuse { call: call.clone(), digest: active.request_digest, kind };
        self.submit_settling(call, Box::new(command));
    }

    /// Settles the attempt that this entry holds and charges its whole reservation.
    pub(crate) fn settle(&mut self, call: &id::Call, outcome: Outcome) {
        self.settle_with(
            call,
            outcome,
            Amount { tokens: u64::MAX, calls: 1, cost: u64::MAX },
            Vec::new(),
        );
    }

    /// Settles the attempt that this entry holds. Without an attempt, the callers are answered
    /// that the outcome is unknown.
    pub(crate) fn settle_with(
        &mut self,
        call: &id::Call,
        outcome: Outcome,
        spent: Amount,
        answer: Vec<u8>,
    ) {
        let now_ms = self.unix_ms();
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let Some(holder) = active.holder.clone() else {
            let kind = match outcome {
                Outcome::NotExecuted(kind) | Outcome::Failed(kind) | Outcome::Unknown(kind) => kind,
                Outcome::Answered => Kind::Unknown,
            };
            let answer = error_answer(
                call,
                kind,
                Executed::Unknown,
                "an earlier attempt may have been executed",
            );
            self.finish(call, answer);
            return;
        };
        let attempt = active.attempt();
        let end = End { attempt, holder, outcome, spent, answer, now_ms };
        self.submit_settling(call, Box::new(Command::End(end)));
    }

    pub(crate) fn on_submitted(&mut self, op: u64, result: Result<Reply, Unreachable>) {
        let Some(call) = self.complete_op(op) else {
            return;
        };
        let stage = self.calls.get(&call).map(|active| &active.stage);
        let is_beginning = matches!(stage, Some(Stage::Beginning(_)));
        match result {
            // The command may be in effect, so the same one is submitted again.
            Err(Unreachable) => self.retry_later(&call),
            Ok(reply) if is_beginning => self.on_begun(&call, reply),
            Ok(reply) => self.on_decided(&call, reply),
        }
    }

    /// Abandons an attempt that was not executed.
    pub(crate) fn abandon(&mut self, call: &id::Call) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let Some(holder) = active.holder.clone() else {
            return;
        };
        let command = Command::Abandon { attempt: active.attempt(), holder };
        self.submit_settling(call, Box::new(command));
    }

    /// Handles the journal's committed reply about the call.
    pub(crate) fn on_decided(&mut self, call: &id::Call, reply: Reply) {
        match reply {
            Reply::Settled { .. } => self.on_settled(call, reply),
            Reply::Busy { attempt, holder, is_idempotent, .. } => {
                self.on_busy(call, attempt, holder, is_idempotent);
            }
            Reply::Refused(refusal) if refusal.kind == Kind::OutOfOrder => {
                self.evict(&call.program);
                self.load_program(call);
            }
            Reply::Refused(refusal) => {
                self.evict(&call.program);
                let holds_attempt =
                    self.calls.get(call).is_some_and(|active| active.holder.is_some());
                if refusal.kind == Kind::Conflict && holds_attempt {
                    self.reload_replaced(call);
                } else {
                    self.finish_refused(call, refusal.kind, &refusal.detail);
                }
            }
            Reply::Done | Reply::Begun => self.on_abandoned(call),
        }
    }

    /// Loads the program again after another entry replaced this entry's attempt.
    fn reload_replaced(&mut self, call: &id::Call) {
        if let Some(active) = self.calls.get_mut(call) {
            active.holder = None;
        }
        self.load_program(call);
    }

    /// Queues the call again after its attempt was abandoned.
    fn on_abandoned(&mut self, call: &id::Call) {
        if let Some(active) = self.calls.get_mut(call) {
            active.holder = None;
        }
        self.requeue(call, None);
    }

    /// Answers the callers with a committed refusal.
    ///
    /// If this entry holds an attempt, the call may have been executed before the refusal.
    pub(crate) fn finish_refused(&mut self, call: &id::Call, kind: Kind, detail: &str) {
        let holds_attempt = self.calls.get(call).is_some_and(|active| active.holder.is_some());
        let executed = if holds_attempt { Executed::Unknown } else { Executed::No };
        self.finish(call, error_answer(call, kind, executed, detail));
    }

    fn on_settled(&mut self, call: &id::Call, reply: Reply) {
        self.update_cache(call, &reply);
        let Some(active) = self.calls.get(call) else {
            return;
        };
        if active.is_trial {
            let content_digest = active.content_digest;
            let is_cleared = matches!(reply, Reply::Settled { outcome: Outcome::Answered, .. });
            self.end_trial(content_digest, is_cleared);
        }
        self.finish(call, settled_answer(call, reply));
    }

    /// Handles the reply that another attempt exists.
    ///
    /// Without a holder the call is queued for its next attempt. If the holder is live, the call
    /// waits. If the holder's lease has expired, an idempotent call is attempted again and any
    /// other call is settled as unknown.
    fn on_busy(
        &mut self,
        call: &id::Call,
        attempt: u32,
        holder: Option<id::Holder>,
        is_idempotent: bool,
    ) {
        let retry_ms = self.settings.journal_retry_ms;
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.attempt = attempt;
        active.holder = None;
        let Some(holder) = holder else {
            self.requeue(call, None);
            return;
        };
        if !self.snapshot.is_expired(&holder) {
            self.reload_after(call, retry_ms);
        } else if is_idempotent {
            self.requeue(call, Some(Takeover::Expired(holder)));
        } else {
            let attempt = id::Attempt { call: call.clone(), number: attempt };
            self.submit_settling(call, Box::new(Command::SettleUnknown { attempt, holder }));
        }
    }

    /// Queues the call for its next attempt, or refuses it at the attempts limit.
    pub(crate) fn requeue(&mut self, call: &id::Call, takeover: Option<Takeover>) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let retry = active.retries;
        if retry + 1 >= self.settings.attempts_limit {
            let kind = if active.holder.is_some() { Kind::Failed } else { Kind::Rejected };
            self.refuse(call, kind);
            return;
        }
        let service = active.request.service.clone();
        let is_allowed = self.retry_budgets.entry(service).or_default().withdraw();
        let delay = if is_allowed { RETRY.delay(retry, &mut self.rng) } else { RETRY.max_ms };
        let due = self.now + delay;
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.retries = retry + 1;
        active.is_trial = false;
        active.takeover = takeover;
        active.due = Some(due);
        active.stage = if active.program.is_some() { Stage::Queued } else { Stage::Waiting };
    }

    /// Handles an expired retry delay, attempt timeout or call deadline.
    pub(crate) fn on_timer(&mut self, call: &id::Call) {
        let now = self.now;
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        let is_past_deadline = active.deadline <= now;
        let is_due = active.due.is_some_and(|due| due <= now);
        match &active.stage {
            Stage::Running(running) if running.deadline <= now => self.on_timeout(call),
            Stage::LookingUp(running) if running.deadline <= now => self.on_lookup(call, None),
            Stage::Queued if is_past_deadline => self.refuse(call, Kind::Overloaded),
            Stage::Waiting if is_past_deadline => self.answer_unknown(call),
            Stage::Waiting if is_due => self.load_program(call),
            Stage::Beginning(begin) if is_due => {
                let begin = begin.clone();
                self.submit_begin(call, begin);
            }
            Stage::Settling(command) if is_due => {
                let command = command.clone();
                self.submit_settling(call, command);
            }
            Stage::Reporting { server, incarnation } if is_due => {
                let (server, incarnation) = (server.clone(), *incarnation);
                self.report_crash(call, server, incarnation);
            }
            Stage::Loading | Stage::Settling(_) | Stage::Beginning(_) if is_past_deadline => {
                self.answer_unknown(call);
            }
            _ => {}
        }
    }

    /// Answers the callers that the outcome is unknown.
    ///
    /// A call whose attempt has begun stays in progress until the journal settles it.
    fn answer_unknown(&mut self, call: &id::Call) {
        let answer = error_answer(
            call,
            Kind::Unavailable,
            Executed::Unknown,
            "the journal did not respond within the timeout",
        );
        let has_attempt = self
            .calls
            .get(call)
            .is_some_and(|a| a.holder.is_some() || matches!(a.stage, Stage::Beginning(_)));
        if !has_attempt {
            self.finish(call, answer);
            return;
        }
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.deadline = Millis::MAX;
        for request_id in std::mem::take(&mut active.waiters) {
            let answer: Answer = answer.clone();
            self.outputs.push(Output::Answer { request_id, answer });
        }
    }
}
