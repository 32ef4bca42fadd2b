//! Tests of the lease on the configuration.

use coordination::authority::{Authority, Confirmation, lease_ms};

/// Time in which keys have to be refused, in milliseconds.
const REVOKE_MS: u64 = 5_000;

#[test]
fn lease_ends_before_keys_have_to_be_refused_and_outlasts_late_heartbeats() {
    // A lease counts from a time at which the key was still in force.
    assert!(lease_ms(REVOKE_MS) < REVOKE_MS);
    // A confirmation is up to a second old when it arrives; an entry that was cut off for 0.6 of the
    // time goes on.
    assert!(lease_ms(REVOKE_MS) > REVOKE_MS * 6 / 10 + 1_000);
}

#[test]
fn lease_counts_from_the_read_and_not_from_the_reply() {
    let length = lease_ms(REVOKE_MS);
    let mut authority = Authority::default();
    authority.apply(3);
    assert!(!authority.is_held(0, length));
    authority.receive(10_000, Confirmation { revision: 3, age_ms: 400 });
    assert_eq!(authority.age(10_100), Some(500));
    assert!(authority.is_held(9_600 + length - 1, length));
    assert!(!authority.is_held(9_600 + length, length));
    // A reply that was late, or passed on by another instance, doesn't shorten it.
    authority.receive(10_050, Confirmation { revision: 3, age_ms: 2_000 });
    assert_eq!(authority.age(10_100), Some(500));
}

#[test]
fn entry_that_lacks_the_confirmed_revision_keeps_only_its_earlier_lease() {
    let length = lease_ms(REVOKE_MS);
    let mut authority = Authority::default();
    authority.apply(3);
    authority.confirm(3, 1_000);
    for at in (1_500..9_000).step_by(500) {
        authority.confirm(4, at);
        assert!(authority.is_behind());
        assert_eq!(authority.is_held(at, length), at < 1_000 + length, "{at}");
    }
    // It holds one again as soon as it has the revision.
    authority.apply(4);
    assert!(!authority.is_behind());
    assert_eq!(authority.age(9_000), Some(500));
}

#[test]
fn entry_that_is_always_one_configuration_behind_keeps_its_lease() {
    let length = lease_ms(REVOKE_MS);
    let mut authority = Authority::default();
    for revision in 1..100 {
        let now = revision * 200;
        authority.confirm(revision, now);
        authority.apply(revision - 1);
        assert!(revision < 2 || authority.is_held(now, length), "{revision}");
    }
}

#[test]
fn no_order_of_messages_extends_a_lease_beyond_the_revision_that_it_is_on() {
    let length = lease_ms(REVOKE_MS);
    // Revision 2 takes a key away and is acknowledged at 1,000. Confirmations begun before may name
    // revision 1, later ones name 2.
    let confirmations = [(1, 400), (1, 999), (2, 1_001), (2, 3_000)];
    for first in 0..4 {
        for second in 0..4 {
            for third in 0..4 {
                let mut authority = Authority::default();
                authority.apply(1);
                for index in [first, second, third] {
                    let (revision, at) = confirmations[index];
                    authority.confirm(revision, at);
                }
                assert!(!authority.is_held(1_000 + REVOKE_MS, length));
            }
        }
    }
}

#[test]
fn control_instance_passes_on_what_it_received_with_its_age() {
    let mut follower = Authority::default();
    assert_eq!(follower.relay(5), None);
    follower.receive(1_000, Confirmation { revision: 7, age_ms: 300 });
    assert_eq!(follower.relay(1_500), Some(Confirmation { revision: 7, age_ms: 800 }));
    // An older one that arrives later doesn't replace it.
    follower.receive(1_100, Confirmation { revision: 6, age_ms: 0 });
    assert_eq!(follower.relay(1_500), Some(Confirmation { revision: 7, age_ms: 800 }));
}
