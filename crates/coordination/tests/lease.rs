//! Tests of leases and of the control leader's lease registry.

use coordination::lease::{Lease, Registry, Settings};
use state::control::{Command, Control, Reply, Snapshot};
use state::id::Holder;

const SETTINGS: Settings = Settings { length_ms: 1_000, renew_ms: 200, margin_ms: 100 };

fn holder(instance: &str, epoch: u64) -> Holder {
    Holder { instance: instance.into(), epoch }
}

/// A control state with the instances `names` registered, and their lease holders.
fn snapshot(names: &[&str]) -> (Snapshot, Vec<Holder>) {
    let mut control = Control::default();
    let holders = names.iter().map(|name| {
        let register = Command::Register {
            instance: (*name).to_owned(),
            nonce: 1,
            address: String::new(),
            failure_domain: String::new(),
        };
        let Reply::Registered { epoch } = control.execute(register) else { panic!() };
        holder(name, epoch)
    });
    let holders = holders.collect();
    (control.snapshot().clone(), holders)
}

#[test]
fn a_lease_expires_at_its_holder_before_it_expires_at_the_leader() {
    let mut lease = Lease::default();
    let mut registry = Registry::new(SETTINGS, 0);
    let (_, holders) = snapshot(&["a"]);
    // Sent at 5,000, granted at 5,050.
    registry.grant(5_050, &holders[0], 1, 1);
    lease.renew(holders[0].clone(), 5_000, SETTINGS.length_ms);
    assert!(lease.valid_holder(5_999).is_some());
    assert!(lease.valid_holder(6_000).is_none());
    assert!(!registry.is_expired(6_100, &holders[0]));
    assert!(registry.is_expired(6_150, &holders[0]));
}

#[test]
fn a_new_leader_waits_for_unknown_leases_to_expire() {
    let (snapshot, holders) = snapshot(&["a"]);
    let mut registry = Registry::new(SETTINGS, 10_000);
    assert!(!registry.is_expired(11_099, &holders[0]));
    assert_eq!(registry.in_force(11_099, &snapshot), 0);
    assert!(registry.overdue(10_000, &snapshot).is_empty());
    assert_eq!(registry.overdue(11_100, &snapshot), holders);
}

#[test]
fn a_version_is_in_force_once_all_acknowledge_it_or_cannot_dispatch() {
    let (snapshot, holders) = snapshot(&["a", "b"]);
    let version = snapshot.version;
    let mut registry = Registry::new(SETTINGS, 0);
    registry.grant(5_000, &holders[0], version, version);
    registry.grant(5_000, &holders[1], version - 1, version - 1);
    assert_eq!(registry.in_force(5_500, &snapshot), version - 1);
    // A grant carries the newer version to b, but may be lost in transit.
    registry.grant(5_600, &holders[1], version - 1, version);
    assert_eq!(registry.in_force(6_099, &snapshot), version - 1);
    assert_eq!(registry.in_force(6_100, &snapshot), version, "the old grant has expired");
}

#[test]
fn an_instance_that_never_acknowledges_loses_its_lease() {
    let (_, holders) = snapshot(&["a"]);
    let mut registry = Registry::new(SETTINGS, 0);
    let granted: Vec<bool> =
        (0..12).map(|at| registry.grant(5_000 + at * 200, &holders[0], 1, 2)).collect();
    assert_eq!(granted.iter().filter(|granted| **granted).count(), 6, "{granted:?}");
}

#[test]
fn a_released_lease_expires_at_once() {
    let (snapshot, holders) = snapshot(&["a"]);
    let mut registry = Registry::new(SETTINGS, 0);
    registry.grant(5_000, &holders[0], 1, 1);
    assert!(registry.overdue(5_001, &snapshot).is_empty());
    registry.release(&holders[0]);
    assert_eq!(registry.overdue(5_001, &snapshot), holders);
}

#[test]
fn a_newly_registered_incarnation_has_time_for_its_first_renewal() {
    let (snapshot, holders) = snapshot(&["a"]);
    let mut registry = Registry::new(SETTINGS, 0);
    assert!(registry.overdue(9_000, &snapshot).is_empty());
    assert!(registry.overdue(10_099, &snapshot).is_empty());
    assert_eq!(registry.overdue(10_100, &snapshot), holders);
}

#[test]
fn a_new_incarnation_does_not_inherit_the_old_lease() {
    let mut lease = Lease::default();
    lease.renew(holder("a", 1), 0, 1_000);
    lease.renew(holder("a", 2), 0, 10);
    assert!(lease.valid_holder(500).is_none());
}
