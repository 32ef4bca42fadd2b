//! Tests of order and placement.

use coordination::entry::policy::{Candidate, Job, Name};
use state::control::Weights;

const JOB: Job = Job {
    arrival: 1,
    since: 0,
    opened_ms: 500,
    deadline: 1_000_000,
    attained_tokens: 0,
    prompt_tokens: 100,
    is_urgent: false,
    weights: Weights { latency: 1, cache: 1 },
};

const IDLE: Candidate =
    Candidate { outstanding: 0, reported: 0, slots: 4, share: 1, warm_tokens: 0 };

#[test]
fn a_full_server_lets_calls_wait() {
    let mut shelf = Name::Shelf.build();
    let full = Candidate { outstanding: 1, reported: 8, ..IDLE };
    assert_eq!(shelf.place(&JOB, &[full]), None);
    assert_eq!(shelf.place(&JOB, &[full, IDLE]), Some(1));
    let mut least = Name::LeastOutstanding.build();
    assert_eq!(least.place(&JOB, &[full]), Some(0), "the baseline knows no bound");
}

#[test]
fn a_warm_server_may_be_fuller_than_a_cold_one() {
    let mut shelf = Name::Shelf.build();
    let full = Candidate { outstanding: 1, reported: 8, ..IDLE };
    let warm = Candidate { warm_tokens: 100, ..full };
    assert_eq!(shelf.place(&JOB, &[full, warm]), Some(1));
    assert_eq!(shelf.place(&JOB, &[Candidate { reported: 16, ..warm }]), None);
}

#[test]
fn an_entry_may_use_its_share_whatever_others_do() {
    let mut shelf = Name::Shelf.build();
    let taken_by_others = Candidate { reported: 9, ..IDLE };
    assert_eq!(shelf.place(&JOB, &[taken_by_others]), Some(0));
}

#[test]
fn a_warm_cache_outweighs_some_load() {
    let mut shelf = Name::Shelf.build();
    let warm = Candidate { outstanding: 1, reported: 1, warm_tokens: 100, share: 2, ..IDLE };
    assert_eq!(shelf.place(&JOB, &[IDLE, warm]), Some(1));
    let mut least = Name::LeastOutstanding.build();
    assert_eq!(least.place(&JOB, &[IDLE, warm]), Some(0));
}

#[test]
fn urgent_calls_pass_and_older_programs_come_first() {
    let shelf = Name::Shelf.build();
    let urgent = Job { is_urgent: true, opened_ms: 900, ..JOB };
    let older = Job { opened_ms: 400, arrival: 9, ..JOB };
    let late = Job { deadline: 10, ..older };
    assert!(shelf.rank(100, &urgent) < shelf.rank(100, &older));
    assert!(shelf.rank(100, &older) < shelf.rank(100, &JOB));
    assert!(shelf.rank(100, &JOB) < shelf.rank(100, &late));
}

#[test]
fn least_attained_puts_programs_that_had_little_first() {
    let shelf = Name::LeastAttained.build();
    let urgent = Job { is_urgent: true, attained_tokens: 9_999, ..JOB };
    let long = Job { attained_tokens: 5_000, ..JOB };
    let late = Job { deadline: 10, ..JOB };
    assert!(shelf.rank(100, &urgent) < shelf.rank(100, &JOB));
    assert!(shelf.rank(100, &JOB) < shelf.rank(100, &long));
    assert!(shelf.rank(100, &long) < shelf.rank(100, &late));
}

#[test]
fn waiting_ages_a_long_program_to_the_front() {
    let shelf = Name::LeastAttained.build();
    let long = Job { attained_tokens: 5_000, since: 0, ..JOB };
    let fresh = Job { since: 40_000, ..JOB };
    assert!(shelf.rank(40_000, &long) < shelf.rank(40_000, &fresh));
}
