//! Queries on the applied state of a shard.

use crate::error::{Kind, Storage};
use crate::id;
use crate::program::command::{Query, Reply, Summary, View};
use crate::program::record::{Outcome, Program};
use crate::program::shard::{Shard, busy_reply, conflict_detail, refusal, refused};

impl Shard {
    /// State of a call: its recorded answer, the attempt in progress or a refusal.
    pub(crate) fn answer(&self, call: &id::Call) -> Result<Reply, Storage> {
        let Some(program) = self.programs.get(&call.program) else {
            return Ok(refused(Kind::UnknownProgram, format!("no program {}", call.program)));
        };
        if let Some(settled) = program.settled_call(call.seq) {
            return self.recorded_reply(settled);
        }
        let current = program.current.as_ref().filter(|_| call.seq == program.next_seq());
        Ok(match current {
            Some(current) => busy_reply(current),
            None => refused(Kind::UnknownCall, format!("no call {call}")),
        })
    }

    fn load(
        &self,
        call: &id::Call,
        digest: &id::Digest,
        cached_items: usize,
    ) -> Result<View, Storage> {
        let Some(program) = self.programs.get(&call.program) else {
            let detail = format!("no program {}", call.program);
            return Ok(View::Refused(refusal(Kind::UnknownProgram, detail)));
        };
        if let Some(settled) = program.settled_call(call.seq) {
            if settled.digest != *digest {
                return Ok(View::Refused(refusal(Kind::Conflict, conflict_detail(call))));
            }
            return Ok(View::Answer(self.recorded_reply(settled)?));
        }
        let summary = Box::new(summary(&call.program, program));
        Ok(View::Loaded { summary, history: self.history(program, cached_items)? })
    }

    /// Messages and answers of the answered calls, in order, without the first `cached_items`.
    pub(crate) fn history(
        &self,
        program: &Program,
        cached_items: usize,
    ) -> Result<Vec<Vec<u8>>, Storage> {
        let answered = program.settled.iter().filter(|call| call.outcome == Outcome::Answered);
        let locators = answered.flat_map(|call| [&call.messages, &call.answer]);
        locators.skip(cached_items).map(|locator| self.history.read(locator)).collect()
    }

    /// Up to `limit` pairs of an ended program and a backend server that may hold memory for it.
    pub(crate) fn backlog(&self, limit: usize) -> Vec<(id::Program, String)> {
        let closed = self.programs.iter().filter(|(_, program)| program.is_closed);
        closed
            .flat_map(|(id, program)| {
                program.held.iter().map(|server| (id.clone(), server.clone()))
            })
            .take(limit)
            .collect()
    }

    /// Answers one query.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    pub fn view(&self, query: &Query) -> Result<View, Storage> {
        Ok(match query {
            Query::Answer(call) => View::Answer(self.answer(call)?),
            Query::Load { call, digest, cached_items } => self.load(call, digest, *cached_items)?,
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

fn summary(id: &id::Program, program: &Program) -> Summary {
    let active = program.current.as_ref().and_then(|current| {
        let call = id::Call { program: id.clone(), seq: program.next_seq() };
        Some((id::Attempt { call, number: current.number }, current.holder.clone()?))
    });
    Summary {
        program: id.clone(),
        budget: program.budget,
        opened_ms: program.opened_ms,
        deadline_ms: program.deadline_ms,
        next_seq: program.next_seq(),
        current: active,
        labels: program.labels.clone(),
        is_closed: program.is_closed,
        held: program.held.iter().cloned().collect(),
    }
}
