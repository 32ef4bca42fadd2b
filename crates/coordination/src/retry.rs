//! Rate limits: retry budgets, backoff delays and token buckets.

use crate::Millis;
use rand::{Rng, RngExt};

/// Retries that each success adds to a budget.
const RETRY_RATIO: f64 = 0.1;

/// Maximum number of retries in a budget; also its initial value.
const RETRY_BURST: f64 = 10.0;

/// Pause in milliseconds before a request that was refused is sent again, with `remaining` until its
/// deadline: the one that the refusal names, but at least `least`. `None` if less than `needed` would
/// remain after it.
pub fn pause_within(
    named: Option<Millis>,
    least: Millis,
    remaining: Millis,
    needed: Millis,
) -> Option<Millis> {
    let pause = named.unwrap_or(least).max(least);
    (pause.saturating_add(needed) < remaining).then_some(pause)
}

/// Retry budget that is replenished by successes, so that retries stay a bounded share of the
/// requests when a service fails.
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
    /// Adds the share of a retry that a success earns.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Withdraws one retry; `false` if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

/// Exponential backoff with equal jitter: each delay is between half of its bound and the bound.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Upper bound of the first delay, in milliseconds.
    pub first_ms: Millis,
    /// Upper bound of every delay, in milliseconds.
    pub max_ms: Millis,
}

impl Backoff {
    /// Delay before retry number `retry`, counted from 0.
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> Millis {
        let bound = self.first_ms.saturating_mul(1 << retry.min(16)).min(self.max_ms).max(1);
        rng.random_range(bound.div_ceil(2)..=bound)
    }
}

/// Token bucket that is refilled at a fixed rate.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl Bucket {
    /// Creates a full bucket with a rate of `per_second` and a capacity of `burst` permits.
    pub fn new(per_second: f64, burst: f64, now: Millis) -> Self {
        Self { per_second, burst, tokens: burst, refilled_at: now }
    }

    /// Creates an empty bucket.
    pub fn empty(per_second: f64, burst: f64, now: Millis) -> Self {
        Self { tokens: 0.0, ..Self::new(per_second, burst, now) }
    }

    /// Replaces rate and capacity from `now` on.
    pub fn set_rate(&mut self, per_second: f64, burst: f64, now: Millis) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Permits per second.
    pub fn rate(&self) -> f64 {
        self.per_second
    }

    /// Number of permits that are available at `now`; none if the rate is 0.
    pub fn available(&self, now: Millis) -> u32 {
        if self.per_second > 0.0 { self.tokens_at(now) as u32 } else { 0 }
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1_000.0;
        (self.tokens + elapsed * self.per_second).min(self.burst)
    }

    fn refill(&mut self, now: Millis) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes one permit; `false` if none is available at `now`.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
