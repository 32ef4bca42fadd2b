//! Tests of the time of a journal's state while no command moves it.

use coordination::expiry::{INTERVAL_MS, Timer};

/// Time of the state, in milliseconds since the Unix epoch.
const TIME_MS: u64 = 1_800_000_000_000;

#[test]
fn time_goes_on_while_no_command_is_applied() {
    let mut timer = Timer::default();
    assert_eq!(timer.due(5_000, TIME_MS), None, "the replica has just started");
    assert_eq!(timer.due(5_000 + INTERVAL_MS - 1, TIME_MS), None);
    assert_eq!(timer.due(5_000 + INTERVAL_MS, TIME_MS), Some(TIME_MS + INTERVAL_MS));
    assert_eq!(timer.due(5_100 + INTERVAL_MS, TIME_MS), None, "nothing had expired");
    assert_eq!(timer.due(5_000 + 3 * INTERVAL_MS, TIME_MS), Some(TIME_MS + 3 * INTERVAL_MS));
}

#[test]
fn commands_that_move_the_time_leave_nothing_to_do() {
    let mut timer = Timer::default();
    for step in 0..100 {
        assert_eq!(timer.due(step * 900, TIME_MS + step * 900), None, "step {step}");
    }
}

#[test]
fn time_goes_on_while_the_clocks_of_all_senders_are_behind_it() {
    let mut timer = Timer::default();
    let ahead_ms = TIME_MS + 3_600_000;
    assert_eq!(timer.due(0, ahead_ms), None);
    // Commands are applied, but none names a later time.
    let moved = (1..=60).filter_map(|step| timer.due(step * 100, ahead_ms)).next_back();
    assert_eq!(moved, Some(ahead_ms + 6_000));
}

/// The time of the state moves on by no more than the leader's monotonic clock, whatever a wall clock
/// shows, and never back.
#[test]
fn time_moves_on_by_no_more_than_has_passed() {
    let mut timer = Timer::default();
    let (mut time_ms, start) = (TIME_MS, 7_000);
    for now in (start..start + 120_000).step_by(70) {
        if let Some(moved) = timer.due(now, time_ms) {
            assert!(moved > time_ms && moved - TIME_MS <= now - start, "{moved} at {now}");
            time_ms = moved;
        }
    }
    assert!(time_ms - TIME_MS > 110_000, "{} ms", time_ms - TIME_MS);
}
