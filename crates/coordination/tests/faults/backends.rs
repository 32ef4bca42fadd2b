//! Faults of backend servers.

use crate::util::{Caller, Simulation, Step, seeds, verify};
use state::error::{Executed, Kind};

fn sim_with(seed: u64, steps: Vec<Step>) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.callers.push(Caller::new("watched", 2, steps));
    for other in 0..4 {
        let steps = vec![Step::model("a"), Step::tool("b"), Step::model("c"), Step::model("d")];
        sim.callers.push(Caller::new(&format!("other{other}"), other, steps));
    }
    sim
}

#[test]
fn a_tool_that_hangs_is_answered_unknown_and_never_runs_twice() {
    for seed in seeds(1, 5) {
        let mut sim = sim_with(seed, vec![Step::tool("hang"), Step::model("after")]);
        verify(&mut sim, &format!("seed {seed}"));
        let outcome = &sim.callers[0].outcomes[0];
        assert_eq!(
            (outcome.ran, outcome.kind),
            (Executed::Unknown, Some(Kind::Unknown)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_tool_that_loses_its_answer_runs_once_and_is_answered_unknown() {
    for seed in seeds(1, 5) {
        let mut sim = sim_with(seed, vec![Step::tool("lose"), Step::model("after")]);
        verify(&mut sim, &format!("seed {seed}"));
        assert_eq!(sim.callers[0].outcomes[0].ran, Executed::Unknown, "seed {seed}");
    }
}

#[test]
fn a_tool_that_can_tell_is_asked_for_the_lost_answer() {
    for seed in seeds(1, 5) {
        let step = Step { service: "desk", ..Step::tool("lose") };
        let mut sim = sim_with(seed, vec![step]);
        verify(&mut sim, &format!("seed {seed}"));
        let outcome = &sim.callers[0].outcomes[0];
        assert_eq!(
            (outcome.ran, outcome.content.as_slice()),
            (Executed::Yes, &b"found"[..]),
            "seed {seed}"
        );
    }
}

/// The caller sends the content again and again, in new programs; other programs run beside.
#[test]
fn poison_costs_two_servers_and_is_quarantined_for_everyone() {
    for seed in seeds(1, 10) {
        let mut sim = sim_with(seed, vec![Step::model("poison")]);
        for again in 1..4 {
            let mut caller =
                Caller::new(&format!("again{again}"), again, vec![Step::model("poison")]);
            caller.start_at = sim.now + 4_000 * again as u64;
            sim.callers.push(caller);
        }
        verify(&mut sim, &format!("seed {seed}"));
        assert!(sim.crashes <= 2, "seed {seed}: {} servers were lost", sim.crashes);
        for caller in &sim.callers {
            let is_poison = caller.steps[0].content == "poison";
            for outcome in &caller.outcomes {
                let is_refused = outcome.kind == Some(Kind::Quarantined);
                let trace = sim.trace.join("\n");
                assert_eq!(is_refused, is_poison, "seed {seed}: {}\n{trace}", caller.program);
            }
        }
        let quarantine = &sim.hosts[0].entry.snapshot().quarantine;
        assert_eq!(quarantine.len(), 1, "seed {seed}: {quarantine:?}");
    }
}

#[test]
fn a_leaving_server_gets_nothing_new_within_three_seconds() {
    const LIMIT_MS: u64 = 3_000;
    for seed in seeds(1, 5) {
        let steps = (0..40).map(|at| Step::model(&format!("turn {at}"))).collect();
        let mut sim = sim_with(seed, steps);
        sim.run_for(1_000);
        sim.backends.get_mut("m1").unwrap().is_leaving = true;
        let limit = sim.now + LIMIT_MS;
        verify(&mut sim, &format!("seed {seed}"));
        let late = sim.received.iter().filter(|(at, name)| *at > limit && name == "m1").count();
        assert_eq!(late, 0, "seed {seed}");
        let earlier = sim.received.iter().any(|(at, name)| *at < limit && name == "m1");
        assert!(earlier && sim.now > limit + 1_000, "seed {seed}: the test shows nothing");
    }
}
