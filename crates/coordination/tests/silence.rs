//! Tests of the recognition of backend servers that fall silent.

use coordination::silence::{
    DOUBT_MS, Fate, Observed, Owed, PROBE_TIMEOUT_MS, Probed, Silence, Trace, Verdict,
};

/// Interval between two checks, in milliseconds.
const CHECK_MS: u64 = 100;

/// A probe that the server didn't answer, but two others did.
const SILENT: Probed =
    Probed { has_answered: false, witnesses: 2, answering_witnesses: 2, took_ms: PROBE_TIMEOUT_MS };

fn observed(server: &str, quiet_since: u64) -> [Observed<'_>; 1] {
    [Observed { server, quiet_since }]
}

#[test]
fn server_is_probed_before_it_is_in_doubt_or_too_often() {
    let mut silence = Silence::default();
    let mut probed = Vec::new();
    for now in (0..4_000).step_by(100) {
        if !silence.check(now, observed("s1", 1_000).into_iter()).is_empty() {
            probed.push(now);
        }
    }
    assert_eq!(probed, [1_000 + DOUBT_MS, 2_000 + DOUBT_MS, 3_000 + DOUBT_MS]);
    // A server that sends something now and then is never probed.
    for now in (4_000..8_000).step_by(100) {
        assert!(silence.check(now, observed("s2", now - 400).into_iter()).is_empty());
    }
}

#[test]
fn slow_server_is_taken_for_a_silent_one() {
    let mut silence = Silence::default();
    let slow = Probed { has_answered: true, ..SILENT };
    assert_eq!(silence.judge("s1", &slow), Verdict::Lives);
    assert_eq!(silence.judge("s1", &SILENT), Verdict::Silent);
}

#[test]
fn servers_are_taken_for_silent_by_an_instance_that_is_cut_off() {
    let mut silence = Silence::default();
    for answering_witnesses in [0, 1] {
        let probed = Probed { answering_witnesses, ..SILENT };
        assert_eq!(silence.judge("s1", &probed), Verdict::Unclear);
    }
    let alone = Probed { witnesses: 0, answering_witnesses: 0, ..SILENT };
    assert_eq!(silence.judge("s1", &alone), Verdict::Unclear);
}

#[test]
fn servers_are_in_doubt_after_a_standstill_of_the_instance() {
    let mut silence = Silence::default();
    for now in (0..=1_000).step_by(100) {
        silence.check(now, std::iter::empty());
    }
    // The process stood still for five seconds, in which answers may have come.
    for now in (6_000..6_000 + DOUBT_MS).step_by(100) {
        assert!(silence.check(now, observed("s1", 900).into_iter()).is_empty(), "{now}");
    }
    let now = 6_000 + DOUBT_MS;
    assert_eq!(silence.check(now, observed("s1", 900).into_iter()), ["s1"]);
    // It stood still during the probe.
    let late = Probed { took_ms: 5_000, ..SILENT };
    assert_eq!(silence.judge("s1", &late), Verdict::Unclear);
}

#[test]
fn silent_server_testifies_on_others() {
    let mut silence = Silence::default();
    assert!(silence.may_testify("s1"));
    silence.check(0, observed("s1", 0).into_iter());
    silence.check(CHECK_MS, observed("s1", 0).into_iter());
    assert_eq!(silence.judge("s1", &SILENT), Verdict::Silent);
    silence.check(1_100, std::iter::empty());
    assert!(!silence.may_testify("s1") && silence.may_testify("s2"));
    // It isn't probed like a slow one, nor does it testify, until its fate is known.
    assert!(silence.check(20_000, observed("s1", 0).into_iter()).is_empty());
    assert!(!silence.may_testify("s1"));
    silence.resolve("s1");
    assert!(silence.may_testify("s1"));
}

#[test]
fn slow_servers_are_probed_all_at_once() {
    let mut silence = Silence::default();
    let names: Vec<String> = (0..40).map(|number| format!("s{number:02}")).collect();
    let mut probed = Vec::new();
    for now in (0..4_000).step_by(100) {
        // The later a server stands in the list, the longer it has been quiet; one is named twice.
        let quiet = names.iter().rev().zip(0..).chain([(&names[39], 0)]);
        let observed = quiet.map(|(server, quiet_since)| Observed { server, quiet_since });
        let doubtful = silence.check(now, observed);
        assert!(doubtful.len() <= 4);
        probed.extend(doubtful.into_iter().map(str::to_owned));
    }
    assert_eq!(probed[..4], ["s39", "s38", "s37", "s36"]);
    assert!(probed.len() <= 16, "{} probes in four seconds", probed.len());
}

