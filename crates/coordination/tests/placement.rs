//! Tests of the placement of requests on backend servers.

use coordination::placement::{Affinity, Fleet, Listing, Outcome, Query, Settings};
use coordination::routing;
use coordination::versions::Settled;
use state::collections::Map;
use std::collections::VecDeque;

fn listed(id: &str, domain: &str) -> Listing {
    Listing {
        id: id.into(),
        service: "model".into(),
        address: format!("{id}:80"),
        failure_domain: domain.into(),
        slots: 4,
        is_draining: false,
        software_version: "v1".into(),
    }
}

fn fleet(servers: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet::new(Settings::default(), "a", "e1");
    fleet.update(0, servers.iter().map(|(id, domain)| listed(id, domain)).collect());
    fleet
}

fn choose(fleet: &Fleet, now: u64, session: Option<&str>) -> Option<String> {
    let affinity = session.map_or(Affinity::None, Affinity::Session);
    let query = Query { service: "model", affinity, ..Query::default() };
    fleet.choose(now, &query).map(|listed| listed.id.clone())
}

fn choose_with_last(fleet: &Fleet, last_server: &str) -> String {
    let query = Query {
        service: "model",
        affinity: Affinity::Session("p"),
        last_server: Some(last_server),
        ..Query::default()
    };
    fleet.choose(0, &query).unwrap().id.clone()
}

#[test]
fn a_program_stays_on_its_last_server_until_that_is_overloaded() {
    let mut fleet = fleet(&[("s1", "a"), ("s2", "a"), ("s3", "b")]);
    for last_server in ["s1", "s2", "s3"] {
        for _ in 0..8 {
            assert_eq!(choose_with_last(&fleet, last_server), last_server);
            fleet.begin(0, last_server);
        }
        assert_ne!(
            choose_with_last(&fleet, last_server),
            last_server,
            "eight requests on four slots"
        );
        (0..8).for_each(|_| fleet.finish(0, last_server, Outcome::Answered));
    }
    assert_ne!(choose_with_last(&fleet, "gone"), "gone");
}

#[test]
fn a_new_session_goes_to_the_less_loaded_of_its_two_servers() {
    let mut fleet = fleet(&[("s1", "a"), ("s2", "a"), ("s3", "a")]);
    let first = choose(&fleet, 0, Some("session")).unwrap();
    assert_eq!(choose(&fleet, 0, Some("session")).unwrap(), first);
    fleet.begin(0, &first);
    let second = choose(&fleet, 0, Some("session")).unwrap();
    assert_ne!(second, first);
    (0..2).for_each(|_| fleet.begin(0, &second));
    assert_eq!(choose(&fleet, 0, Some("session")).unwrap(), first, "the third is not considered");
}

#[test]
fn requests_of_other_instances_count_as_load() {
    let mut fleet = fleet(&[("s1", "a"), ("s2", "a"), ("s3", "a")]);
    let first = choose(&fleet, 0, Some("session")).unwrap();
    fleet.set_remote_loads(0, &[(first.clone(), 3), ("unknown".into(), 9)]);
    assert_ne!(choose(&fleet, 0, Some("session")).unwrap(), first);
    assert_ne!(choose(&fleet, 0, None).unwrap(), first);
    fleet.set_remote_loads(0, &[]);
    assert_eq!(choose(&fleet, 0, Some("session")).unwrap(), first);
    fleet.begin(0, &first);
    assert_eq!(fleet.local_loads(), [(first, 1)]);
}

/// Number of requests placed on a full server, in eight bursts of sessions over four entries.
fn overflow(is_shared: bool, requests: usize) -> u32 {
    (0..8).map(|burst| overflow_of(burst, is_shared, requests)).sum()
}

