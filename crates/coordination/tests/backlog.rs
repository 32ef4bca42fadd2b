//! Replay of a burst that the leader of a journal cannot follow.

use coordination::Millis;
use coordination::backlog::{SENDER_TIMEOUT_MS, Tolerance, pause};
use rand::SeedableRng;
use rand::rngs::StdRng;
use state::machine::Class;
use std::collections::VecDeque;
use std::time::Duration;

/// Commands that the leader carries out in a millisecond.
const CAPACITY: f64 = 1.0;

/// Part of the time of a command that a refusal takes.
const REFUSAL_COST: f64 = 0.1;

/// Turns a second: half of what the leader can follow, and in the burst twice as much as that.
const USUAL_RATE: f64 = 250.0;
const BURST_RATE: f64 = 1_000.0;
const BURST: std::ops::Range<Millis> = 2_000..8_000;

/// Time of a turn on its backend server.
const TURN_MS: Millis = 300;

/// Time for which a caller waits for the begin of its turn, and for its end.
const BEGIN_MS: Millis = 1_500;
const END_MS: Millis = 3_000;

/// Time for which the end of a turn whose begin has an unknown outcome is sent.
const SETTLE_MS: Millis = 10_000;

/// One turn, each of whose two commands is sent until there is a result or no time is left.
struct Turn {
    arrived_at: Millis,
    class: Class,
    /// Time of the next step.
    due: Millis,
    deadline: Millis,
    refusals: u32,
    /// Whether a command was sent that may be carried out without a result.
    is_unknown: bool,
    is_begun: bool,
    is_served: bool,
    is_over: bool,
}

/// Returns the parts of the turns that were served, in the burst and from 2 s after it on.
fn replay(tolerance: Option<&Tolerance>) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut turns: Vec<Turn> = Vec::new();
    // Commands that were accepted, as (turn, whether it is its end, time of its arrival).
    let mut accepted: VecDeque<(usize, bool, Millis)> = VecDeque::new();
    let (mut arrivals, mut work) = (0.0, 0.0);
    for now in 0..14_000 {
        arrivals += if BURST.contains(&now) { BURST_RATE } else { USUAL_RATE } / 1_000.0;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let class = if turns.len().is_multiple_of(4) { Class::Begin } else { Class::Continue };
            turns.push(Turn {
                arrived_at: now,
                class,
                due: now,
                deadline: now + BEGIN_MS,
                refusals: 0,
                is_unknown: false,
                is_begun: false,
                is_served: false,
                is_over: false,
            });
        }
        work = f64::min(work + CAPACITY, CAPACITY);
        for (index, turn) in turns.iter_mut().enumerate() {
            if turn.is_over || now < turn.due {
                continue;
            }
            if now >= turn.deadline {
                // An unknown begin has to be settled, whether its caller still waits or not.
                let settles = turn.is_unknown && turn.class != Class::End;
                (turn.class, turn.deadline) = (Class::End, now + SETTLE_MS);
                turn.is_over = !settles;
                continue;
            }
            let waited = accepted.front().map_or(0, |(_, _, arrived_at)| now - arrived_at);
            if tolerance.is_some_and(|tolerance| waited > tolerance.limit(turn.class)) {
                work -= REFUSAL_COST;
                turn.refusals += 1;
                let pause = pause(turn.refusals, &mut rng);
                turn.due = now + u64::try_from(pause.as_millis()).unwrap();
            } else {
                accepted.push_back((index, turn.class == Class::End, now));
                turn.is_unknown = true;
                turn.due = now + SENDER_TIMEOUT_MS;
            }
        }
        while work > 0.0
            && let Some((index, is_end, _)) = accepted.pop_front()
        {
            work -= 1.0;
            let turn = &mut turns[index];
            let ends = turn.class == Class::End;
            if turn.is_over || ends != is_end || (!ends && now >= turn.deadline) {
                // Nobody waits for the result any more.
                continue;
            }
            if ends {
                turn.is_served = turn.is_begun;
                turn.is_over = true;
            } else {
                turn.is_begun = true;
                turn.is_unknown = false;
                (turn.class, turn.due) = (Class::End, now + TURN_MS);
                turn.deadline = now + END_MS;
            }
        }
    }
    let served = |from: Millis, to: Millis| {
        let selected = turns.iter().filter(|turn| (from..to).contains(&turn.arrived_at));
        let (all, served) = selected
            .fold((0, 0), |(all, served), turn| (all + 1, served + u32::from(turn.is_served)));
        f64::from(served) / f64::from(all)
    };
    (served(BURST.start, BURST.end), served(BURST.end + 2_000, 13_000))
}

#[test]
fn nothing_is_served_for_long_after_a_burst_that_the_leader_could_not_follow() {
    let (plain_burst, plain_after) = replay(None);
    let (burst, after) = replay(Some(&Tolerance::default()));
    assert!(plain_after < 0.1, "accepting everything recovers: {plain_after}");
    assert!(after > 0.99, "{after} of the turns after the burst are served");
    // The leader can follow half of the burst.
    assert!(burst > 0.35 && burst > plain_burst, "{burst} of the burst, {plain_burst} before");
}

#[test]
fn commands_that_end_work_are_accepted_longest_and_new_work_shortest() {
    let tolerance = Tolerance::default();
    let limits = [Class::Begin, Class::Continue, Class::End].map(|class| tolerance.limit(class));
    assert!(limits.is_sorted_by(|a, b| a < b), "{limits:?}");
    assert!(limits[2] < SENDER_TIMEOUT_MS, "the result would come too late");
}

#[test]
fn slow_disk_alone_refuses_nothing() {
    let mut tolerance = Tolerance::default();
    for _ in 0..200 {
        tolerance.observe_sync(Duration::from_millis(150));
    }
    assert!(tolerance.limit(Class::Begin) > 2 * 150);
    let before = tolerance.limit(Class::Begin);
    tolerance.observe_sync(Duration::from_millis(800));
    assert!(tolerance.limit(Class::Begin) < before + 50, "one large batch is no slow disk");
    tolerance.observe_sync(Duration::from_millis(5));
    assert!(tolerance.limit(Class::Begin) < 150, "a disk that is fast again");
}
