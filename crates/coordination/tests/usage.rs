//! Tests of the limits on the requests of organisations, by replayed loads.

use coordination::Millis;
use coordination::usage::{self, Gate, Ledger, Limit, Report, Settings, Sum, Sums};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// Length of one step of a replay, in milliseconds.
const STEP_MS: Millis = 10;

/// Interval of the heartbeats, in milliseconds.
const BEAT_MS: Millis = 200;

/// Time that a message between instances takes, in milliseconds.
const WAY_MS: Millis = 20;

/// Pause of a program between two requests, in milliseconds.
const PAUSE_MS: Millis = 300;

/// Number of times that a refused request is sent again.
const REPEATS: u32 = 1;

const ORGANISATION: u64 = 77;

/// Number of replays of each load.
const SEEDS: u64 = 6;

/// How entries decide.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// The part under test.
    Shared,
    /// The part under test, with requests admitted without regard to their programs.
    Scattered,
    /// The plain rule: each entry admits its equal part of the limit.
    Equal,
}

/// A deployment and the load of one organisation.
#[derive(Debug, Clone)]
struct Load {
    policy: Policy,
    entries: usize,
    controls: usize,
    limit: Limit,
    /// Average number of requests of a program.
    length: f64,
    /// Requests per second that programs would send if none was refused, from each time on.
    demand: Vec<(Millis, f64)>,
    /// Limit from each time on, if it changes.
    limits: Vec<(Millis, Limit)>,
    events: Vec<(Millis, Event)>,
    /// Number of entries that each caller may use at a time; callers all change every second.
    spread: usize,
    until: Millis,
    seed: u64,
}

/// What happens to instances.
#[derive(Debug, Clone, Copy)]
enum Event {
    Freeze(usize),
    Wake(usize),
    Kill(usize),
    Restart(usize),
    /// The entry reaches none of the control instances, or only those of a bit mask.
    Reach(usize, u32),
    RestartControl(usize),
    Join,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            policy: Policy::Shared,
            entries: 100,
            controls: 3,
            limit: Limit { per_second: 60.0, burst: 0.0 },
            length: 6.0,
            demand: vec![(0, 36.0)],
            limits: Vec::new(),
            events: Vec::new(),
            spread: 100,
            until: 20_000,
            seed: 1,
        }
    }
}

struct Instance {
    gate: Gate,
    /// Times of what it admitted, for the plain rule.
    admitted: VecDeque<Millis>,
    phase: Millis,
    is_frozen: bool,
    is_down: bool,
    /// Control instances that it reaches, as a bit mask.
    reach: u32,
    held: Vec<Call>,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    rank: f64,
    /// Position in its program.
    index: u32,
    length: u32,
    repeats: u32,
}

enum Message {
    Heartbeat(usize, usize, Report),
    Reply(usize, usize, Sums),
    Call(Call),
}

/// What a replay came to.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests that were executed, by time.
    executed: Vec<Millis>,
    /// Requests that were refused, by time.
    refused: Vec<Millis>,
    /// Programs that began, admitted or not, by time, with their length.
    begun: Vec<(Millis, u32)>,
    /// Requests that were refused though the organisation's programs stayed below its limit.
    wronged: u32,
    /// Programs that ended, by time, with their length.
    finished: Vec<(Millis, u32)>,
    /// Programs some of whose requests were executed, but not all.
    broken: u32,
}

impl Outcome {
    /// Highest number of requests in a window that begins in the interval.
    fn worst(&self, from: Millis, to: Millis) -> usize {
        let window = Settings::default().window_ms;
        let ends = self.executed.iter().enumerate().filter(|(_, at)| (from..to).contains(at));
        ends.map(|(first, at)| self.executed[first..].partition_point(|other| *other < at + window))
            .max()
            .unwrap_or(0)
    }

