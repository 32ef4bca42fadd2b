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
fn body_of_one_caller_quarantines_that_of_others() {
    let request = |body: &'static [u8], caller| {
        let (method, host, path) = ("GET", "a", "/status");
        Content::of(&content::Request { method, host, path, body, caller: Some(caller) })
    };
    assert_ne!(request(b"", "p1"), request(b"", "p2"));
    assert_eq!(request(b"", "p1"), request(b"", "p1"));
    let long = &[b'x'; 100];
    assert_ne!(request(long, "p1"), request(long, "p2"));
    assert_eq!(request(long, "p1"), request(long, "p1"));
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

/// Observes a crash of content with the end of `server`, which was last known to run at `alive_at`.
fn lose(
    quarantine: &mut Quarantine,
    now: u64,
    path: &str,
    (server, alive_at): (&str, u64),
    is_before_output: bool,
) -> bool {
    let end = quarantine.end_of(server, alive_at);
    quarantine.observe(now, Crash::new(content(path), end, is_before_output))
}

#[test]
fn equal_requests_on_one_server_that_ends_count_more_than_once() {
    let mut quarantine = Quarantine::default();
    for number in 0..12 {
        assert!(!lose(&mut quarantine, 1_000 + number, "a", ("s1", 900), number % 2 == 0));
    }
    assert_eq!(quarantine.relay(1_100).crashes.len(), 1);
    assert_eq!(quarantine.remaining(1_100, &content("a")), None);
    // Another server's end, or a further one of the same server.
    assert!(lose(&mut quarantine.clone(), 2_000, "a", ("s2", 900), true));
    assert!(lose(&mut quarantine.clone(), 2_000, "a", ("s1", 1_500), true));
}

#[test]
fn end_that_two_instances_observe_counts_twice() {
    let (mut first, mut second, mut control) =
        (Quarantine::default(), Quarantine::default(), Quarantine::default());
    // The clocks of the instances have nothing in common.
    for (number, ends) in [(1_u64, 1), (2, 2)] {
        let (now, other) = (number * 5_000, 700_000 + number * 5_000);
        lose(&mut first, now, "a", ("s1", now - 500), false);
        lose(&mut second, other + 40, "a", ("s1", other - 300), false);
        control.extend(now + 90, &first.report(now + 50));
        control.extend(now + 95, &second.report(other + 90));
        assert_eq!(control.relay(now + 100).crashes.len(), ends, "in the report: {number}");
        first.extend(now + 200, &control.relay(now + 100));
        second.extend(other + 200, &control.relay(now + 100));
    }
    // The second one reads the report of the third end first, and then examines its own loss.
    lose(&mut first, 14_000, "a", ("s1", 13_000), false);
    assert_eq!(second.extend(714_600, &first.report(14_050)), [content("a")]);
    lose(&mut second, 715_000, "a", ("s1", 713_500), false);
    assert_eq!(second.relay(715_000).crashes.len(), 3);
}

#[test]
fn heavier_of_two_equal_requests_depends_on_their_order() {
    for orders in [[true, false], [false, true]] {
        let mut quarantine = Quarantine::default();
        for is_before_output in orders {
            lose(&mut quarantine, 0, "a", ("s1", 0), is_before_output);
        }
        assert!(lose(&mut quarantine, 100, "a", ("s2", 0), true), "{orders:?}");
    }
}

#[test]
fn content_is_refused_for_ends_that_other_content_shares() {
    for orders in [["a", "b"], ["b", "a"]] {
        let mut quarantine = Quarantine::default();
        for (now, server) in [(0, "s1"), (1_000, "s2")] {
            for path in orders {
                lose(&mut quarantine, now, path, (server, now), true);
            }
        }
        for path in orders {
            assert_eq!(quarantine.remaining(1_001, &content(path)), None, "{path}, {orders:?}");
        }
        assert_eq!(quarantine.withdrawn(), 1);
        assert!(quarantine.report(1_001).quarantined.is_empty());
        // The next one that is lost alone is the cause.
        assert!(lose(&mut quarantine, 2_000, "a", ("s3", 1_900), true));
        assert_eq!(quarantine.remaining(9_000, &content("b")), None);
    }
}

