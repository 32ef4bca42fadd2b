//! Faults of backend servers: hanging tools, lost answers, crashes and shutdowns.

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
fn a_call_of_a_hanging_tool_is_answered_unknown_and_not_repeated() {
    for seed in seeds(1, 5) {
        let mut sim = sim_with(seed, vec![Step::tool("hang"), Step::model("after")]);
        verify(&mut sim, &format!("seed {seed}"));
        let outcome = &sim.callers[0].outcomes[0];
        assert_eq!(
            (outcome.executed, outcome.kind),
            (Executed::Unknown, Some(Kind::Unknown)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_tool_call_with_a_lost_answer_is_executed_once_and_answered_unknown() {
    for seed in seeds(1, 5) {
        let mut sim = sim_with(seed, vec![Step::tool("lose"), Step::model("after")]);
        verify(&mut sim, &format!("seed {seed}"));
        assert_eq!(sim.callers[0].outcomes[0].executed, Executed::Unknown, "seed {seed}");
    }
}

#[test]
fn a_lost_answer_is_looked_up_if_the_tool_supports_it() {
    for seed in seeds(1, 5) {
        let step = Step { service: "desk", ..Step::tool("lose") };
        let mut sim = sim_with(seed, vec![step]);
        verify(&mut sim, &format!("seed {seed}"));
        let outcome = &sim.callers[0].outcomes[0];
        assert_eq!(
            (outcome.executed, outcome.content.as_slice()),
            (Executed::Yes, &b"found"[..]),
            "seed {seed}"
        );
    }
}

/// The caller sends the crashing content repeatedly, each time in a new program, while other
/// programs run concurrently.
#[test]
fn crashing_content_crashes_at_most_two_servers_and_is_quarantined() {
    for seed in seeds(1, 10) {
        let mut sim = sim_with(seed, vec![Step::model("poison")]);
        for repeat in 1..4 {
            let mut caller =
                Caller::new(&format!("again{repeat}"), repeat, vec![Step::model("poison")]);
            caller.start_at = sim.now + 4_000 * repeat as u64;
            sim.callers.push(caller);
        }
        verify(&mut sim, &format!("seed {seed}"));
        assert!(sim.crashes <= 2, "seed {seed}: {} servers crashed", sim.crashes);
        for caller in &sim.callers {
            let is_crashing = caller.steps[0].content == "poison";
            for outcome in &caller.outcomes {
                let is_quarantined = outcome.kind == Some(Kind::Quarantined);
                let trace = sim.trace.join("\n");
                assert_eq!(is_quarantined, is_crashing, "seed {seed}: {}\n{trace}", caller.program);
            }
        }
        let quarantine = &sim.hosts[0].entry.snapshot().quarantine;
        assert_eq!(quarantine.len(), 1, "seed {seed}: {quarantine:?}");
    }
}

#[test]
fn a_leaving_server_gets_no_new_calls_after_three_seconds() {
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
        assert!(
            earlier && sim.now > limit + 1_000,
            "seed {seed}: no call before the limit or too short a run"
        );
    }
}