    /// Requests of finished programs per second.
    fn useful(&self, from: Millis, to: Millis) -> f64 {
        let finished = self.finished.iter().filter(|(at, _)| (from..to).contains(at));
        finished.map(|(_, length)| f64::from(*length)).sum::<f64>() * 1_000.0 / (to - from) as f64
    }
}

/// Highest number of requests that a window may have.
fn bound(limit: Limit) -> usize {
    let Settings { window_ms, overage, slack } = Settings::default();
    let allowed = limit.per_second * window_ms as f64 / 1_000.0 + limit.burst;
    (allowed * (1.0 + overage) + slack) as usize
}

struct Replay {
    load: Load,
    rng: StdRng,
    now: Millis,
    entries: Vec<Instance>,
    controls: Vec<Ledger>,
    messages: BTreeMap<Millis, Vec<Message>>,
    limit: Limit,
    outcome: Outcome,
}

impl Replay {
    fn new(load: Load) -> Self {
        let rng = StdRng::seed_from_u64(load.seed);
        let controls = (0..load.controls).map(|_| Ledger::new(Settings::default(), 0)).collect();
        let limit = load.limit;
        let mut replay = Self {
            rng,
            now: 0,
            entries: Vec::new(),
            controls,
            messages: BTreeMap::new(),
            limit,
            outcome: Outcome::default(),
            load,
        };
        (0..replay.load.entries).for_each(|_| replay.join());
        replay
    }

    fn join(&mut self) {
        let name = format!("entry-{}", self.entries.len());
        self.entries.push(Instance {
            gate: Gate::new(Settings::default(), &name, self.rng.random()),
            admitted: VecDeque::new(),
            phase: self.rng.random_range(0..BEAT_MS / STEP_MS) * STEP_MS,
            is_frozen: false,
            is_down: false,
            reach: u32::MAX,
            held: Vec::new(),
        });
    }

