//! Replays of load on servers that differ in pace, and of prompts that share parts.

use coordination::pace::Step;
use coordination::placement::{Affinity, Fleet, Listing, Outcome, Query, Settings};
use state::collections::Map;
use std::collections::VecDeque;

const SERVERS: usize = 12;

fn listed(number: usize) -> Listing {
    Listing {
        id: format!("s{number}"),
        service: "model".into(),
        address: format!("s{number}:80"),
        failure_domain: "a".into(),
        slots: 12,
        software_version: "v1".into(),
        ..Listing::default()
    }
}

fn fleets(count: usize, settings: &Settings) -> Vec<Fleet> {
    let fleet = |number: usize| {
        let mut fleet = Fleet::new(settings.clone(), "a", &format!("e{number}"));
        fleet.update(0, (0..SERVERS).map(listed).collect());
        fleet
    };
    (0..count).map(fleet).collect()
}

/// A quarter of the servers takes 18 ms an event, the others 40.
fn micros(server: &str) -> u64 {
    let number: usize = server[1..].parse().unwrap();
    if number.is_multiple_of(4) { 18_000 } else { 40_000 }
}

fn paces() -> Vec<(String, Step)> {
    (0..SERVERS).map(|n| format!("s{n}")).map(|id| (id.clone(), Step::new(micros(&id)))).collect()
}

/// Requests that were sent to each server: programs of one turn with ten events begin each 30 ms at one of 20 instances, which
/// hear of each other's loads every 300 ms.
fn replay(settings: &Settings, paces: &[(String, Step)], prompts: u64) -> Vec<(String, u64)> {
    let mut fleets = fleets(20, settings);
    fleets.iter_mut().for_each(|fleet| fleet.set_paces(paces));
    let mut running: VecDeque<(u64, usize, String)> = VecDeque::new();
    let mut sent = Vec::new();
    for number in 0..1_000_u64 {
        let now = number * 30;
        let ended = |(end, _, _): &(u64, usize, String)| *end <= now;
        for (_, entry, server) in running.iter().filter(|run| ended(run)) {
            fleets[*entry].finish(now, server, Outcome::Answered);
        }
        running.retain(|run| !ended(run));
        if number.is_multiple_of(10) {
            let mut sums: Map<String, u32> = Map::default();
            let loads: Vec<Vec<(String, u32)>> = fleets.iter().map(Fleet::local_loads).collect();
            for (server, load) in loads.iter().flatten() {
                *sums.entry(server.clone()).or_default() += load;
            }
            for (fleet, own) in fleets.iter_mut().zip(&loads) {
                let mut others = sums.clone();
                for (server, load) in own {
                    *others.entry(server.clone()).or_default() -= load;
                }
                fleet.set_remote_loads(now, &others.into_iter().collect::<Vec<_>>());
            }
        }
        let entry = (number * 7 % 20) as usize;
        let (session, prompt) = (format!("p{number}"), number % prompts);
        let query = Query {
            service: "model",
            affinity: Affinity::Session(&session),
            shared_prompt: (prompts > 1).then_some(prompt),
            is_new: true,
            ..Query::default()
        };
        let server = fleets[entry].choose(now, &query).unwrap().id.clone();
        fleets[entry].begin(now, &server);
        running.push_back((now + 10 * micros(&server) / 1_000, entry, server.clone()));
        sent.push((server, prompt));
    }
    sent
}

fn share_on_fast(sent: &[(String, u64)]) -> f64 {
    let on_fast = sent.iter().filter(|(server, _)| micros(server) == 18_000).count();
    on_fast as f64 / sent.len() as f64
}

#[test]
fn fast_servers_get_most_programs_while_they_have_room() {
    let settings = Settings::default();
    let plain = share_on_fast(&replay(&settings, &[], 1));
    let weighted = share_on_fast(&replay(&settings, &paces(), 1));
    assert!(plain < 0.35, "without paces {plain}");
    assert!(weighted > 0.7, "with paces {weighted}");
}

#[test]
fn servers_without_known_paces_are_chosen_as_before() {
    let settings = Settings::default();
    let same: Vec<(String, Step)> = (0..SERVERS).map(|n| (format!("s{n}"), Step(42))).collect();
    assert_eq!(replay(&settings, &[], 1), replay(&settings, &same, 1));
}

#[test]
fn most_programs_with_a_shared_prompt_reach_a_third_of_the_servers() {
    let held = |settings: &Settings| {
        let mut by_prompt: Map<u64, Map<String, usize>> = Map::default();
        for (server, prompt) in replay(settings, &[], 16) {
            *by_prompt.entry(prompt).or_default().entry(server).or_default() += 1;
        }
        let top = |counts: &Map<String, usize>| {
            let mut counts: Vec<usize> = counts.values().copied().collect();
            counts.sort_unstable();
            counts.iter().rev().take(SERVERS / 3).sum::<usize>()
        };
        by_prompt.values().map(top).sum::<usize>() as f64 / 1_000.0
    };
    let plain = held(&Settings { holder_weight: 1, ..Settings::default() });
    let preferred = held(&Settings::default());
    assert!(plain < 0.55, "without the preference {plain}");
    assert!(preferred > 0.65, "with it {preferred}");
}
