//! The clock of the process.
//!
//! Timers use monotonic time since the start of the process; times that are stored or sent to
//! other instances use milliseconds since the Unix epoch. Monotonic time stands still while the machine
//! is suspended; a lease that others count on needs [`boot_ms`], which doesn't.

use coordination::Millis;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that also knows the wall-clock time at which it was created.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub(crate) fn new() -> Self {
        Self { start: Instant::now(), start_unix_ms: unix_ms() }
    }

    /// Time since the clock was created, in milliseconds.
    pub(crate) fn now(&self) -> Millis {
        millis(self.start.elapsed())
    }

    /// Time at which the clock was created, in milliseconds since the Unix epoch.
    pub(crate) fn start_unix_ms(&self) -> u64 {
        self.start_unix_ms
    }

    /// Current time in milliseconds since the Unix epoch. It does not jump, since it follows the
    /// monotonic clock from [`Clock::start_unix_ms`] on.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.start_unix_ms + self.now()
    }
}

/// Time of the system clock, in milliseconds since the Unix epoch; it jumps if that is adjusted.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(since_epoch)
}

/// Time since the machine was started, including the time for which it was suspended, in milliseconds.
pub(crate) fn boot_ms() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanoseconds) = (u64::try_from(time.tv_sec), u64::try_from(time.tv_nsec));
    seconds.unwrap_or(0) * 1_000 + nanoseconds.unwrap_or(0) / 1_000_000
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
