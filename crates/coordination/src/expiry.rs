//! When the leader of a journal moves the time of its state on.
//!
//! A state takes its time from the commands that are applied, so that all replicas agree on what has
//! expired. Nothing would expire while none is applied, for example because all are refused until
//! something has expired, or while the clocks of all senders are behind the time that one of them
//! named. So the leader proposes a command of its own then. Its time goes on from that of the state as
//! the leader's monotonic clock does, so that no step of a clock makes anything expire early; the
//! time for which no replica runs isn't counted.
//!
//! Load pattern: a caller fills the room for retained content within seconds, after which only
//! commands that need room arrive.

use crate::Millis;

/// Time for which no command has moved the time of the state on when the leader does, and shortest
/// interval between two attempts, in milliseconds.
pub const INTERVAL_MS: Millis = 1_000;

/// Timer of one replica.
#[derive(Debug, Clone, Default)]
pub struct Timer {
    /// Time of the state, in milliseconds since the Unix epoch.
    time_ms: u64,
    /// When it was first seen.
    moved_at: Millis,
    /// When the time of the state was last to be moved on.
    last_due: Millis,
}

impl Timer {
    /// Returns the time to which the state is to be moved on if this replica leads, in milliseconds
    /// since the Unix epoch; `None` while commands do so. `time_ms` is that of the state now.
    pub fn due(&mut self, now: Millis, time_ms: u64) -> Option<u64> {
        if self.time_ms != time_ms {
            (self.time_ms, self.moved_at) = (time_ms, now);
        }
        let is_due = now >= self.moved_at.max(self.last_due) + INTERVAL_MS;
        is_due.then(|| {
            self.last_due = now;
            time_ms.saturating_add(now - self.moved_at)
        })
    }
}
