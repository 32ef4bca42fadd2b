//! Several faults in an order that nobody wrote down.

use crate::util::{Caller, Simulation, Step, seeds, verify};
use arbtest::arbitrary::{Result, Unstructured};

#[derive(Debug)]
enum Fault {
    Kill(u8),
    Wipe(u8),
    Freeze(u8),
    CutOff(u8, bool, bool),
    Heal,
    CrashEngine(u8),
    Leave(u8),
    Double,
}

#[derive(Debug)]
struct Plan {
    seed: u16,
    /// Pause before each fault, in units of 8 ms, and the fault.
    faults: Vec<(u8, Fault)>,
}

impl Plan {
    fn arbitrary(u: &mut Unstructured<'_>) -> Result<Self> {
        let seed = u.arbitrary()?;
        let faults: Result<Vec<_>> = (0..8).map(|_| Ok((u.arbitrary()?, fault(u)?))).collect();
        Ok(Self { seed, faults: faults? })
    }
}

fn fault(u: &mut Unstructured<'_>) -> Result<Fault> {
    let at = u.arbitrary()?;
    Ok(match u.int_in_range(0..=7)? {
        0 => Fault::Kill(at),
        1 => Fault::Wipe(at),
        2 => Fault::Freeze(at),
        3 => Fault::CutOff(at, u.arbitrary()?, u.arbitrary()?),
        4 => Fault::Heal,
        5 => Fault::CrashEngine(at),
        6 => Fault::Leave(at),
        _ => Fault::Double,
    })
}

const ENGINES: [&str; 3] = ["m1", "m2", "m3"];

fn apply(sim: &mut Simulation, fault: &Fault) {
    let host = |at: &u8| usize::from(*at) % 5;
    match fault {
        Fault::Kill(at) => sim.kill(host(at)),
        // One disk at a time, and only once the others are whole again.
        Fault::Wipe(at) => {
            let at = usize::from(*at) % 3;
            if is_whole(sim) {
                sim.kill(at);
                sim.wipe(at);
                sim.restart(at);
            }
        }
        Fault::Freeze(at) => sim.freeze(host(at), 3_000),
        Fault::CutOff(at, inwards, outwards) => sim.isolate(host(at), *inwards, *outwards),
        Fault::Heal => sim.heal(),
        Fault::CrashEngine(at) => sim.crash(ENGINES[usize::from(*at) % 3]),
        Fault::Leave(at) => {
            let name = ENGINES[usize::from(*at) % 3];
            let backend = sim.backends.get_mut(name).unwrap();
            backend.is_leaving = !backend.is_leaving;
        }
        Fault::Double => sim.duplicates = true,
    }
}

/// Whether each replica is up, votes and has everything.
fn is_whole(sim: &Simulation) -> bool {
    sim.hosts[..3].iter().all(|host| {
        let is_whole = |g: &crate::util::Group| {
            !g.is_stopped
                && g.replica.members().is_voter(g.id)
                && g.replica.members().voters.len() == 3
        };
        host.is_alive && host.groups.len() == 2 && host.groups.iter().all(is_whole)
    }) && (0..2).all(|group| {
        let leader = sim.leader(group).map(|at| sim.hosts[at].groups[group].replica.commit());
        leader.is_some_and(|commit| {
            sim.hosts[..3].iter().all(|h| h.groups[group].replica.last_index() >= commit)
        })
    })
}

fn run(u: &mut Unstructured<'_>) -> Result<()> {
    let plan = Plan::arbitrary(u)?;
    let label = format!("{plan:?}");
    let mut sim = Simulation::new(u64::from(plan.seed));
    for at in 0..5 {
        let steps = vec![
            Step::model("a"),
            Step::tool("b"),
            Step::model("c"),
            Step { service: "desk", ..Step::tool("lose") },
            Step::tool("d"),
            Step::model("e"),
        ];
        let mut caller = Caller::new(&format!("mixed{at}"), at, steps);
        caller.sends_twice = at % 2 == 0;
        sim.callers.push(caller);
    }
    for (pause, fault) in &plan.faults {
        sim.run_for(u64::from(*pause) * 8);
        apply(&mut sim, fault);
    }
    sim.run_for(1_000);
    sim.heal();
    for host in 0..5 {
        if !sim.hosts[host].is_alive {
            sim.restart(host);
        }
    }
    for name in ENGINES {
        sim.backends.get_mut(name).unwrap().is_leaving = false;
    }
    verify(&mut sim, &label);
    Ok(())
}

/// Size of the generated input, in bytes; the lower half of an arbtest seed.
const SIZE: u64 = 128;

#[test]
fn faults_in_any_order_break_no_promise() {
    for seed in seeds(1, 60) {
        arbtest::arbtest(run).seed(seed << 32 | SIZE).run();
    }
}
