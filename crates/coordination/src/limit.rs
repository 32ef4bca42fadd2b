//! Division of the rate limits that backend servers announce.
//!
//! A server under pressure announces in its responses how many requests per second it accepts
//! from all instances together, for as long as it does. Instances choose servers
//! independently, so each may use only a share of a limit.
//!
//! A limit is divided equally among its holders: at most one instance for each request per
//! second of the limit and one more, chosen by rendezvous hashing. The permits that all holders
//! together can save up are thus worth about one second of the limit, however many instances
//! there are. An instance that holds no share sends the server no requests.
//!
//! Load pattern: a limited server whose programs, with their caches, are spread over all
//! instances, each of which would alone exceed the limit.

use crate::Millis;
use crate::retry::Bucket;
use crate::routing;
use state::collections::Map;

/// Time for which an instance still counts as a holder after it was last present, in
/// milliseconds. Control instances that restart know only some instances at first, and the
/// others must not take over the shares of the rest for that time.
const DEPARTURE_MS: Millis = 3_000;

/// Time after which a limit that no response has confirmed no longer applies, in milliseconds.
const EXPIRY_MS: Millis = 15_000;

/// Lowest rate that is divided, in requests per second. A server with a lower limit still gets a
/// request before its limit expires, whose response shows whether the limit has ended.
const MIN_RATE: f64 = 0.1;

/// Length of the burst that a holder may send, as a time at its rate, in seconds; one request is
/// always allowed.
const BURST_S: f64 = 0.25;

/// Age up to which an instance reports what it observed to the others, in milliseconds.
const REPORT_MS: Millis = 3_000;

/// Time by which a relayed observation must be newer than the local one to replace it, in
/// milliseconds. Its age does not include the time for which it was on its way.
const RELAY_MARGIN_MS: Millis = 500;

/// Instances among which limits are divided.
#[derive(Debug, Clone)]
pub struct Sharers {
    own: u64,
    /// Time at which an instance that is no longer present was last seen, or `None` while it is
    /// present, by digest of its address.
    departed_at: Map<u64, Option<Millis>>,
}

impl Sharers {
    /// Creates the set with only the own instance, which never leaves it.
    pub fn new(own: &str) -> Self {
        Self { own: routing::digest(own.as_bytes()), departed_at: Map::default() }
    }

    /// Replaces the addresses of the present instances.
    pub fn update<'a>(&mut self, now: Millis, present: impl Iterator<Item = &'a str>) {
        for departed_at in self.departed_at.values_mut() {
            departed_at.get_or_insert(now);
        }
        for address in present {
            self.departed_at.insert(routing::digest(address.as_bytes()), None);
        }
        self.departed_at.remove(&self.own);
        self.expire(now);
    }

    /// Removes instances that left some time ago; returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let count = self.departed_at.len();
        self.departed_at.retain(|_, at| at.is_none_or(|at| now < at + DEPARTURE_MS));
        self.departed_at.len() < count
    }

    /// Share of the own instance in the limit of the server with digest `server`, which accepts
    /// `per_second` requests per second from all instances.
    fn share(&self, server: u64, per_second: f64) -> Share {
        let per_second = per_second.max(MIN_RATE);
        let limit = (per_second + 1.0).min(f64::from(u32::MAX)) as usize;
        let holders = limit.min(self.departed_at.len() + 1);
        let own_score = routing::mix(server, self.own);
        let preferred = self.departed_at.keys().filter(|at| routing::mix(server, **at) > own_score);
        match preferred.count().checked_sub(holders) {
            None => Share { per_second: per_second / holders as f64, extension: 0 },
            Some(rank) => {
                let turn_ms = 1_000.0 / per_second;
                Share { per_second: 0.0, extension: ((rank + 1) as f64 * turn_ms) as Millis }
            }
        }
    }
}

/// Share of one instance in a limit.
struct Share {
    /// Requests per second that the instance may send.
    per_second: f64,
    /// Time for which an unconfirmed limit applies beyond [`EXPIRY_MS`], in milliseconds. Instances
    /// without a share stop obeying it one after the other, at the rate of the limit, so that
    /// they do not all send requests at once to find out whether it still applies.
    extension: Millis,
}

/// What a response said about the limit of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Requests per second that the server accepts from all instances together; `None` if it
    /// announced no limit.
    pub per_second: Option<f64>,
    /// Time at which the response arrived.
    pub at: Millis,
}

/// A limit in force on one instance, or the sum of several.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Status {
    /// Number of limited servers.
    pub servers: u32,
    /// Requests per second that they accept from all instances.
    pub per_second: f64,
    /// Requests per second that the own instance may send them.
    pub share: f64,
    /// Time since the limit was observed, the longest of several, in milliseconds.
    pub age_ms: Millis,
}

