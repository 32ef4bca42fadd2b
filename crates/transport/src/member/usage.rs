//! What organisations use of their limits, as it passes in heartbeats.
//!
//! An entry reports what it admits, a control instance relays the sums of all entries. Nothing is
//! sent while no organisation has a limit.

use coordination::Millis;
use coordination::usage::{Gate, Ledger, Report, Settings, Sums};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// State of the limits on one instance.
#[derive(Debug)]
pub(crate) struct Usage {
    /// Admission of requests; used by entries.
    pub(crate) gate: Mutex<Gate>,
    /// Sums of what all entries admit; used by control instances.
    ledger: Mutex<Ledger>,
    /// Whether an organisation has a limit.
    is_limited: AtomicBool,
}

impl Usage {
    /// Creates the state of the instance with name `own`, which starts at `now`.
    pub(crate) fn new(settings: &Settings, own: &str, now: Millis) -> Self {
        Self {
            gate: Mutex::new(Gate::new(settings.clone(), own, rand::random())),
            ledger: Mutex::new(Ledger::new(settings.clone(), now)),
            is_limited: AtomicBool::new(false),
        }
    }

    /// Sets whether an organisation has a limit; returns `true` if none had one before. `is_first` says
    /// whether the instance has just started.
    pub(crate) fn set_limited(&self, now: Millis, is_limited: bool, is_first: bool) -> bool {
        let was_limited = self.is_limited.swap(is_limited, Ordering::Relaxed);
        let is_introduced = is_limited && !was_limited;
        if let Ok(mut gate) = self.gate.lock()
            && is_introduced
            && !is_first
        {
            gate.open(now);
        }
        is_introduced
    }

    /// Returns what the next heartbeat reports.
    pub(crate) fn report(&self, now: Millis) -> Option<Report> {
        let gate = self.gate.lock().ok().filter(|_| self.is_limited.load(Ordering::Relaxed))?;
        Some(gate.report(now))
    }

    /// Records the report of an entry and returns the sums for the reply.
    pub(crate) fn exchange(
        &self,
        now: Millis,
        name: &str,
        report: Option<&Report>,
        controls: usize,
    ) -> Option<Sums> {
        let report = report?;
        let mut ledger = self.ledger.lock().ok()?;
        ledger.record(now, name, report);
        Some(ledger.sums(now, u32::try_from(controls).unwrap_or(u32::MAX)))
    }

    /// Applies the sums that the control instance at `from` sent after `sent_at`.
    pub(crate) fn learn(&self, sent_at: Millis, from: &str, sums: Option<Sums>) {
        if let (Ok(mut gate), Some(sums)) = (self.gate.lock(), sums) {
            gate.learn(sent_at, from, sums);
        }
    }
}
