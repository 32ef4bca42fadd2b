//! When requests leave their failure domain, and which share of them.
//!
//! Traffic between failure domains is slower and costs money, but the servers of a domain are sometimes too few, or slower than
//! others. Leaving pays if the expected time elsewhere, with the price of crossing, is shorter than
//! at home. Instances act on the same reported loads, some hundred milliseconds old. If all of them sent everything away as
//! soon as leaving pays, and nothing as soon as it doesn't, load would go back and forth between domains. So a share of the sessions
//! leaves, which grows while leaving pays and falls while it doesn't, and each session draws by its own hash. A domain takes guests up to a load at which
//! its own callers don't wait longer for them.
//!
//! A program that has left stays where its prompts are kept; only its next programs come home.
//!
//! Load patterns: demand that comes in waves, at different times in each domain; a domain that loses a part of its servers, or whose
//! servers turn slow; all domains full at the same time.

use crate::Millis;
use crate::routing;
use serde::Deserialize;

/// When leaving pays.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Price of crossing, in percent of a request's time on an idle server: the longer way of each turn, and what bytes between
    /// failure domains cost the operator.
    pub price_percent: u32,
    /// Load up to which a server takes requests of other failure domains, in percent of its slots. Above, its own callers would
    /// wait for the guests.
    pub guest_percent: u32,
    /// Change of the share that leaves in a second, in percent of the part of the time that leaving saves. It is slow compared
    /// with the age of the reported loads.
    pub gain_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { price_percent: 25, guest_percent: 75, gain_percent: 50 }
    }
}

/// Load, in parts of the slots, up to which the time of a request depends little on the load.
const KNEE: f64 = 0.5;

/// Longest time between two reports that counts, in milliseconds: an instance without reports must not change direction on old
/// loads.
const MAX_STEP_MS: Millis = 400;

/// What the servers of one or several failure domains offers to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Time per event, relative to the fastest server known.
    pub slowness: f64,
    /// Load, in percent of the slots.
    pub load_percent: u32,
}

impl Offer {
    /// Expected time, relative to that on an idle server of the fastest kind.
    fn time(&self) -> f64 {
        let load = f64::from(self.load_percent) / 100.0;
        self.slowness * (1.0 + (load - KNEE).max(0.0) / (1.0 - KNEE))
    }
}

/// Part of the time at home that a request saves by leaving; negative if it loses by that.
fn saved(settings: &Settings, home: &Offer, elsewhere: &Offer) -> f64 {
    let price = f64::from(settings.price_percent) / 100.0;
    (home.time() - elsewhere.time() - price) / home.time()
}

/// Whether a request that can't choose its moment leaves at once.
pub fn pays(settings: &Settings, home: &Offer, elsewhere: &Offer) -> bool {
    elsewhere.load_percent < settings.guest_percent && saved(settings, home, elsewhere) > 0.0
}

/// Share of the sessions of a failure domain that leaves it, from 0 to 1.
///
/// The loads that are known show the effect of the share some time later, so it changes by steps: it grows while leaving pays and
/// falls while it doesn't. It is 0 from the start on, and at once if the others take no guests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    value: f64,
    at: Millis,
}

impl Share {
    /// Adjusts the share to what is known at `now`.
    pub fn adjust(&mut self, now: Millis, settings: &Settings, home: &Offer, elsewhere: &Offer) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.at, now)).min(MAX_STEP_MS);
        if elsewhere.load_percent >= settings.guest_percent {
            self.value = 0.0;
            return;
        }
        let gain = f64::from(settings.gain_percent) / 100.0 * elapsed as f64 / 1_000.0;
        let change = saved(settings, home, elsewhere) * gain;
        self.value = (self.value + change).clamp(0.0, 1.0);
    }

    /// The share.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Whether the session with this digest is among those that leave `failure_domain`.
    pub fn includes(&self, session: u64, failure_domain: &str) -> bool {
        let drawn = routing::mix(session, routing::digest(failure_domain.as_bytes()));
        // The smallest share that is not 0 must not include everyone by rounding.
        self.value > 0.0 && drawn as f64 <= self.value * (u64::MAX as f64)
    }
}
