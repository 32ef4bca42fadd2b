//! Tests of the division of backend servers' rate limits, by replayed loads.

use coordination::limit::Observation;
use coordination::placement::{Affinity, Fleet, Listing, Outcome, Query, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Length of one step of a replay, in milliseconds.
const STEP_MS: u64 = 10;

/// Interval at which entries learn what the others observed, in milliseconds.
const RELAY_MS: u64 = 200;

/// Time after the first announcement from which a limit must hold, in milliseconds.
const SETTLED_MS: u64 = 3_000;

/// Length of the intervals in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// A deployment under a constant load, whose servers all announce the same limit.
#[derive(Debug, Clone, Copy)]
struct Load {
    entries: usize,
    servers: usize,
    /// Limit of each server, in requests per second.
    limit: f64,
    /// Requests per second of all callers together.
    requests: f64,
    is_relayed: bool,
    /// Entry that all callers use from this time on, in milliseconds.
    shift_at: Option<u64>,
    end_at: u64,
    seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            entries: 8,
            servers: 4,
            limit: 7.1,
            requests: 200.0,
            is_relayed: true,
            shift_at: None,
            end_at: 20_000,
            seed: 1,
        }
    }
}

impl Load {
    /// Replays the load; returns the times of the requests that each server got.
    fn replay(&self) -> Vec<Vec<u64>> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut entries = self.fleets();
        let mut received: Vec<Vec<u64>> = vec![Vec::new(); self.servers];
        for now in (0..self.end_at).step_by(STEP_MS as usize) {
            let expected = self.requests * STEP_MS as f64 / 1_000.0;
            let count = expected as usize + usize::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                let at = rng.random_range(0..entries.len());
                let at = if self.shift_at.is_some_and(|shift| now >= shift) { 0 } else { at };
                let session = rng.random_range(0..1_000).to_string();
                let entry = &mut entries[at];
                let query = Query {
                    service: "model",
                    affinity: Affinity::Session(&session),
                    ..Query::default()
                };
                let Some(id) = entry.choose(now, &query).map(|server| server.id.clone()) else {
                    continue;
                };
                entry.begin(now, &id);
                received[id[1..].parse::<usize>().unwrap()].push(now);
                entry.observe_limit(&id, Observation { per_second: Some(self.limit), at: now });
                entry.finish(now, &id, Outcome::Answered);
            }
            if self.is_relayed && now % RELAY_MS == 0 {
                relay(&mut entries, now);
            }
        }
        received
    }

    fn fleets(&self) -> Vec<Fleet> {
        let listing = |n| Listing {
            id: format!("s{n}"),
            service: "model".into(),
            address: format!("s{n}:80"),
            failure_domain: "a".into(),
            slots: 16,
            is_draining: false,
            software_version: "v1".into(),
        };
        let names: Vec<String> = (0..self.entries).map(|n| format!("e{n}")).collect();
        let fleet = |name: &String| {
            let mut fleet = Fleet::new(Settings::default(), "a", name);
            fleet.update(0, (0..self.servers).map(listing).collect());
            fleet.set_sharers(0, names.iter().map(String::as_str));
            fleet
        };
        names.iter().map(fleet).collect()
    }
}

/// Sends what each entry observed to all others.
fn relay(entries: &mut [Fleet], now: u64) {
    let reports: Vec<_> = entries.iter().map(|entry| entry.local_limits(now)).collect();
    for (at, entry) in entries.iter_mut().enumerate() {
        let others = reports.iter().enumerate().filter(|(other, _)| *other != at);
        for (id, seen) in others.flat_map(|(_, reports)| reports) {
            entry.observe_relayed_limit(id, *seen, now);
        }
    }
}

/// Returns the largest number of requests in one window after the limit has settled.
fn busiest_window(received: &[u64]) -> usize {
    let settled: Vec<u64> = received.iter().copied().filter(|time| *time >= SETTLED_MS).collect();
    let requests = |start: &u64| {
        settled.iter().filter(|time| (*start..start + WINDOW_MS).contains(time)).count()
    };
    settled.iter().map(requests).max().unwrap_or(0)
}

