//! How a call is settled, repeated or given up.

use crate::Millis;
use crate::entry::call::{Stage, settled};
use crate::entry::core::Entry;
use crate::entry::input::{Answer, Output, Unreachable, refused};
use crate::retry::Backoff;
use state::budget::Amount;
use state::error::{Kind, Ran};
use state::id;
use state::program::{Command, End, Reply, Takeover, Verdict};

/// Time for the journal to settle a call before its callers are told `unknown`, in
/// milliseconds.
const SETTLE_WAIT_MS: Millis = 5_000;

/// Delay before a call is tried again.
const RETRY: Backoff = Backoff { first_ms: 50, most_ms: 2_000 };

impl Entry {
    fn submit_settling(&mut self, call: &id::Call, command: Box<Command>) {
        let copy = command.as_ref().clone();
        let patience = self.now + SETTLE_WAIT_MS;
        if let Some(active) = self.calls.get_mut(call) {
            if !matches!(active.stage, Stage::Settling(_)) {
                active.deadline = active.deadline.max(patience);
            }
            active.stage = Stage::Settling(command);
        }
        self.submit(call, copy);
    }

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

    /// Settles a call that this entry has not begun as not run.
    pub(crate) fn refuse(&mut self, call: &id::Call, kind: Kind) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        if active.holder.is_some() {
            self.settle(call, Verdict::Unknown(kind));
            return;
        }
        let command = Command::Refuse { call: call.clone(), digest: active.digest, kind };
        self.submit_settling(call, Box::new(command));
    }

    /// Settles the attempt that this entry holds, charging its reservation.
    pub(crate) fn settle(&mut self, call: &id::Call, verdict: Verdict) {
        self.settle_with(
            call,
            verdict,
            Amount { tokens: u64::MAX, calls: 1, cost: u64::MAX },
            Vec::new(),
        );
    }

    pub(crate) fn settle_with(
        &mut self,
        call: &id::Call,
        verdict: Verdict,
        spent: Amount,
        answer: Vec<u8>,
    ) {
        let now_ms = self.wall_ms();
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let Some(holder) = active.holder.clone() else {
            let kind = match verdict {
                Verdict::NotRun(kind) | Verdict::Failed(kind) | Verdict::Unknown(kind) => kind,
                Verdict::Answered => Kind::Unknown,
            };
            let answer = refused(call, kind, Ran::Unknown, "an earlier attempt may have run");
            self.finish(call, answer);
            return;
        };
        let attempt = active.attempt();
        let end = End { attempt, holder, verdict, spent, answer, now_ms };
        self.submit_settling(call, Box::new(Command::End(end)));
    }

    pub(crate) fn on_submitted(&mut self, op: u64, result: Result<Reply, Unreachable>) {
        let Some(call) = self.take_op(op) else {
            return;
        };
        let stage = self.calls.get(&call).map(|active| &active.stage);
        let is_beginning = matches!(stage, Some(Stage::Beginning(_)));
        match result {
            // The command may be in effect; the same one is submitted again.
            Err(Unreachable) => self.retry_later(&call),
            Ok(reply) if is_beginning => self.on_begun(&call, reply),
            Ok(reply) => self.on_decided(&call, reply),
        }
    }

    /// Takes back an attempt of which no byte was sent.
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

    /// Follows a committed reply about the call.
    pub(crate) fn on_decided(&mut self, call: &id::Call, reply: Reply) {
        match reply {
            Reply::Settled { .. } => self.on_settled(call, reply),
            Reply::Busy { attempt, holder, is_idempotent, .. } => {
                self.on_busy(call, attempt, holder, is_idempotent);
            }
            Reply::Refused(refusal) if refusal.kind == Kind::OutOfOrder => {
                self.forget(&call.program);
                self.load(call);
            }
            Reply::Refused(refusal) => {
                self.forget(&call.program);
                let holds = self.calls.get(call).is_some_and(|active| active.holder.is_some());
                if refusal.kind == Kind::Conflict && holds {
                    self.reload_replaced(call);
                } else {
                    self.finish_refused(call, refusal.kind, &refusal.detail);
                }
            }
            Reply::Done | Reply::Begun => self.on_abandoned(call),
        }
    }

    /// Another entry replaced this entry's attempt.
    fn reload_replaced(&mut self, call: &id::Call) {
        if let Some(active) = self.calls.get_mut(call) {
            active.holder = None;
        }
        self.load(call);
    }

    /// The attempt was taken back; the next one may begin.
    fn on_abandoned(&mut self, call: &id::Call) {
        if let Some(active) = self.calls.get_mut(call) {
            active.holder = None;
        }
        self.requeue(call, None);
    }

    /// Passes a committed refusal on; an attempt of this entry may have run before.
    pub(crate) fn finish_refused(&mut self, call: &id::Call, kind: Kind, detail: &str) {
        let holds = self.calls.get(call).is_some_and(|active| active.holder.is_some());
        let ran = if holds { Ran::Unknown } else { Ran::No };
        self.finish(call, refused(call, kind, ran, detail));
    }

    fn on_settled(&mut self, call: &id::Call, reply: Reply) {
        self.advance_cache(call, &reply);
        let Some(active) = self.calls.get(call) else {
            return;
        };
        if active.is_trial {
            let content = active.content;
            let is_cleared = matches!(reply, Reply::Settled { verdict: Verdict::Answered, .. });
            self.end_trial(content, is_cleared);
        }
        self.finish(call, settled(call, reply));
    }

    /// Another attempt exists; it is replaced, settled or waited for.
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
            self.wait(call, retry_ms);
        } else if is_idempotent {
            self.requeue(call, Some(Takeover::Expired(holder)));
        } else {
            let attempt = id::Attempt { call: call.clone(), number: attempt };
            self.submit_settling(call, Box::new(Command::Forfeit { attempt, holder }));
        }
    }

    /// Queues the call for its next attempt.
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
        let is_covered = self.retries.entry(service).or_default().withdraw();
        let delay = if is_covered { RETRY.delay(retry, &mut self.rng) } else { RETRY.most_ms };
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

    /// A delay or the time of the call is over.
    pub(crate) fn on_due(&mut self, call: &id::Call) {
        let now = self.now;
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        let is_late = active.deadline <= now;
        let is_due = active.due.is_some_and(|due| due <= now);
        match &active.stage {
            Stage::Running(running) if running.until <= now => self.on_timeout(call),
            Stage::LookingUp(running) if running.until <= now => self.on_found(call, None),
            Stage::Queued if is_late => self.refuse(call, Kind::Overloaded),
            Stage::Waiting if is_late => self.answer_unknown(call),
            Stage::Waiting if is_due => self.load(call),
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
            Stage::Loading | Stage::Settling(_) | Stage::Beginning(_) if is_late => {
                self.answer_unknown(call);
            }
            _ => {}
        }
    }

    /// Tells the callers that the outcome is not known; the call itself goes on.
    fn answer_unknown(&mut self, call: &id::Call) {
        let answer = refused(call, Kind::Unavailable, Ran::Unknown, "the journal gave no answer");
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
        for token in std::mem::take(&mut active.waiters) {
            let answer: Answer = answer.clone();
            self.outputs.push(Output::Answer { token, answer });
        }
    }
}