/// One burst of [`overflow`]; the slots of the six servers are 48 in total.
fn overflow_of(burst: usize, is_shared: bool, requests: usize) -> u32 {
    let names: Vec<String> = (0..6).map(|n| format!("s{n}")).collect();
    let list: Vec<Listing> =
        names.iter().map(|id| Listing { slots: 8, ..listed(id, "a") }).collect();
    let mut entries: Vec<Fleet> =
        (0..4).map(|_| Fleet::new(Settings::default(), "a", "e1")).collect();
    entries.iter_mut().for_each(|entry| drop(entry.update(0, list.clone())));
    let mut overflows = 0;
    for request in 0..requests {
        let at = request % 4;
        let session = format!("session-{burst}-{request}");
        let id = choose(&entries[at], 0, Some(&session)).unwrap();
        let load: u32 = entries.iter().map(|e| e.get(&id).unwrap().outstanding).sum();
        overflows += u32::from(load >= 8);
        entries[at].begin(0, &id);
        // The entries exchange their loads after every eighth request.
        if is_shared && request % 8 == 7 {
            let loads: Vec<Vec<(String, u32)>> = entries.iter().map(Fleet::local_loads).collect();
            for (local, entry) in entries.iter_mut().enumerate() {
                let mut sums: Vec<(String, u32)> = names.iter().map(|n| (n.clone(), 0)).collect();
                let others = loads.iter().enumerate().filter(|(other, _)| *other != local);
                for (id, load) in others.flat_map(|(_, loads)| loads) {
                    sums.iter_mut().filter(|(name, _)| name == id).for_each(|(_, s)| *s += load);
                }
                entry.set_remote_loads(0, &sums);
            }
        }
    }
    overflows
}

#[test]
fn fewer_requests_of_a_burst_reach_full_servers_if_loads_are_shared() {
    // Of the 48 slots, 44 requests leave four free and 40 leave eight.
    let (alone, shared) = (overflow(false, 44), overflow(true, 44));
    assert!(shared < alone, "{shared} requests reached a full server, {alone} without sharing");
    let shared = overflow(true, 40);
    assert!(shared <= 8, "{shared} requests reached a full server in eight bursts");
}

#[test]
fn the_local_failure_domain_is_preferred_until_clearly_more_loaded() {
    let mut fleet = fleet(&[("near", "a"), ("far", "b")]);
    for _ in 0..3 {
        assert_eq!(choose(&fleet, 0, None).unwrap(), "near");
        fleet.begin(0, "near");
    }
    assert_eq!(choose(&fleet, 0, None).unwrap(), "far", "three of four slots are in use");
    (0..3).for_each(|_| fleet.begin(0, "far"));
    assert_eq!(choose(&fleet, 0, None).unwrap(), "near");
}

#[test]
fn draining_suspended_and_attempted_servers_are_not_chosen() {
    let mut fleet = fleet(&[("s1", "a"), ("s2", "a")]);
    fleet.update(0, vec![Listing { is_draining: true, ..listed("s1", "a") }, listed("s2", "a")]);
    assert_eq!(choose(&fleet, 0, None).unwrap(), "s2");
    fleet.begin(0, "s2");
    fleet.finish(0, "s2", Outcome::Failed);
    assert_eq!(choose(&fleet, 0, None), None);
    assert_eq!(choose(&fleet, 1_000, None).unwrap(), "s2");
    let attempted = ["s2".to_owned()];
    let query = Query { service: "model", attempted: &attempted, ..Query::default() };
    assert!(fleet.choose(1_000, &query).is_none());
}

#[test]
fn a_server_that_fails_repeatedly_is_suspended_for_longer() {
    let mut fleet = fleet(&[("s1", "a")]);
    fleet.finish(0, "s1", Outcome::Failed);
    assert_eq!(choose(&fleet, 300, None).unwrap(), "s1");
    fleet.finish(300, "s1", Outcome::Failed);
    assert_eq!(choose(&fleet, 600, None), None);
    fleet.finish(900, "s1", Outcome::Answered);
    fleet.finish(900, "s1", Outcome::Failed);
    assert_eq!(choose(&fleet, 1_200, None).unwrap(), "s1");
}

#[test]
fn a_server_at_a_new_address_starts_with_fresh_state() {
    let mut fleet = fleet(&[("s1", "a")]);
    fleet.begin(0, "s1");
    fleet.finish(0, "s1", Outcome::Gone);
    fleet.update(10, vec![Listing { address: "elsewhere:80".into(), ..listed("s1", "a") }]);
    assert_eq!(choose(&fleet, 10, None).unwrap(), "s1");
}

#[test]
fn stale_loads_of_other_instances_keep_all_requests_from_a_server() {
    let mut fleet = fleet(&[("s1", "a")]);
    fleet.set_remote_loads(0, &[("s1".into(), 9)]);
    assert_eq!(choose(&fleet, 1_000, None), None, "nine requests on four slots");
    assert_eq!(choose(&fleet, 2_000, None).unwrap(), "s1", "no report for two seconds");
}

