//! The end of programs.

use crate::budget::Amount;
use crate::error::{Kind, Storage};
use crate::id;
use crate::program::command::{Close, Reply};
use crate::program::record::Verdict;
use crate::program::shard::{Shard, refused};

impl Shard {
    pub(crate) fn close(&mut self, close: &Close) -> Result<Reply, Storage> {
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

    pub(crate) fn released(&mut self, program: &id::Program, server: &str) -> Reply {
        if let Some(program) = self.programs.get_mut(program) {
            program.held.remove(server);
        }
        Reply::Done
    }

    pub(crate) fn sweep(
        &mut self,
        now_ms: u64,
        idle_ms: u64,
        keep_ms: u64,
    ) -> Result<Reply, Storage> {
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
}
