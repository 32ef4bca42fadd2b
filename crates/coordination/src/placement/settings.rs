//! Thresholds of the choice of backend servers.

use crate::Millis;
use crate::crossing;
use serde::Deserialize;

/// Thresholds of the placement decision and durations of suspensions.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Load below which a program stays on its server, in percent of the slots. Up to there the
    /// wait for a slot is shorter than computing the program's context again, which would also
    /// delay all other requests on the new server.
    pub stay_percent: u32,
    /// Load from which a server is sent no further requests, in percent of the slots, except those
    /// that stay on it. More would only wait there, regardless of priorities; engines admit several
    /// times their slots.
    pub full_percent: u32,
    /// Slots that are kept free of new programs, in percent of the square root of all slots; half
    /// of the slots at most. The number of requests of programs under way varies by about that
    /// root, so servers with few slots need a larger part of them as a reserve.
    pub reserve_percent: u32,
    /// Load from which a server counts as crowded, in percent of the slots: then more servers
    /// than the two chosen ones are considered. Below it
    /// an engine's steps take little longer than for a single request.
    pub spill_percent: u32,
    /// Load from which a server is passed over for an object, in percent of the slots. It is lower than
    /// `spill_percent`, since all instances send the requests about an object to the same server,
    /// and hear of each other's some time later.
    pub object_percent: u32,
    /// Part of the servers of a failure domain that are to keep a shared part of prompts, in percent. They hold its most
    /// requested parts in memory, and are enough for a burst of requests that share it.
    pub holder_percent: u32,
    /// How much likelier a session is sent to a server that is to keep the shared parts of its prompt.
    pub holder_weight: u32,
    /// Exponent with which a server's share of the sessions falls with its time per event.
    pub pace_exponent: i32,
    /// When requests leave their failure domain.
    pub crossing: crossing::Settings,
    /// First suspension of a server that could not be reached, in milliseconds; the time of a
    /// few connection attempts.
    pub suspend_ms: Millis,
    /// Maximum suspension, in milliseconds; servers that crashed return within seconds.
    pub suspend_most_ms: Millis,
    /// Suspension after a server refused a request because it was full, in milliseconds;
    /// roughly the time until one of its requests ends.
    pub full_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            stay_percent: 200,
            full_percent: 125,
            reserve_percent: 140,
            spill_percent: 75,
            object_percent: 50,
            holder_percent: 33,
            holder_weight: 4,
            pace_exponent: 4,
            crossing: crossing::Settings::default(),
            suspend_ms: 250,
            suspend_most_ms: 2_000,
            full_ms: 50,
        }
    }
}
