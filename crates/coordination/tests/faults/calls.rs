//! Every fault at every step of a call.

use crate::util::{Caller, SHARD, Simulation, Step, seeds, verify};
use state::control::Standing;
use state::program::{Query, View};

/// Steps of the watched call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
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

const STEPS: [At; 9] = [
    At::Queued,
    At::BeginSent,
    At::BeginCommitted,
    At::Dispatched,
    At::MidStream,
    At::EndSent,
    At::EndCommitted,
    At::Answered,
    At::ReleasePending,
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    EntryKilled,
    LeaderKilled,
    TwoLeadersKilled,
    DiskWiped,
    DomainLost,
    EntryCutOff,
    EntryCutOffInwards,
    EntryCutOffOutwards,
    LeaderCutOff,
    LeaderCutOffInwards,
    LeaderCutOffOutwards,
    EntryFrozen,
    LeaderFrozen,
    SyncFails,
    BackendDies,
    MessagesDoubled,
}

/// Entry that serves the watched call when its step is reached.
fn serving(sim: &Simulation) -> Option<(usize, &'static str)> {
    let rows = sim.hosts.iter().enumerate().filter(|(_, host)| host.is_alive);
    rows.flat_map(|(at, host)| host.entry.stages().into_iter().map(move |row| (at, row)))
        .find(|(_, (call, ..))| call.starts_with("dep/watched/2"))
        .map(|(at, (_, stage, ..))| (at, stage))
}

fn journal_has(sim: &Simulation, step: At) -> bool {
    let Some(leader) = sim.leader(SHARD) else {
        return false;
    };
    let program = sim.callers[0].program.clone();
    let View::Programs(rows) = sim.view(leader, &Query::Program(program)) else {
        return false;
    };
    match step {
        At::BeginCommitted => rows[0].current.is_some() && rows[0].next_seq == 2,
        At::EndCommitted => rows[0].next_seq > 2,
        _ => rows[0].is_closed && !rows[0].held.is_empty(),
    }
}

fn is_at(sim: &Simulation, step: At) -> bool {
    let stage = serving(sim).map(|(_, stage)| stage);
    let has_chunk = sim.backends.values().any(|b| !b.running.is_empty());
    match step {
        At::Queued => stage == Some("queued") || stage == Some("loading"),
        At::BeginSent => stage == Some("beginning"),
        At::BeginCommitted => stage == Some("beginning") && journal_has(sim, step),
        At::Dispatched => stage == Some("running"),
        At::MidStream => stage == Some("running") && has_chunk,
        At::EndSent => stage == Some("settling"),
        At::EndCommitted => stage == Some("settling") && journal_has(sim, step),
        At::Answered => sim.callers[0].outcomes.len() >= 2,
        At::ReleasePending => journal_has(sim, step),
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
            sim.run_until(5_000, |w| {
                w.hosts[leader].groups.iter().all(|g| g.replica.members().is_voter(g.id))
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
        Fault::EntryCutOff => sim.isolate(victim, true, true),
        Fault::EntryCutOffInwards => sim.isolate(victim, true, false),
        Fault::EntryCutOffOutwards => sim.isolate(victim, false, true),
        Fault::LeaderCutOff => sim.isolate(leader, true, true),
        Fault::LeaderCutOffInwards => sim.isolate(leader, true, false),
        Fault::LeaderCutOffOutwards => sim.isolate(leader, false, true),
        Fault::EntryFrozen => sim.freeze(victim, 5_000),
        Fault::LeaderFrozen => sim.freeze(leader, 5_000),
        Fault::SyncFails => sim.hosts[leader].groups.iter_mut().for_each(|g| g.fails_sync = true),
        Fault::BackendDies => {
            let busy = sim.backends.iter().find(|(_, b)| !b.running.is_empty());
            let name = busy.map_or("m1".to_owned(), |(name, _)| name.clone());
            sim.crash(&name);
        }
        Fault::MessagesDoubled => sim.duplicates = true,
    }
}

/// Everything that was lost returns.
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

fn run(fault: Fault, step: At, watched: Step, seed: u64) {
    let label = format!("{fault:?} at {step:?}, {} call, seed {seed}", watched.service);
    let mut sim = Simulation::new(seed);
    let steps = vec![Step::model("first"), watched, Step::model("last")];
    sim.callers.push(Caller::new("watched", 2, steps));
    for other in 0..4 {
        let steps = vec![Step::model("a"), Step::tool("b"), Step::model("c"), Step::tool("d")];
        sim.callers.push(Caller::new(&format!("other{other}"), other, steps));
    }
    sim.releases_fail = step == At::ReleasePending;
    let mut entry = 4;
    let is_reached = sim.run_until(20_000, |sim| is_at(sim, step));
    assert!(is_reached, "{label}: the step was not reached\n{}", sim.trace.join("\n"));
    if let Some((at, _)) = serving(&sim) {
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

/// Found by this matrix: a snapshot that arrived late dropped entries after it that the
/// replica had acknowledged.
#[test]
fn a_late_snapshot_keeps_acknowledged_entries() {
    run(Fault::TwoLeadersKilled, At::EndSent, Step::tool("watched"), 10);
}

/// Found by this matrix: two loads of one program under way at once doubled its history.
#[test]
fn two_loads_at_once_do_not_double_the_history() {
    run(Fault::TwoLeadersKilled, At::Queued, Step::model("watched"), 1);
}

/// Found by this matrix: the control leader expired a life before its first renewal.
#[test]
fn a_life_that_has_just_registered_is_not_expired() {
    run(Fault::EntryKilled, At::Queued, Step::model("watched"), 1);
}

/// One test for each fault, so that they run side by side.
macro_rules! matrix {
    ($($name:ident: $fault:expr;)*) => {
        $(#[test]
        fn $name() {
            for seed in seeds(1, 1) {
                for step in STEPS {
                    run($fault, step, Step::model("watched"), seed);
                    run($fault, step, Step::tool("watched"), seed + 100);
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
    entry_cut_off: Fault::EntryCutOff;
    entry_cut_off_inwards: Fault::EntryCutOffInwards;
    entry_cut_off_outwards: Fault::EntryCutOffOutwards;
    leader_cut_off: Fault::LeaderCutOff;
    leader_cut_off_inwards: Fault::LeaderCutOffInwards;
    leader_cut_off_outwards: Fault::LeaderCutOffOutwards;
    entry_frozen: Fault::EntryFrozen;
    leader_frozen: Fault::LeaderFrozen;
    sync_fails: Fault::SyncFails;
    backend_dies: Fault::BackendDies;
    messages_doubled: Fault::MessagesDoubled;
}