    fn run(mut self) -> Outcome {
        let mut events = self.load.events.clone();
        events.sort_by_key(|(at, _)| *at);
        let mut events = VecDeque::from(events);
        // Entries serve callers after their first heartbeats.
        let calls_from = 1_000;
        while self.now < self.load.until {
            while events.front().is_some_and(|(at, _)| *at <= self.now) {
                let (_, event) = events.pop_front().unwrap();
                self.apply(event);
            }
            if let Some((_, limit)) = self.load.limits.iter().rev().find(|(at, _)| *at <= self.now)
            {
                self.limit = *limit;
            }
            for message in self.messages.remove(&self.now).unwrap_or_default() {
                self.deliver(message);
            }
            (0..self.entries.len()).for_each(|entry| self.beat(entry));
            if self.now >= calls_from {
                self.begin_programs();
            }
            self.now += STEP_MS;
        }
        self.outcome
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Freeze(entry) => self.entries[entry].is_frozen = true,
            Event::Wake(entry) => {
                self.entries[entry].is_frozen = false;
                for call in std::mem::take(&mut self.entries[entry].held) {
                    self.call(entry, call);
                }
            }
            Event::Kill(entry) => self.entries[entry].is_down = true,
            Event::Restart(entry) => {
                let name = format!("entry-{entry}");
                let incarnation = self.rng.random();
                self.entries[entry].gate = Gate::new(Settings::default(), &name, incarnation);
                self.entries[entry].admitted.clear();
                self.entries[entry].is_down = false;
            }
            Event::Reach(entry, reach) => self.entries[entry].reach = reach,
            Event::RestartControl(control) => {
                self.controls[control] = Ledger::new(Settings::default(), self.now);
            }
            Event::Join => self.join(),
        }
    }

    fn send(&mut self, delay: Millis, message: Message) {
        let delay = delay.next_multiple_of(STEP_MS).max(STEP_MS);
        self.messages.entry(self.now + delay).or_default().push(message);
    }

    fn reaches(&self, entry: usize, control: usize) -> bool {
        let entry = &self.entries[entry];
        !entry.is_frozen && !entry.is_down && entry.reach & (1 << control) != 0
    }

    fn beat(&mut self, entry: usize) {
        let instance = &self.entries[entry];
        if instance.is_frozen || instance.is_down || self.now % BEAT_MS != instance.phase {
            return;
        }
        let report = self.entries[entry].gate.report(self.now);
        for control in 0..self.controls.len() {
            if self.reaches(entry, control) {
                self.send(WAY_MS, Message::Heartbeat(entry, control, report.clone()));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Heartbeat(entry, control, report) => {
                let ledger = &mut self.controls[control];
                ledger.record(self.now, &format!("entry-{entry}"), &report);
                let sums = ledger.sums(self.now, self.load.controls as u32);
                self.send(WAY_MS, Message::Reply(entry, control, sums));
            }
            Message::Reply(entry, control, sums) => {
                if self.reaches(entry, control) {
                    let name = format!("control-{control}");
                    self.entries[entry].gate.learn(self.now, &name, sums);
                }
            }
            Message::Call(call) => {
                // Callers all move to other entries every second.
                let spread = self.load.spread.min(self.entries.len());
                let first = (self.now / 1_000) as usize * 37;
                let entry = (first + self.rng.random_range(0..spread)) % self.entries.len();
                self.call(entry, call);
            }
        }
    }

    fn begin_programs(&mut self) {
        let demand = self.load.demand.iter().rev().find(|(at, _)| *at <= self.now);
        let requests = demand.map_or(0.0, |(_, demand)| *demand);
        let expected = requests / self.load.length * STEP_MS as f64 / 1_000.0;
        let count = expected.floor() as u32 + u32::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let longest = (2.0 * self.load.length) as u32 - 1;
            let length = self.rng.random_range(1..=longest.max(1));
            self.outcome.begun.push((self.now, length));
            let call = Call { rank: self.rng.random(), index: 0, length, repeats: 0 };
            self.deliver(Message::Call(call));
        }
    }

    fn call(&mut self, entry: usize, call: Call) {
        let instance = &mut self.entries[entry];
        if instance.is_frozen {
            instance.held.push(call);
            return;
        }
        if instance.is_down {
            self.send(500, Message::Call(call));
            return;
        }
        let is_new = call.index == 0;
        let admitted = match self.load.policy {
            Policy::Shared => instance
                .gate
                .admit(self.now, ORGANISATION, self.limit, call.rank, is_new)
                .map(drop)
                .map_err(|excess| excess.retry_ms),
            Policy::Scattered => {
                let rank = self.rng.random();
                instance
                    .gate
                    .admit(self.now, ORGANISATION, self.limit, rank, false)
                    .map(drop)
                    .map_err(|excess| excess.retry_ms)
            }
            Policy::Equal => {
                let window = Settings::default().window_ms;
                instance.admitted.retain(|at| self.now < at + window);
                let part = bound(self.limit) / self.load.entries;
                let is_admitted = instance.admitted.len() < part;
                instance.admitted.extend(is_admitted.then_some(self.now));
                is_admitted.then_some(()).ok_or(1_000)
            }
        };
        match admitted {
            Ok(()) => {
                self.outcome.executed.push(self.now);
                let next = Call { index: call.index + 1, repeats: 0, ..call };
                if next.index == next.length {
                    self.outcome.finished.push((self.now, next.length));
                } else {
                    self.send(PAUSE_MS, Message::Call(next));
                }
            }
            Err(pause) => {
                self.outcome.refused.push(self.now);
                self.outcome.wronged += u32::from(self.is_below_limit());
                if call.repeats < REPEATS {
                    let next = Call { repeats: call.repeats + 1, ..call };
                    let jitter = self.rng.random_range(75..125);
                    self.send(pause.min(1_000) * jitter / 100, Message::Call(next));
                } else if call.index > 0 {
                    self.outcome.broken += 1;
                }
            }
        }
    }
}

