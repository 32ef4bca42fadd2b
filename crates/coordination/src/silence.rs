//! Whether a backend server has fallen silent.
//!
//! A server whose machine is lost, or that hangs, closes none of its connections: what it was sent
//! remains unanswered until the caller leaves. A slow server looks the same on the connection of one
//! request. It is told apart by a new connection and a request that any server that lives answers at
//! once without executing it. An instance that is cut off from its servers, or that stood still
//! itself, finds the same of all servers; so the probe is compared with those of other servers, of
//! the same failure domain first, and counts only if they answer.
//!
//! Load pattern: one request that takes down each server that executes it, without a connection being
//! closed, and comes again through all instances; among slow servers, lost links of single instances
//! or failure domains, and instances that stand still for seconds.

use crate::Millis;
use state::collections::Map;

/// Time without a byte from a server that has requests after which it is in doubt, in milliseconds.
/// Engines under load pause for less between the events of all streams.
pub const DOUBT_MS: Millis = 500;

/// Time for which a probe waits for the answer, in milliseconds: several round trips to a busy
/// server, as for opening a connection, and as much again for the answer.
pub const PROBE_TIMEOUT_MS: Millis = 750;

/// Time beyond its timeout that a probe may take, in milliseconds. If it took longer, this process
/// stood still, and the answer may have been waiting for it.
const PROBE_DELAY_MS: Millis = 250;

/// Interval between two probes of a server, in milliseconds. It bounds what slow servers cost.
const PROBE_INTERVAL_MS: Millis = 1_000;

/// Maximum number of servers that are probed in one interval. If more are quiet at once, it isn't the
/// content of one request; the probes would add to an overload.
const MAX_PROBED: usize = 4;

/// Time between two checks from which this process stood still, in milliseconds: some intervals of
/// its checks. Servers are in doubt only some time after that.
const STANDSTILL_MS: Millis = 1_000;

/// Time for which a server that was found silent isn't asked to testify on others, in milliseconds.
const SILENT_MS: Millis = 10_000;

/// A server as the connections show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observed<'a> {
    /// Address of the server.
    pub server: &'a str,
    /// Time since which it has owed an answer and sent nothing.
    pub quiet_since: Millis,
}

/// Result of the probe of a server and of some others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probed {
    /// Whether the server answered in any way, or closed or refused the connection.
    pub has_answered: bool,
    /// Number of other servers that were probed at the same time.
    pub witnesses: usize,
    /// Number of them that answered.
    pub answering_witnesses: usize,
    /// Time from the begin to the end of the probes, in milliseconds.
    pub took_ms: Millis,
}

/// What follows from a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The server lives; it is only slow.
    Lives,
    /// The server has fallen silent: its requests are lost with it.
    Silent,
    /// This instance stood still, or is cut off from more than this server, or none can testify.
    Unclear,
}

/// Doubts of one instance.
#[derive(Debug, Clone, Default)]
pub struct Silence {
    checked_at: Option<Millis>,
    /// Time at which this process last went on after a standstill.
    resumed_at: Millis,
    probed_at: Map<String, Millis>,
    silent_at: Map<String, Millis>,
}

impl Silence {
    /// Returns the servers to probe now, those that have been quiet for the longest time first.
    pub fn check<'a>(
        &mut self,
        now: Millis,
        observed: impl Iterator<Item = Observed<'a>>,
    ) -> Vec<&'a str> {
        let checked_at = self.checked_at.replace(now);
        if checked_at.is_some_and(|checked_at| now >= checked_at + STANDSTILL_MS) {
            self.resumed_at = now;
        }
        self.probed_at.retain(|_, at| now < *at + PROBE_INTERVAL_MS);
        self.silent_at.retain(|_, at| now < *at + SILENT_MS);
        let is_doubtful = |observed: &Observed<'_>| {
            now >= observed.quiet_since.max(self.resumed_at) + DOUBT_MS
                && !self.probed_at.contains_key(observed.server)
        };
        let mut doubtful: Vec<Observed<'_>> = observed.filter(is_doubtful).collect();
        doubtful.sort_unstable_by_key(|observed| (observed.quiet_since, observed.server));
        doubtful.dedup();
        doubtful.truncate(MAX_PROBED.saturating_sub(self.probed_at.len()));
        let doubtful: Vec<&str> = doubtful.iter().map(|observed| observed.server).collect();
        self.probed_at.extend(doubtful.iter().map(|server| ((*server).to_owned(), now)));
        doubtful
    }

    /// Whether a server may testify on others.
    pub fn may_testify(&self, server: &str) -> bool {
        !self.silent_at.contains_key(server) && !self.probed_at.contains_key(server)
    }

    /// Returns what follows from the probe of a server.
    pub fn judge(&mut self, now: Millis, server: &str, probed: &Probed) -> Verdict {
        if probed.has_answered {
            self.silent_at.remove(server);
            return Verdict::Lives;
        }
        let stood_still = probed.took_ms > PROBE_TIMEOUT_MS + PROBE_DELAY_MS;
        let is_alone = probed.witnesses > 0 && probed.answering_witnesses == probed.witnesses;
        if stood_still || !is_alone {
            return Verdict::Unclear;
        }
        self.silent_at.insert(server.to_owned(), now);
        Verdict::Silent
    }
}
