//! Tests of the quarantine of content that crashes backend servers.

use coordination::content::{self, Content};
use coordination::quarantine::{Crash, Quarantine, Report};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// Time for which a quarantine holds, in milliseconds.
const QUARANTINE_MS: u64 = 600_000;

/// Interval at which instances exchange what they know, in milliseconds.
const EXCHANGE_MS: u64 = 200;

fn content(path: &str) -> Content {
    let body = [b'x'; 100];
    let request = content::Request { method: "POST", host: "a", path, body: &body, caller: None };
    Content::of(&request)
}

fn crash(path: &str, digest: u64, is_before_output: bool) -> Crash {
    Crash { content: content(path), digest, is_before_output, age_ms: 0 }
}

#[test]
fn short_body_of_one_caller_quarantines_that_of_others() {
    let request = |body: &'static [u8], caller| {
        let (method, host, path) = ("GET", "a", "/status");
        Content::of(&content::Request { method, host, path, body, caller: Some(caller) })
    };
    assert_ne!(request(b"", "p1"), request(b"", "p2"));
    assert_eq!(request(b"", "p1"), request(b"", "p1"));
    let long = &[b'x'; 100];
    assert_eq!(request(long, "p1"), request(long, "p2"));
    let fields = |host, path| {
        Content::of(&content::Request { method: "GET", host, path, body: b"", caller: None })
    };
    assert_ne!(fields("ab", "c"), fields("a", "bc"));
}

#[test]
fn content_reaches_further_servers_after_enough_crashes() {
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.observe(0, crash("early", 1, true)));
    assert!(quarantine.observe(1_000, crash("early", 2, true)));
    assert!(!quarantine.observe(2_000, crash("late", 3, false)));
    assert!(!quarantine.observe(3_000, crash("late", 4, false)));
    assert_eq!(quarantine.remaining(3_000, &content("late")), None);
    assert!(quarantine.observe(4_000, crash("late", 5, false)));
    assert_eq!(quarantine.remaining(4_000, &content("late")), Some(QUARANTINE_MS));
    assert_eq!(quarantine.remaining(1_000 + QUARANTINE_MS, &content("early")), None);
    assert_eq!(quarantine.remaining(4_000, &content("other")), None);
}

#[test]
fn crash_counts_again_each_time_that_it_is_reported() {
    let mut observer = Quarantine::default();
    observer.observe(0, crash("a", 1, true));
    let mut control = Quarantine::default();
    for now in [10, 210, 5_000] {
        assert!(control.extend(now, &observer.report(now)).is_empty());
        observer.extend(now, &control.relay(now));
    }
    assert_eq!(observer.remaining(5_000, &content("a")), None);
    // A frozen instance reads reports that are some seconds old.
    assert!(control.extend(8_000, &observer.report(5_000)).is_empty());
}

#[test]
fn crashes_that_several_instances_observed_are_not_added_up() {
    let (mut first, mut second, mut control) =
        (Quarantine::default(), Quarantine::default(), Quarantine::default());
    first.observe(0, crash("a", 1, true));
    second.observe(100, crash("a", 2, true));
    assert!(control.extend(200, &first.report(200)).is_empty());
    // An instance learns of the other one's crash before its own next one.
    let relayed = control.relay(200);
    assert_eq!(second.extend(200, &relayed), [content("a")]);
    assert_eq!(control.extend(300, &second.report(300)), [content("a")]);
    assert!(control.relay(300).crashes.len() == 2);
    // A control instance that has restarted learns the quarantine, not the crash of another one.
    let mut restarted = Quarantine::default();
    let late = second.report(60_000);
    assert!(late.crashes.is_empty());
    assert_eq!(restarted.extend(60_000, &late), [content("a")]);
}

