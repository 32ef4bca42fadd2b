//! How a call moves from stage to stage.

use crate::Millis;
use crate::entry::call::{Active, Cached, Running, Stage, settled};
use crate::entry::core::{Entry, program_key};
use crate::entry::input::{
    Answer, Backend, Dispatch, Failure, Loaded, Lookup, Output, Unreachable, refused,
};
use crate::retry::Backoff;
use state::budget::Amount;
use state::control::Role;
use state::error::{Kind, Ran};
use state::id;
use state::program::{Begin, Command, End, Reply, Summary, Takeover, Verdict};
use std::sync::Arc;

/// Tokens that an engine may generate between the limit and the arrival of the cancel.
const OVERSHOOT_TOKENS: u64 = 16;

/// Time for the journal to settle a call before its callers are told `unknown`, in
/// milliseconds.
const SETTLE_WAIT_MS: Millis = 5_000;

/// Delay before a call is tried again.
const RETRY: Backoff = Backoff { first_ms: 50, most_ms: 2_000 };

impl Entry {
    /// Loads the call's program, unless it is known to be at this call.
    pub(crate) fn load(&mut self, call: &id::Call) {
        let known = self.programs.get(&call.program).cloned();
        let op = self.next_id();
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.due = None;
        if let Some(program) = known.as_ref().filter(|program| program.next_seq == call.seq)
            && active.attempt == 0
        {
            active.program = Some(program.clone());
            active.stage = Stage::Queued;
            return;
        }
        active.stage = Stage::Loading;
        active.op = Some(op);
        let digest = active.digest;
        self.ops.insert(op, call.clone());
        let known = known.map_or(0, |program| program.history.len());
        self.outputs.push(Output::Load { op, call: call.clone(), digest, known });
    }

    pub(crate) fn on_loaded(
        &mut self,
        op: u64,
        result: Result<Result<Box<Loaded>, Reply>, Unreachable>,
    ) {
        let Some(call) = self.ops.remove(&op) else {
            return;
        };
        if let Some(active) = self.calls.get_mut(&call) {
            active.op = None;
        }
        match result {
            Err(Unreachable) => self.wait(&call, self.settings.journal_retry_ms),
            Ok(Err(reply)) => self.on_decided(&call, reply),
            Ok(Ok(loaded)) => self.on_program(&call, *loaded),
        }
    }

    fn on_program(&mut self, call: &id::Call, loaded: Loaded) {
        let summary = &loaded.summary;
        let next_seq = summary.next_seq;
        if summary.is_closed {
            self.finish_refused(call, Kind::Closed, "the program has ended");
            return;
        }
        let Some(history) = self.extend_history(&call.program, &loaded) else {
            self.forget(&call.program);
            self.load(call);
            return;
        };
        let cached = Arc::new(to_cached(loaded.summary, history));
        self.remember(&call.program, cached.clone());
        if call.seq > next_seq {
            self.wait_for_predecessor(call, next_seq);
            return;
        }
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.program = Some(cached);
        active.stage = Stage::Queued;
    }

