//! Tests of the registry: configuration versions and initial members.

use state::registry::{Command, Document, Registry, Reply, Voter};

fn put(registry: &mut Registry, version: u64, content: &[u8]) -> Reply {
    registry.execute(Command::Put(Document { version, content: content.to_vec() }))
}

#[test]
fn the_highest_version_is_in_force_in_any_order() {
    let mut registry = Registry::default();
    assert_eq!(put(&mut registry, 7, b"seven"), Reply::Done);
    assert_eq!(put(&mut registry, 3, b"three"), Reply::Superseded { version: 7 });
    assert_eq!(put(&mut registry, 9, b"nine"), Reply::Done);
    assert_eq!(registry.document.unwrap().content, b"nine");
}

#[test]
fn other_content_with_the_version_in_force_changes_nothing() {
    let mut registry = Registry::default();
    put(&mut registry, 7, b"seven");
    let revision = registry.revision;
    assert_eq!(put(&mut registry, 7, b"other"), Reply::Superseded { version: 7 });
    assert_eq!(registry.document.as_ref().unwrap().content, b"seven");
    assert_eq!(registry.revision, revision);
}

#[test]
fn only_the_first_bootstrap_of_a_journal_has_an_effect() {
    let mut registry = Registry::default();
    let initial_members = |id| vec![Voter { id, address: format!("10.0.0.{id}:1") }];
    registry.execute(Command::Bootstrap { group: 1, initial_members: initial_members(1) });
    registry.execute(Command::Bootstrap { group: 1, initial_members: initial_members(2) });
    assert_eq!(registry.initial_members[&1], initial_members(1));
}
