//! Enforcement of budgets while hosts and backend servers fail.

use crate::util::{Caller, Simulation, Step, seeds, verify};
use state::error::{Executed, Kind};

/// Programs that end at their budget. Each call uses more tokens than the one before, as the
/// history grows.
fn looping(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    for at in 0..4 {
        let steps = (0..30).map(|turn| Step::model(&format!("turn {turn}"))).collect();
        let mut caller = Caller::new(&format!("looping{at}"), at, steps);
        caller.budget_tokens = 2_000;
        sim.callers.push(caller);
    }
    sim
}

fn check(sim: &mut Simulation, label: &str) {
    verify(sim, label);
    for caller in &sim.callers {
        let last = caller.outcomes.last().unwrap();
        let outcome = (last.executed, last.kind);
        assert_eq!(
            outcome,
            (Executed::No, Some(Kind::BudgetExhausted)),
            "{label}: {}",
            caller.program
        );
    }
}

#[test]
fn a_looping_program_is_refused_at_its_budget() {
    for seed in seeds(1, 5) {
        check(&mut looping(seed), &format!("seed {seed}"));
    }
}

#[test]
fn lost_attempts_are_charged_and_the_budget_is_not_exceeded() {
    for seed in seeds(1, 5) {
        let mut sim = looping(seed);
        for round in 0..6 {
            sim.run_for(300);
            let victim = (seed as usize + round) % 5;
            sim.kill(victim);
            for engine in ["m1", "m2", "m3"] {
                sim.crash(engine);
            }
            sim.run_for(1_500);
            sim.restart(victim);
        }
        verify(&mut sim, &format!("seed {seed}"));
    }
}
