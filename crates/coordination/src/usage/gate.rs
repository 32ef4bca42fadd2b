//! Admission of requests at one entry.

use super::ledger::LEAVING_MS;
use super::window::Window;
use super::{ASKED_MS, Limit, REPORT_MS, Report, Settings, Sum, Sums, Use};
use crate::{Millis, routing};
use state::collections::Map;

/// Time since the last sums after which an entry is without contact, in milliseconds: several
/// heartbeats.
const CONTACT_MS: Millis = 500;

/// Time without contact for which an organisation may go on as before, in milliseconds. After it, the
/// others may have come to use what it did not.
const CONTINUE_MS: Millis = 2_500;

/// Part of the tolerance that all entries may use together while they are without contact.
const LONE_TOLERANCE: f64 = 0.3;

/// Part of the target that they may use besides, for some time, of an organisation that was not near
/// its limit.
const LONE_TARGET: f64 = 0.1;

/// Part of the tolerance that may be used while it is not known what was used before.
const INITIAL_TOLERANCE: f64 = 0.1;

/// Part of the rate that may be used while it is not known what was used before.
const INITIAL_RATE: f64 = 0.8;

/// Maximum increase of the share of new programs, per second. A share that swings would admit
/// programs whose later requests it refuses.
const INCREASE: f64 = 1.0;

/// Time for which sums are late, in milliseconds: two heartbeats. In this time, a control instance
/// that starts hears all entries.
const DELAY_MS: Millis = 400;

/// Time in which new programs may use up what is free, in milliseconds.
const FREE_MS: Millis = 1_500;

/// Minimum time to come back after a refusal, in milliseconds: some heartbeats, so that newer sums
/// are known.
const MIN_RETRY_MS: Millis = 400;

/// Permission for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a permit that is not used should be given back"]
pub struct Permit {
    organisation: u64,
    at: Millis,
    is_new: bool,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Excess {
    /// Time after which the caller should come back, in milliseconds.
    pub retry_ms: Millis,
    /// Whether the entry is without contact, so that it admits only little.
    pub is_lone: bool,
}

/// What an operator sees of one organisation at one entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Status {
    /// Requests in a window that the entries aim at together.
    pub target: f64,
    /// Requests in the last window that this entry admitted.
    pub own: u32,
    /// Requests in the last window that all entries admitted, if that is near the target.
    pub used: Option<u32>,
}

/// State of one organisation.
#[derive(Debug)]
struct Account {
    limit: Limit,
    admitted: Window,
    asked_new: Window,
    asked_more: Window,
    total: u32,
    begun: u32,
    /// Shares of new programs and of other requests that were last admitted.
    new: Share,
    more: Share,
}

/// Sums of one control instance.
#[derive(Debug)]
struct Heard {
    at: Millis,
    sums: Sums,
}

/// Admission of requests at one entry.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    own: u64,
    incarnation: u32,
    entries: u32,
    /// Time up to which everything is admitted.
    open_until: Millis,
    accounts: Map<u64, Account>,
    heard: Map<String, Heard>,
    /// Sums that were last relayed while they covered a whole window.
    seen: Map<u64, (Sum, Millis)>,
}

impl Gate {
    /// Creates the gate of the entry with name `own`; `incarnation` differs between its starts.
    pub fn new(settings: Settings, own: &str, incarnation: u32) -> Self {
        let own = routing::digest(own.as_bytes());
        Self {
            settings,
            own,
            incarnation,
            entries: 0,
            open_until: 0,
            accounts: Map::default(),
            heard: Map::default(),
            seen: Map::default(),
        }
    }

    /// Admits a request of an organisation, given by its [`super::digest`]. `rank`, between 0 and 1, is
    /// the same for all requests of a program; `is_new` says whether the request may begin one.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is beyond the limit.
    pub fn admit(
        &mut self,
        now: Millis,
        organisation: u64,
        limit: Limit,
        rank: f64,
        is_new: bool,
    ) -> Result<Permit, Excess> {
        let (window, retention) = (self.settings.window_ms, 2 * self.settings.window_ms);
        let account = self.accounts.entry(organisation).or_insert_with(|| Account::new(limit));
        account.limit = limit;
        let asked = if is_new { &mut account.asked_new } else { &mut account.asked_more };
        asked.add(now, 1, now.saturating_sub(ASKED_MS));
        let share = self.share(now, organisation, is_new);
        let Some(account) = self.accounts.get_mut(&organisation) else {
            return Err(Excess { retry_ms: window, is_lone: true });
        };
        let own = account.admitted.last(now, window);
        let is_full = f64::from(own) + 1.0 > self.settings.target(limit);
        if is_full || rank >= share {
            let pause = (window as f64 * (1.0 - share.clamp(0.0, 1.0))) as Millis;
            let is_lone = !self.contact(now).1;
            return Err(Excess { retry_ms: pause.max(MIN_RETRY_MS), is_lone });
        }
        account.admitted.add(now, 1, now.saturating_sub(retention));
        account.total = account.total.wrapping_add(1);
        account.begun = account.begun.wrapping_add(u32::from(is_new));
        Ok(Permit { organisation, at: now, is_new })
    }

