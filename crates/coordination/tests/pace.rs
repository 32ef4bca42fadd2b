//! Tests of the pace of backend servers.

use coordination::pace::{Averages, MIN_INTERVALS, Observations, Step};

#[test]
fn a_step_says_how_many_times_slower_a_server_is() {
    let (fast, slow) = (Step::new(18_000), Step::new(40_000));
    assert!((slow.ratio(fast) - 40.0 / 18.0).abs() < 0.2, "{}", slow.ratio(fast));
    assert!((slow.ratio(slow) - 1.0).abs() < f64::EPSILON);
    assert!((slow.ratio(Step::default()) - 1.0).abs() < f64::EPSILON, "unknown");
    assert!(Step::new(0).is_known());
    assert_eq!(Step::new(u64::MAX), Step(u8::MAX));
}

#[test]
fn a_short_stream_says_nothing() {
    let mut observations = Observations::default();
    observations.record("s1", 90_000, MIN_INTERVALS - 1);
    assert!(observations.take().is_empty());
    observations.record("s1", 90_000, MIN_INTERVALS);
    assert_eq!(observations.take(), [("s1".to_owned(), Step::new(30_000))]);
    assert!(observations.take().is_empty(), "reported once");
}

#[test]
fn an_average_follows_a_server_that_turns_slow_within_ten_streams() {
    let (fast, slow) = (Step::new(18_000), Step::new(54_000));
    let mut averages = Averages::default();
    averages.extend(0, &[("s1".into(), fast)]);
    assert_eq!(averages.step(0, "s1"), fast);
    for number in 1..=10 {
        averages.extend(number * 100, &[("s1".into(), slow)]);
    }
    let ratio = averages.step(1_000, "s1").ratio(fast);
    assert!(ratio > 2.5, "{ratio}");
}

#[test]
fn an_average_without_observations_is_forgotten() {
    let mut averages = Averages::default();
    averages.extend(0, &[("s1".into(), Step::new(18_000))]);
    assert!(averages.step(5_999, "s1").is_known());
    assert!(!averages.step(6_000, "s1").is_known());
    assert!(!averages.step(0, "s2").is_known());
}
