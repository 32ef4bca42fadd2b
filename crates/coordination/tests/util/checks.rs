//! Invariants that must hold at the end of a simulation, checked against the backend servers'
//! ledgers and the callers' records.

use super::host::{CONTROL, SHARD, export_state};
use super::simulation::Simulation;
use state::collections::Map;
use state::error::Executed;
use state::program::{Query, View};

/// Runs the simulation to its end and checks all invariants; panics with the violations, the
/// replicas' states and the end of the trace.
pub(crate) fn verify(sim: &mut Simulation, label: &str) {
    let is_complete = sim.run_until(90_000, Simulation::is_complete);
    let mut violations = Vec::new();
    if !is_complete {
        let open = sim.callers.iter().filter(|caller| !caller.is_closed);
        violations.extend(open.map(|c| format!("{} is not closed: {:?}", c.program, c.outcomes)));
    }
    sim.run_for(2_000);
    check_order(sim, &mut violations);
    check_at_most_once(sim, &mut violations);
    check_reported_execution(sim, &mut violations);
    check_history(sim, &mut violations);
    check_budget(sim, &mut violations);
    check_released_caches(sim, &mut violations);
    check_placement(sim, &mut violations);
    check_agreement(sim, &mut violations);
    if !violations.is_empty() {
        violations.extend(states(sim));
        let tail = sim.trace.len().saturating_sub(80);
        panic!("{label}:\n{}\ntrace:\n{}", violations.join("\n"), sim.trace[tail..].join("\n"));
    }
}

/// Calls of a program are executed in the order of their sequence numbers.
fn check_order(sim: &Simulation, violations: &mut Vec<String>) {
    let mut latest: Map<_, u64> = Map::default();
    for execution in &sim.ledger {
        let call = &execution.attempt.call;
        let last = latest.entry(call.program.clone()).or_default();
        if call.seq < *last {
            violations.push(format!("{call} was executed at {} after call {last}", execution.at));
        }
        *last = call.seq.max(*last);
    }
}

/// Calls that are not idempotent are executed at most once.
fn check_at_most_once(sim: &Simulation, violations: &mut Vec<String>) {
    let mut executions: Map<_, u32> = Map::default();
    for execution in sim.ledger.iter().filter(|execution| !execution.is_idempotent) {
        *executions.entry(execution.attempt.call.clone()).or_default() += 1;
    }
    let repeated = executions.iter().filter(|(_, executions)| **executions > 1);
    violations.extend(
        repeated.map(|(call, executions)| format!("{call} was executed {executions} times")),
    );
}

/// A call is reported as executed, or as not executed, only if that is so.
fn check_reported_execution(sim: &Simulation, violations: &mut Vec<String>) {
    for caller in &sim.callers {
        for (at, outcome) in caller.outcomes.iter().enumerate() {
            let seq = at as u64 + 1;
            let was_executed = sim.ledger.iter().any(|execution| {
                execution.attempt.call.program == caller.program
                    && execution.attempt.call.seq == seq
            });
            if outcome.executed == Executed::No && was_executed {
                violations.push(format!(
                    "{} call {seq} was executed but reported as not executed",
                    caller.program
                ));
            }
            if outcome.executed == Executed::Yes && !was_executed {
                violations.push(format!(
                    "{} call {seq} was reported as executed but was not",
                    caller.program
                ));
            }
        }
    }
}

/// Each replica's history of a program is equal to the caller's transcript.
fn check_history(sim: &Simulation, violations: &mut Vec<String>) {
    for caller in &sim.callers {
        if caller.mismatches > 0 {
            violations
                .push(format!("{} received {} wrong answers", caller.program, caller.mismatches));
        }
        for host in replicas(sim) {
            if let View::History(items) = sim.view(host, &Query::History(caller.program.clone()))
                && items != caller.transcript
            {
                violations.push(format!(
                    "{} on h{host}: history has {} items, the caller {}",
                    caller.program,
                    items.len(),
                    caller.transcript.len()
                ));
            }
        }
    }
}

/// The engines execute no more tokens for a program than its budget.
fn check_budget(sim: &Simulation, violations: &mut Vec<String>) {
    for caller in &sim.callers {
        let executions = sim.ledger.iter().filter(|e| e.attempt.call.program == caller.program);
        let used: u64 = executions.map(|execution| execution.tokens).sum();
        if used > caller.budget_tokens {
            violations
                .push(format!("{} used {used} of {} tokens", caller.program, caller.budget_tokens));
        }
    }
}

/// The caches of closed programs are released.
fn check_released_caches(sim: &Simulation, violations: &mut Vec<String>) {
    for (name, backend) in &sim.backends {
        for caller in sim.callers.iter().filter(|caller| caller.is_closed) {
            if backend.cached_programs.contains(&caller.program) {
                violations.push(format!("{name} still caches {}", caller.program));
            }
        }
    }
}

/// Nothing is executed on a backend server after a ticket that forbids it is in force.
fn check_placement(sim: &Simulation, violations: &mut Vec<String>) {
    for (at, server) in &sim.in_force {
        let late = sim.ledger.iter().filter(|e| e.server == *server && e.at > *at);
        violations.extend(late.map(|e| format!("{} executed on {server} at {}", e.attempt, e.at)));
    }
}

/// Hosts whose replicas run.
fn replicas(sim: &Simulation) -> Vec<usize> {
    let has_state = |at: &usize| {
        let host = &sim.hosts[*at];
        host.is_alive && host.groups.len() > SHARD && !host.groups.iter().any(|g| g.is_stopped)
    };
    (0..3).filter(has_state).collect()
}

/// State of each replica, for the report of a failure.
fn states(sim: &Simulation) -> Vec<String> {
    let mut rows = Vec::new();
    for host in &sim.hosts {
        for (number, group) in host.groups.iter().enumerate() {
            let replica = &group.replica;
            rows.push(format!(
                "{} journal {number}: term {}, leader {}, base {}, commit {}, applied {}, last {}, \
                 voters {:?}",
                host.name,
                replica.term(),
                replica.is_leader(),
                replica.base_index(),
                replica.commit(),
                group.applied,
                replica.last_index(),
                replica.members().voters.values().collect::<Vec<_>>(),
            ));
        }
    }
    rows
}

/// Replicas that have applied the same entries have equal states.
fn check_agreement(sim: &Simulation, violations: &mut Vec<String>) {
    for group in [CONTROL, SHARD] {
        let states: Vec<(usize, u64, Vec<u8>)> = replicas(sim)
            .into_iter()
            .map(|at| {
                let group = &sim.hosts[at].groups[group];
                (at, group.applied, export_state(group.machine.as_ref()))
            })
            .collect();
        for pair in states.windows(2) {
            if pair[0].1 == pair[1].1 && pair[0].2 != pair[1].2 {
                violations
                    .push(format!("journal {group}: h{} and h{} differ", pair[0].0, pair[1].0));
            }
        }
    }
}
