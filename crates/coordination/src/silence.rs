//! Whether a backend server has fallen silent.
//!
//! A server whose machine is lost, or that hangs, closes none of its connections: what it was sent
//! remains unanswered until the caller leaves. A slow server looks the same on the connection of one
//! request. It is told apart by a new connection and a request that any server that lives answers at
//! once without executing it. An instance that is cut off from its servers, or that stood still
//! itself, finds the same of all servers; so the probe is compared with those of other servers, of
//! the same failure domain first, and counts only if they answer.
//!
//! A silent server may go on with everything that it had, or may have ended. Silence alone can't tell
//! the two apart, so nothing that the server has accepted is given up for it; it only gets nothing
//! new. What follows is a [`Fate`], which the server itself shows: it goes on if it sends anything on
//! a connection from before, and has ended if it has closed all of those. One that refuses new
//! connections may have too many of them, or be about to stop, and still answer what it has. If it
//! answers new ones but not what it owed, that counts as an end, and its requests still wait.
//!
//! Load pattern: one request that takes down each server that executes it, without a connection being
//! closed, and comes again through all instances; among slow servers, servers that pause for a second
//! or two, lost links of single instances or failure domains, and instances that stand still for
//! seconds.

use crate::Millis;
use state::collections::{Map, Set};

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

/// Minimum number of checks after an answer on a later connection in which a server may show that it
/// still knows what it owed. They are counted instead of timed, since answers may wait for this process
/// while it stands still. After a cut, TCP sends again within the time that the cut lasted, so that there
/// are also as many as there were before the answer.
const MIN_SETTLING_CHECKS: u32 = 5;

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
    /// The server has fallen silent. It may go on later.
    Silent,
    /// This instance stood still, or is cut off from more than this server, or none can testify.
    Unclear,
}

/// What became of a probe that a server owed when it was found silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Owed {
    /// There is none: its connection was never open.
    #[default]
    Nothing,
    /// It waits for the answer.
    Open,
    /// The server closed its connection.
    Closed,
}

/// What a server showed since it was found silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Trace {
    /// Whether it sent anything on a connection from before.
    pub has_gone_on: bool,
    /// Whether it refused the last connection.
    pub is_refusing: bool,
    /// Whether its id and address are listed.
    pub is_listed: bool,
    /// Whether it was about to stop when it was last listed.
    pub is_leaving: bool,
    /// Number of checks since it was sent the probe from before, up to its first answer on a later
    /// connection.
    pub silent_checks: u32,
    /// Number of checks since it answered on a later connection; `None` if it didn't.
    pub checks_since_answer: Option<u32>,
    /// Whether it closes new connections without an answer, as one that has too many.
    pub is_crowded: bool,
    /// The probe from before.
    pub probe: Owed,
    /// Number of requests from before whose connections are still open.
    pub open_requests: usize,
}

/// What became of a silent server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is still silent.
    Silent,
    /// It goes on with what it had.
    GoesOn,
    /// It has ended, and its requests with it.
    Ended,
    /// It answers, but not what it owes from before. Its requests may still be answered.
    Forgot,
    /// It is no longer listed, and has no requests any more.
    Unlisted,
    /// It answers, and nothing shows whether it is the same run of the server.
    Unknown,
}

impl Trace {
    /// Whether the end of the server counts against the content that it had, given its fate. One that
    /// was about to stop has ended as planned.
    pub fn is_evidence(&self, fate: Fate) -> bool {
        matches!(fate, Fate::Ended | Fate::Forgot | Fate::Unlisted) && !self.is_leaving
    }

    /// Returns what became of the server.
    pub fn fate(&self) -> Fate {
        if self.has_gone_on {
            return Fate::GoesOn;
        }
        let has_closed_all = self.open_requests == 0 && self.probe != Owed::Open;
        if self.is_refusing && has_closed_all {
            return Fate::Ended;
        }
        let settling = self.silent_checks.max(MIN_SETTLING_CHECKS);
        if self.checks_since_answer.is_none_or(|checks| checks < settling) {
            let is_unlisted = !self.is_listed && self.open_requests == 0;
            return if is_unlisted { Fate::Unlisted } else { Fate::Silent };
        }
        match self.probe {
            Owed::Nothing => Fate::Unknown,
            Owed::Open => Fate::Forgot,
            // A server with many connections closes some of them, but all only when it ends.
            Owed::Closed if self.open_requests > 0 => Fate::GoesOn,
            Owed::Closed if self.is_crowded => Fate::Unknown,
            Owed::Closed => Fate::Ended,
        }
    }
}

/// Doubts of one instance.
#[derive(Debug, Clone, Default)]
pub struct Silence {
    checked_at: Option<Millis>,
    /// Time at which this process last went on after a standstill.
    resumed_at: Millis,
    probed_at: Map<String, Millis>,
    /// Servers that were found silent and whose fate isn't known.
    silent: Set<String>,
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
        let is_doubtful = |observed: &Observed<'_>| {
            now >= observed.quiet_since.max(self.resumed_at) + DOUBT_MS
                && self.may_testify(observed.server)
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
        !self.silent.contains(server) && !self.probed_at.contains_key(server)
    }

    /// Returns what follows from the probe of a server.
    pub fn judge(&mut self, server: &str, probed: &Probed) -> Verdict {
        if probed.has_answered {
            return Verdict::Lives;
        }
        let stood_still = probed.took_ms > PROBE_TIMEOUT_MS + PROBE_DELAY_MS;
        let is_alone = probed.witnesses > 0 && probed.answering_witnesses == probed.witnesses;
        if stood_still || !is_alone {
            return Verdict::Unclear;
        }
        self.silent.insert(server.to_owned());
        Verdict::Silent
    }

    /// Ends the silence of a server.
    pub fn resolve(&mut self, server: &str) {
        self.silent.remove(server);
    }
}
