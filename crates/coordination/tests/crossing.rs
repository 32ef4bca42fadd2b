//! Replays of load on several failure domains.

use coordination::crossing::{self, Offer, Settings, Share};
use coordination::routing;
use std::collections::VecDeque;

fn offer(slowness: f64, load_percent: u32) -> Offer {
    Offer { slowness, load_percent }
}

/// The share after `seconds` in which nothing changes, with two reports a second.
fn share(home: Offer, elsewhere: Offer, seconds: u64) -> Share {
    let mut share = Share::default();
    for now in (0..=seconds * 1_000).step_by(200) {
        share.adjust(now, &Settings::default(), &home, &elsewhere);
    }
    share
}

#[test]
fn nobody_leaves_while_there_is_room_at_home() {
    assert_eq!(share(offer(1.0, 50), offer(1.0, 0), 9).value(), 0.0);
    assert_eq!(share(offer(1.0, 60), offer(1.0, 0), 9).value(), 0.0, "saves less than the price");
    assert!(share(offer(1.0, 75), offer(1.0, 0), 9).value() > 0.0);
}

#[test]
fn the_share_grows_with_what_leaving_saves() {
    let share = |load: u32| share(offer(1.0, load), offer(1.0, 0), 2).value();
    let shares = [75, 100, 150, 200].map(share);
    assert!(shares.is_sorted() && shares[0] < shares[3], "{shares:?}");
}

#[test]
fn a_domain_that_is_full_takes_no_guests() {
    assert_eq!(share(offer(1.0, 200), offer(1.0, 75), 9).value(), 0.0);
    assert!(share(offer(1.0, 200), offer(1.0, 74), 9).value() > 0.0);
    let mut share = share(offer(1.0, 200), offer(1.0, 0), 9);
    share.adjust(9_200, &Settings::default(), &offer(1.0, 200), &offer(1.0, 80));
    assert_eq!(share.value(), 0.0, "at once");
}

#[test]
fn a_domain_half_as_fast_is_left_and_not_visited() {
    assert!(share(offer(2.2, 30), offer(1.0, 30), 3).value() > 0.5);
    assert_eq!(share(offer(1.0, 60), offer(2.2, 0), 9).value(), 0.0);
}

#[test]
fn each_session_draws_once_and_the_share_is_kept() {
    let left = |share: &Share| {
        let sessions = (0..10_000_u64).map(|n| routing::digest(&n.to_le_bytes()));
        sessions.filter(|session| share.includes(*session, "a")).count() as f64 / 10_000.0
    };
    let (none, all) = (Share::default(), share(offer(1.0, 200), offer(1.0, 0), 99));
    assert_eq!((left(&none), left(&all)), (0.0, 1.0));
    let some = share(offer(1.0, 100), offer(1.0, 0), 1);
    assert!((left(&some) - some.value()).abs() < 0.02, "{} of {}", left(&some), some.value());
}

/// How many requests leave.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Never,
    /// All leave as soon as the other domain is clearly less loaded, the rule that this decision replaces.
    AllOrNothing,
    Share,
}

/// Outcome of a replay.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    /// Requests that found all slots of their servers taken, by domain of their callers.
    waited: [u32; 2],
    left: u32,
    /// Times at which the better part of the requests of a domain changed direction.
    turns: u32,
}

/// Requests of 300 ms in two domains of `slots` slots each; the loads are known 300 ms late.
fn replay(rule: Rule, slots: [u32; 2], arrivals: impl Fn(u64, usize) -> u32) -> Outcome {
    let mut outcome = Outcome::default();
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    let mut known: VecDeque<[u32; 2]> = VecDeque::new();
    let mut last = [false; 2];
    let mut shares = [Share::default(); 2];
    let mut session = 0_u64;
    for now in (0..30_000).step_by(30) {
        running.retain(|(end, _)| *end > now);
        let loads = [0, 1].map(|at| running.iter().filter(|(_, on)| *on == at).count() as u32);
        known.push_back(loads);
        let seen = if known.len() > 10 { known.pop_front().unwrap() } else { known[0] };
        let percent = |at: usize| seen[at] * 100 / slots[at];
        for home in [0, 1] {
            let (own, other) = (offer(1.0, percent(home)), offer(1.0, percent(1 - home)));
            let settings = Settings::default();
            if now % 210 == 0 {
                shares[home].adjust(now, &settings, &own, &other);
            }
            let includes = |session: u64| match rule {
                Rule::Never => false,
                Rule::AllOrNothing => crossing::pays(&settings, &own, &other),
                Rule::Share => shares[home].includes(session, "a"),
            };
            let most =
                (0..100).filter(|n: &u64| includes(routing::digest(&n.to_le_bytes()))).count() > 50;
            outcome.turns += u32::from(most != last[home]);
            last[home] = most;
            for _ in 0..arrivals(now, home) {
                session += 1;
                let leaves = includes(routing::digest(&session.to_le_bytes()));
                let at = if leaves { 1 - home } else { home };
                let load = running.iter().filter(|(_, on)| *on == at).count() as u32;
                outcome.waited[home] += u32::from(load >= slots[at]);
                outcome.left += u32::from(leaves);
                running.push_back((now + 300, at));
            }
        }
    }
    outcome
}

/// Waves of 3 s that come at different times in the two domains: ten requests in 30 ms at the top, and two otherwise.
fn waves(now: u64, domain: usize) -> u32 {
    if (now / 3_000) % 2 == domain as u64 { 9 } else { 2 }
}

#[test]
fn waves_that_do_not_coincide_are_borne_by_both_domains() {
    let [never, all, shared] =
        [Rule::Never, Rule::AllOrNothing, Rule::Share].map(|rule| replay(rule, [72, 72], waves));
    let waited = |outcome: &Outcome| outcome.waited.iter().sum::<u32>();
    assert!(waited(&shared) * 2 < waited(&never), "{shared:?}, never leaving {never:?}");
    assert!(waited(&shared) < waited(&all), "{shared:?}, all or nothing {all:?}");
    assert!(shared.turns < all.turns, "{shared:?}, all or nothing {all:?}");
}

#[test]
fn a_domain_that_lost_a_third_of_its_servers_does_not_crowd_out_the_other() {
    // 50 requests for 44 slots at home, and 30 for 66 in the other domain.
    let arrivals = |_: u64, domain: usize| if domain == 0 { 5 } else { 3 };
    let [never, shared] = [Rule::Never, Rule::Share].map(|rule| replay(rule, [44, 66], arrivals));
    assert!(shared.waited[0] * 2 < never.waited[0], "{shared:?}, never leaving {never:?}");
    assert_eq!(shared.waited[1], 0, "callers of the other domain wait for guests");
}

#[test]
fn nobody_crosses_while_all_domains_are_full() {
    let arrivals = |_: u64, _: usize| 9;
    let shared = replay(Rule::Share, [60, 60], arrivals);
    assert_eq!(shared.left, 0);
}