    fn wait_for_predecessor(&mut self, call: &id::Call, next_seq: u64) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        if active.since + self.settings.early_wait_ms > self.now {
            self.wait(call, self.settings.journal_retry_ms);
            return;
        }
        let detail = format!("the next sequence number is {next_seq}");
        self.finish(call, refused(call, Kind::OutOfOrder, Ran::No, &detail));
    }

    /// Joins what was known when the load was asked for with what came.
    ///
    /// The cache may have changed since; it only ever grows or is dropped whole, so the
    /// known items are still its first ones. `None` if it was dropped or is of an earlier
    /// program with the same name.
    fn extend_history(&self, program: &id::Program, loaded: &Loaded) -> Option<Vec<Vec<u8>>> {
        let mut history = match loaded.known {
            0 => Vec::new(),
            known => {
                let cached = self.programs.get(program)?;
                let is_same = cached.opened_ms == loaded.summary.opened_ms;
                cached.history.get(..known).filter(|_| is_same)?.to_vec()
            }
        };
        history.extend_from_slice(&loaded.history);
        Some(history)
    }

    fn remember(&mut self, program: &id::Program, cached: Arc<Cached>) {
        self.programs_bytes += cached.bytes;
        if let Some(old) = self.programs.insert(program.clone(), cached) {
            self.programs_bytes -= old.bytes;
        }
        while self.programs_bytes > self.settings.history_cache_bytes {
            let Some(victim) = self.programs.keys().next().cloned() else {
                return;
            };
            self.forget(&victim);
        }
    }

    fn forget(&mut self, program: &id::Program) {
        if let Some(old) = self.programs.remove(program) {
            self.programs_bytes -= old.bytes;
        }
    }

    /// Loads the call's program again after `delay`.
    fn wait(&mut self, call: &id::Call, delay: Millis) {
        let due = self.now + delay;
        if let Some(active) = self.calls.get_mut(call) {
            active.stage = Stage::Waiting;
            active.due = Some(due);
        }
    }

    /// Commits the start of the next attempt on `server`.
    pub(crate) fn begin(&mut self, call: &id::Call, server: &str, holder: &id::Holder) {
        let now_ms = self.wall_ms();
        let config = &self.snapshot.config;
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let role = config.services.get(&active.request.service).map_or(Role::Tool, |s| s.role);
        let prompt_tokens = self.prompt_tokens(active);
        let cap = config.deployments.get(&call.program.deployment).map(|d| d.cap);
        let begin = Begin {
            attempt: id::Attempt { call: call.clone(), number: active.attempt + 1 },
            opened_ms: active.program.as_ref().map_or(0, |program| program.opened_ms),
            digest: active.digest,
            holder: holder.clone(),
            service: active.request.service.clone(),
            server: server.to_owned(),
            is_idempotent: active.request.is_idempotent,
            holds_memory: role == Role::Engine,
            reserve: reservation(active, role, prompt_tokens),
            cap: cap.unwrap_or_default(),
            revision: self.snapshot.revision,
            messages: active.request.content.to_vec(),
            takeover: active.takeover.clone(),
            now_ms,
        };
        if let Some(state) = self.fleet.get_mut(server) {
            state.outstanding += 1;
        }
        self.submit_begin(call, Box::new(begin));
    }

    fn submit_begin(&mut self, call: &id::Call, begin: Box<Begin>) {
        let command = Command::Begin(begin.as_ref().clone());
        if let Some(active) = self.calls.get_mut(call) {
            active.stage = Stage::Beginning(begin);
        }
        self.submit(call, command);
    }

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

    fn submit(&mut self, call: &id::Call, command: Command) {
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

    fn settle_with(&mut self, call: &id::Call, verdict: Verdict, spent: Amount, answer: Vec<u8>) {
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
        let Some(call) = self.ops.remove(&op) else {
            return;
        };
        let retry_at = self.now + self.settings.journal_retry_ms;
        let Some(active) = self.calls.get_mut(&call) else {
            return;
        };
        active.op = None;
        match result {
            // The command may be in effect; the same one is submitted again.
            Err(Unreachable) => active.due = Some(retry_at),
            Ok(reply) if matches!(active.stage, Stage::Beginning(_)) => self.on_begun(&call, reply),
            Ok(reply) => self.on_decided(&call, reply),
        }
    }

    fn on_begun(&mut self, call: &id::Call, reply: Reply) {
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        let Stage::Beginning(begin) = std::mem::replace(&mut active.stage, Stage::Queued) else {
            return;
        };
        if reply != Reply::Begun {
            active.is_trial = false;
            self.free_slot(&begin.server);
            self.on_decided(call, reply);
            return;
        }
        active.attempt = begin.attempt.number;
        active.holder = Some(begin.holder.clone());
        active.takeover = None;
        active.reset_output();
        if self.may_dispatch(call, &begin) {
            self.dispatch(call, &begin);
        } else {
            self.free_slot(&begin.server);
            self.abandon(call);
        }
    }

    /// Whether everything that permitted the Begin still holds.
    fn may_dispatch(&self, call: &id::Call, begin: &Begin) -> bool {
        let Some(active) = self.calls.get(call) else {
            return false;
        };
        let is_open = self.fleet.get(&begin.server).is_some_and(|s| s.is_open(self.now));
        let trial = self.snapshot.trial.as_ref().map(|trial| trial.server.as_str());
        let is_kept_free = trial == Some(begin.server.as_str()) && !active.is_trial;
        self.lease.valid_holder(self.now) == Some(&begin.holder)
            && is_open
            && !is_kept_free
            && self.is_allowed(active, &begin.server)
    }

    fn dispatch(&mut self, call: &id::Call, begin: &Begin) {
        let id = self.next_id();
        let (now, send_before) = (self.now, self.lease.until());
        let config = &self.snapshot.config;
        let Some(server) = config.servers.get(&begin.server) else {
            return;
        };
        let Some(service) = config.services.get(&begin.service) else {
            return;
        };
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        let until = now + service.timeout_ms;
        active.stage =
            Stage::Running(Running { dispatch: id, server: begin.server.clone(), until });
        let history = active.program.as_ref().map(|program| program.history.clone());
        let dispatch = Dispatch {
            id,
            attempt: begin.attempt.clone(),
            server: begin.server.clone(),
            address: server.address.clone(),
            role: service.role,
            service: begin.service.clone(),
            history: history.unwrap_or_default(),
            content: active.request.content.clone(),
            max_tokens: active.request.max_tokens,
            send_before,
        };
        self.dispatches.insert(id, call.clone());
        if let Some(state) = self.fleet.get_mut(&begin.server) {
            state.touch(now, program_key(&call.program));
        }
        self.outputs.push(Output::Dispatch(Box::new(dispatch)));
    }

    fn free_slot(&mut self, server: &str) {
        if let Some(state) = self.fleet.get_mut(server) {
            state.outstanding = state.outstanding.saturating_sub(1);
        }
    }

    /// Takes back an attempt of which no byte was sent.
    fn abandon(&mut self, call: &id::Call) {
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
    fn on_decided(&mut self, call: &id::Call, reply: Reply) {
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
    fn finish_refused(&mut self, call: &id::Call, kind: Kind, detail: &str) {
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

    /// Keeps the cached history equal to the journal's after a call of this entry.
    fn advance_cache(&mut self, call: &id::Call, reply: &Reply) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let Reply::Settled { verdict, spent, answer } = reply else {
            return;
        };
        let known = active.program.clone().filter(|program| program.next_seq == call.seq);
        let (Some(known), true) = (known, active.holder.is_some()) else {
            self.forget(&call.program);
            return;
        };
        let mut history = known.history.as_ref().clone();
        if *verdict == Verdict::Answered {
            history.push(active.request.content.to_vec());
            history.push(answer.clone());
        }
        let bytes = history.iter().map(|item| item.len() as u64).sum();
        let cached = Cached {
            labels: known.labels.clone(),
            opened_ms: known.opened_ms,
            deadline_ms: known.deadline_ms,
            next_seq: call.seq + 1,
            attained_tokens: known.attained_tokens + spent.tokens,
            history: Arc::new(history),
            bytes,
        };
        self.remember(&call.program, Arc::new(cached));
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

    /// Cancels a running attempt that may be executed again elsewhere.
    pub(crate) fn give_up(&mut self, call: &id::Call) {
        if let Some(running) = self.stop_running(call) {
            self.outputs.push(Output::Cancel(running.dispatch));
            self.requeue(call, Some(Takeover::GivenUp));
        }
    }

    fn stop_running(&mut self, call: &id::Call) -> Option<Running> {
        let active = self.calls.get_mut(call)?;
        let (Stage::Running(running) | Stage::LookingUp(running)) = &active.stage else {
            return None;
        };
        let running = running.clone();
        self.dispatches.remove(&running.dispatch);
        self.free_slot(&running.server);
        Some(running)
    }

    pub(crate) fn on_backend(&mut self, id: u64, event: Backend) {
        let Some(call) = self.dispatches.get(&id).cloned() else {
            return;
        };
        match event {
            Backend::Chunk { text, tokens } => self.on_chunk(&call, text, tokens),
            Backend::Finished { answer, spent, .. } => self.on_finished(&call, answer, spent),
            Backend::Failed(failure) => self.on_failed(&call, failure),
            Backend::Found(answer) => self.on_found(&call, answer),
        }
    }

    fn on_chunk(&mut self, call: &id::Call, text: String, tokens: u64) {
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.tokens += tokens;
        active.text.push_str(&text);
        let attempt = active.attempt;
        for token in &active.waiters {
            let chunk = Output::Chunk { token: *token, attempt, text: text.clone() };
            self.outputs.push(chunk);
        }
        if active.tokens >= active.request.max_tokens {
            self.stop_at_limit(call);
        }
    }

    /// Ends a stream that reached the call's token limit.
    fn stop_at_limit(&mut self, call: &id::Call) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let answer = active.text.clone().into_bytes();
        let tokens = self.prompt_tokens(active) + active.tokens + OVERSHOOT_TOKENS;
        if let Some(running) = self.stop_running(call) {
            self.outputs.push(Output::Cancel(running.dispatch));
            let spent = Amount { tokens, calls: 1, cost: 0 };
            self.settle_with(call, Verdict::Answered, spent, answer);
        }
    }

    fn on_finished(&mut self, call: &id::Call, answer: Vec<u8>, spent: Amount) {
        let Some(running) = self.stop_running(call) else {
            return;
        };
        if let Some(server) = self.fleet.get_mut(&running.server) {
            server.succeed();
        }
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let spent = Amount { calls: 1, cost: active.request.cost, ..spent };
        self.retries.entry(active.request.service.clone()).or_default().deposit();
        self.settle_with(call, Verdict::Answered, spent, answer);
    }

    fn on_failed(&mut self, call: &id::Call, failure: Failure) {
        let Some(running) = self.stop_running(call) else {
            return;
        };
        self.fleet.fail(self.now, &running.server, &self.snapshot);
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let is_idempotent = active.request.is_idempotent;
        match failure {
            Failure::NotSent | Failure::Rejected => self.abandon(call),
            Failure::Crashed(incarnation) => {
                self.fleet.crash(self.now, &running.server);
                if is_idempotent {
                    self.report_crash(call, running.server, incarnation);
                } else {
                    self.look_up(call, running);
                }
            }
            Failure::Cut | Failure::TimedOut if is_idempotent => {
                self.requeue(call, Some(Takeover::GivenUp));
            }
            Failure::Cut | Failure::TimedOut => self.look_up(call, running),
        }
    }

    /// Asks the tool whether it executed a lost attempt, if it can tell.
    fn look_up(&mut self, call: &id::Call, running: Running) {
        let config = &self.snapshot.config;
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        let service = config.services.get(&active.request.service);
        let server = config.servers.get(&running.server);
        let (Some(service), Some(server)) = (service, server) else {
            self.settle(call, Verdict::Unknown(Kind::Unknown));
            return;
        };
        if !service.can_look_up {
            self.settle(call, Verdict::Unknown(Kind::Unknown));
            return;
        }
        let lookup = Lookup {
            id: running.dispatch,
            attempt: active.attempt(),
            address: server.address.clone(),
        };
        let until = self.now + service.timeout_ms;
        self.dispatches.insert(running.dispatch, call.clone());
        active.stage = Stage::LookingUp(Running { until, ..running.clone() });
        if let Some(state) = self.fleet.get_mut(&running.server) {
            state.outstanding += 1;
        }
        self.outputs.push(Output::Lookup(lookup));
    }

    fn on_found(&mut self, call: &id::Call, answer: Option<Vec<u8>>) {
        if self.stop_running(call).is_none() {
            return;
        }
        let cost = self.calls.get(call).map_or(0, |active| active.request.cost);
        match answer {
            Some(answer) => {
                let spent = Amount { tokens: 0, calls: 1, cost };
                self.settle_with(call, Verdict::Answered, spent, answer);
            }
            None => self.settle(call, Verdict::Unknown(Kind::Unknown)),
        }
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

    fn on_timeout(&mut self, call: &id::Call) {
        let Some(running) = self.calls.get(call).map(|active| &active.stage) else {
            return;
        };
        if let Stage::Running(running) = running {
            let id = running.dispatch;
            self.outputs.push(Output::Cancel(id));
            self.on_failed(call, Failure::TimedOut);
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

fn to_cached(summary: Summary, history: Vec<Vec<u8>>) -> Cached {
    Cached {
        labels: summary.labels,
        opened_ms: summary.opened_ms,
        deadline_ms: summary.deadline_ms,
        next_seq: summary.next_seq,
        attained_tokens: summary.budget.spent.tokens,
        bytes: history.iter().map(|item| item.len() as u64).sum(),
        history: Arc::new(history),
    }
}

/// The most that an attempt can draw.
fn reservation(active: &Active, role: Role, prompt_tokens: u64) -> Amount {
    let tokens = match role {
        Role::Engine => prompt_tokens + active.request.max_tokens + OVERSHOOT_TOKENS,
        Role::Tool => 0,
    };
    Amount { tokens, calls: 1, cost: active.request.cost }
}