/// A silent server with a request and a probe from before.
const TRACE: Trace = Trace {
    has_gone_on: false,
    is_refusing: false,
    is_listed: true,
    is_leaving: false,
    silent_checks: 0,
    checks_since_answer: None,
    is_crowded: false,
    probe: Owed::Open,
    open_requests: 1,
};

#[test]
fn silence_alone_ends_a_server() {
    for probe in [Owed::Nothing, Owed::Open, Owed::Closed] {
        for open_requests in [0, 1] {
            let trace = Trace { probe, open_requests, ..TRACE };
            assert_eq!(trace.fate(), Fate::Silent, "{trace:?}");
        }
    }
}

#[test]
fn server_that_goes_on_is_taken_for_one_that_ended() {
    // It may answer a later connection first.
    for checks in 0..5 {
        let trace = Trace { checks_since_answer: Some(checks), ..TRACE };
        assert_eq!(trace.fate(), Fate::Silent, "{checks}");
    }
    let signs = Trace {
        is_refusing: true,
        is_listed: false,
        checks_since_answer: Some(100),
        probe: Owed::Closed,
        open_requests: 0,
        ..TRACE
    };
    assert_eq!(Trace { has_gone_on: true, ..signs }.fate(), Fate::GoesOn);
    // It closes the connection of the probe because it has too many.
    let closed = Trace { checks_since_answer: Some(100), probe: Owed::Closed, ..TRACE };
    assert_eq!(closed.fate(), Fate::GoesOn);
    // It closes all new ones for a while, and has no request that could show more.
    let crowded = Trace { is_crowded: true, open_requests: 0, ..closed };
    assert_eq!(crowded.fate(), Fate::Unknown);
    // After a cut, it may get what was sent before as late as the cut was long.
    let cut = Trace { silent_checks: 30, checks_since_answer: Some(29), ..TRACE };
    assert_eq!(cut.fate(), Fate::Silent);
    // It has too many connections, or is about to stop, and has requests, which it may answer.
    for trace in
        [TRACE, Trace { probe: Owed::Closed, ..TRACE }, Trace { open_requests: 0, ..TRACE }]
    {
        assert_eq!(Trace { is_refusing: true, ..trace }.fate(), Fate::Silent, "{trace:?}");
    }
    // It left the list and has requests, which it may answer.
    assert_eq!(Trace { is_listed: false, ..TRACE }.fate(), Fate::Silent);
    // Nothing of before is left that it could answer.
    let unknown = Trace { checks_since_answer: Some(100), probe: Owed::Nothing, ..TRACE };
    assert_eq!(unknown.fate(), Fate::Unknown);
}

#[test]
fn server_that_ended_in_silence_is_waited_for() {
    for probe in [Owed::Nothing, Owed::Closed] {
        let refusing = Trace { is_refusing: true, probe, open_requests: 0, ..TRACE };
        assert_eq!(refusing.fate(), Fate::Ended, "{probe:?}");
    }
    assert_eq!(Trace { is_listed: false, open_requests: 0, ..TRACE }.fate(), Fate::Unlisted);
    // It has started again, and forgot the probe or closed everything.
    let forgotten = Trace { checks_since_answer: Some(5), ..TRACE };
    assert_eq!(forgotten.fate(), Fate::Forgot);
    let closed = Trace { probe: Owed::Closed, open_requests: 0, ..forgotten };
    assert_eq!(closed.fate(), Fate::Ended);
}

#[test]
fn planned_end_of_a_silent_server_counts_against_its_content() {
    let unlisted = Trace { is_listed: false, open_requests: 0, ..TRACE };
    let closed = Trace { probe: Owed::Closed, open_requests: 0, ..TRACE };
    for trace in [Trace { is_refusing: true, ..closed }, unlisted] {
        assert!(trace.is_evidence(trace.fate()));
        let leaving = Trace { is_leaving: true, ..trace };
        assert_eq!(leaving.fate(), trace.fate());
        assert!(!leaving.is_evidence(leaving.fate()));
    }
    assert!(!TRACE.is_evidence(Fate::GoesOn) && !TRACE.is_evidence(Fate::Unknown));
}