impl Replay {
    /// Whether the programs that began in the last window need no more requests than the limit.
    fn is_below_limit(&self) -> bool {
        let window = Settings::default().window_ms;
        let recent = self.outcome.begun.iter().rev().take_while(|(at, _)| self.now < at + window);
        let needed: u32 = recent.map(|(_, length)| length).sum();
        f64::from(needed) <= self.limit.per_second * window as f64 / 1_000.0 + self.limit.burst
    }
}

fn run(load: Load) -> Outcome {
    Replay::new(load).run()
}

const USUAL: f64 = 36.0;
const HOT: f64 = 7.5 * USUAL;

/// One organisation that sends 7.5 times its usual from 8 s on, for 6.5 s.
fn hot() -> Load {
    Load { demand: vec![(0, USUAL), (8_000, HOT), (14_500, USUAL)], ..Load::default() }
}

type Events = Vec<(Millis, Event)>;

fn each(entries: std::ops::Range<usize>, at: Millis, event: impl Fn(usize) -> Event) -> Events {
    entries.map(|entry| (at, event(entry))).collect()
}

/// Entries that reach only the control instances of a bit mask for an interval.
fn cut(entries: std::ops::Range<usize>, from: Millis, to: Millis, mask: u32) -> Events {
    let ends = each(entries.clone(), to, |entry| Event::Reach(entry, u32::MAX));
    [each(entries, from, |entry| Event::Reach(entry, mask)), ends].concat()
}

/// Replays a load with several seeds.
fn outcomes(load: &Load) -> Vec<Outcome> {
    (0..SEEDS).map(|seed| run(Load { seed, ..load.clone() })).collect()
}

/// The load with all rates multiplied.
fn scaled(load: &Load, factor: f64) -> Load {
    let scale =
        |limit: Limit| Limit { per_second: limit.per_second * factor, burst: limit.burst * factor };
    Load {
        limit: scale(load.limit),
        limits: load.limits.iter().map(|(at, limit)| (*at, scale(*limit))).collect(),
        demand: load.demand.iter().map(|(at, demand)| (*at, demand * factor)).collect(),
        ..load.clone()
    }
}

/// Checks that no window of a small, a middle and a large organisation has more requests than
/// allowed.
fn check_bound(name: &str, load: &Load) {
    for factor in [0.05, 1.0, 5.0] {
        let load = scaled(load, factor);
        let worst = outcomes(&load).iter().map(|outcome| outcome.worst(0, load.until)).max();
        let bound = bound(load.limit);
        assert!(worst.unwrap() <= bound, "{name} x {factor}: {worst:?} requests of {bound}");
    }
}

/// Requests that were refused below the limit, in percent.
fn wronged(load: &Load) -> f64 {
    let outcomes = outcomes(load);
    let wronged: u32 = outcomes.iter().map(|outcome| outcome.wronged).sum();
    let executed: usize = outcomes.iter().map(|outcome| outcome.executed.len()).sum();
    100.0 * f64::from(wronged) / (executed + wronged as usize) as f64
}

#[test]
fn below_the_limit_nothing_is_refused_unlike_by_equal_shares() {
    for (entries, factor, most) in
        [(100, 0.05, 2.0), (100, 1.0, 0.5), (100, 5.0, 0.0), (340, 1.0, 0.5), (57, 5.0, 0.0)]
    {
        let load = scaled(&Load { entries, until: 30_000, ..Load::default() }, factor);
        let shared = wronged(&load);
        let equal = wronged(&Load { policy: Policy::Equal, ..load });
        assert!(shared <= most, "{entries} x {factor}: {shared} % refused below the limit");
        assert!(factor > 1.0 || equal >= 5.0, "{entries} x {factor}: {equal} % by equal shares");
    }
}

#[test]
fn a_hot_organisation_keeps_to_the_bound_through_entries_that_change() {
    for (entries, spread) in [(100, 100), (100, 5), (340, 340), (57, 3)] {
        check_bound(&format!("{entries}, {spread}"), &Load { entries, spread, ..hot() });
    }
}

