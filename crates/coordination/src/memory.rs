//! How much memory a process gives out to those it serves, and which upload gives way.
//!
//! Whatever arrives is taken from one budget before it is held. If the budget is used up, the
//! upload that has fallen behind an ordinary rate for the longest time gives way; if none has, the
//! newcomer is refused. An upload that is sent at an ordinary rate is never the one that gives way.
//!
//! What a response makes an instance hold is bounded by what is left free: each may hold as much as
//! all others still can. Ordinary responses hold little, so one that asks for more than its share is
//! given up whoever asked first, and room is left for the next ones.
//!
//! Load pattern: clients that keep to no limit open many uploads at once, send most of each, and
//! then stand still or go on byte by byte, while ordinary callers send theirs; and faulty backend
//! servers that send responses without end to many requests at once.

use crate::Millis;

/// Rate below which an upload falls behind, in bytes per millisecond. The slowest links of callers
/// carry a multiple of it.
const ORDINARY_RATE: u64 = 64;

/// How far an upload may be behind before it may be made to give way, in milliseconds: a pause in
/// which a lost packet is sent again.
const TOLERANCE_MS: Millis = 500;

/// Memory that a process needs beside what it holds at rest and gives out: its own tasks, buffers
/// below the size that is counted, and what the allocator keeps.
const WORKING_BYTES: u64 = 16 * 1024 * 1024;

/// Size up to which what a response holds is not counted, in bytes: more than the events of an ordinary
/// turn, so that these never depend on what others hold.
const ORDINARY_RESPONSE_BYTES: usize = 16 * 1024;

/// Returns how many bytes have to be granted to a response that holds `bytes` in `copies` copies.
pub fn counted(bytes: usize, copies: usize) -> usize {
    bytes.saturating_sub(ORDINARY_RESPONSE_BYTES).saturating_mul(copies)
}

/// Whether a response that was granted `own` bytes may be granted `wanted`, if all together hold
/// `held` of `limit` bytes. As much as it gets has to stay free (A. K. Choudhury and E. L. Hahne,
/// "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998): `n` responses without
/// end get one part in `n + 1` each.
pub fn may_grow(limit: usize, held: usize, own: usize, wanted: usize) -> bool {
    let others = held.saturating_sub(own);
    wanted <= limit.saturating_sub(others).saturating_sub(wanted)
}

/// Returns how much of `machine` bytes a process gives out if it holds `at_rest` bytes for itself.
/// `percent` of what is free is given out; the rest is for copies in progress.
pub fn budget(machine: u64, at_rest: u64, percent: u64) -> u64 {
    let free = machine.saturating_sub(at_rest).saturating_sub(WORKING_BYTES);
    free / 100 * percent
}

/// How far an upload is behind an ordinary rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time up to which the bytes received so far suffice.
    covered_until: Millis,
}

impl Pace {
    /// Starts an upload.
    pub fn new(now: Millis) -> Self {
        Self { covered_until: now }
    }

    /// Records the arrival of `bytes`. Bytes that arrive early cover no later time, so that an upload
    /// cannot stand still on what it sent before.
    pub fn advance(&mut self, now: Millis, bytes: u64) {
        let covered = self.covered_until.saturating_add(bytes.div_ceil(ORDINARY_RATE));
        self.covered_until = covered.min(now);
    }

    /// Returns by how long the upload is behind.
    pub fn lag(&self, now: Millis) -> Millis {
        now.saturating_sub(self.covered_until)
    }
}

/// Returns the upload that gives way, if any may be made to: the one that is furthest behind.
pub fn choose<'a>(
    now: Millis,
    uploads: impl IntoIterator<Item = (&'a u64, &'a Pace)>,
) -> Option<u64> {
    let lags = uploads.into_iter().map(|(id, pace)| (pace.lag(now), *id));
    let behind = lags.filter(|(lag, _)| *lag > TOLERANCE_MS);
    // Of two that are equally far behind, the older one gives way.
    behind.max_by_key(|(lag, id)| (*lag, std::cmp::Reverse(*id))).map(|(_, id)| id)
}