#[test]
fn order_of_reports_changes_what_is_quarantined() {
    let mut rng = StdRng::seed_from_u64(29);
    for _ in 0..200 {
        let paths = ["a", "b", "c", "d"];
        let mut crashes: Vec<Crash> = (0..10)
            .map(|number| {
                crash(paths[rng.random_range(0..paths.len())], number, rng.random_bool(0.5))
            })
            .collect();
        let quarantined_of = |crashes: &[Crash]| {
            let mut quarantine = Quarantine::default();
            for crash in crashes {
                let report = Report { crashes: vec![crash.clone()], ..Report::default() };
                quarantine.extend(1_000, &report);
            }
            paths.map(|path| quarantine.remaining(1_000, &content(path)).is_some())
        };
        let expected = quarantined_of(&crashes);
        let repeated: Vec<Crash> = crashes.iter().take(5).cloned().collect();
        crashes.extend(repeated);
        crashes.shuffle(&mut rng);
        assert_eq!(quarantined_of(&crashes), expected);
    }
}

#[test]
fn instances_renew_a_quarantine_for_each_other() {
    let mut quarantine = [Quarantine::default(), Quarantine::default()];
    quarantine[0].observe(0, crash("a", 1, true));
    quarantine[0].observe(0, crash("a", 2, true));
    let mut now = 0;
    while quarantine.iter().any(|quarantine| quarantine.remaining(now, &content("a")).is_some()) {
        assert!(now < QUARANTINE_MS + 60_000, "the quarantine does not end");
        // Messages take 50 ms.
        let reports = [quarantine[0].report(now), quarantine[1].report(now)];
        now += 50;
        quarantine[0].extend(now, &reports[1]);
        quarantine[1].extend(now, &reports[0]);
        now += EXCHANGE_MS;
    }
    assert!(now >= QUARANTINE_MS);
}

#[test]
fn crashes_that_are_long_past_count() {
    let mut quarantine = Quarantine::default();
    quarantine.observe(0, crash("a", 1, true));
    assert!(!quarantine.observe(200_000, crash("a", 2, true)));
    let old = Crash { age_ms: 200_000, ..crash("a", 3, true) };
    let report = Report { crashes: vec![old], ..Report::default() };
    assert!(quarantine.extend(200_000, &report).is_empty());
}

#[test]
fn report_grows_with_the_number_of_crashes() {
    let mut quarantine = Quarantine::default();
    for number in 0..10_000_u64 {
        let path = format!("{}", number / 2);
        quarantine.observe(number / 100, crash(&path, number, true));
    }
    let report = quarantine.report(100);
    assert!(report.crashes.len() <= 32 && report.quarantined.len() <= 32);
}

/// Result of a replay: crashes that the crashing content caused, and other contents that were
/// quarantined.
struct Replayed {
    crashes: usize,
    others: usize,
}

/// Replays one content that comes again after each crash among streams of which each crash breaks
/// off `load`, a fifth of them before their first event. Those come again, too, on other servers.
fn replay(seed: u64, servers: usize, load: usize) -> Replayed {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut assigned: Vec<(String, usize)> =
        (0..servers * load).map(|number| (format!("stream-{number}"), number % servers)).collect();
    let mut crashes = 0;
    for digest in 0..10_u64 {
        let now = digest * 500;
        if quarantine.remaining(now, &content("crashing")).is_some() {
            break;
        }
        let server = rng.random_range(0..servers);
        crashes += 1;
        quarantine.observe(now, crash("crashing", digest, true));
        for (number, (path, at)) in assigned.iter_mut().enumerate() {
            if *at == server {
                let id = (digest + 1) * 100_000 + number as u64;
                quarantine.observe(now, crash(path, id, rng.random_bool(0.2)));
                *at = rng.random_range(0..servers);
            }
        }
    }
    let now = 10_000;
    let others =
        assigned.iter().filter(|(path, _)| quarantine.remaining(now, &content(path)).is_some());
    Replayed { crashes, others: others.count() }
}

/// Of the streams that are lost with a server, one in a thousand may be taken for the cause.
#[test]
fn content_that_is_lost_with_the_crashing_one_is_quarantined() {
    for (servers, load) in [(2, 4), (18, 12), (48, 16), (600, 12)] {
        let (mut lost, mut others) = (0, 0);
        for seed in 0..500 {
            let replayed = replay(seed, servers, load);
            assert_eq!(replayed.crashes, 2, "{servers} servers, seed {seed}");
            lost += replayed.crashes * load;
            others += replayed.others;
        }
        let share = others as f64 / lost as f64;
        assert!(servers < 18 || share <= 0.001, "{servers} servers: {others} of {lost}");
    }
}
