//! Loading of programs from the journal, and the cache of their histories.
//!
//! The cache is bounded by [`Settings::history_cache_bytes`](super::Settings). Only the history
//! items that are not cached are read.

use crate::Millis;
use crate::entry::call::{Cached, Stage};
use crate::entry::core::Entry;
use crate::entry::input::{Loaded, Output, Unreachable, error_answer};
use state::error::{Executed, Kind};
use state::id;
use state::program::{Outcome, Reply, Summary};
use std::sync::Arc;

impl Entry {
    /// Loads the call's program, unless the cached one already expects this call next.
    pub(crate) fn load_program(&mut self, call: &id::Call) {
        let cached = self.programs.get(&call.program).cloned();
        let op = self.next_id();
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.due = None;
        if let Some(program) = cached.as_ref().filter(|program| program.next_seq == call.seq)
            && active.attempt == 0
        {
            active.program = Some(program.clone());
            active.stage = Stage::Queued;
            return;
        }
        active.stage = Stage::Loading;
        active.op = Some(op);
        let digest = active.request_digest;
        self.ops.insert(op, call.clone());
        let cached_items = cached.map_or(0, |program| program.history.len());
        self.outputs.push(Output::LoadProgram { op, call: call.clone(), digest, cached_items });
    }

    pub(crate) fn on_loaded(
        &mut self,
        op: u64,
        result: Result<Result<Box<Loaded>, Reply>, Unreachable>,
    ) {
        let Some(call) = self.complete_op(op) else {
            return;
        };
        match result {
            Err(Unreachable) => self.reload_after(&call, self.settings.journal_retry_ms),
            Ok(Err(reply)) => self.on_decided(&call, reply),
            Ok(Ok(loaded)) => self.on_program(&call, *loaded),
        }
    }

    fn on_program(&mut self, call: &id::Call, loaded: Loaded) {
        let summary = &loaded.summary;
        let next_seq = summary.next_seq;
        if summary.is_closed {
            self.finish_refused(call, Kind::Closed, "the program is closed");
            return;
        }
        let Some(history) = self.merge_history(&call.program, &loaded) else {
            self.evict(&call.program);
            self.load_program(call);
            return;
        };
        let cached = Arc::new(to_cached(loaded.summary, history));
        self.cache_program(&call.program, cached.clone());
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

    /// Loads the program again later, until the predecessor has ended or `early_wait_ms` has
    /// passed since the call arrived.
    fn wait_for_predecessor(&mut self, call: &id::Call, next_seq: u64) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        if active.arrived_at + self.settings.early_wait_ms > self.now {
            self.reload_after(call, self.settings.journal_retry_ms);
            return;
        }
        let detail = format!("the next expected sequence number is {next_seq}");
        self.finish(call, error_answer(call, Kind::OutOfOrder, Executed::No, &detail));
    }

    /// Joins the history items that were cached when the load was requested with the loaded ones.
    ///
    /// The cache may have changed in between. A cached history only grows or is removed as a
    /// whole, so the items that were cached then are still its first ones. Returns `None` if
    /// the history was removed or belongs to an earlier program with the same name.
    fn merge_history(&self, program: &id::Program, loaded: &Loaded) -> Option<Vec<Vec<u8>>> {
        let mut history = match loaded.cached_items {
            0 => Vec::new(),
            cached_items => {
                let cached = self.programs.get(program)?;
                let is_same = cached.opened_ms == loaded.summary.opened_ms;
                cached.history.get(..cached_items).filter(|_| is_same)?.to_vec()
            }
        };
        history.extend_from_slice(&loaded.history);
        Some(history)
    }

    /// Caches a program and evicts others while the cache is too large.
    fn cache_program(&mut self, program: &id::Program, cached: Arc<Cached>) {
        self.programs_bytes += cached.bytes;
        if let Some(old) = self.programs.insert(program.clone(), cached) {
            self.programs_bytes -= old.bytes;
        }
        while self.programs_bytes > self.settings.history_cache_bytes {
            let Some(evicted) = self.programs.keys().next().cloned() else {
                return;
            };
            self.evict(&evicted);
        }
    }

    pub(crate) fn evict(&mut self, program: &id::Program) {
        if let Some(old) = self.programs.remove(program) {
            self.programs_bytes -= old.bytes;
        }
    }

    /// Schedules the call's program to be loaded again after `delay` milliseconds.
    pub(crate) fn reload_after(&mut self, call: &id::Call, delay: Millis) {
        let due = self.now + delay;
        if let Some(active) = self.calls.get_mut(call) {
            active.stage = Stage::Waiting;
            active.due = Some(due);
        }
    }

    /// Updates the cached program to the journal's state after a call was settled.
    ///
    /// The cached program is evicted if it did not expect this call next or if this entry holds
    /// no attempt of the call.
    pub(crate) fn update_cache(&mut self, call: &id::Call, reply: &Reply) {
        let Some(active) = self.calls.get(call) else {
            return;
        };
        let Reply::Settled { outcome, spent, answer } = reply else {
            return;
        };
        let previous = active.program.clone().filter(|program| program.next_seq == call.seq);
        let (Some(previous), true) = (previous, active.holder.is_some()) else {
            self.evict(&call.program);
            return;
        };
        let mut history = previous.history.as_ref().clone();
        if *outcome == Outcome::Answered {
            history.push(active.request.content.to_vec());
            history.push(answer.clone());
        }
        let bytes = history.iter().map(|item| item.len() as u64).sum();
        let cached = Cached {
            labels: previous.labels.clone(),
            opened_ms: previous.opened_ms,
            deadline_ms: previous.deadline_ms,
            next_seq: call.seq + 1,
            attained_tokens: previous.attained_tokens + spent.tokens,
            history: Arc::new(history),
            bytes,
        };
        self.cache_program(&call.program, Arc::new(cached));
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
