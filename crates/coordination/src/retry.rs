//! Limits on retries.

use crate::Millis;
use rand::{Rng, RngExt};

/// Share of successes that may be retried.
const RETRY_RATIO: f64 = 0.1;

/// Retries that may be saved up.
const RETRY_BURST: f64 = 10.0;

/// A retry budget fed by successes.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: RETRY_BURST }
    }
}

impl Budget {
    /// Notes a success.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Takes a retry if one is left.
    pub fn withdraw(&mut self) -> bool {
        let is_covered = self.tokens >= 1.0;
        if is_covered {
            self.tokens -= 1.0;
        }
        is_covered
    }
}

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Upper bound of the first delay, in milliseconds.
    pub first_ms: Millis,
    /// Upper bound of every delay, in milliseconds.
    pub most_ms: Millis,
}

impl Backoff {
    /// Delay before retry number `retry`, counted from 0.
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> Millis {
        let bound = self.first_ms.saturating_mul(1 << retry.min(16)).min(self.most_ms).max(1);
        rng.random_range(bound.div_ceil(2)..=bound)
    }
}

/// Permits that refill at a fixed rate.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled: Millis,
}

impl Bucket {
    /// A full bucket.
    pub fn new(per_second: f64, burst: f64, now: Millis) -> Self {
        Self { per_second, burst, tokens: burst, refilled: now }
    }

    /// Takes one permit if there is one.
    pub fn take(&mut self, now: Millis) -> bool {
        let elapsed = now.saturating_sub(self.refilled) as f64 / 1_000.0;
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        let is_covered = self.tokens >= 1.0;
        if is_covered {
            self.tokens -= 1.0;
        }
        is_covered
    }
}