    /// Admits everything for the time until the first sums are known: limits have just been introduced
    /// on a running entry.
    pub fn open(&mut self, now: Millis) {
        self.open_until = now + CONTACT_MS;
    }

    /// Takes back a permit whose request no server executes.
    pub fn give_back(&mut self, permit: Permit) {
        if let Some(account) = self.accounts.get_mut(&permit.organisation) {
            account.admitted.remove(permit.at, 1);
            account.total = account.total.wrapping_sub(1);
            account.begun = account.begun.wrapping_sub(u32::from(permit.is_new));
        }
    }

    /// Records the sums that a control instance relayed.
    pub fn learn(&mut self, now: Millis, control: &str, sums: Sums) {
        self.heard.retain(|_, heard| now < heard.at + CONTINUE_MS);
        if sums.is_usable() {
            self.entries = self.entries.max(sums.entries);
        }
        let window = self.settings.window_ms;
        self.seen.retain(|_, (_, at)| now < *at + window);
        if Millis::from(sums.covered_ms) >= window {
            self.seen.extend(sums.near.iter().map(|sum| (sum.organisation, (*sum, now))));
        }
        self.heard.insert(control.to_owned(), Heard { at: now, sums });
    }

    /// Returns what the next heartbeat reports.
    pub fn report(&self, now: Millis) -> Report {
        let is_recent = |account: &Account| {
            account.admitted.last(now, REPORT_MS) > 0 || account.is_asked(now, REPORT_MS)
        };
        let uses = self.accounts.iter().filter(|(_, account)| is_recent(account));
        let uses = uses.map(|(&organisation, account)| Use {
            organisation,
            target: self.settings.target(account.limit) as u32,
            admitted: account.total,
            begun: account.begun,
            recent: account.admitted.last(now, REPORT_MS),
            asked_new: account.asked_new.last(now, ASKED_MS),
            asked_more: account.asked_more.last(now, ASKED_MS),
        });
        Report { incarnation: self.incarnation, uses: uses.collect() }
    }

    /// Returns what is known of an organisation; `None` if it has sent no requests.
    pub fn status(&self, now: Millis, organisation: u64) -> Option<Status> {
        let account = self.accounts.get(&organisation)?;
        Some(Status {
            target: self.settings.target(account.limit),
            own: account.admitted.last(now, self.settings.window_ms),
            used: self.sum(now, organisation).map(|(sum, _)| sum.used),
        })
    }

    /// Highest sum of an organisation that any control instance relayed lately, and the longest time
    /// for which one has been counting.
    fn sum(&self, now: Millis, organisation: u64) -> Option<(Sum, u32)> {
        let fresh = || self.heard.values().filter(|heard| now < heard.at + CONTACT_MS);
        let covered = fresh().map(|heard| heard.sums.covered_ms).max()?;
        let sums = fresh().flat_map(|heard| &heard.sums.near);
        let sums = sums.filter(|sum| sum.organisation == organisation);
        Some((*sums.max_by_key(|sum| sum.used)?, covered))
    }

    /// Time of the last contact with a majority of the control instances, and whether it is recent.
    fn contact(&self, now: Millis) -> (Option<Millis>, bool) {
        let controls = self.heard.values().map(|heard| heard.sums.controls).max().unwrap_or(0);
        let usable = self.heard.values().filter(|heard| heard.sums.is_usable());
        let mut times: Vec<Millis> = usable.map(|heard| heard.at).collect();
        times.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        let last = times.get(controls as usize / 2).copied();
        (last, last.is_some_and(|at| now < at + CONTACT_MS))
    }

    /// Share of an organisation's requests, of those that begin programs or of the others, that is
    /// admitted.
    fn share(&mut self, now: Millis, organisation: u64, is_new: bool) -> f64 {
        let (last, is_in_contact) = self.contact(now);
        if now < self.open_until && last.is_none() {
            return 1.0;
        }
        if !is_in_contact {
            return self.share_without_contact(now, last, organisation);
        }
        let sum = self.sum(now, organisation);
        let Some(account) = self.accounts.get_mut(&organisation) else {
            return 0.0;
        };
        let Some((sum, covered)) = sum else {
            (account.new, account.more) = (Share::default(), Share::default());
            return 1.0;
        };
        let window = self.settings.window_ms;
        let shares = match Millis::from(covered) >= window {
            true => {
                let free = self.settings.target(account.limit) - f64::from(sum.used);
                Shares::new(account.limit, &sum, free, f64::from(sum.leaving))
            }
            false => {
                let seen = self.seen.get(&organisation);
                account.initial_shares(now, &self.settings, &sum, seen, covered)
            }
        };
        match is_new {
            true => account.new.follow(now, shares.new),
            false => account.more.follow(now, shares.more),
        }
    }

