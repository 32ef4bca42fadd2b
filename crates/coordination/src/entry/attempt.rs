//! Attempts of a call: committing the start, dispatching, and handling dispatch events.

use crate::entry::call::{Active, Running, Stage};
use crate::entry::core::{Entry, program_key};
use crate::entry::input::{Dispatch, Event, Failure, Lookup, Output};
use state::budget::Amount;
use state::control::Role;
use state::error::Kind;
use state::id;
use state::program::{Begin, Command, Outcome, Reply, Takeover};

/// Tokens that an engine may generate between reaching the limit and receiving the cancel.
const OVERSHOOT_TOKENS: u64 = 16;

impl Entry {
    /// Submits the start of the next attempt on `server` to the journal.
    pub(crate) fn begin(&mut self, call: &id::Call, server: &str, holder: &id::Holder) {
        let now_ms = self.unix_ms();
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
            digest: active.request_digest,
            holder: holder.clone(),
            service: active.request.service.clone(),
            server: server.to_owned(),
            is_idempotent: active.request.is_idempotent,
            holds_memory: role == Role::Engine,
            reservation: reservation(active, role, prompt_tokens),
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

    pub(crate) fn submit_begin(&mut self, call: &id::Call, begin: Box<Begin>) {
        let command = Command::Begin(begin.as_ref().clone());
        if let Some(active) = self.calls.get_mut(call) {
            active.stage = Stage::Beginning(begin);
        }
        self.submit(call, command);
    }

    /// Handles the journal's reply to the start of an attempt.
    pub(crate) fn on_begun(&mut self, call: &id::Call, reply: Reply) {
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

    /// Whether the conditions under which the attempt began still hold.
    fn may_dispatch(&self, call: &id::Call, begin: &Begin) -> bool {
        let Some(active) = self.calls.get(call) else {
            return false;
        };
        let is_available = self.fleet.get(&begin.server).is_some_and(|s| s.is_available(self.now));
        let trial = self.snapshot.trial.as_ref().map(|trial| trial.server.as_str());
        let is_reserved = trial == Some(begin.server.as_str()) && !active.is_trial;
        self.lease.valid_holder(self.now) == Some(&begin.holder)
            && is_available
            && !is_reserved
            && self.is_allowed(active, &begin.server)
    }

    /// Sends the attempt to its backend server.
    pub(crate) fn dispatch(&mut self, call: &id::Call, begin: &Begin) {
        let id = self.next_id();
        let (now, send_before) = (self.now, self.lease.expires_at());
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
        let deadline = now + service.timeout_ms;
        active.stage =
            Stage::Running(Running { dispatch: id, server: begin.server.clone(), deadline });
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

    /// Cancels a running attempt and queues its call, which may be executed again elsewhere.
    pub(crate) fn cancel_and_requeue(&mut self, call: &id::Call) {
        if let Some(running) = self.stop_running(call) {
            self.outputs.push(Output::Cancel(running.dispatch));
            self.requeue(call, Some(Takeover::SameHolder));
        }
    }

    /// Removes the dispatch of a running attempt or lookup, so that its further events are
    /// ignored.
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

    pub(crate) fn on_dispatch_event(&mut self, id: u64, event: Event) {
        let Some(call) = self.dispatches.get(&id).cloned() else {
            return;
        };
        match event {
            Event::Chunk { text, tokens } => self.on_chunk(&call, text, tokens),
            Event::Finished { answer, spent, .. } => self.on_finished(&call, answer, spent),
            Event::Failed(failure) => self.on_failed(&call, failure),
            Event::Found(answer) => self.on_lookup(&call, answer),
        }
    }

    fn on_chunk(&mut self, call: &id::Call, text: String, tokens: u64) {
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.output_tokens += tokens;
        active.output_text.push_str(&text);
        let attempt = active.attempt;
        for request_id in &active.waiters {
            let chunk = Output::Chunk { request_id: *request_id, attempt, text: text.clone() };
            self.outputs.push(chunk);
        }
        if active.output_tokens >= active.request.max_tokens {
            self.stop_at_limit(call);
        }
    }

    /// Ends a stream that reached the call's token limit.
    fn stop_at_limit(&mut self, call: &id::Call) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let answer = active.output_text.clone().into_bytes();
        let tokens = self.prompt_tokens(active) + active.output_tokens + OVERSHOOT_TOKENS;
        if let Some(running) = self.stop_running(call) {
            self.outputs.push(Output::Cancel(running.dispatch));
            let spent = Amount { tokens, calls: 1, cost: 0 };
            self.settle_with(call, Outcome::Answered, spent, answer);
        }
    }

    fn on_finished(&mut self, call: &id::Call, answer: Vec<u8>, spent: Amount) {
        let Some(running) = self.stop_running(call) else {
            return;
        };
        if let Some(server) = self.fleet.get_mut(&running.server) {
            server.record_success();
        }
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let spent = Amount { calls: 1, cost: active.request.cost, ..spent };
        self.retry_budgets.entry(active.request.service.clone()).or_default().deposit();
        self.settle_with(call, Outcome::Answered, spent, answer);
    }

    fn on_failed(&mut self, call: &id::Call, failure: Failure) {
        let Some(running) = self.stop_running(call) else {
            return;
        };
        self.fleet.record_failure(self.now, &running.server, &self.snapshot);
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let is_idempotent = active.request.is_idempotent;
        match failure {
            Failure::NotSent | Failure::Rejected => self.abandon(call),
            Failure::Crashed(incarnation) => {
                self.fleet.record_crash(self.now, &running.server);
                if is_idempotent {
                    self.report_crash(call, running.server, incarnation);
                } else {
                    self.look_up(call, running);
                }
            }
            Failure::Lost | Failure::TimedOut if is_idempotent => {
                self.requeue(call, Some(Takeover::SameHolder));
            }
            Failure::Lost | Failure::TimedOut => self.look_up(call, running),
        }
    }

    /// Queries the tool whether it executed an attempt whose answer was lost, if the service
    /// supports lookups.
    fn look_up(&mut self, call: &id::Call, running: Running) {
        let config = &self.snapshot.config;
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        let service = config.services.get(&active.request.service);
        let server = config.servers.get(&running.server);
        let (Some(service), Some(server)) = (service, server) else {
            self.settle(call, Outcome::Unknown(Kind::Unknown));
            return;
        };
        if !service.can_look_up {
            self.settle(call, Outcome::Unknown(Kind::Unknown));
            return;
        }
        let lookup = Lookup {
            id: running.dispatch,
            attempt: active.attempt(),
            address: server.address.clone(),
        };
        let deadline = self.now + service.timeout_ms;
        self.dispatches.insert(running.dispatch, call.clone());
        active.stage = Stage::LookingUp(Running { deadline, ..running.clone() });
        if let Some(state) = self.fleet.get_mut(&running.server) {
            state.outstanding += 1;
        }
        self.outputs.push(Output::Lookup(lookup));
    }

    pub(crate) fn on_lookup(&mut self, call: &id::Call, answer: Option<Vec<u8>>) {
        if self.stop_running(call).is_none() {
            return;
        }
        let cost = self.calls.get(call).map_or(0, |active| active.request.cost);
        match answer {
            Some(answer) => {
                let spent = Amount { tokens: 0, calls: 1, cost };
                self.settle_with(call, Outcome::Answered, spent, answer);
            }
            None => self.settle(call, Outcome::Unknown(Kind::Unknown)),
        }
    }

    /// Cancels an attempt that exceeded the service's timeout and handles it as failed.
    pub(crate) fn on_timeout(&mut self, call: &id::Call) {
        let Some(running) = self.calls.get(call).map(|active| &active.stage) else {
            return;
        };
        if let Stage::Running(running) = running {
            let id = running.dispatch;
            self.outputs.push(Output::Cancel(id));
            self.on_failed(call, Failure::TimedOut);
        }
    }
}

/// Upper bound of what an attempt can be charged.
fn reservation(active: &Active, role: Role, prompt_tokens: u64) -> Amount {
    let tokens = match role {
        Role::Engine => prompt_tokens + active.request.max_tokens + OVERSHOOT_TOKENS,
        Role::Tool => 0,
    };
    Amount { tokens, calls: 1, cost: active.request.cost }
}
