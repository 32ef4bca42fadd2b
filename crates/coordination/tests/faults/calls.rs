//! Fault matrix of calls: each fault is injected at each stage of a watched call.

use crate::util::{Caller, SHARD, Simulation, Step, seeds, verify};
use state::control::Standing;
use state::program::{Query, View};

/// Stages of the watched call at which a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    BeginSent,
    BeginCommitted,
    Dispatched,
    MidStream,
    EndSent,
    EndCommitted,
    Answered,
    ReleasePending,
}

const STAGES: [Stage; 9] = [
    Stage::Queued,
    Stage::BeginSent,
    Stage::BeginCommitted,
    Stage::Dispatched,
    Stage::MidStream,
    Stage::EndSent,
    Stage::EndCommitted,
    Stage::Answered,
    Stage::ReleasePending,
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    EntryKilled,
    LeaderKilled,
    TwoLeadersKilled,
    DiskWiped,
    DomainLost,
    EntryIsolated,
    EntryInboundLost,
    EntryOutboundLost,
    LeaderIsolated,
    LeaderInboundLost,
    LeaderOutboundLost,
    EntryFrozen,
    LeaderFrozen,
    SyncFails,
    BackendCrashes,
    MessagesDuplicated,
}

/// Host whose entry handles the watched call, and the call's stage there.
fn serving_entry(sim: &Simulation) -> Option<(usize, &'static str)> {
    let rows = sim.hosts.iter().enumerate().filter(|(_, host)| host.is_alive);
    rows.flat_map(|(at, host)| host.entry.stages().into_iter().map(move |row| (at, row)))
        .find(|(_, (call, ..))| call.starts_with("dep/watched/2"))
        .map(|(at, (_, stage, ..))| (at, stage))
}

/// Whether the leader of the programs' journal has applied what `stage` stands for.
fn journal_has(sim: &Simulation, stage: Stage) -> bool {
    let Some(leader) = sim.leader(SHARD) else {
        return false;
    };
    let program = sim.callers[0].program.clone();
    let View::Programs(rows) = sim.view(leader, &Query::Program(program)) else {
        return false;
    };
    match stage {
        Stage::BeginCommitted => rows[0].current.is_some() && rows[0].next_seq == 2,
        Stage::EndCommitted => rows[0].next_seq > 2,
        _ => rows[0].is_closed && !rows[0].held.is_empty(),
    }
}

fn has_reached(sim: &Simulation, stage: Stage) -> bool {
    let entry_stage = serving_entry(sim).map(|(_, stage)| stage);
    let has_chunk = sim.backends.values().any(|b| !b.running.is_empty());
    match stage {
        Stage::Queued => entry_stage == Some("queued") || entry_stage == Some("loading"),
        Stage::BeginSent => entry_stage == Some("beginning"),
        Stage::BeginCommitted => entry_stage == Some("beginning") && journal_has(sim, stage),
        Stage::Dispatched => entry_stage == Some("running"),
        Stage::MidStream => entry_stage == Some("running") && has_chunk,
        Stage::EndSent => entry_stage == Some("settling"),
        Stage::EndCommitted => entry_stage == Some("settling") && journal_has(sim, stage),
        Stage::Answered => sim.callers[0].outcomes.len() >= 2,
        Stage::ReleasePending => journal_has(sim, stage),
    }
}

fn inject(sim: &mut Simulation, fault: Fault, entry: usize) {
    let leader = sim.leader(SHARD).unwrap_or(0);
    let victim = entry;
    match fault {
        Fault::EntryKilled => sim.kill(victim),
        Fault::LeaderKilled => sim.kill(leader),
        Fault::TwoLeadersKilled => {
            sim.kill(leader);
            sim.run_until(3_000, |sim| sim.leader(SHARD).is_some());
            if let Some(next) = sim.leader(SHARD) {
                sim.kill(next);
            }
        }
        Fault::DiskWiped => {
            sim.kill(leader);
            sim.wipe(leader);
            sim.run_for(300);
            sim.restart(leader);
            sim.run_until(5_000, |sim| {
                sim.hosts[leader].groups.iter().all(|g| g.replica.members().is_voter(g.id))
            });
            let second = (leader + 1) % 3;
            sim.kill(second);
            sim.wipe(second);
        }
        Fault::DomainLost => {
            sim.kill(leader);
            sim.kill(3);
            sim.crash("m1");
        }
        Fault::EntryIsolated => sim.isolate(victim, true, true),
        Fault::EntryInboundLost => sim.isolate(victim, true, false),
        Fault::EntryOutboundLost => sim.isolate(victim, false, true),
        Fault::LeaderIsolated => sim.isolate(leader, true, true),
        Fault::LeaderInboundLost => sim.isolate(leader, true, false),
        Fault::LeaderOutboundLost => sim.isolate(leader, false, true),
        Fault::EntryFrozen => sim.freeze(victim, 5_000),
        Fault::LeaderFrozen => sim.freeze(leader, 5_000),
        Fault::SyncFails => sim.hosts[leader].groups.iter_mut().for_each(|g| g.fails_sync = true),
        Fault::BackendCrashes => {
            let active = sim.backends.iter().find(|(_, b)| !b.running.is_empty());
            let name = active.map_or("m1".to_owned(), |(name, _)| name.clone());
            sim.crash(&name);
        }
        Fault::MessagesDuplicated => sim.duplicates = true,
    }
}

