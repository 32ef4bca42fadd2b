//! Which control instance an instance gets the registry from.
//!
//! The reply to each heartbeat tells which revision a control instance has. An instance with an
//! older one gets it from one control instance at a time: thousands of routes from all of them,
//! again with each heartbeat, are more than the link of a small instance carries.
//!
//! Control instances of earlier builds do not serve parts of the registry. They put all of it into
//! their reply if the heartbeat names an older revision, so only one heartbeat at a time does.

use crate::Millis;
use state::collections::Map;

/// Time after which a control instance that has not replied is not asked any more: several
/// heartbeat intervals.
const MAX_AGE_MS: Millis = 1_000;

/// Time for a complete registry in a reply to arrive, as long as the timeout of a heartbeat.
const REPLY_TIMEOUT_MS: Millis = 900;

/// What a control instance has, as of its last reply.
#[derive(Debug, Clone, Copy)]
struct Offer {
    revision: u64,
    serves_parts: bool,
    at: Millis,
}

/// The last replies of all control instances, by address.
#[derive(Debug, Default)]
pub struct Offers {
    offers: Map<String, Offer>,
    /// Time at which a complete registry was last requested.
    asked_at: Option<Millis>,
}

impl Offers {
    /// Records the reply of a control instance.
    pub fn record(&mut self, address: &str, revision: u64, serves_parts: bool, now: Millis) {
        self.offers.retain(|_, offer| now < offer.at + MAX_AGE_MS);
        self.offers.insert(address.to_owned(), Offer { revision, serves_parts, at: now });
    }

    /// Forgets a control instance until its next reply.
    pub fn forget(&mut self, address: &str) {
        self.offers.remove(address);
    }

    /// Returns the control instance from which to fetch a revision above `revision` in parts:
    /// `current` if it still serves one, otherwise the one with the newest revision, and of several
    /// the one with the most recent reply.
    pub fn source(&self, revision: u64, current: Option<&str>, now: Millis) -> Option<String> {
        let serves = self.newer(revision, now).filter(|(_, offer)| offer.serves_parts);
        let is_current = |address: &str| Some(address) == current;
        serves
            .max_by_key(|(address, offer)| (is_current(address), offer.revision, offer.at))
            .map(|(address, _)| address.clone())
    }

    /// Returns the control instance whose reply may contain the complete registry, for the
    /// heartbeats that are sent at `now`; `None` if none should.
    pub fn ask(&mut self, revision: u64, now: Millis) -> Option<String> {
        let is_pending = self.asked_at.is_some_and(|at| now < at + REPLY_TIMEOUT_MS);
        if is_pending || self.source(revision, None, now).is_some() {
            return None;
        }
        let newest = self.newer(revision, now).max_by_key(|(_, offer)| (offer.revision, offer.at));
        let address = newest.map(|(address, _)| address.clone())?;
        self.asked_at = Some(now);
        Some(address)
    }

    /// Whether a control instance serves parts of the registry.
    pub fn serves_parts(&self, address: &str) -> bool {
        self.offers.get(address).is_some_and(|offer| offer.serves_parts)
    }

    /// Allows another complete registry, as the last one has arrived.
    pub fn arrived(&mut self) {
        self.asked_at = None;
    }

    fn newer(&self, revision: u64, now: Millis) -> impl Iterator<Item = (&String, &Offer)> {
        self.offers
            .iter()
            .filter(move |(_, offer)| offer.revision > revision && now < offer.at + MAX_AGE_MS)
    }
}