impl std::fmt::Display for Status {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { servers, per_second, share, age_ms } = self;
        write!(
            f,
            "{servers} servers limit the rate to {per_second:.1} requests/s, {share:.1} of them for \
             this instance, observed {age_ms} ms ago or later"
        )
    }
}

impl Status {
    /// Adds another limit.
    pub fn plus(self, other: Self) -> Self {
        Self {
            servers: self.servers + other.servers,
            per_second: self.per_second + other.per_second,
            share: self.share + other.share,
            age_ms: self.age_ms.max(other.age_ms),
        }
    }
}

/// State of one server's limit on one instance.
#[derive(Debug, Clone, Default)]
pub struct Limit {
    /// Newest observation of any instance.
    newest: Option<Observation>,
    /// Newest observation of the own instance.
    own: Option<Observation>,
    /// Time of the newest observation with a limit.
    limited_at: Option<Millis>,
    /// Permits of the own instance; `None` without a limit.
    permits: Option<Bucket>,
    /// See [`Share::extension`].
    extension: Millis,
}

impl Limit {
    /// Requests per second that the server accepts from all instances; `None` without a limit.
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        let expiry = EXPIRY_MS + self.extension;
        self.newest.filter(|newest| now < newest.at + expiry)?.per_second
    }

    /// The limit with its age and the share of the own instance; `None` without a limit.
    pub fn status(&self, now: Millis) -> Option<Status> {
        let per_second = self.per_second(now)?;
        let share = self.permits.as_ref().map_or(0.0, Bucket::rate);
        let age_ms = now.saturating_sub(self.newest?.at);
        Some(Status { servers: 1, per_second, share, age_ms })
    }

    /// Records a response to the own instance; returns the previous limit if it differs.
    pub fn observe(
        &mut self,
        server: u64,
        sharers: &Sharers,
        seen: Observation,
    ) -> Option<Option<f64>> {
        self.own = Some(seen);
        self.apply(server, sharers, seen, seen.at)
    }

    /// Records what another instance observed, unless the local observation is as new; returns the
    /// previous limit if it differs.
    pub fn observe_relayed(
        &mut self,
        server: u64,
        sharers: &Sharers,
        seen: Observation,
        now: Millis,
    ) -> Option<Option<f64>> {
        if self.newest.is_some_and(|newest| seen.at < newest.at + RELAY_MARGIN_MS) {
            return None;
        }
        self.apply(server, sharers, seen, now)
    }

    fn apply(
        &mut self,
        server: u64,
        sharers: &Sharers,
        seen: Observation,
        now: Millis,
    ) -> Option<Option<f64>> {
        let previous = self.per_second(now);
        self.newest = Some(seen);
        if seen.per_second.is_some() {
            self.limited_at = Some(seen.at);
        }
        if seen.per_second == previous && self.permits.is_some() == previous.is_some() {
            return None;
        }
        self.divide(server, sharers, now);
        (seen.per_second != previous).then_some(previous)
    }

    /// Computes the share of the own instance again.
    pub fn divide(&mut self, server: u64, sharers: &Sharers, now: Millis) {
        let Some(per_second) = self.per_second(now) else {
            self.permits = None;
            return;
        };
        let Share { per_second: share, extension } = sharers.share(server, per_second);
        self.extension = extension;
        let burst = (share * BURST_S).max(1.0);
        match &mut self.permits {
            Some(permits) => permits.set_rate(share, burst, now),
            // The server is under pressure: nothing is saved up before the limit is known.
            None => self.permits = Some(Bucket::empty(share, burst, now)),
        }
    }

    /// Number of requests that the own instance may send to the server now; `u32::MAX` without a
    /// limit.
    pub fn permits(&self, now: Millis) -> u32 {
        match &self.permits {
            Some(permits) if self.per_second(now).is_some() => permits.available(now),
            _ => u32::MAX,
        }
    }

    /// Withdraws the permit for one request, which is sent even without one.
    pub fn take(&mut self, now: Millis) {
        if let Some(permits) = &mut self.permits {
            permits.take(now);
        }
    }

    /// The observation to be reported to the other instances; `None` if it is of no use to them.
    pub fn report(&self, now: Millis) -> Option<Observation> {
        let is_recent = |at: Millis, age: Millis| now < at + age;
        let was_limited = self.limited_at.is_some_and(|at| is_recent(at, EXPIRY_MS));
        self.own.filter(|own| was_limited && is_recent(own.at, REPORT_MS))
    }
}
