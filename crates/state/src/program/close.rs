//! Closes programs with their sub-agents, and removes expired ones.

use crate::budget::Amount;
use crate::error::{Kind, Storage};
use crate::id;
use crate::program::command::{Close, Reply};
use crate::program::record::Outcome;
use crate::program::shard::{Shard, refused};

impl Shard {
    pub(crate) fn close(&mut self, close: &Close) -> Result<Reply, Storage> {
        let Some(program) = self.programs.get(&close.program) else {
            return Ok(refused(Kind::UnknownProgram, format!("no program {}", close.program)));
        };
        if program.is_closed {
            return Ok(Reply::Done);
        }
        let tree = self.program_tree(&close.program);
        let busy = tree.iter().find(|id| self.is_running(id));
        if let (Some(busy), false) = (busy, close.force) {
            return Ok(refused(Kind::Busy, format!("program {busy} has a call in progress")));
        }
        // Sub-agents first, so that each budget is settled in a parent that is still open.
        for id in tree.iter().rev() {
            self.close_one(id, close.now_ms)?;
        }
        Ok(Reply::Done)
    }

    /// The program and its open sub-agents, parents before children.
    fn program_tree(&self, program: &id::Program) -> Vec<id::Program> {
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

    /// Whether the program has an attempt in progress that was not abandoned.
    fn is_running(&self, program: &id::Program) -> bool {
        let current = self.programs.get(program).and_then(|program| program.current.as_ref());
        current.is_some_and(|current| current.holder.is_some())
    }

    fn close_one(&mut self, id: &id::Program, now_ms: u64) -> Result<(), Storage> {
        let Some(program) = self.programs.get_mut(id) else {
            return Ok(());
        };
        program.is_closed = true;
        program.last_used_ms = now_ms;
        if let Some(current) = program.current.take() {
            let call = id::Call { program: id.clone(), seq: program.next_seq() };
            let charge = current.reservation;
            let may_have_executed =
                current.holder.is_some() || current.charged != Amount::default();
            let outcome = match may_have_executed {
                true => Outcome::Unknown(Kind::Cancelled),
                false => Outcome::NotExecuted(Kind::Cancelled),
            };
            self.settle(&call, current, outcome, charge, &[])?;
        }
        self.settle_in_parent(id);
        Ok(())
    }

    /// Settles the limit that was reserved in the parent's budget with the amount spent.
    fn settle_in_parent(&mut self, id: &id::Program) {
        let Some(budget) = self.programs.get(id).map(|program| program.budget) else {
            return;
        };
        if let Some(parent) = id.parent().and_then(|parent| self.programs.get_mut(&parent)) {
            parent.budget.settle(budget.limit, budget.spent);
        }
    }

    pub(crate) fn remove_held(&mut self, program: &id::Program, server: &str) -> Reply {
        if let Some(program) = self.programs.get_mut(program) {
            program.held.remove(server);
        }
        Reply::Done
    }

    pub(crate) fn expire(
        &mut self,
        now_ms: u64,
        idle_ms: u64,
        keep_ms: u64,
    ) -> Result<Reply, Storage> {
        let idle: Vec<id::Program> = self
            .programs
            .iter()
            .filter(|(_, program)| !program.is_closed && program.last_used_ms + idle_ms <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for program in idle {
            self.close(&Close { program, force: true, now_ms })?;
        }
        self.programs.retain(|_, program| {
            !program.is_closed
                || !program.held.is_empty()
                || program.last_used_ms + keep_ms > now_ms
        });
        Ok(Reply::Done)
    }
}
