//! Preference of a session for servers that are fast and have read its prompt.
//!
//! Rendezvous hashing with weights: a server's share of the sessions grows with its pace, and with whether the shared parts of
//! the prompt are kept there. Each instance computes the same order, so that a prompt's parts are read by few servers and stay
//! in their memory. Without known paces and shared parts all weights are equal.
//!
//! Load pattern: servers of one service of which some take half the time of others at any load, and prompts of which most
//! tokens are shared parts, more of them than the memory of one server holds.

use crate::pace::Step;
use crate::placement::{Server, Settings};
use crate::routing;
use state::collections::Set;

/// Weights of the servers among which one decision chooses.
pub(super) struct Preference<'a> {
    settings: &'a Settings,
    /// Pace of the fastest server.
    fastest: Step,
    /// Digests of the servers that are to keep the shared parts of the prompt.
    holders: Set<u64>,
}

impl<'a> Preference<'a> {
    /// Prepares the decision among `candidates` for a request with these shared parts of its prompt.
    pub(super) fn new(
        settings: &'a Settings,
        candidates: &[&Server],
        shared_prompt: Option<u64>,
    ) -> Self {
        let known = candidates.iter().map(|server| server.pace).filter(|pace| pace.is_known());
        let fastest = known.min_by_key(|pace| pace.0).unwrap_or_default();
        let mut holders = Set::default();
        if let Some(prompt) = shared_prompt {
            let count = (candidates.len() * settings.holder_percent as usize).div_ceil(100);
            let mut digests: Vec<u64> = candidates.iter().map(|server| server.digest).collect();
            digests.sort_unstable_by_key(|digest| routing::mix(prompt, *digest));
            holders.extend(digests.into_iter().take(count));
        }
        Self { settings, fastest, holders }
    }

    /// Score of a server for a session; the highest ones are chosen.
    pub(super) fn score(&self, key: u64, server: &Server) -> f64 {
        // Maps the hash to (0, 1]. With equal weights the order is that of the hashes.
        let uniform = (routing::mix(key, server.digest) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        uniform.ln() / self.weight(server)
    }

    fn weight(&self, server: &Server) -> f64 {
        let slowness = server.pace.ratio(self.fastest).powi(self.settings.pace_exponent);
        let holder = if self.holders.contains(&server.digest) {
            f64::from(self.settings.holder_weight)
        } else {
            1.0
        };
        holder / slowness
    }

    /// Expected time on a server, relative to an idle one with the pace of the fastest.
    pub(super) fn cost(&self, server: &Server) -> f64 {
        let load = f64::from(server.load_percent()) / 100.0;
        server.pace.ratio(self.fastest) * (1.0 + load)
    }
}