#[test]
fn a_hot_organisation_gets_whole_programs_unlike_by_other_rules() {
    let load = Load { demand: vec![(0, USUAL), (8_000, HOT)], until: 60_000, ..hot() };
    let useful = |policy: Policy, spread: usize| {
        let outcomes = outcomes(&Load { policy, spread, ..load.clone() });
        let sum: f64 = outcomes.iter().map(|outcome| outcome.useful(10_000, 60_000)).sum();
        sum / SEEDS as f64 / load.limit.per_second
    };
    for spread in [100, 5] {
        let shared = useful(Policy::Shared, spread);
        let scattered = useful(Policy::Scattered, spread);
        let equal = useful(Policy::Equal, spread);
        assert!(shared >= 0.8, "{spread}: programs that ended had {shared} of the limit");
        assert!(scattered <= 0.5, "{spread}: {scattered} without regard to programs");
        assert!(equal <= 0.3, "{spread}: {equal} by equal shares");
    }
}

#[test]
fn entries_that_freeze_restart_join_or_are_cut_off_keep_to_the_bound() {
    let frozen = |count, from, to| {
        [each(0..count, from, Event::Freeze), each(0..count, to, Event::Wake)].concat()
    };
    let cases: [(&str, Events); 10] = [
        ("frozen before the rise", frozen(33, 6_000, 10_000)),
        ("frozen after it", frozen(20, 8_500, 12_500)),
        ("restarted", each(0..55, 9_500, Event::Restart)),
        ("joined", each(0..40, 8_500, |_| Event::Join)),
        ("cut off before the rise", cut(0..33, 7_000, 12_500, 0)),
        ("cut off with it", cut(0..33, 8_000, 13_500, 0)),
        ("cut off after it", cut(0..33, 9_000, 14_500, 0)),
        ("all cut off with it", cut(0..100, 8_000, 13_500, 0)),
        ("all cut off after it", cut(0..100, 9_000, 14_500, 0)),
        ("cut in two", [cut(0..50, 7_000, 13_500, 1), cut(50..100, 7_000, 13_500, 6)].concat()),
    ];
    for (name, events) in cases {
        check_bound(name, &Load { events, ..hot() });
    }
}

#[test]
fn restarts_of_control_instances_keep_to_the_bound() {
    let controls = |at: Millis, step: Millis| -> Events {
        (0..3)
            .map(|control| (at + step * control as Millis, Event::RestartControl(control)))
            .collect()
    };
    check_bound("one by one", &Load { events: controls(8_200, 700), ..hot() });
    check_bound("together", &Load { events: controls(9_500, 0), ..hot() });
    for at in [8_000, 9_000] {
        let calm = Load { events: controls(at, 0), demand: vec![(0, USUAL)], ..Load::default() };
        let wronged = wronged(&calm);
        assert!(wronged <= 3.0, "{wronged} % refused below the limit");
    }
}

/// Nobody knows then what was admitted before.
#[test]
fn a_restart_of_everything_hands_out_no_second_burst() {
    for ended_at in [8_500, 9_500, 11_500] {
        let back_at = ended_at + 2_000;
        let events = [
            each(0..100, ended_at, Event::Kill),
            each(0..100, back_at, Event::Restart),
            (0..3).map(|control| (back_at, Event::RestartControl(control))).collect(),
        ];
        check_bound(&format!("ended at {ended_at}"), &Load { events: events.concat(), ..hot() });
    }
}

#[test]
fn without_contact_an_organisation_goes_on_for_some_time() {
    let calm = Load { demand: vec![(0, USUAL)], ..Load::default() };
    for (name, count, most) in [("some", 33, 2.0), ("all", 100, 4.0)] {
        let wronged = wronged(&Load { events: cut(0..count, 8_000, 10_000, 0), ..calm.clone() });
        assert!(wronged <= most, "{name}: {wronged} % refused below the limit");
    }
}