#[test]
fn requests_beyond_the_slots_wait_on_the_server_instead_of_the_entry() {
    let mut fleet = fleet(&[("s1", "a")]);
    let room =
        |fleet: &Fleet, query: Query<'_>| fleet.room(0, &Query { service: "model", ..query });
    assert_eq!(room(&fleet, Query { is_new: true, ..Query::default() }), 2);
    assert_eq!(room(&fleet, Query::default()), 5);
    assert_eq!(room(&fleet, Query { last_server: Some("s1"), ..Query::default() }), 8);
    (0..5).for_each(|_| fleet.begin(0, "s1"));
    assert_eq!(choose(&fleet, 0, None), None);
    assert_eq!(choose_with_last(&fleet, "s1"), "s1");
}

fn versioned(id: &str, software_version: &str) -> Listing {
    Listing { software_version: software_version.into(), ..listed(id, "a") }
}

#[test]
fn a_stream_is_placed_on_a_server_of_its_version_only() {
    let mut fleet = Fleet::new(Settings::default(), "a", "e1");
    fleet.update(0, vec![versioned("s1", "v1"), versioned("s2", "v2"), versioned("s3", "v2")]);
    let query = |software_version| Query { service: "model", software_version, ..Query::default() };
    for _ in 0..4 {
        assert_eq!(fleet.choose(0, &query(Some("v1"))).unwrap().id, "s1");
        fleet.begin(0, "s1");
    }
    assert_eq!(fleet.choose(0, &query(Some("v1"))).unwrap().id, "s1", "up to 125 percent");
    fleet.begin(0, "s1");
    assert_eq!(fleet.choose(0, &query(Some("v1"))), None, "s1 is full");
    assert!(fleet.has_candidate(&query(Some("v1"))), "s1 will have room again");
    assert_eq!(fleet.versions(0, &query(None)), ["v2"]);
    fleet.update(1, vec![Listing { is_draining: true, ..versioned("s1", "v1") }]);
    assert!(!fleet.has_candidate(&query(Some("v1"))));
}

#[test]
fn what_another_instance_knows_of_versions_counts_from_its_first_list() {
    let settled = |version: &str| {
        let versions = vec![version.to_owned()];
        [Settled { service: "model".into(), versions, age_ms: 10_000 }]
    };
    let mut fleet = Fleet::new(Settings::default(), "a", "e1");
    fleet.extend_versions(500, &settled("v1"));
    fleet.update(500, vec![versioned("s1", "v1")]);
    assert_eq!(fleet.only_version(1_000, "model", 3_000), None, "known before the first list");
    fleet.extend_versions(1_000, &settled("v2"));
    assert_eq!(fleet.only_version(1_000, "model", 3_000), None, "of another version");
    fleet.extend_versions(1_000, &settled("v1"));
    assert_eq!(fleet.only_version(1_000, "model", 10_000), Some("v1"));
    assert_eq!(fleet.only_version(1_000, "model", 10_001), None);
    assert_eq!(fleet.only_version(1_500, "model", 10_500), Some("v1"));
    fleet.update(2_000, vec![versioned("s1", "v2")]);
    fleet.extend_versions(2_000, &settled("v2"));
    assert_eq!(fleet.only_version(4_999, "model", 3_000), None, "after a change");
    assert_eq!(fleet.only_version(5_000, "model", 3_000), Some("v2"));
}

#[test]
fn a_service_has_one_version_once_the_others_are_gone_for_some_time() {
    let mut fleet = Fleet::new(Settings::default(), "a", "e1");
    assert_eq!(fleet.only_version(0, "model", 3_000), None);
    fleet.update(0, vec![versioned("s1", "v1")]);
    assert_eq!(fleet.only_version(2_999, "model", 3_000), None, "before the first list");
    assert_eq!(fleet.only_version(3_000, "model", 3_000), Some("v1"));
    fleet.update(5_000, vec![versioned("s1", "v1"), versioned("s2", "v2")]);
    assert_eq!(fleet.only_version(9_000, "model", 3_000), None);
    fleet.update(10_000, vec![versioned("s2", "v2")]);
    fleet.update(11_000, vec![versioned("s2", "v2"), versioned("s3", "v2")]);
    assert_eq!(fleet.only_version(12_999, "model", 3_000), None);
    assert_eq!(fleet.only_version(13_000, "model", 3_000), Some("v2"));
    fleet.update(20_000, Vec::new());
    fleet.update(21_000, vec![versioned("s4", "v3")]);
    assert_eq!(fleet.only_version(22_000, "model", 3_000), None, "after a list without servers");
}

