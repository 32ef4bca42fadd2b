//! Which commands the leader of a journal accepts while it falls behind.
//!
//! All commands of a journal pass its leader, which may have less processor time or a slower disk
//! than the commands need. What it has accepted it must carry out, also for senders that have given
//! up meanwhile, and those send again. Without a bound on the wait, a burst of some seconds
//! therefore leaves a queue that only grows: everything that is answered is answered too late, also
//! after the load has fallen. So a command is refused while the oldest accepted one has been waiting
//! for longer than its share of the time that senders wait; the more work is lost with a command,
//! the larger is its share.
//!
//! A refused command costs little, and its sender tries again after a pause that grows.
//!
//! Load pattern: commands arrive at twice the rate that the leader can follow for some seconds, then
//! at half of that rate; senders give up after a second and send again.

use crate::Millis;
use rand::{Rng, RngExt};
use state::machine::Class;
use std::time::Duration;

/// Time for which senders wait for the result of a command, in milliseconds.
pub const SENDER_TIMEOUT_MS: Millis = 1_000;

/// Part of that time for which the leader may be behind when it accepts new work.
const BEGIN_SHARE: Millis = 8;

/// Syncs between the arrival of a command and its result: that under way, and its own.
const SYNCS: f64 = 2.0;

/// Part by which the usual time of a sync grows at most with each sync.
const SYNC_GROWTH: f64 = 1.0 / 16.0;

/// The same, in milliseconds, for a disk that was very fast.
const MIN_SYNC_GROWTH_MS: f64 = 1.0;

/// First pause before a command that was refused is sent again: the time in which the leader carries
/// out what it has accepted when new work is refused.
const MIN_PAUSE: Duration = Duration::from_millis(SENDER_TIMEOUT_MS / BEGIN_SHARE);

/// Number of times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// How far the journal of a leader may be behind.
///
/// A disk whose syncs are slow makes each command wait, however many there are, so that its usual
/// time is no sign of a backlog. Syncs of large batches take longer, so that the usual time follows
/// slowly upwards and at once downwards.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// Usual time of a sync, in milliseconds.
    sync_ms: f64,
}

impl Tolerance {
    /// Records the time of a sync.
    pub fn observe_sync(&mut self, time: Duration) {
        let growth = (self.sync_ms * SYNC_GROWTH).max(MIN_SYNC_GROWTH_MS);
        self.sync_ms = (time.as_secs_f64() * 1_000.0).min(self.sync_ms + growth);
    }

    /// Returns for how long the oldest accepted command may have been waiting when a command of this
    /// class is accepted, in milliseconds.
    pub fn limit(&self, class: Class) -> Millis {
        let share = match class {
            Class::Begin => BEGIN_SHARE,
            Class::Continue => 4,
            Class::End => 2,
        };
        SENDER_TIMEOUT_MS / share + (SYNCS * self.sync_ms) as Millis
    }
}

/// Returns the pause before a command that was refused `count` times is sent again. The jitter keeps
/// senders that were refused together from coming back together.
pub fn pause(count: u32, rng: &mut impl Rng) -> Duration {
    let doublings = count.saturating_sub(1).min(MAX_DOUBLINGS);
    (MIN_PAUSE * 2_u32.pow(doublings)).mul_f64(rng.random_range(0.75..1.25))
}
