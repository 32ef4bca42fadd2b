//! Limits on the requests of an organisation through all entries together.
//!
//! Every entry reports in its heartbeats, for each organisation that lately sent requests, how
//! many it admitted since its start and how many were asked for. Every control instance adds the
//! reports of all entries up in a [`Ledger`] and relays the sums of the organisations that are
//! near their limits. From those, each entry's [`Gate`] computes which share of an organisation's
//! requests may be admitted, the same one at all entries: nobody grants anything, and there is no
//! leader, no message on the path of a request, and nothing to be handed over when callers change
//! the entry. Control instances that hear only some of the entries do no harm, since entries go by
//! the highest sum of a majority of the control instances, any two of which have one in common.
//!
//! Each program has a fixed rank between 0 and 1, the hash of its id, and is admitted if its rank
//! is below the share. So all entries admit the same programs, and these end; programs that are
//! under way go before new ones.
//!
//! The sums are late by up to two heartbeats. What is admitted too much in this time stays within
//! the tolerance of [`Settings`], as does what entries without contact admit: there, an
//! organisation keeps to what it used before for a short time, and then to a small fixed share.
//!
//! Load pattern: hundreds of organisations, most of them with less than one request per second,
//! one of which suddenly sends several times its limit through entries that change all the time,
//! while instances freeze, restart or are cut off.

mod gate;
mod ledger;
mod window;

pub use gate::{Excess, Gate, Permit, Status};
pub use ledger::Ledger;

use crate::{Millis, routing};
use serde::{Deserialize, Serialize};

/// Bits of an organisation's digest that messages carry: among thousands of organisations, two
/// practically never agree in them.
const DIGEST_BITS: u32 = 48;

/// Share of the tolerance that entries in contact may use; the rest is for what is admitted while
/// sums are late, and by entries without contact.
const TOLERANCE_SHARE: f64 = 0.2;

/// Time in which requests that are asked for are counted, in milliseconds: more than a heartbeat, and
/// short because the demand may change at once.
const ASKED_MS: Millis = 300;

/// Age up to which requests are reported, in milliseconds: several heartbeats, some of which may be
/// lost.
const REPORT_MS: Millis = 1_000;

/// Digest of an organisation's name, which stands for it in messages.
pub fn digest(name: &str) -> u64 {
    routing::digest(name.as_bytes()) >> (u64::BITS - DIGEST_BITS)
}

/// How requests are counted against a limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Length of the sliding window in which requests are counted, in milliseconds.
    pub window_ms: Millis,
    /// Share of the limit by which a window may exceed it.
    pub overage: f64,
    /// Number of requests by which a window may exceed the limit besides.
    pub slack: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { window_ms: 5_000, overage: 0.1, slack: 20.0 }
    }
}

impl Settings {
    /// Requests that are allowed in a window.
    fn allowed(&self, limit: Limit) -> f64 {
        limit.per_second * self.window_ms as f64 / 1_000.0 + limit.burst
    }

    /// Requests by which a window may exceed what is allowed.
    fn tolerance(&self, limit: Limit) -> f64 {
        self.allowed(limit) * self.overage + self.slack
    }

    /// Number of requests in a window that entries in contact aim at.
    fn target(&self, limit: Limit) -> f64 {
        self.allowed(limit) + self.tolerance(limit) * TOLERANCE_SHARE
    }
}

/// Limit on the requests of an organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// What an entry reports of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The [`digest`] of its name.
    pub organisation: u64,
    /// Number of requests in a window that the entry aims at for all entries together.
    pub target: u32,
    /// Number of requests that were admitted since the entry's start; it wraps around.
    pub admitted: u32,
    /// Number of those that began programs; it wraps around.
    pub begun: u32,
    /// Number of requests that were admitted in the last second, for a control instance that does
    /// not know the earlier number of `admitted`.
    pub recent: u32,
    /// Number of requests that would begin programs, admitted or not, lately.
    pub asked_new: u32,
    /// Number of other requests, admitted or not, lately.
    pub asked_more: u32,
}

/// What an entry reports of the organisations that lately sent requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number that changes when the entry restarts.
    pub incarnation: u32,
    /// The organisations.
    pub uses: Vec<Use>,
}

/// Sum of what all entries reported of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// The [`digest`] of its name.
    pub organisation: u64,
    /// Number of requests that were admitted in the last window.
    pub used: u32,
    /// Number of those that leave the window within the next second.
    pub leaving: u32,
    /// Number of requests that would begin programs, lately.
    pub asked_new: u32,
    /// Number of other requests lately.
    pub asked_more: u32,
    /// Average number of requests of a program, times 16.
    pub length: u32,
}

/// Sums that a control instance relays to entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Time for which the control instance has been counting, at most one window, in milliseconds.
    pub covered_ms: u32,
    /// Number of entries that report to it.
    pub entries: u32,
    /// Number of control instances of the deployment; 0 if that is not known.
    pub controls: u32,
    /// Sums of the organisations near their limits; others are far below.
    pub near: Vec<Sum>,
}