#[test]
fn a_stream_is_taken_up_by_a_suspended_server_if_no_other_one_can() {
    let mut fleet = Fleet::new(Settings::default(), "a", "e1");
    fleet.update(0, vec![versioned("s1", "v1"), versioned("s2", "v1"), versioned("s3", "v2")]);
    let query = |is_resumption| Query {
        service: "model",
        software_version: Some("v1"),
        is_resumption,
        ..Query::default()
    };
    fleet.begin(0, "s1");
    fleet.finish(0, "s1", Outcome::Failed);
    assert_eq!(fleet.choose(0, &query(true)).unwrap().id, "s2");
    fleet.begin(0, "s2");
    fleet.finish(0, "s2", Outcome::Failed);
    assert!(fleet.choose(0, &query(true)).is_some());
    assert_eq!(fleet.choose(0, &query(false)), None, "a new stream can go to another version");
    let any = Query { service: "model", ..Query::default() };
    assert_eq!(fleet.versions(0, &any), ["v2"]);
}

#[test]
fn new_programs_are_kept_from_servers_with_many_slots_like_from_those_with_few() {
    for (slots, for_new) in [(1, 1), (4, 2), (8, 4), (12, 7), (16, 10), (32, 24), (128, 112)] {
        let mut fleet = Fleet::new(Settings::default(), "a", "e1");
        fleet.update(0, vec![Listing { slots, ..listed("s1", "a") }]);
        let query = Query { service: "model", is_new: true, ..Query::default() };
        assert_eq!(fleet.room(0, &query), for_new, "{slots} slots");
    }
}

#[test]
fn server_that_announced_that_it_leaves_is_chosen() {
    let mut fleet = fleet(&[("s1", "a"), ("s2", "a")]);
    assert!(fleet.announce_leaving("s1").is_some_and(|listed| listed.id == "s1"));
    assert!(fleet.announce_leaving("s1").is_none(), "known");
    assert!(fleet.announce_leaving("absent").is_none());
    for session in 0..20 {
        let chosen = choose(&fleet, 0, Some(&format!("p{session}")));
        assert_eq!(chosen.as_deref(), Some("s2"));
    }
    assert_eq!(choose_with_last(&fleet, "s1"), "s2");
    // The list goes on to show it as ready.
    fleet.update(1_000, vec![listed("s1", "a"), listed("s2", "a")]);
    assert_eq!(choose_with_last(&fleet, "s1"), "s2");
    fleet.announce_leaving("s2");
    assert_eq!(choose(&fleet, 1_000, None), None);
    assert_eq!(fleet.leaving_counts(), (0, 2));
}

#[test]
fn next_run_of_a_server_that_left_is_not_chosen() {
    let draining = || vec![Listing { is_draining: true, ..listed("s1", "a") }];
    let moved = || vec![Listing { address: "s1:81".into(), ..listed("s1", "a") }];
    for lists in [vec![draining()], vec![Vec::new()], vec![moved()]] {
        let mut fleet = fleet(&[("s1", "a")]);
        fleet.announce_leaving("s1");
        for list in lists {
            fleet.update(1_000, list);
        }
        if fleet.get("s1").is_none_or(|server| server.listed.address == "s1:80") {
            fleet.update(2_000, vec![listed("s1", "a")]);
        }
        assert_eq!(choose(&fleet, 2_000, None).as_deref(), Some("s1"));
    }
}

/// Another writer may use the id of a server in an entry of its own.
#[test]
fn entry_with_the_id_of_a_server_takes_its_place() {
    let other = |service: &str| Listing {
        service: service.into(),
        address: "other:80".into(),
        ..listed("s1", "a")
    };
    for service in ["tools", "model"] {
        for list in
            [vec![listed("s1", "a"), other(service)], vec![other(service), listed("s1", "a")]]
        {
            let mut fleet = fleet(&[("s1", "a")]);
            fleet.update(1_000, list);
            let query = Query { service: "model", ..Query::default() };
            assert_eq!(fleet.choose(1_000, &query), Some(&listed("s1", "a")), "{service}");
            assert_eq!(fleet.room(1_000, &query), 5, "{service}: counted once");
            let query = Query { service: "tools", ..Query::default() };
            assert_eq!(fleet.choose(1_000, &query), None, "{service}");
        }
    }
}

/// A fleet of `count` tools with 6 slots each in five failure domains, as an instance in `domain`
/// knows it.
fn tools(domain: &str, count: usize) -> Fleet {
    let domains = ["a", "b", "c", "d", "e"];
    let tool = |i: usize| Listing { slots: 6, ..listed(&format!("t{i}"), domains[i % 5]) };
    let mut fleet = Fleet::new(Settings::default(), domain, domain);
    fleet.update(0, (0..count).map(tool).collect());
    fleet
}