    /// The share without contact: 1 as long as the organisation keeps to what it used here before and
    /// to this entry's equal part of what is left of the limit and of the tolerance.
    fn share_without_contact(&self, now: Millis, last: Option<Millis>, organisation: u64) -> f64 {
        let Some(account) = self.accounts.get(&organisation) else {
            return 0.0;
        };
        let window = self.settings.window_ms;
        let mut left = self.settings.tolerance(account.limit) * LONE_TOLERANCE;
        let mut before = 0;
        // An organisation that was not near its limit may go on for some time.
        let continued = last.filter(|at| now < at + CONTINUE_MS);
        if let Some(at) = continued.filter(|at| self.sum(*at, organisation).is_none()) {
            left += self.settings.target(account.limit) * LONE_TARGET;
            before = account.admitted.between(at.saturating_sub(window), at);
        }
        let part = if self.entries == 0 { 0.0 } else { left / f64::from(self.entries) };
        // Parts below one request go to some of the entries, the same ones each time.
        let chance = routing::mix(organisation, self.own) as f64 / u64::MAX as f64;
        let part = part.floor() + if chance < part.fract() { 1.0 } else { 0.0 };
        let own = account.admitted.last(now, window);
        if f64::from(own) + 1.0 <= f64::from(before) + part { 1.0 } else { 0.0 }
    }
}

impl Sums {
    /// Whether the control instance has heard all entries. One that has just started does not know
    /// which organisations are near their limits.
    fn is_usable(&self) -> bool {
        Millis::from(self.covered_ms) >= DELAY_MS
    }
}

/// A share that falls at once and rises slowly.
#[derive(Debug, Clone, Copy)]
struct Share {
    value: f64,
    at: Millis,
}

impl Default for Share {
    fn default() -> Self {
        Self { value: 1.0, at: 0 }
    }
}

impl Share {
    /// Moves to `share` at the speed that is allowed; returns the result.
    fn follow(&mut self, now: Millis, share: f64) -> f64 {
        let elapsed = now.saturating_sub(self.at) as f64 / 1_000.0;
        let value = share.min(self.value + INCREASE * elapsed);
        *self = Self { value, at: now };
        value
    }
}

impl Account {
    fn new(limit: Limit) -> Self {
        Self {
            limit,
            admitted: Window::default(),
            asked_new: Window::default(),
            asked_more: Window::default(),
            total: 0,
            begun: 0,
            new: Share::default(),
            more: Share::default(),
        }
    }

    /// Shares while the control instances have been counting for less than a window.
    fn initial_shares(
        &self,
        now: Millis,
        settings: &Settings,
        sum: &Sum,
        seen: Option<&(Sum, Millis)>,
        covered_ms: u32,
    ) -> Shares {
        // What was admitted before is not known, or only from the sums of that time.
        let rate = self.limit.per_second * INITIAL_RATE;
        let begun = rate * f64::from(covered_ms) / 1_000.0;
        let tolerance = settings.tolerance(self.limit) * INITIAL_TOLERANCE;
        let seen = seen.filter(|(_, at)| now < at + settings.window_ms);
        let before = seen.map_or(0.0, |(seen, at)| {
            let left = f64::from(seen.leaving) * (now - at) as f64 / LEAVING_MS as f64;
            (f64::from(seen.used) - left).max(0.0)
        });
        let allowed = (begun + tolerance).min(settings.target(self.limit) - before);
        let free = allowed - f64::from(sum.used);
        let leaving = rate * LEAVING_MS as f64 / 1_000.0;
        let length = sum.length.max(seen.map_or(0, |(seen, _)| seen.length));
        Shares::new(self.limit, &Sum { length, ..*sum }, free, leaving)
    }

    fn is_asked(&self, now: Millis, length: Millis) -> bool {
        self.asked_new.last(now, length) + self.asked_more.last(now, length) > 0
    }
}

/// Shares of an organisation's requests that are admitted.
struct Shares {
    /// Of those that begin programs.
    new: f64,
    /// Of the others.
    more: f64,
}

impl Shares {
    /// Computes the shares by which `free` requests of the window, and those that `leaving` ones make
    /// room for, are used up and no more.
    fn new(limit: Limit, sum: &Sum, free: f64, leaving: f64) -> Self {
        let second = |ms: Millis| ms as f64 / 1_000.0;
        // What was admitted while the sums were on their way fills the window, too.
        let budget = ((free + leaving) / second(LEAVING_MS + DELAY_MS)).max(0.0);
        let asked = |count: u32| f64::from(count) / second(ASKED_MS);
        let (asked_new, asked_more) = (asked(sum.asked_new), asked(sum.asked_more));
        let share = |budget: f64, asked: f64| if asked > budget { budget / asked } else { 1.0 };
        // Each program that begins takes more requests later than now.
        let rate = limit.per_second + free.max(0.0) / second(FREE_MS);
        let begun = rate / (f64::from(sum.length) / 16.0).max(1.0);
        // With much room left, the later turns of programs, which can't always be told from first ones, must not be refused.
        let begun = if free > limit.per_second { f64::INFINITY } else { begun };
        let rest = (budget - asked_more).max(0.0);
        Self { new: share(rest.min(begun), asked_new), more: share(budget, asked_more) }
    }
}
