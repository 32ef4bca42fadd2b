//! Simulated callers, which run programs and record the answers for the checks.

use coordination::Millis;
use coordination::entry::Answer;
use state::error::{Executed, Kind};

/// One call of a program.
#[derive(Debug, Clone)]
pub(crate) struct Step {
    pub(crate) service: &'static str,
    pub(crate) content: String,
    pub(crate) is_idempotent: bool,
}

impl Step {
    pub(crate) fn model(content: &str) -> Self {
        Self { service: "model", content: content.into(), is_idempotent: true }
    }

    pub(crate) fn tool(content: &str) -> Self {
        Self { service: "tool", content: content.into(), is_idempotent: false }
    }
}

/// Final answer to a call, as its caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) executed: Executed,
    pub(crate) kind: Option<Kind>,
    pub(crate) content: Vec<u8>,
}

/// A caller that runs one program.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) program: state::id::Program,
    pub(crate) steps: Vec<Step>,
    pub(crate) budget_tokens: u64,
    pub(crate) outcomes: Vec<Outcome>,
    /// History of the program, from the calls and the answers that the caller received.
    pub(crate) transcript: Vec<Vec<u8>>,
    pub(crate) is_open: bool,
    pub(crate) is_closed: bool,
    /// When the caller sends its next request.
    pub(crate) resend_at: Millis,
    /// When the caller starts.
    pub(crate) start_at: Millis,
    /// Index of the host that received the last request.
    pub(crate) entry: usize,
    /// Whether every request is sent through two entries at once.
    pub(crate) sends_twice: bool,
    /// Answers that belong to another program or do not fit the transcript.
    pub(crate) mismatches: u32,
}

impl Caller {
    pub(crate) fn new(name: &str, entry: usize, steps: Vec<Step>) -> Self {
        Self {
            program: state::id::Program::new("dep", name),
            steps,
            budget_tokens: 100_000,
            outcomes: Vec::new(),
            transcript: Vec::new(),
            is_open: false,
            is_closed: false,
            resend_at: 0,
            start_at: 0,
            entry,
            sends_twice: false,
            mismatches: 0,
        }
    }

    /// Sequence number of the current call.
    pub(crate) fn seq(&self) -> u64 {
        self.outcomes.len() as u64 + 1
    }

    pub(crate) fn step(&self) -> Option<&Step> {
        self.steps.get(self.outcomes.len())
    }

    /// Records an answer; `false` if it does not belong to the current call or is not final.
    pub(crate) fn accept(&mut self, answer: &Answer) -> bool {
        if answer.call.program != self.program {
            self.mismatches += 1;
            return false;
        }
        let kind = answer.error.as_ref().map(|refusal| refusal.kind);
        let is_transient = matches!(
            kind,
            Some(Kind::Unavailable | Kind::Busy | Kind::OutOfOrder | Kind::Stopping)
        );
        if answer.call.seq != self.seq() || is_transient {
            return false;
        }
        let Some(step) = self.step().cloned() else {
            return false;
        };
        if answer.error.is_none() {
            if step.service == "model"
                && answer.content
                    != super::backends::answer_of(&self.transcript, step.content.as_bytes())
            {
                self.mismatches += 1;
            }
            self.transcript.push(step.content.into_bytes());
            self.transcript.push(answer.content.clone());
        }
        self.outcomes.push(Outcome {
            executed: answer.executed,
            kind,
            content: answer.content.clone(),
        });
        true
    }
}
