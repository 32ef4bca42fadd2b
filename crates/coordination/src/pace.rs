//! Pace of backend servers: the time that each takes for one event of a stream.
//!
//! Servers of one service differ in speed, and some turn slow for seconds. An instance sees few streams of each server, so
//! instances report what they observe and learn the averages of all from each other. A pace is exchanged as a [`Step`] on a
//! logarithmic scale, since only ratios of paces matter.
//!
//! Load pattern: dozens of instances, each with a few streams a second on dozens of servers, some of which take twice as long as
//! others at any load.

use crate::Millis;
use serde::{Deserialize, Serialize};
use state::collections::Map;

/// Ratio of two consecutive steps. Streams on one server vary by more than that.
const RATIO: f64 = 1.1;

/// Part of an average that one observation replaces. A server that turns slow is noticed after some five streams.
const GAIN: f64 = 0.2;

/// Time without an observation after which an average no longer counts, in milliseconds: a server that is given no new
/// requests because it was slow is tried again then.
const EXPIRY_MS: Millis = 6_000;

/// Minimum number of intervals between events from which a pace is computed. The first events of a stream wait for the prompts
/// of others.
pub const MIN_INTERVALS: u64 = 3;

/// Time per event on a logarithmic scale; 0 stands for an unknown pace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Step(pub u8);

impl Step {
    /// The step of a time per event, in microseconds.
    pub fn new(micros: u64) -> Self {
        let step = (micros.max(1) as f64).ln() / RATIO.ln();
        Self(step.round().clamp(1.0, f64::from(u8::MAX)) as u8)
    }

    /// Whether the pace is known.
    pub fn is_known(self) -> bool {
        self.0 != 0
    }

    /// The faster one of two paces; an unknown one if either is unknown.
    pub fn faster(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// How much slower this pace is than `other`; 1 if either is unknown.
    pub fn ratio(self, other: Self) -> f64 {
        if !self.is_known() || !other.is_known() {
            return 1.0;
        }
        RATIO.powi(i32::from(self.0) - i32::from(other.0))
    }
}

/// Paces of the streams of one instance that were not reported yet.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    pending: Vec<(String, Step)>,
}

impl Observations {
    /// Maximum number of observations that one report contains; further ones are left out.
    const MAX_PENDING: usize = 64;

    /// Records that a stream on `server` had `intervals` intervals between its events in `micros` microseconds. Short streams
    /// say little and are left out.
    pub fn record(&mut self, server: &str, micros: u64, intervals: u64) {
        if intervals >= MIN_INTERVALS && self.pending.len() < Self::MAX_PENDING {
            self.pending.push((server.to_owned(), Step::new(micros / intervals)));
        }
    }

    /// Takes what was observed since the last report.
    pub fn take(&mut self) -> Vec<(String, Step)> {
        std::mem::take(&mut self.pending)
    }
}

/// Average of one server.
#[derive(Debug, Clone, Copy)]
struct Average {
    /// Fractional step.
    step: f64,
    at: Millis,
}

/// Average paces of all servers, from the observations of all instances.
#[derive(Debug, Clone, Default)]
pub struct Averages {
    by_server: Map<String, Average>,
}

impl Averages {
    /// Adds what one instance observed.
    pub fn extend(&mut self, now: Millis, observed: &[(String, Step)]) {
        for (server, step) in observed.iter().filter(|(_, step)| step.is_known()) {
            let step = f64::from(step.0);
            let average = self.by_server.entry(server.clone()).or_insert(Average { step, at: now });
            average.step += (step - average.step) * GAIN;
            average.at = now;
        }
        self.by_server.retain(|_, average| now < average.at + EXPIRY_MS);
    }

    /// The pace of a server.
    pub fn step(&self, now: Millis, server: &str) -> Step {
        let average = self.by_server.get(server).filter(|average| now < average.at + EXPIRY_MS);
        average.map_or(Step::default(), |average| Step(average.step.round() as u8))
    }
}
