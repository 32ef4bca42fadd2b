//! Consistency checks of a run.
//!
//! They use only the ledgers of the stand-ins and the records of the callers, not the state
//! that the system reports about itself.

use crate::caller::{Outcome, Record};
use crate::engine::Sessions;
use crate::ledger::{Event, Line};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Numbers of violated guarantees; each must be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of received answers that the system no longer returns.
    pub lost: u64,
    /// Number of answers that were generated from another conversation.
    pub mixed: u64,
    /// Number of calls that were executed after a later call of the same program.
    pub out_of_order: u64,
    /// Number of repeated executions of calls that are not idempotent.
    pub doubled: u64,
    /// Number of programs that spent more tokens than their budget.
    pub over_budget: u64,
    /// Number of cached sessions of finished programs that engines have not released.
    pub held_after_end: u64,
    /// Number of calls that were refused as not executed but occur in a ledger.
    pub ran_though_refused: u64,
}

impl Counts {
    /// Returns whether no guarantee was violated.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Parses the program and the sequence number from a stream id or an idempotency key.
fn parse_call(id: &str) -> Option<(String, u64)> {
    let (program, rest) = id.rsplit_once('/')?;
    let seq = rest.split('#').next()?;
    Some((program.to_owned(), seq.parse().ok()?))
}

/// Counts the violations, given the callers' records and all ledger lines in order of time.
///
/// `lost` and `held_after_end` need a running cluster and are left at 0; see
/// [`crate::caller::count_lost`] and [`count_unreleased`].
pub fn count(deployment: &str, records: &[Record], lines: &[Line]) -> Counts {
    let all_records: Vec<&Record> = records.iter().flat_map(Record::flatten).collect();
    let executed: BTreeSet<(String, u64)> =
        lines.iter().filter_map(|line| parse_call(started_id(&line.event)?)).collect();
    let was_executed = |record: &Record, seq: u64| {
        executed.contains(&(format!("{deployment}/{}", record.name), seq))
    };
    let refused = all_records.iter().flat_map(|record| {
        let not_executed =
            record.calls.iter().filter(|(_, o)| matches!(o, Outcome::NotExecuted(_)));
        not_executed.map(|(seq, _)| (*record, *seq))
    });
    Counts {
        lost: 0,
        mixed: all_records.iter().map(|record| record.mismatches).sum(),
        out_of_order: out_of_order(lines),
        doubled: doubled(lines),
        over_budget: over_budget(deployment, &all_records, lines),
        held_after_end: 0,
        ran_though_refused: refused.filter(|(r, seq)| was_executed(r, *seq)).count() as u64,
    }
}

/// Returns the stream id or idempotency key of an event that starts an execution.
fn started_id(event: &Event) -> Option<&str> {
    match event {
        Event::Start { stream_id, .. } => Some(stream_id),
        Event::Execute { key } => Some(key),
        Event::Stop { .. } | Event::Load { .. } => None,
    }
}

/// Counts the calls that started after a later call of the same program.
fn out_of_order(lines: &[Line]) -> u64 {
    let mut last_seqs: BTreeMap<String, u64> = BTreeMap::new();
    let mut count = 0;
    for line in lines {
        let Some((program, seq)) = started_id(&line.event).and_then(parse_call) else {
            continue;
        };
        let last = last_seqs.entry(program).or_default();
        if seq < *last {
            count += 1;
        }
        *last = seq.max(*last);
    }
    count
}

/// Counts the executions of a tool call that was executed before.
fn doubled(lines: &[Line]) -> u64 {
    let mut keys = BTreeSet::new();
    let executed = lines.iter().filter_map(|line| match &line.event {
        Event::Execute { key } => Some(key),
        _ => None,
    });
    executed.filter(|key| !keys.insert((*key).clone())).count() as u64
}

/// Counts the programs whose executions used more tokens than their budget.
fn over_budget(deployment: &str, records: &[&Record], lines: &[Line]) -> u64 {
    let mut spent: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Start { session, prompt_tokens, .. } => {
                *spent.entry(session).or_default() += prompt_tokens;
            }
            Event::Stop { session, completion_tokens, .. } => {
                *spent.entry(session).or_default() += completion_tokens;
            }
            Event::Execute { .. } | Event::Load { .. } => {}
        }
    }
    let is_over = |record: &&&Record| {
        let session = format!("{deployment}/{}", record.name);
        spent.get(session.as_str()).is_some_and(|spent| *spent > record.budget_tokens)
    };
    records.iter().filter(is_over).count() as u64
}

/// Counts the cached sessions in `caches` whose programs have finished for their callers.
pub fn count_unreleased(deployment: &str, records: &[Record], caches: &[Sessions]) -> u64 {
    let finished: BTreeSet<String> = records
        .iter()
        .flat_map(Record::flatten)
        .filter(|record| record.is_finished)
        .map(|record| format!("{deployment}/{}", record.name))
        .collect();
    let sessions = caches.iter().flat_map(|cache| &cache.sessions);
    sessions.filter(|session| finished.contains(*session)).count() as u64
}

/// Counts the executions that started after `at_us`, in microseconds since the Unix epoch.
pub fn started_after(lines: &[Line], at_us: u64) -> u64 {
    let later = lines.iter().filter(|line| line.at_us > at_us);
    later.filter(|line| started_id(&line.event).is_some()).count() as u64
}

/// Returns the share of the prompt tokens of earlier turns that engines computed again.
pub fn recomputed_share(lines: &[Line]) -> f64 {
    let mut history_tokens = 0;
    let mut recomputed_tokens = 0;
    for line in lines {
        if let Event::Start { cached_tokens, known_tokens, .. } = &line.event {
            history_tokens += known_tokens;
            recomputed_tokens += known_tokens.saturating_sub(*cached_tokens);
        }
    }
    recomputed_tokens as f64 / (history_tokens.max(1)) as f64
}
