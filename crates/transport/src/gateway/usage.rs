//! Admission of requests within the limit of their organisation.
//!
//! A request takes a permit before its body is read, and gives it back unless a backend server may
//! have executed it. One that is forwarded is admitted, and counted, by the entry that sends it to a
//! backend server.

use crate::gateway::dialect::{Metadata, Refusal};
use crate::gateway::entry::Entry;
use crate::gateway::flow::{Error, Handler};
use coordination::routing;
use coordination::usage::{self, Excess, Limit};
use protocol::organisations::{Organisation, Rate};
use protocol::routes::{Route, Table};
use rand::RngExt;
use state::error::Kind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Range of the factor by which times to come back vary, so that callers that were refused together
/// do not come back together.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// Permission to have a backend server execute a request once.
pub(super) struct Permit {
    entry: Arc<Entry>,
    permit: usage::Permit,
    organisation: Arc<Organisation>,
    rate: Rate,
    /// Whether a backend server may have executed the request.
    is_used: AtomicBool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_used.load(Ordering::Relaxed) {
            return;
        }
        if let Ok(mut gate) = self.entry.member.usage.gate.lock() {
            gate.give_back(self.permit);
        }
        self.entry.metrics.capped(&self.organisation.name, "given back");
    }
}

/// Whether an organisation of the configuration has a limit.
pub(super) fn is_limited(table: &Table) -> bool {
    let organisations = table.organisations();
    organisations.is_some_and(|index| index.iter().any(|organisation| organisation.rate.is_some()))
}

impl Handler {
    /// Takes a permit for the request if its organisation has a limit and it has none yet.
    ///
    /// # Errors
    ///
    /// Refuses the request if it is beyond the limit.
    pub(super) fn admit(&mut self, metadata: &Metadata, route: &Route) -> Result<(), Error> {
        let Some(organisation) = self.organisation.as_ref().filter(|_| self.permit.is_none())
        else {
            return Ok(());
        };
        let Some(rate) = organisation.rate else {
            return Ok(());
        };
        // A request on its own is a program of one request.
        let is_new = metadata.program.is_none()
            || (route.is_stream && metadata.previous.is_none() && metadata.resumption.is_none());
        let rank = metadata.program.as_ref().map_or_else(
            || rand::rng().random_range(0.0..1.0),
            |program| routing::digest(program.as_bytes()) as f64 / u64::MAX as f64,
        );
        let permit = take(&self.entry, organisation.clone(), rate, rank, is_new)?;
        self.permit = permit;
        Ok(())
    }

    /// Records whether a backend server may have executed the request since it got its permit.
    pub(super) fn set_permit_used(&self, is_used: bool) {
        if let Some(permit) = &self.permit {
            permit.is_used.store(is_used, Ordering::Relaxed);
        }
    }

    /// Takes a further permit after a backend server may have executed the request, so that another
    /// one may.
    ///
    /// # Errors
    ///
    /// Fails if the organisation is beyond its limit.
    pub(super) fn renew_permit(&mut self) -> Result<(), Error> {
        let Some(used) = self.permit.take() else {
            return Ok(());
        };
        // The request was admitted and has already cost one execution: it goes before all others.
        let renewed = take(&self.entry, used.organisation.clone(), used.rate, 0.0, false);
        self.permit = renewed.map_err(|_| {
            let detail = "no response, and the limit of the organisation allows no further attempt";
            Refusal::new(Kind::Failed, detail)
        })?;
        Ok(())
    }
}

/// Takes a permit of an organisation.
fn take(
    entry: &Arc<Entry>,
    organisation: Arc<Organisation>,
    rate: Rate,
    rank: f64,
    is_new: bool,
) -> Result<Option<Permit>, Refusal> {
    let now = entry.now();
    let digest = usage::digest(&organisation.name);
    let limit = Limit { per_second: rate.per_second, burst: rate.burst };
    let (admitted, status) = match entry.member.usage.gate.lock() {
        Ok(mut gate) => {
            let admitted = gate.admit(now, digest, limit, rank, is_new);
            let status = admitted.err().and_then(|_| gate.status(now, digest));
            (admitted, status)
        }
        // A lock is poisoned only by a panic in the decision, which must not refuse all requests.
        Err(_) => return Ok(None),
    };
    match admitted {
        Ok(permit) => {
            entry.metrics.capped(&organisation.name, "admitted");
            let (entry, is_used) = (entry.clone(), AtomicBool::new(false));
            Ok(Some(Permit { entry, permit, organisation, rate, is_used }))
        }
        Err(Excess { retry_ms, is_lone }) => {
            let outcome = if is_lone { "refused without contact" } else { "refused" };
            entry.metrics.capped(&organisation.name, outcome);
            let name = &organisation.name;
            let Rate { per_second, burst } = rate;
            let mut detail = format!(
                "organisation {name} is limited to {per_second} requests/s and {burst} more"
            );
            if let Some(status) = status {
                let (own, target) = (status.own, status.target);
                let all = status.used.map(|used| format!("{used} through all entries, "));
                let all = all.unwrap_or_default();
                detail +=
                    &format!("; in the last window {all}{own} through this one, of {target:.0}");
            }
            if is_lone {
                detail += "; this entry has no contact with most control instances";
            }
            let pause = Duration::from_millis(retry_ms).mul_f64(rand::rng().random_range(JITTER));
            Err(Refusal::retryable(Kind::RateLimited, pause, detail))
        }
    }
}
