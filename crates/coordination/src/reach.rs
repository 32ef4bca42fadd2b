//! Whether this instance reaches the backend servers.
//!
//! An instance may lose its links to all backend servers while callers and the other instances
//! still reach it. Connections then hang, are reset, or go on while new ones are refused. One
//! server that fails or is silent says little, so a suspicion is confirmed by connecting to
//! several servers at once: the instance is partitioned if none of them accepts. While it is, the
//! servers are probed until one accepts.
//!
//! Load pattern: many entries, or all of a failure domain, lose their links for some seconds, and
//! their callers keep sending.

use crate::Millis;
use state::collections::Set;

/// Number of servers that must fail, or be silent, before the others are probed.
const MIN_SUSPECTS: usize = 2;

/// Time without a byte from any server, although some have requests, after which they are
/// probed, in milliseconds. Engines under load pause for less between the events of all streams.
const SILENCE_MS: Millis = 400;

/// Minimum interval between two probes, in milliseconds; a probe takes about as long if no server
/// accepts.
const PROBE_INTERVAL_MS: Millis = 250;

/// Observations of the backend servers, and what follows from them.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// Servers to which no connection could be opened since one was opened to any server.
    failed: Set<String>,
    /// Servers that have had requests since `silent_since`.
    silent: Set<String>,
    silent_since: Millis,
    /// Number of bytes received from all servers at the last check.
    received: u64,
    probed_at: Option<Millis>,
    is_partitioned: bool,
}

/// Cause of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be opened to this many servers, and to none since.
    Failed(usize),
    /// This many servers have requests and all servers are silent.
    Silent(usize),
    /// The instance is partitioned.
    Partitioned,
}

impl Reach {
    /// Whether the instance reaches no backend server.
    pub fn is_partitioned(&self) -> bool {
        self.is_partitioned
    }

    /// Records that no connection to a server could be opened.
    pub fn connection_failed(&mut self, server: &str) {
        self.failed.insert(server.to_owned());
    }

    /// Records that a connection to a server was opened.
    pub fn connection_opened(&mut self) {
        self.failed.clear();
    }

    /// Returns why the servers have to be probed now, if they have to be. `received` is the number of
    /// bytes that were ever received from servers, `busy` are those with outstanding requests.
    pub fn check<'a>(
        &mut self,
        now: Millis,
        received: u64,
        busy: impl Iterator<Item = &'a str>,
    ) -> Option<Cause> {
        let busy: Set<&str> = busy.collect();
        if std::mem::replace(&mut self.received, received) != received || busy.is_empty() {
            self.silent = busy.into_iter().map(str::to_owned).collect();
            self.silent_since = now;
        } else {
            self.silent.retain(|server| busy.contains(server.as_str()));
        }
        let is_silent = now >= self.silent_since + SILENCE_MS;
        let cause = if self.is_partitioned {
            Cause::Partitioned
        } else if self.failed.len() >= MIN_SUSPECTS {
            Cause::Failed(self.failed.len())
        } else if is_silent && self.silent.len() >= MIN_SUSPECTS {
            Cause::Silent(self.silent.len())
        } else {
            return None;
        };
        if self.probed_at.is_some_and(|probed_at| now < probed_at + PROBE_INTERVAL_MS) {
            return None;
        }
        self.probed_at = Some(now);
        Some(cause)
    }

    /// Records the result of a probe: whether one of the servers accepted a connection. Returns
    /// whether that changes [`Reach::is_partitioned`].
    pub fn probed(&mut self, now: Millis, is_reached: bool) -> bool {
        self.probed_at = Some(now);
        if is_reached {
            self.failed.clear();
            self.silent.clear();
            self.silent_since = now;
        }
        std::mem::replace(&mut self.is_partitioned, !is_reached) == is_reached
    }
}