#[test]
fn content_that_is_always_lost_with_others_reaches_a_fourth_server() {
    let mut quarantine = Quarantine::default();
    for (now, server) in [(0, "s1"), (1_000, "s2"), (2_000, "s3")] {
        for path in ["crashing", "b"] {
            lose(&mut quarantine, now, path, (server, now), true);
        }
        // A stream that had output is lost each time, too.
        lose(&mut quarantine, now, "stream", (server, now), false);
    }
    assert!(quarantine.remaining(2_000, &content("crashing")).is_some());
    assert_eq!(quarantine.remaining(2_000, &content("stream")), None);
}

#[test]
fn provisional_quarantine_is_passed_on() {
    let mut quarantine = Quarantine::default();
    lose(&mut quarantine, 0, "a", ("s1", 0), true);
    assert!(lose(&mut quarantine, 100, "a", ("s2", 0), true));
    let report = quarantine.report(200);
    assert_eq!((report.crashes.len(), report.quarantined.len()), (2, 0));
    assert_eq!(quarantine.report(1_200).quarantined.len(), 1);
    // What is lost with the same ends and reported later withdraws nothing.
    lose(&mut quarantine, 1_300, "b", ("s1", 0), true);
    lose(&mut quarantine, 1_300, "b", ("s2", 0), true);
    assert!(quarantine.remaining(1_300, &content("a")).is_some());
}

#[test]
fn suspicion_outlives_the_silence_of_a_server() {
    let mut quarantine = Quarantine::default();
    for (server, path) in [("s1", "a"), ("s2", "a")] {
        let end = quarantine.end_of(server, 0);
        quarantine.suspect(1_000, vec![Crash::new(content(path), end, true)]);
    }
    assert!(quarantine.is_held(&content("a")));
    assert_eq!(quarantine.remaining(1_000, &content("b")), None);
    quarantine.clear(quarantine.end_of("s1", 0));
    assert!(!quarantine.is_held(&content("a")) && quarantine.is_empty());
    quarantine.clear(quarantine.end_of("s2", 0));
    assert_eq!(quarantine.suspicions(1_100), []);
    assert_eq!(quarantine.report(1_100), Report::default());
}

#[test]
fn content_of_silent_servers_is_sent_to_further_ones() {
    let mut quarantine = Quarantine::default();
    // One server ended with it, another is silent.
    let end = quarantine.end_of("s1", 0);
    quarantine.observe(0, Crash::new(content("a"), end, true));
    assert_eq!(quarantine.remaining(1_000, &content("a")), None);
    let end = quarantine.end_of("s2", 0);
    quarantine.suspect(1_000, vec![Crash::new(content("a"), end, true)]);
    let remaining = quarantine.remaining(1_000, &content("a"));
    assert!(remaining.is_some_and(|remaining| remaining <= 1_000), "{remaining:?}");
    // The silent one has ended as well.
    quarantine.clear(end);
    assert!(quarantine.observe(4_000, Crash::new(content("a"), end, true)));
    assert_eq!(quarantine.remaining(4_000, &content("a")), Some(QUARANTINE_MS));
}

#[test]
fn silent_server_of_two_instances_counts_twice() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    for quarantine in [&mut first, &mut second] {
        let end = quarantine.end_of("s1", 0);
        quarantine.suspect(0, vec![Crash::new(content("a"), end, true)]);
    }
    second.extend_suspicions(100, &first.own_suspicions(100));
    assert!(!second.is_held(&content("a")));
}

#[test]
fn entry_does_not_know_the_suspicions_of_another_one() {
    let (mut first, mut second, mut control) =
        (Quarantine::default(), Quarantine::default(), Quarantine::default());
    for (quarantine, server) in [(&mut first, "s1"), (&mut second, "s2")] {
        let end = quarantine.end_of(server, 0);
        quarantine.suspect(0, vec![Crash::new(content("a"), end, true)]);
    }
    control.extend_suspicions(100, &first.own_suspicions(100));
    second.extend_suspicions(200, &control.suspicions(200));
    assert!(second.is_held(&content("a")));
    // The server of the first one goes on.
    first.clear(first.end_of("s1", 0));
    for now in (300..2_000).step_by(EXCHANGE_MS as usize) {
        control.extend_suspicions(now, &first.own_suspicions(now));
        second.extend_suspicions(now, &control.suspicions(now));
    }
    assert!(!second.is_held(&content("a")));
}