#[test]
fn a_lower_limit_holds_one_window_later() {
    let limit = Limit { per_second: 60.0, burst: 0.0 };
    let lower = Limit { per_second: 30.0, burst: 0.0 };
    let limits = vec![(0, limit), (10_000, lower)];
    let load = Load { limit, limits, demand: vec![(0, HOT)], until: 40_000, ..Load::default() };
    for outcome in outcomes(&load) {
        let worst = outcome.worst(15_000, 40_000);
        assert!(worst <= bound(lower), "{worst} requests of {}", bound(lower));
        let useful = outcome.useful(20_000, 40_000);
        assert!(useful >= 0.7 * lower.per_second, "{useful} requests/s of programs that ended");
    }
}

#[test]
fn permits_are_given_back() {
    let limit = Limit { per_second: 1.0, burst: 5.0 };
    let settings = Settings { slack: 0.0, overage: 0.0, ..Settings::default() };
    let mut gate = Gate::new(settings.clone(), "entry", 1);
    let sums = |at: Millis| Ledger::new(settings.clone(), 0).sums(at, 1);
    gate.learn(10_000, "control", sums(10_000));
    for _ in 0..100 {
        let permit = gate.admit(10_100, ORGANISATION, limit, 0.5, false).unwrap();
        gate.give_back(permit);
    }
    let permits: Vec<_> =
        (0..100).filter_map(|_| gate.admit(10_200, ORGANISATION, limit, 0.5, false).ok()).collect();
    assert_eq!(permits.len(), 10, "a gate alone admits the limit");
    assert_eq!(gate.report(10_200).uses[0].admitted, 10);
    let pause = gate.admit(10_200, ORGANISATION, limit, 0.5, false).unwrap_err().retry_ms;
    assert!((400..=5_000).contains(&pause), "{pause}");
}

/// Bytes of heartbeats grow with the organisations that lately sent requests through an entry, and
/// those of replies with the organisations near their limits.
#[test]
fn only_what_changed_is_sent() {
    let size = |value: &Report| postcard::to_stdvec(value).unwrap().len();
    let limit = Limit { per_second: 60.0, burst: 30.0 };
    let mut gate = Gate::new(Settings::default(), "entry", 7);
    let mut ledger = Ledger::new(Settings::default(), 0);
    gate.learn(10_000, "control", ledger.sums(10_000, 1));
    let organisations: Vec<u64> = (0..880).map(|i| usage::digest(&format!("org-{i}"))).collect();
    for organisation in &organisations {
        let _ = gate.admit(10_000, *organisation, limit, 0.1, true);
    }
    gate.learn(12_000, "control", ledger.sums(12_000, 1));
    for organisation in &organisations[..10] {
        let _ = gate.admit(12_000, *organisation, limit, 0.1, true);
    }
    let report = gate.report(12_100);
    assert_eq!(report.uses.len(), 10);
    let bytes = size(&report);
    assert!(bytes <= 10 + 10 * 18, "{bytes} bytes");
    ledger.record(12_100, "entry", &report);
    let sums = ledger.sums(12_200, 1);
    assert!(sums.near.is_empty(), "{sums:?}");
    assert!(size(&gate.report(14_000)) <= 8);
}

/// Load pattern: programs on a route that doesn't retain turns, so that each turn looks like the first one of a program, of an
/// organisation that uses two thirds of its limit.
#[test]
fn turns_that_look_like_first_ones_are_refused_while_much_is_left() {
    let limit = Limit { per_second: 85.0, burst: 85.0 };
    let organisation = usage::digest("o");
    let mut gate = Gate::new(Settings::default(), "e1", 1);
    let sum =
        Sum { organisation, used: 356, leaving: 70, asked_new: 6, asked_more: 9, length: 20 * 16 };
    for now in (10_000..12_000).step_by(200) {
        let sums = Sums { covered_ms: 5_000, entries: 20, controls: 1, near: vec![sum] };
        gate.learn(now, "c1", sums);
        let admitted = gate.admit(now, organisation, limit, 0.95, true);
        assert!(admitted.is_ok(), "at {now}: {admitted:?}");
    }
}
