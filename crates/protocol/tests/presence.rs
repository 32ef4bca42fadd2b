//! Tests of the backend server list and the roster that control instances relay.

use coordination::placement::Listing;
use protocol::presence::{Effect, Entry, Relay, Roster, Update};

fn listing(id: u32, is_draining: bool) -> Listing {
    Listing {
        id: format!("s{id}"),
        service: "model".into(),
        address: format!("10.0.0.{id}:80"),
        failure_domain: "a".into(),
        slots: 4,
        is_draining,
        software_version: "v1".into(),
    }
}

fn sorted(mut servers: Vec<Listing>) -> Vec<Listing> {
    servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    servers
}

#[test]
fn delta_transforms_any_list_into_any_other() {
    let lists = [
        vec![],
        vec![listing(1, false), listing(2, false), listing(3, false)],
        vec![listing(1, false), listing(2, true), listing(4, false)],
        vec![listing(9, false)],
    ];
    for old in &lists {
        for new in &lists {
            let delta = Update::delta(7, old, new);
            let applied = delta.apply(Some((7, old.as_slice()))).unwrap();
            assert_eq!(sorted(applied), *new, "from {old:?}");
        }
    }
}

#[test]
fn delta_contains_only_changes_and_applies_only_to_its_base() {
    let old: Vec<Listing> = (0..100).map(|id| listing(id, false)).collect();
    let mut new = old.clone();
    new[5].is_draining = true;
    new.remove(9);
    let delta = Update::delta(7, &old, &new);
    let Update::Delta { removed, upserted, .. } = &delta else {
        panic!("{delta:?}");
    };
    assert_eq!(
        (removed.as_slice(), upserted.as_slice()),
        (&["s9".to_owned()][..], &[listing(5, true)][..])
    );
    assert_eq!(delta.clone().apply(Some((8, old.as_slice()))), None);
    assert_eq!(delta.apply(None), None);
}

#[test]
fn list_is_dropped_when_a_second_instance_relays_the_same_change() {
    let old = vec![listing(1, false), listing(2, false)];
    let new = vec![listing(1, false), listing(2, true)];
    let newest = vec![listing(1, false)];
    let relay = |digest, servers| Relay { digest, age_ms: 5, servers: Some(servers) };
    let change = relay(8, Update::delta(7, &old, &new));
    assert_eq!(change.clone().effect(Some((7, &old))), Effect::Replaced(new.clone()));
    assert_eq!(change.clone().effect(Some((8, &new))), Effect::Confirmed);
    assert_eq!(relay(8, Update::Full(new.clone())).effect(Some((8, &new))), Effect::Confirmed);
    assert_eq!(change.clone().effect(Some((9, &newest))), Effect::Inapplicable);
    assert_eq!(change.effect(None), Effect::Inapplicable);
    let unchanged = Relay { digest: 8, age_ms: 5, servers: None };
    assert_eq!(unchanged.clone().effect(Some((8, &new))), Effect::Confirmed);
    assert_eq!(unchanged.effect(Some((7, &old))), Effect::Inapplicable);
}

#[test]
fn callers_get_entries_of_their_failure_domain_if_it_has_two() {
    let entry = |domain: &str, address: &str| Entry {
        failure_domain: domain.to_owned(),
        address: address.to_owned(),
        ..Entry::default()
    };
    let entries = vec![entry("a", "a1"), entry("b", "b1"), entry("a", "a2")];
    let roster = Roster { digest: 1, entries };
    assert_eq!(roster.near("a"), ["a1", "a2"]);
    assert_eq!(roster.near("b"), ["a1", "b1", "a2"]);
    assert_eq!(roster.near("elsewhere"), ["a1", "b1", "a2"]);
}

#[test]
fn an_entry_forwards_requests_to_itself_or_to_one_without_backend_servers() {
    let entry = |relay: &str, is_partitioned| Entry {
        relay: Some(relay.to_owned()),
        is_partitioned,
        ..Entry::default()
    };
    let without_relay = Entry::default();
    let entries = vec![entry("r1", false), entry("r2", true), without_relay, entry("r3", false)];
    let roster = Roster { digest: 1, entries };
    assert_eq!(roster.relays(Some("r1")), ["r3"]);
    assert_eq!(roster.relays(None), ["r1", "r3"]);
}