#[test]
fn instances_renew_a_suspicion_for_each_other() {
    let mut observer = Quarantine::default();
    let end = observer.end_of("s1", 0);
    observer.suspect(0, vec![Crash::new(content("a"), end, true)]);
    let mut controls = [Quarantine::default(), Quarantine::default(), Quarantine::default()];
    controls[0].extend_suspicions(0, &observer.own_suspicions(0));
    // The observer is gone; the others go on exchanging what they know.
    for now in (0..3_000).step_by(EXCHANGE_MS as usize) {
        for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (0, 2), (2, 1)] {
            let known = controls[from].suspicions(now);
            // The message takes its time, which its content doesn't tell.
            controls[to].extend_suspicions(now + 50, &known);
        }
    }
    for control in &controls {
        assert_eq!(control.suspicions(3_000), []);
    }
}

/// Puts content under suspicion because `server`, last heard at `alive_at`, is silent at `now`. Returns the
/// end that is suspected, which its silence remembers.
fn suspect(quarantine: &mut Quarantine, now: u64, path: &str, server: &str, alive_at: u64) -> u64 {
    let end = quarantine.end_of(server, alive_at);
    quarantine.suspect(now, vec![Crash::new(content(path), end, true)]);
    end
}

#[test]
fn suspicion_outlives_the_silence_of_a_server_whose_earlier_end_is_forgotten_meanwhile() {
    let mut quarantine = Quarantine::default();
    let end = quarantine.end_of("s1", 0);
    quarantine.observe(0, Crash::new(content("a"), end, true));
    let suspected = suspect(&mut quarantine, 119_000, "b", "s1", 118_000);
    // Anything that is learned drops what has expired.
    let end = quarantine.end_of("s2", 0);
    quarantine.observe(121_000, Crash::new(content("c"), end, true));
    // The server goes on. By now, its end would have another number.
    assert_ne!(quarantine.end_of("s1", 118_000), suspected);
    quarantine.clear(suspected);
    assert_eq!(quarantine.own_suspicions(121_000), []);
    assert_eq!(quarantine.own_suspicions(10_000_000), []);
}

#[test]
fn suspicion_outlives_an_end_that_another_instance_dates_earlier() {
    let mut quarantine = Quarantine::default();
    // Another entry, whose link to the server was cut, found it silent at 1_250; this one heard from it
    // until 3_000.
    let suspected = suspect(&mut quarantine, 4_300, "a", "s1", 3_000);
    let end = Quarantine::default().end_of("s1", 0);
    let crash = Crash { age_ms: 3_350, ..Crash::new(content("a"), end, true) };
    let report = Report { crashes: vec![crash], quarantined: Vec::new() };
    quarantine.extend(4_600, &report);
    // This entry sees the same end.
    quarantine.clear(suspected);
    assert_eq!(quarantine.own_suspicions(4_700), []);
}

#[test]
fn end_of_a_server_that_another_instance_could_not_hear_counts_twice() {
    let mut quarantine = Quarantine::default();
    let end = Quarantine::default().end_of("s1", 0);
    // It heard nothing for 3.35 s, and this one heard from the server until 3_000. An end is dated when it
    // is known.
    let crash = Crash { age_ms: 50, ..Crash::new(content("a"), end, true) };
    let report = Report { crashes: vec![crash], quarantined: Vec::new() };
    quarantine.extend(4_600, &report);
    let end = quarantine.end_of("s1", 3_000);
    let crash = Crash::new(content("a"), end, true);
    assert!(!quarantine.observe(4_700, crash), "one end of one server is enough");
}

#[test]
fn end_that_is_observed_while_an_earlier_one_is_forgotten_counts_twice() {
    // The server ended at 0, and again at 119_900, which one instance observes before, the other after the
    // first end is forgotten.
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    for quarantine in [&mut first, &mut second] {
        let end = quarantine.end_of("s1", 0);
        quarantine.observe(0, Crash::new(content("b"), end, true));
    }
    let end = first.end_of("s1", 119_000);
    first.observe(119_900, Crash::new(content("a"), end, true));
    second.extend(120_050, &first.report(120_000));
    let end = second.end_of("s1", 119_000);
    assert!(!second.observe(120_100, Crash::new(content("a"), end, true)));
}
