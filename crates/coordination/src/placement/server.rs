//! What one instance knows of a backend server.

use crate::Millis;
use crate::limit::Limit;
use crate::pace::Step;
use crate::placement::Listing;

/// How an attempt on a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It could not be reached, or the connection was lost.
    Failed,
    /// It refused the request because it had no free slot.
    Full,
    /// Another server has taken over its address.
    Gone,
    /// The caller disconnected.
    Cancelled,
}

/// Local state of one backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its entry in the platform's list.
    pub listed: Listing,
    pub(super) digest: u64,
    /// Requests that this instance has outstanding there.
    pub outstanding: u32,
    /// Requests that the other instances have outstanding there, by their last reports.
    pub remote_outstanding: u32,
    /// Time that it takes for one event of a stream, as all instances observe it.
    pub pace: Step,
    /// Rate limit that it announces.
    pub limit: Limit,
    /// Whether it said in a response that it is about to stop.
    pub(super) announced_leaving: bool,
    /// Whether an invalid announcement of it was reported.
    pub(super) has_reported_invalid: bool,
    pub(super) failures: u32,
    pub(super) suspended_until: Millis,
    /// Whether it has fallen silent, and what became of it isn't known.
    pub(super) is_silent: bool,
}

impl Server {
    /// Known number of requests of all instances that it processes.
    pub fn load(&self) -> u32 {
        self.outstanding.saturating_add(self.remote_outstanding)
    }

    /// Whether it is about to stop, as the list shows or it said itself. It is sent nothing new.
    pub fn is_leaving(&self) -> bool {
        self.listed.is_draining || self.announced_leaving
    }

    /// Load, in percent of the slots.
    pub(super) fn load_percent(&self) -> u32 {
        self.load().saturating_mul(100) / self.listed.slots.max(1)
    }

    /// Whether it may be chosen at `now`.
    pub fn is_available(&self, now: Millis) -> bool {
        !self.is_leaving()
            && !self.is_silent
            && self.suspended_until <= now
            && self.limit.permits(now) > 0
    }
}
