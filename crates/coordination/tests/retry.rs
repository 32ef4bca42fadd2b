//! Tests of retry budgets, backoff delays and token buckets.

use coordination::retry::{Backoff, Bucket, Budget, pause_within};
use rand::SeedableRng;
use rand::rngs::StdRng;

#[test]
fn retries_are_limited_to_a_share_of_successes() {
    let mut budget = Budget::default();
    let burst = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(burst, 10);
    (0..100).for_each(|_| budget.deposit());
    let earned = (0..100).filter(|_| budget.withdraw()).count();
    assert!((9..=10).contains(&earned), "{earned}");
}

#[test]
fn backoff_grows_up_to_its_maximum() {
    let backoff = Backoff { first_ms: 50, max_ms: 2_000 };
    let mut rng = StdRng::seed_from_u64(1);
    for retry in 0..40 {
        let bound = (50u64 << retry.min(16)).min(2_000);
        let delay = backoff.delay(retry, &mut rng);
        assert!((bound.div_ceil(2)..=bound).contains(&delay), "retry {retry}: {delay}");
    }
}

#[test]
fn a_bucket_grants_at_most_its_rate_and_burst() {
    let mut bucket = Bucket::new(5.0, 2.0, 0);
    let granted = (0..10_000u64).filter(|now| bucket.take(*now)).count();
    assert!((50..=52).contains(&granted), "{granted}");
}

/// Guards against a panic by the sum of a pause without limit and the time of day.
#[test]
fn pause_that_a_refusal_names_exceeds_any_deadline() {
    assert_eq!(pause_within(Some(u64::MAX), 100, 4_000, 15), None);
    assert_eq!(pause_within(Some(3_985), 100, 4_000, 15), None);
    assert_eq!(pause_within(Some(400), 100, 4_000, 15), Some(400));
    assert_eq!(pause_within(Some(5), 100, 4_000, 15), Some(100));
    assert_eq!(pause_within(None, 100, 4_000, 15), Some(100));
    assert_eq!(pause_within(None, 100, 0, 15), None);
}