/// Ends all partitions and restarts all hosts that were killed or have stopped.
fn recover(sim: &mut Simulation) {
    sim.heal();
    for host in 0..sim.hosts.len() {
        let is_stopped = sim.hosts[host].groups.iter().any(|g| g.is_stopped);
        if is_stopped {
            sim.kill(host);
        }
        if !sim.hosts[host].is_alive {
            sim.restart(host);
        }
    }
}

fn run(fault: Fault, stage: Stage, watched: Step, seed: u64) {
    let label = format!("{fault:?} at {stage:?}, {} call, seed {seed}", watched.service);
    let mut sim = Simulation::new(seed);
    let steps = vec![Step::model("first"), watched, Step::model("last")];
    sim.callers.push(Caller::new("watched", 2, steps));
    for other in 0..4 {
        let steps = vec![Step::model("a"), Step::tool("b"), Step::model("c"), Step::tool("d")];
        sim.callers.push(Caller::new(&format!("other{other}"), other, steps));
    }
    sim.releases_fail = stage == Stage::ReleasePending;
    let mut entry = 4;
    let is_reached = sim.run_until(20_000, |sim| has_reached(sim, stage));
    assert!(is_reached, "{label}: the stage was not reached\n{}", sim.trace.join("\n"));
    if let Some((at, _)) = serving_entry(&sim) {
        entry = at;
    }
    inject(&mut sim, fault, entry);
    sim.run_for(6_000);
    sim.releases_fail = false;
    recover(&mut sim);
    verify(&mut sim, &label);
    let instances = &sim.hosts[0].entry.snapshot().instances;
    let live = instances.values().filter(|i| i.standing == Standing::Live).count();
    assert_eq!(live, 5, "{label}: {instances:#?}\n{}", sim.trace.join("\n"));
}

/// Guards against a delayed snapshot that removes entries after it which the replica has
/// acknowledged. It happens if two leaders are killed while the end of a call is committed.
#[test]
fn a_delayed_snapshot_keeps_acknowledged_entries() {
    run(Fault::TwoLeadersKilled, Stage::EndSent, Step::tool("watched"), 10);
}

/// Guards against a history that is duplicated by two concurrent loads of the same program. It
/// happens if two leaders are killed while a call is queued.
#[test]
fn concurrent_loads_do_not_duplicate_the_history() {
    run(Fault::TwoLeadersKilled, Stage::Queued, Step::model("watched"), 1);
}

/// Guards against a control leader that expires an incarnation before its first renewal. It
/// happens if a killed instance registers again.
#[test]
fn an_incarnation_that_has_just_registered_is_not_expired() {
    run(Fault::EntryKilled, Stage::Queued, Step::model("watched"), 1);
}

/// Defines one test per fault, so that the tests run in parallel.
macro_rules! matrix {
    ($($name:ident: $fault:expr;)*) => {
        $(#[test]
        fn $name() {
            for seed in seeds(1, 1) {
                for stage in STAGES {
                    run($fault, stage, Step::model("watched"), seed);
                    run($fault, stage, Step::tool("watched"), seed + 100);
                }
            }
        })*
    };
}

matrix! {
    entry_killed: Fault::EntryKilled;
    leader_killed: Fault::LeaderKilled;
    two_leaders_killed: Fault::TwoLeadersKilled;
    disk_wiped: Fault::DiskWiped;
    domain_lost: Fault::DomainLost;
    entry_isolated: Fault::EntryIsolated;
    entry_inbound_lost: Fault::EntryInboundLost;
    entry_outbound_lost: Fault::EntryOutboundLost;
    leader_isolated: Fault::LeaderIsolated;
    leader_inbound_lost: Fault::LeaderInboundLost;
    leader_outbound_lost: Fault::LeaderOutboundLost;
    entry_frozen: Fault::EntryFrozen;
    leader_frozen: Fault::LeaderFrozen;
    sync_fails: Fault::SyncFails;
    backend_crashes: Fault::BackendCrashes;
    messages_duplicated: Fault::MessagesDuplicated;
}
