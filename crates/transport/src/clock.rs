//! The process's clock.

use coordination::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock with its offset to the Unix epoch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { start: Instant::now(), start_unix_ms: unix_ms() }
    }

    /// Time since the process started.
    pub(crate) fn now(&self) -> Millis {
        millis(self.start.elapsed())
    }

    /// Time since the Unix epoch at the start of the process, in milliseconds.
    pub(crate) fn start_unix_ms(&self) -> u64 {
        self.start_unix_ms
    }

    /// Time since the Unix epoch, in milliseconds.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.start_unix_ms + self.now()
    }
}

/// Time of day, in milliseconds since the Unix epoch; it may jump.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(since_epoch)
}

/// Whole milliseconds of a time.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
