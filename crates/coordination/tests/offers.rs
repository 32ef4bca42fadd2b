//! Tests of the choice of the control instance that the registry comes from.

use coordination::offers::Offers;

#[test]
fn a_transfer_stays_with_its_control_instance() {
    let mut offers = Offers::default();
    offers.record("a", 5, true, 0);
    assert_eq!(offers.source(4, None, 10).as_deref(), Some("a"));
    offers.record("b", 6, true, 20);
    assert_eq!(offers.source(4, Some("a"), 30).as_deref(), Some("a"));
    assert_eq!(
        offers.source(4, None, 30).as_deref(),
        Some("b"),
        "the newest revision is preferred"
    );
}

#[test]
fn a_transfer_moves_on_from_a_control_instance_that_does_not_respond() {
    let mut offers = Offers::default();
    offers.record("a", 5, true, 0);
    offers.record("b", 5, true, 0);
    let first = offers.source(4, None, 10).unwrap();
    offers.forget(&first);
    assert!(offers.source(4, Some(&first), 20).is_some_and(|second| second != first));
    // Heartbeat replies may get lost, too.
    assert_eq!(offers.source(4, None, 1_100), None);
}

#[test]
fn nothing_is_fetched_from_an_isolated_control_instance_without_a_newer_revision() {
    let mut offers = Offers::default();
    offers.record("isolated", 4, true, 0);
    assert_eq!(offers.source(4, Some("isolated"), 10), None);
    offers.record("other", 5, true, 10);
    assert_eq!(offers.source(4, Some("isolated"), 20).as_deref(), Some("other"));
}

#[test]
fn earlier_builds_are_asked_for_one_complete_registry_at_a_time() {
    let mut offers = Offers::default();
    let all = ["a", "b", "c", "d", "e"];
    let mut asked = 0;
    for now in (0..1_800).step_by(200) {
        all.iter().for_each(|address| offers.record(address, 5, false, now));
        asked += usize::from(offers.ask(4, now).is_some());
    }
    assert_eq!(asked, 2, "one for each timeout of a reply");
    offers.arrived();
    assert!(offers.ask(4, 1_800).is_some());
    assert_eq!(offers.ask(5, 9_000), None, "the registry is up to date");
}

#[test]
fn earlier_builds_are_not_asked_while_another_control_instance_serves_parts() {
    let mut offers = Offers::default();
    offers.record("earlier", 5, false, 0);
    offers.record("later", 5, true, 0);
    assert_eq!(offers.ask(4, 10), None);
    assert!(offers.serves_parts("later") && !offers.serves_parts("earlier"));
    offers.forget("later");
    assert_eq!(offers.ask(4, 20).as_deref(), Some("earlier"));
}
