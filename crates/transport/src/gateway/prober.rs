//! Probes of one silent server, until they show what became of it.

use crate::gateway::pool::Connection;
use crate::gateway::silence::CHECK_INTERVAL;
use bytes::Bytes;
use coordination::silence::{Owed, PROBE_TIMEOUT_MS, Trace};
use http::Request;
use http_body_util::Full;
use std::future::Future;
use std::pin::Pin;

/// Number of checks in the time of the probe by which a server is found silent.
const FIRST_PROBE_CHECKS: u32 = (PROBE_TIMEOUT_MS / 100) as u32;

/// Number of checks between two probes of a silent server.
const CHECKS_PER_PROBE: u32 = 10;

/// How a server reacts to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reaction {
    /// It answers.
    Answered,
    /// It closes the connection.
    Closed,
    /// It refuses the connection.
    Refused,
    /// The connection can't be opened.
    Unreachable,
    /// This instance could not try to open a connection.
    Untried,
}

/// A probe that is under way. Its connection is closed when it is dropped.
pub(super) type Probe = Pin<Box<dyn Future<Output = Reaction> + Send>>;

/// Waits for the reaction to a probe, if there is one; it is done then.
async fn reaction(probe: &mut Option<Probe>) -> Reaction {
    let Some(pending) = probe else {
        return std::future::pending().await;
    };
    let reaction = pending.await;
    *probe = None;
    reaction
}

/// Probes of a silent server.
pub(super) struct Prober {
    /// Probe from before the server was found silent, or the first one whose connection was open.
    earlier: Option<Probe>,
    later: Option<Probe>,
    pub(super) trace: Trace,
    checks: u32,
    /// Whether the server closed the connection of a later probe. It may have been open when the server
    /// ended, so that only the next one shows whether there is a server.
    has_closed: bool,
}

impl Prober {
    pub(super) fn new(earlier: Option<Probe>) -> Self {
        let probe = if earlier.is_some() { Owed::Open } else { Owed::Nothing };
        let silent_checks = FIRST_PROBE_CHECKS;
        let trace = Trace { probe, is_listed: true, silent_checks, ..Trace::default() };
        Self { earlier, later: None, trace, checks: 0, has_closed: false }
    }

    /// Waits for one check, and records how the server reacts to the probes.
    pub(super) async fn check(&mut self, begin_probe: impl Fn() -> Probe) {
        let trace = &mut self.trace;
        let pause = tokio::time::sleep(CHECK_INTERVAL);
        let mut pause = std::pin::pin!(pause);
        loop {
            tokio::select! {
                reaction = reaction(&mut self.earlier) => match reaction {
                    Reaction::Answered => trace.has_gone_on = true,
                    Reaction::Closed => trace.probe = Owed::Closed,
                    Reaction::Refused => trace.is_refusing = true,
                    Reaction::Unreachable | Reaction::Untried => trace.probe = Owed::Nothing,
                },
                reaction = reaction(&mut self.later) => match reaction {
                    Reaction::Closed if !std::mem::replace(&mut self.has_closed, true) => {
                        self.later = Some(begin_probe());
                    }
                    Reaction::Answered | Reaction::Closed => {
                        trace.is_refusing = false;
                        trace.is_crowded |= reaction == Reaction::Closed;
                        trace.checks_since_answer.get_or_insert(0);
                    }
                    Reaction::Refused => trace.is_refusing = true,
                    Reaction::Unreachable | Reaction::Untried => {}
                },
                () = &mut pause => break,
            }
        }
        match &mut trace.checks_since_answer {
            Some(checks) => *checks += 1,
            None => trace.silent_checks += 1,
        }
        self.checks += 1;
        if self.checks.is_multiple_of(CHECKS_PER_PROBE) && trace.checks_since_answer.is_none() {
            // A connection that isn't open by now is no longer tried.
            let pending = self.later.replace(begin_probe());
            if trace.probe == Owed::Nothing && pending.is_some() {
                self.earlier = pending;
                trace.probe = Owed::Open;
            }
        }
    }
}

/// Sends the request of a probe, and waits for the reaction.
pub(super) async fn react(mut connection: Connection, request: Request<Full<Bytes>>) -> Reaction {
    match connection.send(request).await {
        Ok(_) => Reaction::Answered,
        Err(_) => Reaction::Closed,
    }
}
