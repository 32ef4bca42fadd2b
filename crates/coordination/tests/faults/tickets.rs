//! Fault matrix of tickets: each fault is injected at each stage of a ticket's acceptance.

use crate::util::{Caller, Simulation, Step, config, seeds, verify};
use state::control::{Change, Deployment, Reply, Ticket};
use state::error::Kind;

/// Maximum time from the acceptance of a ticket until it is in force, in milliseconds.
const IN_FORCE_MS: u64 = 4_000;

/// A ticket that allows all backend servers except `server`.
fn ticket_without(number: u64, server: &str) -> Ticket {
    let mut rules: Deployment = config().deployments["dep"].clone();
    rules.servers.retain(|name| name != server);
    Ticket { number, changes: vec![Change::Deployment { name: "dep".into(), state: Some(rules) }] }
}

fn busy_sim(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    for at in 0..6 {
        let steps = (0..25).map(|turn| Step::model(&format!("turn {turn}"))).collect();
        sim.callers.push(Caller::new(&format!("busy{at}"), at, steps));
    }
    sim.run_for(400);
    sim
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    EntryKilled,
    EntryFrozen,
    EntryIsolated,
    EntryInboundLost,
    EntryOutboundLost,
    LeaderKilled,
    LeaderIsolated,
    LeaderFrozen,
    DiskWiped,
}

/// Stages of a ticket at which a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Sent,
    Committed,
    InForce,
}

fn inject(sim: &mut Simulation, fault: Fault) {
    let leader = sim.leader(0).unwrap_or(0);
    match fault {
        Fault::None => {}
        Fault::EntryKilled => sim.kill(3),
        Fault::EntryFrozen => sim.freeze(3, 6_000),
        Fault::EntryIsolated => sim.isolate(3, true, true),
        Fault::EntryInboundLost => sim.isolate(3, true, false),
        Fault::EntryOutboundLost => sim.isolate(3, false, true),
        Fault::LeaderKilled => sim.kill(leader),
        Fault::LeaderIsolated => sim.isolate(leader, true, true),
        Fault::LeaderFrozen => sim.freeze(leader, 6_000),
        Fault::DiskWiped => {
            sim.kill(leader);
            sim.wipe(leader);
            sim.restart(leader);
        }
    }
}

fn run(fault: Fault, stage: Stage, seed: u64) {
    let label = format!("{fault:?} at {stage:?}, seed {seed}");
    let mut sim = busy_sim(seed);
    let ticket = ticket_without(7, "m1");
    if stage == Stage::Sent {
        inject(&mut sim, fault);
    }
    // The ticket is sent through a host that no fault affects, and is resent below.
    let sent = sim.now;
    sim.send_ticket(4, &ticket);
    let is_accepted = sim.run_until(3_000, |sim| sim.recorded(7).is_some());
    assert!(is_accepted, "{label}: not accepted\n{}", sim.trace.join("\n"));
    let accepted = sim.now;
    if stage == Stage::Committed {
        inject(&mut sim, fault);
    }
    let in_force = |sim: &Simulation| sim.recorded(7).is_some_and(|r| r.is_in_force);
    let is_in_force = sim.run_until(IN_FORCE_MS, in_force);
    let elapsed = sim.now - accepted;
    assert!(is_in_force, "{label}: not in force {elapsed} ms after acceptance, sent at {sent}");
    sim.in_force.push((sim.now, "m1".into()));
    if stage == Stage::InForce {
        inject(&mut sim, fault);
    }
    sim.send_ticket(4, &ticket);
    sim.run_for(3_000);
    sim.heal();
    for host in 0..5 {
        if !sim.hosts[host].is_alive {
            sim.restart(host);
        }
    }
    verify(&mut sim, &label);
    let replies = sim.ticket_replies.iter().filter(|(number, _)| *number == 7);
    for (_, reply) in replies {
        assert!(matches!(reply, Reply::Accepted(_)), "{label}: {reply:?}");
    }
}

macro_rules! matrix {
    ($($name:ident: $fault:expr;)*) => {
        $(#[test]
        fn $name() {
            for seed in seeds(1, 2) {
                for stage in [Stage::Sent, Stage::Committed, Stage::InForce] {
                    run($fault, stage, seed);
                }
            }
        })*
    };
}

matrix! {
    no_fault: Fault::None;
    entry_killed: Fault::EntryKilled;
    entry_frozen: Fault::EntryFrozen;
    entry_isolated: Fault::EntryIsolated;
    entry_inbound_lost: Fault::EntryInboundLost;
    entry_outbound_lost: Fault::EntryOutboundLost;
    leader_killed: Fault::LeaderKilled;
    leader_isolated: Fault::LeaderIsolated;
    leader_frozen: Fault::LeaderFrozen;
    disk_wiped: Fault::DiskWiped;
}

#[test]
fn one_of_two_concurrent_tickets_with_the_same_number_is_accepted() {
    for seed in seeds(1, 10) {
        let mut sim = Simulation::new(seed);
        sim.send_ticket(3, &ticket_without(5, "m1"));
        sim.send_ticket(4, &ticket_without(5, "m2"));
        sim.run_for(2_000);
        let accepted = |reply: &Reply| matches!(reply, Reply::Accepted(_));
        let conflict =
            |reply: &Reply| matches!(reply, Reply::Refused(r) if r.kind == Kind::Conflict);
        let replies: Vec<&Reply> = sim.ticket_replies.iter().map(|(_, r)| r).collect();
        assert_eq!(replies.iter().filter(|r| accepted(r)).count(), 1, "seed {seed}: {replies:?}");
        assert_eq!(replies.iter().filter(|r| conflict(r)).count(), 1, "seed {seed}: {replies:?}");
    }
}

#[test]
fn an_entry_that_missed_many_tickets_dispatches_nothing_under_old_rules() {
    for seed in seeds(1, 3) {
        let mut sim = Simulation::new(seed);
        sim.kill(2);
        sim.kill(3);
        for number in 1..=300 {
            let server = if number % 2 == 0 { "m1" } else { "m2" };
            sim.send_ticket(4, &ticket_without(number, server));
            sim.run_until(2_000, |sim| sim.recorded(number).is_some());
        }
        sim.run_until(IN_FORCE_MS, |sim| sim.recorded(300).is_some_and(|r| r.is_in_force));
        sim.in_force.push((sim.now, "m1".into()));
        // Host 2 returns with an empty disk; host 3 has none.
        sim.wipe(2);
        sim.restart(2);
        sim.restart(3);
        for at in 0..4 {
            let steps = vec![Step::model("a"), Step::model("b"), Step::model("c")];
            sim.callers.push(Caller::new(&format!("late{at}"), 1 + at % 2, steps));
        }
        verify(&mut sim, &format!("seed {seed}"));
        let version = sim.hosts[4].entry.version();
        let versions: Vec<u64> = sim.hosts.iter().map(|h| h.entry.version()).collect();
        assert!(versions.iter().all(|v| *v == version), "seed {seed}: {versions:?}");
    }
}