fn choose_for(fleet: &Fleet, object: u64) -> Option<String> {
    let affinity = Affinity::Object(object);
    let query = Query { service: "model", affinity, ..Query::default() };
    fleet.choose(0, &query).map(|listed| listed.id.clone())
}

fn digest_of(object: u64) -> u64 {
    routing::digest(&object.to_le_bytes())
}

#[test]
fn requests_about_an_object_reach_several_servers_from_several_instances() {
    let entries: Vec<Fleet> = ["a", "b", "e"].iter().map(|domain| tools(domain, 25)).collect();
    let mut used = Map::<String, usize>::default();
    for object in (0..4_000).map(digest_of) {
        let chosen: Vec<_> = entries.iter().map(|fleet| choose_for(fleet, object)).collect();
        assert!(chosen.iter().all(|server| *server == chosen[0]), "{chosen:?}");
        *used.entry(chosen[0].clone().unwrap()).or_default() += 1;
    }
    assert_eq!(used.len(), 25);
    let most = used.values().max().unwrap();
    assert!(*most < 2 * 4_000 / 25, "{most} of 4,000 objects on one of 25 servers");
}

#[test]
fn more_objects_move_than_those_of_the_servers_that_come_and_go() {
    let (before, after) = (tools("a", 24), tools("a", 25));
    let moved = |object: &u64| choose_for(&before, *object) != choose_for(&after, *object);
    for object in (0..4_000).map(digest_of).filter(moved) {
        assert_eq!(choose_for(&after, object).unwrap(), "t24", "moved between remaining servers");
    }
    let count = (0..4_000).map(digest_of).filter(moved).count();
    assert!(count < 2 * 4_000 / 25, "{count} of 4,000 objects moved");
}

#[test]
fn an_object_is_waited_for_at_a_server_that_cannot_take_it() {
    let object = digest_of(7);
    let hinder: [fn(&mut Fleet, &str); 3] = [
        |fleet, id| (0..5).for_each(|_| fleet.begin(0, id)),
        |fleet, id| {
            fleet.begin(0, id);
            fleet.finish(0, id, Outcome::Failed);
        },
        |fleet, id| assert!(fleet.announce_leaving(id).is_some()),
    ];
    for hinder in hinder {
        let mut entries = [tools("a", 25), tools("b", 25)];
        for _ in 0..3 {
            let first = choose_for(&entries[0], object).unwrap();
            entries.iter_mut().for_each(|fleet| hinder(fleet, &first));
            let next = choose_for(&entries[0], object).unwrap();
            assert_ne!(next, first);
            assert_eq!(choose_for(&entries[1], object).unwrap(), next);
        }
    }
}

/// Half of the requests are about one object; 60 of them are in progress at a time on 25 servers
/// with 6 slots each. Three instances place them and hear of each other's each tenth request.
#[test]
fn one_hot_object_fills_its_server_while_others_are_idle() {
    let mut entries = [tools("a", 25), tools("b", 25), tools("c", 25)];
    let mut in_progress = VecDeque::new();
    let mut crowded = 0;
    for number in 0..3_000_u64 {
        let at = (number % 3) as usize;
        let object = if number % 2 == 0 { 0 } else { number };
        let server = choose_for(&entries[at], digest_of(object)).unwrap();
        entries[at].begin(0, &server);
        in_progress.push_back((at, server.clone()));
        let load: u32 = entries.iter().map(|fleet| fleet.get(&server).unwrap().outstanding).sum();
        crowded += u32::from(load > 6);
        if in_progress.len() > 60 {
            let (at, server) = in_progress.pop_front().unwrap();
            entries[at].finish(0, &server, Outcome::Answered);
        }
        if number % 10 == 0 {
            let loads: Vec<_> = entries.iter().map(Fleet::local_loads).collect();
            for (at, fleet) in entries.iter_mut().enumerate() {
                let mut sums = Map::<String, u32>::default();
                let others = loads.iter().enumerate().filter(|(other, _)| *other != at);
                for (server, load) in others.flat_map(|(_, loads)| loads) {
                    *sums.entry(server.clone()).or_default() += load;
                }
                fleet.set_remote_loads(0, &sums.into_iter().collect::<Vec<_>>());
            }
        }
    }
    assert!(crowded < 3_000 / 50, "{crowded} of 3,000 requests were sent to a full server");
}
