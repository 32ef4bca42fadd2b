//! Tests of the order and rejection of waiting requests.

use coordination::placement::{Fleet, Listing, Outcome, Query, Settings};
use coordination::waiting::{Class, Queue, start_limit};

const UNDER_WAY: Class = Class { priority: 1, is_new: false };
const NEW: Class = Class { priority: 1, is_new: true };
const URGENT: Class = Class { priority: 0, is_new: false };

/// Time for which a request may wait, in milliseconds.
const LIMIT_MS: u64 = 900;

/// The same for a new program, whose own time runs while it waits.
const NEW_LIMIT_MS: u64 = 200;

#[test]
fn waiting_requests_go_by_priority_then_programs_under_way_then_arrival() {
    let mut queue = Queue::default();
    let arrivals = [NEW, UNDER_WAY, URGENT, UNDER_WAY, NEW];
    let tickets: Vec<_> =
        arrivals.iter().map(|class| queue.join(0, *class, LIMIT_MS).unwrap()).collect();
    let ahead: Vec<usize> =
        arrivals.iter().zip(&tickets).map(|(class, t)| queue.ahead(0, *class, Some(*t))).collect();
    assert_eq!(ahead, [3, 1, 0, 2, 4]);
    assert_eq!(queue.ahead(0, UNDER_WAY, None), 3, "an arriving request goes after its class");
    queue.leave(tickets[2]);
    assert_eq!(queue.ahead(0, UNDER_WAY, Some(tickets[1])), 0);
}

#[test]
fn request_that_cannot_be_served_in_time_waits_until_its_limit() {
    let mut queue = Queue::default();
    // Ten requests of the class leave per second.
    for now in (0..2_000).step_by(100) {
        queue.depart(now, UNDER_WAY);
    }
    let accepted: Vec<bool> =
        (0..20).map(|_| queue.join(2_000, UNDER_WAY, LIMIT_MS).is_ok()).collect();
    let count = accepted.iter().filter(|is_accepted| **is_accepted).count();
    assert!((8..=10).contains(&count), "{count} wait for 900 ms at 10 per second");
    assert!(accepted[..count].iter().all(|is_accepted| *is_accepted));
    let expected = queue.join(2_000, UNDER_WAY, LIMIT_MS).unwrap_err();
    assert!((900..=1_200).contains(&expected), "{expected} ms");
}

#[test]
fn class_that_is_no_longer_served_never_tries_again() {
    let mut queue = Queue::default();
    assert!(queue.join(0, NEW, LIMIT_MS).is_ok());
    assert!(queue.join(0, NEW, LIMIT_MS).is_ok());
    assert!(queue.join(0, NEW, LIMIT_MS).is_err(), "nothing of the class was sent lately");
    assert!(queue.join(0, UNDER_WAY, LIMIT_MS).is_ok(), "another class waits by itself");
}

/// Outcome of [`replay`].
#[derive(Debug, Default)]
struct Served {
    begun: usize,
    ended_in_time: usize,
}

/// A program of the replay.
#[derive(Debug, Clone, Copy)]
struct Program {
    turns_left: u32,
    /// Time at which its next turn arrives, or at which its current one ends.
    at: u64,
    deadline: u64,
    is_running: bool,
    is_new: bool,
}

/// Replays 20 s in which programs of 5 turns of 200 ms begin every 100 ms on a server with room for
/// half of their turns. A program has twice its time on an idle server, and gives up after that. If
/// `is_ordered`, turns wait in a queue; otherwise the first that finds room is sent.
fn replay(is_ordered: bool) -> Served {
    let mut fleet = Fleet::new(Settings::default(), "a", "e");
    let slots = 4;
    fleet.update(
        0,
        vec![Listing { id: "s".into(), service: "m".into(), slots, ..Listing::default() }],
    );
    let mut queue = Queue::default();
    let mut tickets = std::collections::BTreeMap::new();
    let mut programs: Vec<Program> = Vec::new();
    let mut served = Served::default();
    for now in (0..20_000).step_by(10) {
        if now % 100 == 0 {
            let program = Program {
                turns_left: 5,
                at: now,
                deadline: now + 2_000,
                is_running: false,
                is_new: true,
            };
            programs.push(program);
        }
        // Without an order, it is chance which of the turns finds the room first.
        let start = if is_ordered { 0 } else { (now / 10 * 7) as usize % programs.len().max(1) };
        for at in (start..programs.len()).chain(0..start) {
            let program = &mut programs[at];
            if program.turns_left == 0 || program.at > now {
                continue;
            }
            if program.is_running {
                fleet.finish(now, "s", Outcome::Answered);
                program.is_running = false;
                program.is_new = false;
                program.turns_left -= 1;
                served.ended_in_time +=
                    usize::from(program.turns_left == 0 && now <= program.deadline);
                continue;
            }
            if now > program.deadline || (program.is_new && now > program.at + NEW_LIMIT_MS) {
                program.turns_left = 0;
                tickets.remove(&at).into_iter().for_each(|ticket| queue.leave(ticket));
                continue;
            }
            let class = if program.is_new { NEW } else { UNDER_WAY };
            let is_new = is_ordered && program.is_new;
            let query = Query { service: "m", is_new, ..Query::default() };
            let ticket = tickets.get(&at).copied();
            let ahead = if is_ordered { queue.ahead(now, class, ticket) } else { 0 };
            if fleet.room(now, &query) as usize > ahead {
                fleet.begin(now, "s");
                queue.depart(now, class);
                tickets.remove(&at).into_iter().for_each(|ticket| queue.leave(ticket));
                served.begun += usize::from(program.is_new);
                program.is_running = true;
                program.at = now + 200;
            } else if is_ordered && ticket.is_none() {
                let limit = if program.is_new { NEW_LIMIT_MS } else { LIMIT_MS };
                match queue.join(now, class, limit) {
                    Ok(ticket) => drop(tickets.insert(at, ticket)),
                    // The caller goes away.
                    Err(_) => program.turns_left = 0,
                }
            }
        }
    }
    served
}

#[test]
fn programs_begun_beyond_the_capacity_delay_those_under_way() {
    let (ordered, first_come) = (replay(true), replay(false));
    let share = |served: &Served| served.ended_in_time as f64 / served.begun as f64;
    assert!(
        share(&ordered) >= 0.9,
        "{ordered:?} in order, {first_come:?} by chance: programs begun must end in time"
    );
    assert!(ordered.ended_in_time > first_come.ended_in_time, "{ordered:?}, {first_come:?}");
}

/// All instances start at 0 and are ready after 600 ms. 100 callers with 3 s each arrive from 50 ms
/// on and come back once, 400 ms after a rejection.
#[test]
fn callers_use_up_their_retry_while_all_instances_start() {
    let served = |limit: fn(u64, u64) -> u64| {
        let is_served = |arrival: u64| arrival + limit(arrival, 3_000) >= 600 || arrival >= 600;
        let arrivals = (0..100).map(|caller| 50 + 5 * caller);
        arrivals.filter(|arrival| is_served(*arrival) || is_served(arrival + 400)).count()
    };
    assert_eq!(served(start_limit), 100);
    assert!(served(|_, _| 0) < 80, "rejected at once, {} are served", served(|_, _| 0));
}

#[test]
fn a_request_waits_at_an_instance_that_has_failed_to_become_ready() {
    assert_eq!(start_limit(1_000, 3_000), 0);
    assert_eq!(start_limit(60_000, 3_000), 0);
    assert_eq!(start_limit(900, 3_000), 100);
    assert_eq!(start_limit(0, 1_200), 360);
    assert_eq!(start_limit(0, 0), 0);
}
