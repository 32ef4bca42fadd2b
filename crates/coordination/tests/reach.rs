//! Tests of the judgement whether an instance reaches the backend servers.

use coordination::reach::{Cause, Reach};

fn check(reach: &mut Reach, now: u64, received: u64, busy: &[&str]) -> Option<Cause> {
    reach.check(now, received, busy.iter().copied())
}

#[test]
fn one_server_that_fails_or_is_silent_is_no_partition() {
    let mut reach = Reach::default();
    for now in (0..5_000).step_by(200) {
        reach.connection_failed("s1");
        assert_eq!(check(&mut reach, now, 7, &["s1"]), None);
    }
}

#[test]
fn servers_are_probed_after_connections_to_two_of_them_failed() {
    let mut reach = Reach::default();
    reach.connection_failed("s1");
    reach.connection_opened();
    reach.connection_failed("s2");
    assert_eq!(check(&mut reach, 1, 0, &[]), None, "a connection was opened in between");
    reach.connection_failed("s3");
    assert_eq!(check(&mut reach, 2, 0, &[]), Some(Cause::Failed(2)));
    assert_eq!(check(&mut reach, 100, 0, &[]), None, "a probe is under way");
    assert!(!reach.probed(110, true), "nothing changes");
    assert_eq!(check(&mut reach, 500, 0, &[]), None);
}

#[test]
fn servers_are_probed_if_all_are_silent_while_two_have_requests() {
    let mut reach = Reach::default();
    assert_eq!(check(&mut reach, 200, 10, &["s1"]), None);
    assert_eq!(check(&mut reach, 400, 20, &["s1", "s2"]), None);
    assert_eq!(check(&mut reach, 600, 20, &["s1", "s2", "s3"]), None);
    assert_eq!(check(&mut reach, 800, 20, &["s1", "s2", "s3"]), Some(Cause::Silent(2)));
    assert!(!reach.probed(810, true));
    assert_eq!(check(&mut reach, 1_000, 20, &["s1", "s2"]), None, "a server accepted");
}

#[test]
fn requests_that_ended_are_no_sign_of_silence() {
    let mut reach = Reach::default();
    check(&mut reach, 200, 10, &["s1", "s2"]);
    check(&mut reach, 400, 10, &["s1"]);
    assert_eq!(check(&mut reach, 800, 10, &["s1", "s2"]), None, "s2 was idle in between");
    assert_eq!(check(&mut reach, 1_000, 10, &[]), None);
    assert_eq!(check(&mut reach, 1_200, 10, &["s1", "s2"]), None, "all were idle");
}

#[test]
fn a_partition_lasts_until_a_server_accepts() {
    let mut reach = Reach::default();
    reach.connection_failed("s1");
    reach.connection_failed("s2");
    assert!(check(&mut reach, 0, 0, &[]).is_some());
    assert!(reach.probed(250, false));
    assert!(reach.is_partitioned());
    assert_eq!(check(&mut reach, 500, 0, &[]), Some(Cause::Partitioned));
    assert!(!reach.probed(750, false), "nothing changes");
    reach.connection_opened();
    assert_eq!(check(&mut reach, 1_000, 0, &[]), Some(Cause::Partitioned));
    assert!(reach.probed(1_010, true));
    assert!(!reach.is_partitioned());
    assert_eq!(check(&mut reach, 1_300, 0, &[]), None);
}
