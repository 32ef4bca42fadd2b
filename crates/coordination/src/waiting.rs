//! Order and rejection of requests that wait for a backend server.
//!
//! Requests wait on the instance while the servers of their service have no room. Higher
//! priorities go first, then programs under way before new ones, then the order of arrival: a
//! program that is rejected midway has wasted the work of its earlier turns. A request that
//! would wait longer than it may is rejected on arrival, so that its caller can turn elsewhere or
//! come back in time.
//!
//! The expected wait follows from the rate at which requests of the same class, and of those that
//! go after it, were sent lately. The first ones of a class always wait, since only that shows
//! whether the class is served again.
//!
//! Load pattern: the servers of a service together accept less than callers send for many
//! seconds, because of rate limits, failures or a burst.

use crate::Millis;
use state::collections::Map;
use std::collections::BTreeSet;

/// Length of the interval over which departures are counted, in milliseconds.
const WINDOW_MS: Millis = 1_000;

/// Time of arrivals of programs under way for which room is kept free of new programs, in
/// milliseconds.
const RESERVE_MS: Millis = 100;

/// Number of requests of a class that wait whatever the rate. An instance that gets few requests
/// has too few departures to estimate a rate from.
const MIN_WAITING: usize = 2;

/// Time after its start in which an instance usually gets what it needs to serve requests: control
/// instances that started at the same time elect a leader, in milliseconds.
const START_MS: Millis = 1_000;

/// Part of its remaining time for which a request may wait for the start of an instance.
const START_SHARE: f64 = 0.3;

/// Returns the time for which a request may wait at an instance that has been running for `uptime`
/// and cannot serve requests yet; 0 if it should be rejected at once. All times are in milliseconds.
///
/// Load pattern: all instances lose power and start at the same time, or one starts again at an
/// address that callers still use. Callers come back some 100 ms after the start, all at once, and
/// have one retry; a rejection would use it up. An instance that is still not ready after the usual
/// time is cut off, so that its callers had better go elsewhere.
pub fn start_limit(uptime: Millis, remaining: Millis) -> Millis {
    let share = (remaining as f64 * START_SHARE) as Millis;
    START_MS.saturating_sub(uptime).min(share)
}

/// Class of a request; lower classes go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Whether the request begins a program.
    pub is_new: bool,
}

/// Position in a queue; lower ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    class: Class,
    arrival: u64,
}

/// Departures of one class, in two consecutive windows.
#[derive(Debug, Clone, Copy, Default)]
struct Departures {
    window: Millis,
    current: u32,
    previous: u32,
}

impl Departures {
    fn roll(&mut self, now: Millis) {
        let window = now / WINDOW_MS;
        if window != self.window {
            self.previous = if window == self.window + 1 { self.current } else { 0 };
            self.current = 0;
            self.window = window;
        }
    }

    /// Departures during the last window, the older part of which is interpolated.
    fn count(mut self, now: Millis) -> f64 {
        self.roll(now);
        let rest = (WINDOW_MS - now % WINDOW_MS) as f64 / WINDOW_MS as f64;
        f64::from(self.current) + f64::from(self.previous) * rest
    }
}

/// Requests that wait for the servers of one service on one instance.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    arrivals: u64,
    waiting: BTreeSet<Ticket>,
    departures: Map<Class, Departures>,
}

impl Queue {
    /// Adds a request that may wait for `limit` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns the expected wait, in milliseconds, if that is longer.
    pub fn join(&mut self, now: Millis, class: Class, limit: Millis) -> Result<Ticket, Millis> {
        let ahead = self.waiting.iter().filter(|ticket| ticket.class == class).count();
        if ahead >= MIN_WAITING {
            let departures = self.sent(now, |other| other >= class);
            let expected = (ahead + 1) as f64 / departures.max(1.0) * WINDOW_MS as f64;
            if expected > limit as f64 {
                return Err(expected as Millis);
            }
        }
        self.arrivals += 1;
        let ticket = Ticket { class, arrival: self.arrivals };
        self.waiting.insert(ticket);
        Ok(ticket)
    }

    /// Number of requests for which there must be room before the one with this ticket is sent, or
    /// one of this class that arrives at `now`: those that go before it, and for a new program also
    /// those of programs under way that are expected soon.
    pub fn ahead(&self, now: Millis, class: Class, ticket: Option<Ticket>) -> usize {
        let waiting = match ticket {
            Some(ticket) => self.waiting.range(..ticket).count(),
            None => self.waiting.iter().take_while(|ticket| ticket.class <= class).count(),
        };
        if !class.is_new {
            return waiting;
        }
        let under_way = self.sent(now, |class| !class.is_new);
        waiting + (under_way * RESERVE_MS as f64 / WINDOW_MS as f64) as usize
    }

    /// Number of requests of the selected classes that were sent during the last window.
    fn sent(&self, now: Millis, is_selected: impl Fn(Class) -> bool) -> f64 {
        let selected = self.departures.iter().filter(|(class, _)| is_selected(**class));
        selected.map(|(_, departures)| departures.count(now)).sum()
    }

    /// Records that a request of this class was sent, after it waited or at once.
    pub fn depart(&mut self, now: Millis, class: Class) {
        let departures = self.departures.entry(class).or_default();
        departures.roll(now);
        departures.current += 1;
    }

    /// Removes a request that was sent or given up.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }
}
