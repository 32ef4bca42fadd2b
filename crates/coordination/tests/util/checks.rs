//! What must hold at the end, counted from ledgers and callers' records.

use super::host::{CONTROL, SHARD, export_state};
use super::simulation::Simulation;
use state::collections::Map;
use state::error::Executed;
use state::program::{Query, View};

/// Verifies every property; prints the trace of a failure.
pub(crate) fn verify(sim: &mut Simulation, label: &str) {
    let ended = sim.run_until(90_000, Simulation::is_complete);
    let mut faults = Vec::new();
    if !ended {
        let open = sim.callers.iter().filter(|caller| !caller.is_closed);
        faults.extend(open.map(|c| format!("{} is not done: {:?}", c.program, c.outcomes)));
    }
    sim.run_for(2_000);
    order(sim, &mut faults);
    once(sim, &mut faults);
    truth(sim, &mut faults);
    history(sim, &mut faults);
    budget(sim, &mut faults);
    memory(sim, &mut faults);
    placement(sim, &mut faults);
    agreement(sim, &mut faults);
    if !faults.is_empty() {
        faults.extend(states(sim));
        let tail = sim.trace.len().saturating_sub(80);
        panic!("{label}:\n{}\ntrace:\n{}", faults.join("\n"), sim.trace[tail..].join("\n"));
    }
}

fn order(sim: &Simulation, faults: &mut Vec<String>) {
    let mut latest: Map<_, u64> = Map::default();
    for execution in &sim.ledger {
        let call = &execution.attempt.call;
        let last = latest.entry(call.program.clone()).or_default();
        if call.seq < *last {
            faults.push(format!("{call} ran at {} after call {last}", execution.at));
        }
        *last = call.seq.max(*last);
    }
}

fn once(sim: &Simulation, faults: &mut Vec<String>) {
    let mut runs: Map<_, u32> = Map::default();
    for execution in sim.ledger.iter().filter(|execution| !execution.is_idempotent) {
        *runs.entry(execution.attempt.call.clone()).or_default() += 1;
    }
    let doubled = runs.iter().filter(|(_, runs)| **runs > 1);
    faults.extend(doubled.map(|(call, runs)| format!("{call} ran {runs} times")));
}

fn truth(sim: &Simulation, faults: &mut Vec<String>) {
    for caller in &sim.callers {
        for (at, outcome) in caller.outcomes.iter().enumerate() {
            let seq = at as u64 + 1;
            let ran = sim.ledger.iter().any(|execution| {
                execution.attempt.call.program == caller.program
                    && execution.attempt.call.seq == seq
            });
            if outcome.ran == Executed::No && ran {
                faults.push(format!("{} call {seq} was said to be not run", caller.program));
            }
            if outcome.ran == Executed::Yes && !ran {
                faults.push(format!("{} call {seq} was said to have run", caller.program));
            }
        }
    }
}

fn history(sim: &Simulation, faults: &mut Vec<String>) {
    for caller in &sim.callers {
        if caller.mismatches > 0 {
            faults.push(format!("{} got {} mixed answers", caller.program, caller.mismatches));
        }
        for host in replicas(sim) {
            if let View::History(items) = sim.view(host, &Query::History(caller.program.clone()))
                && items != caller.transcript
            {
                faults.push(format!(
                    "{} on h{host}: history has {} items, the caller {}",
                    caller.program,
                    items.len(),
                    caller.transcript.len()
                ));
            }
        }
    }
}

fn budget(sim: &Simulation, faults: &mut Vec<String>) {
    for caller in &sim.callers {
        let own = sim.ledger.iter().filter(|e| e.attempt.call.program == caller.program);
        let drawn: u64 = own.map(|execution| execution.tokens).sum();
        if drawn > caller.budget_tokens {
            faults.push(format!("{} drew {drawn} of {}", caller.program, caller.budget_tokens));
        }
    }
}

fn memory(sim: &Simulation, faults: &mut Vec<String>) {
    for (name, backend) in &sim.backends {
        for caller in sim.callers.iter().filter(|caller| caller.is_closed) {
            if backend.cached_programs.contains(&caller.program) {
                faults.push(format!("{name} still holds {}", caller.program));
            }
        }
    }
}

fn placement(sim: &Simulation, faults: &mut Vec<String>) {
    for (at, server) in &sim.in_force {
        let late = sim.ledger.iter().filter(|e| e.server == *server && e.at > *at);
        faults.extend(late.map(|e| format!("{} ran on {server} at {}", e.attempt, e.at)));
    }
}

fn replicas(sim: &Simulation) -> Vec<usize> {
    let has_state = |at: &usize| {
        let host = &sim.hosts[*at];
        host.is_alive && host.groups.len() > SHARD && !host.groups.iter().any(|g| g.is_stopped)
    };
    (0..3).filter(has_state).collect()
}

/// Where each replica stands.
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

fn agreement(sim: &Simulation, faults: &mut Vec<String>) {
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
                faults.push(format!("journal {group}: h{} and h{} differ", pair[0].0, pair[1].0));
            }
        }
    }
}
