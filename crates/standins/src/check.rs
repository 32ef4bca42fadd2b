//! Counts what went wrong, from ledgers and callers' records alone.

use crate::caller::{Outcome, Record};
use crate::engine::Held;
use crate::ledger::{Event, Line};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What went wrong; each count must be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Answers that the system does not give again.
    pub lost: u64,
    /// Answers that belong to another conversation.
    pub mixed: u64,
    /// Calls executed before an earlier call of their program.
    pub out_of_order: u64,
    /// Calls executed more than once that may not be repeated.
    pub doubled: u64,
    /// Programs that drew more tokens than their budget.
    pub over_budget: u64,
    /// Engines' memory held for ended programs.
    pub held_after_end: u64,
    /// Calls said to be not run that a ledger shows.
    pub ran_though_refused: u64,
}

impl Counts {
    /// Whether nothing went wrong.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Program and sequence number of a ledger's stream or key.
fn call_of(id: &str) -> Option<(String, u64)> {
    let (program, rest) = id.rsplit_once('/')?;
    let seq = rest.split('#').next()?;
    Some((program.to_owned(), seq.parse().ok()?))
}

/// Counts from the ledgers' lines, in order of time, and the callers' records.
pub fn count(deployment: &str, records: &[Record], lines: &[Line]) -> Counts {
    let all: Vec<&Record> = records.iter().flat_map(Record::all).collect();
    let executed: BTreeSet<(String, u64)> =
        lines.iter().filter_map(|line| call_of(started(&line.event)?)).collect();
    let was_executed = |record: &Record, seq: u64| {
        executed.contains(&(format!("{deployment}/{}", record.name), seq))
    };
    let refused = all.iter().flat_map(|record| {
        let not_run = record.calls.iter().filter(|(_, o)| matches!(o, Outcome::NotRun(_)));
        not_run.map(|(seq, _)| (*record, *seq))
    });
    Counts {
        lost: 0,
        mixed: all.iter().map(|record| record.mixed).sum(),
        out_of_order: out_of_order(lines),
        doubled: doubled(lines),
        over_budget: over_budget(deployment, &all, lines),
        held_after_end: 0,
        ran_though_refused: refused.filter(|(r, seq)| was_executed(r, *seq)).count() as u64,
    }
}

/// Stream or key that an event starts.
fn started(event: &Event) -> Option<&str> {
    match event {
        Event::Start { stream_id, .. } => Some(stream_id),
        Event::Execute { key } => Some(key),
        Event::Stop { .. } | Event::Load { .. } => None,
    }
}

fn out_of_order(lines: &[Line]) -> u64 {
    let mut latest: BTreeMap<String, u64> = BTreeMap::new();
    let mut count = 0;
    for line in lines {
        let Some((program, seq)) = started(&line.event).and_then(call_of) else {
            continue;
        };
        let last = latest.entry(program).or_default();
        if seq < *last {
            count += 1;
        }
        *last = seq.max(*last);
    }
    count
}

fn doubled(lines: &[Line]) -> u64 {
    let mut keys = BTreeSet::new();
    let executed = lines.iter().filter_map(|line| match &line.event {
        Event::Execute { key } => Some(key),
        _ => None,
    });
    executed.filter(|key| !keys.insert((*key).clone())).count() as u64
}

fn over_budget(deployment: &str, records: &[&Record], lines: &[Line]) -> u64 {
    let mut drawn: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Start { session, prompt_tokens, .. } => {
                *drawn.entry(session).or_default() += prompt_tokens;
            }
            Event::Stop { session, completion_tokens, .. } => {
                *drawn.entry(session).or_default() += completion_tokens;
            }
            Event::Execute { .. } | Event::Load { .. } => {}
        }
    }
    let is_over = |record: &&&Record| {
        let session = format!("{deployment}/{}", record.name);
        drawn.get(session.as_str()).is_some_and(|drawn| *drawn > record.budget_tokens)
    };
    records.iter().filter(is_over).count() as u64
}

/// Programs that engines still hold though their callers ended them.
pub fn held(deployment: &str, records: &[Record], held: &[Held]) -> u64 {
    let ended: BTreeSet<String> = records
        .iter()
        .flat_map(Record::all)
        .filter(|record| record.is_finished)
        .map(|record| format!("{deployment}/{}", record.name))
        .collect();
    let sessions = held.iter().flat_map(|held| &held.sessions);
    sessions.filter(|session| ended.contains(*session)).count() as u64
}

/// Streams that a server started after a moment, in microseconds since the Unix epoch.
pub fn started_after(lines: &[Line], at_us: u64) -> u64 {
    let late = lines.iter().filter(|line| line.at_us > at_us);
    late.filter(|line| started(&line.event).is_some()).count() as u64
}

/// Share of the prompt tokens of earlier turns that engines computed again.
pub fn recomputed_share(lines: &[Line]) -> f64 {
    let mut known = 0;
    let mut again = 0;
    for line in lines {
        if let Event::Start { cached_tokens, known_tokens, .. } = &line.event {
            known += known_tokens;
            again += known_tokens.saturating_sub(*cached_tokens);
        }
    }
    again as f64 / (known.max(1)) as f64
}
