//! Sums of what all entries admit, as one control instance knows them.

use super::window::Window;
use super::{ASKED_MS, REPORT_MS, Report, Settings, Sum, Sums, Use};
use crate::Millis;
use state::collections::Map;

/// Time after which an entry that sends no reports is forgotten, in milliseconds. An entry that is
/// cut off for longer counts as a new one.
const ENTRY_RETENTION_MS: Millis = 60_000;

/// Time for which a report of what is asked for applies, in milliseconds: several heartbeats.
const PRESENT_MS: Millis = 1_000;

/// Time within which requests leave the window to be relayed as such, in milliseconds.
pub(super) const LEAVING_MS: Millis = 1_000;

/// Share of the target from which an organisation is near it.
pub(super) const NEAR: f64 = 0.75;

/// Time for which the sums are used again, in milliseconds, so that they are not computed for each
/// entry's heartbeat.
const REUSE_MS: Millis = 20;

/// Programs after which half of the average length stems from later ones.
const LENGTH_MEMORY: f64 = 256.0;

/// Assumed number of requests of a program before any was counted.
const INITIAL_LENGTH: f64 = 8.0;

/// Weight of [`INITIAL_LENGTH`], in programs.
const INITIAL_WEIGHT: f64 = 4.0;

/// What one entry reported.
#[derive(Debug, Default)]
struct Entry {
    incarnation: u32,
    heard_at: Millis,
    /// Numbers of admitted requests and of programs, by organisation.
    counted: Map<u64, (u32, u32)>,
    /// Last report.
    uses: Vec<Use>,
}

/// What is known of one organisation.
#[derive(Debug)]
struct Account {
    used: Window,
    requests: f64,
    programs: f64,
}

/// Sums of what all entries admit.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    started_at: Millis,
    entries: Map<String, Entry>,
    accounts: Map<u64, Account>,
    computed: Option<(Millis, Sums)>,
}

impl Ledger {
    /// Creates a ledger without reports, which counts from `now` on.
    pub fn new(settings: Settings, now: Millis) -> Self {
        let (entries, accounts) = (Map::default(), Map::default());
        Self { settings, started_at: now, entries, accounts, computed: None }
    }

    /// Adds the report of an entry.
    pub fn record(&mut self, now: Millis, name: &str, report: &Report) {
        if !self.entries.contains_key(name) {
            self.entries.retain(|_, entry| now < entry.heard_at + ENTRY_RETENTION_MS);
            self.entries.insert(name.to_owned(), Entry::default());
        }
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.incarnation != report.incarnation {
            *entry = Entry { incarnation: report.incarnation, ..Entry::default() };
        }
        entry.heard_at = now;
        entry.uses.clone_from(&report.uses);
        for reported in &report.uses {
            let count = (reported.admitted, reported.begun);
            let known = entry.counted.insert(reported.organisation, count);
            // Requests before this ledger's start are not in the time that it covers.
            let age = now.saturating_sub(self.started_at).min(REPORT_MS);
            let recent = (u64::from(reported.recent) * age / REPORT_MS) as u32;
            let (admitted, begun) = known.map_or((recent, 0), |(admitted, begun)| {
                (reported.admitted.wrapping_sub(admitted), reported.begun.wrapping_sub(begun))
            });
            let account = self.accounts.entry(reported.organisation).or_insert_with(|| Account {
                used: Window::default(),
                requests: INITIAL_LENGTH * INITIAL_WEIGHT,
                programs: INITIAL_WEIGHT,
            });
            account.add(now, admitted.cast_signed(), begun.cast_signed(), self.settings.window_ms);
        }
    }

    /// Returns the sums of the organisations near their limits, for a deployment with `controls`
    /// control instances.
    pub fn sums(&mut self, now: Millis, controls: u32) -> Sums {
        Sums { controls, ..self.cached(now) }
    }

    fn cached(&mut self, now: Millis) -> Sums {
        if let Some((at, sums)) = &self.computed
            && now < at + REUSE_MS
        {
            return sums.clone();
        }
        let sums = self.compute(now);
        self.computed = Some((now, sums.clone()));
        sums
    }

    fn compute(&self, now: Millis) -> Sums {
        let mut asked: Map<u64, (u32, u32, u32)> = Map::default();
        let present = self.entries.values().filter(|entry| now < entry.heard_at + PRESENT_MS);
        let mut entries = 0;
        for entry in present {
            entries += 1;
            for reported in &entry.uses {
                let (new, more, target) = asked.entry(reported.organisation).or_default();
                *new += reported.asked_new;
                *more += reported.asked_more;
                *target = (*target).max(reported.target);
            }
        }
        let window = self.settings.window_ms;
        let covered = now.saturating_sub(self.started_at).min(window);
        let near = asked.into_iter().filter_map(|(organisation, (new, more, target))| {
            let account = self.accounts.get(&organisation)?;
            let used = account.used.last(now, window);
            let leaving = account.used.between(
                now.saturating_sub(window),
                now.saturating_sub(window - LEAVING_MS.min(window)),
            );
            let target = f64::from(target) * covered as f64 / window as f64;
            let staying = f64::from(used - leaving.min(used));
            let expected = staying + f64::from(new + more) * LEAVING_MS as f64 / ASKED_MS as f64;
            let length = (account.requests / account.programs * 16.0) as u32;
            let sum = Sum { organisation, used, leaving, asked_new: new, asked_more: more, length };
            (expected.max(f64::from(used)) >= target * NEAR).then_some(sum)
        });
        let covered_ms = u32::try_from(covered).unwrap_or(u32::MAX);
        Sums { covered_ms, entries, controls: 0, near: near.collect() }
    }
}

impl Account {
    /// Adds admitted requests and programs; permits that were given back make the numbers negative.
    fn add(&mut self, now: Millis, admitted: i32, begun: i32, window: Millis) {
        match u32::try_from(admitted) {
            Ok(admitted) => self.used.add(now, admitted, now.saturating_sub(window)),
            Err(_) => self.used.remove(now, admitted.unsigned_abs()),
        }
        self.requests += f64::from(admitted.max(0));
        self.programs += f64::from(begun.max(0));
        if self.programs > 2.0 * LENGTH_MEMORY {
            self.requests /= 2.0;
            self.programs /= 2.0;
        }
    }
}