#[test]
fn instances_that_each_obey_a_limit_exceed_it_together() {
    for (entries, limit) in
        [(1, 7.1), (3, 30.0), (8, 7.1), (8, 0.4), (8, 0.0), (72, 4.0), (72, 0.4)]
    {
        for is_relayed in [false, true] {
            for seed in 1..=3 {
                let load = Load { entries, limit, is_relayed, seed, ..Load::default() };
                let allowed = (1.5 * limit * 4.0 + 5.0) as usize;
                for received in load.replay() {
                    let requests = busiest_window(&received);
                    assert!(requests <= allowed, "{requests} of {allowed} requests, {load:?}");
                }
            }
        }
    }
}

#[test]
fn the_limits_are_used_if_all_servers_have_one() {
    for (entries, limit) in [(3, 30.0), (8, 7.1), (72, 4.0)] {
        let requests = 100.0 * entries as f64;
        let load = Load { entries, limit, requests, ..Load::default() };
        let settled = (load.end_at - SETTLED_MS) as f64 / 1_000.0;
        for received in load.replay() {
            let requests = received.iter().filter(|time| **time >= SETTLED_MS).count() as f64;
            let used = requests / (limit * settled);
            assert!(used >= 0.8, "{used:.2} of the limit was used, {load:?}");
        }
    }
}

/// Two entries and one server, whose limit is held by one of them alone.
fn single_holder() -> (Vec<Fleet>, usize) {
    let mut entries = Load { entries: 2, servers: 1, limit: 0.5, ..Load::default() }.fleets();
    for entry in &mut entries {
        entry.observe_limit("s0", Observation { per_second: Some(0.5), at: 0 });
    }
    let holder = entries.iter().position(|entry| is_available(entry, 2_000)).unwrap();
    assert!(!is_available(&entries[1 - holder], 2_000));
    (entries, holder)
}

fn is_available(entry: &Fleet, now: u64) -> bool {
    entry.get("s0").unwrap().is_available(now)
}

#[test]
fn instance_without_a_share_keeps_a_limit_that_has_ended() {
    let (mut entries, holder) = single_holder();
    entries[holder].observe_limit("s0", Observation { per_second: None, at: 2_000 });
    assert!(!is_available(&entries[1 - holder], 2_200));
    relay(&mut entries, 2_200);
    assert!(is_available(&entries[1 - holder], 2_200));
    assert!(is_available(&entries[holder], 2_200));
}

#[test]
fn limit_outlives_every_response_that_announced_it() {
    let (entries, holder) = single_holder();
    // The holder may find out first, within the time of one request at the limit.
    assert!(!is_available(&entries[1 - holder], 16_900));
    assert!(is_available(&entries[1 - holder], 17_100));
}

#[test]
fn older_relayed_observation_replaces_a_newer_local_one() {
    let (mut entries, holder) = single_holder();
    let entry = &mut entries[holder];
    entry.observe_limit("s0", Observation { per_second: None, at: 2_000 });
    let stale = Observation { per_second: Some(0.5), at: 1_900 };
    assert_eq!(entry.observe_relayed_limit("s0", stale, 2_300), None);
    assert_eq!(entry.get("s0").unwrap().limit.per_second(2_300), None);
    let newer = Observation { per_second: Some(0.5), at: 2_900 };
    assert_eq!(entry.observe_relayed_limit("s0", newer, 3_000), Some(None));
}

#[test]
fn restarted_control_instance_hands_the_shares_of_all_to_a_few() {
    let mut entries = Load::default().fleets();
    let entry = &mut entries[0];
    entry.observe_limit("s0", Observation { per_second: Some(8.0), at: 0 });
    // The permits of one second, after those that were saved up, show the share.
    let per_second = |entry: &Fleet, from: u64| {
        let mut entry = entry.clone();
        while is_available(&entry, from) {
            entry.begin(from, "s0");
        }
        let take = |now: &u64| {
            let is_available = is_available(&entry, *now);
            if is_available {
                entry.begin(*now, "s0");
            }
            is_available
        };
        (from..from + 1_050).filter(take).count()
    };
    assert_eq!(per_second(entry, 1_000), 1);
    entry.set_sharers(1_000, ["e0"].into_iter());
    assert_eq!(per_second(entry, 1_500), 1, "the others are absent only briefly");
    entry.expire_sharers(4_500);
    assert_eq!(per_second(entry, 4_500), 8, "the others are gone");
}
