//! Tests of the scheduling policies: order of calls and choice of the backend server.

use coordination::entry::policy::{Candidate, Job, Name};
use state::control::Weights;

const JOB: Job = Job {
    arrival_order: 1,
    arrived_at: 0,
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
fn calls_wait_while_all_servers_are_full() {
    let mut policy = Name::Shelf.build();
    let full = Candidate { outstanding: 1, reported: 8, ..IDLE };
    assert_eq!(policy.place(&JOB, &[full]), None);
    assert_eq!(policy.place(&JOB, &[full, IDLE]), Some(1));
    let mut baseline = Name::LeastOutstanding.build();
    assert_eq!(baseline.place(&JOB, &[full]), Some(0), "the baseline has no limit");
}

#[test]
fn a_server_with_a_warm_cache_may_have_more_calls() {
    let mut policy = Name::Shelf.build();
    let full = Candidate { outstanding: 1, reported: 8, ..IDLE };
    let warm = Candidate { warm_tokens: 100, ..full };
    assert_eq!(policy.place(&JOB, &[full, warm]), Some(1));
    assert_eq!(policy.place(&JOB, &[Candidate { reported: 16, ..warm }]), None);
}

#[test]
fn an_entry_may_use_its_share_of_slots_regardless_of_other_entries() {
    let mut policy = Name::Shelf.build();
    let used_by_others = Candidate { reported: 9, ..IDLE };
    assert_eq!(policy.place(&JOB, &[used_by_others]), Some(0));
}

#[test]
fn a_warm_cache_is_preferred_over_a_small_load_difference() {
    let mut policy = Name::Shelf.build();
    let warm = Candidate { outstanding: 1, reported: 1, warm_tokens: 100, share: 2, ..IDLE };
    assert_eq!(policy.place(&JOB, &[IDLE, warm]), Some(1));
    let mut baseline = Name::LeastOutstanding.build();
    assert_eq!(baseline.place(&JOB, &[IDLE, warm]), Some(0));
}

#[test]
fn urgent_calls_rank_first_then_those_of_older_programs() {
    let policy = Name::Shelf.build();
    let urgent = Job { is_urgent: true, opened_ms: 900, ..JOB };
    let older = Job { opened_ms: 400, arrival_order: 9, ..JOB };
    let late = Job { deadline: 10, ..older };
    assert!(policy.rank(100, &urgent) < policy.rank(100, &older));
    assert!(policy.rank(100, &older) < policy.rank(100, &JOB));
    assert!(policy.rank(100, &JOB) < policy.rank(100, &late));
}

#[test]
fn least_attained_ranks_programs_with_few_tokens_first() {
    let policy = Name::LeastAttained.build();
    let urgent = Job { is_urgent: true, attained_tokens: 9_999, ..JOB };
    let long = Job { attained_tokens: 5_000, ..JOB };
    let late = Job { deadline: 10, ..JOB };
    assert!(policy.rank(100, &urgent) < policy.rank(100, &JOB));
    assert!(policy.rank(100, &JOB) < policy.rank(100, &long));
    assert!(policy.rank(100, &long) < policy.rank(100, &late));
}

#[test]
fn waiting_raises_the_rank_of_a_long_program() {
    let policy = Name::LeastAttained.build();
    let long = Job { attained_tokens: 5_000, arrived_at: 0, ..JOB };
    let fresh = Job { arrived_at: 40_000, ..JOB };
    assert!(policy.rank(40_000, &long) < policy.rank(40_000, &fresh));
}
