//! Software versions of the backend servers that a stream may be sent to.
//!
//! The output of two versions doesn't fit together, so a request that takes up a stream goes to the
//! version that began it. The program journal records that version with the begin of a turn, and
//! again if a new stream goes to another one, before the request is sent.

use crate::clock::millis;
use crate::gateway::dialect::{Metadata, Refusal};
use crate::gateway::flow::{Error, Handler};
use crate::gateway::sending::{Outbound, PLACEMENT_SHARE};
use coordination::placement::{Fleet, Listing, Query};
use protocol::routes::Route;
use state::error::Kind;
use state::turn::{Assignment, Origin, Start};
use std::time::Duration;
use tokio::time::Instant;

/// Software versions of the backend servers that a request may be sent to.
pub(super) enum Versions {
    /// Every version.
    Any,
    /// The version that began the stream which the request takes up.
    Only(String),
    /// The recorded version; a different one has to be recorded before the request is sent.
    Recorded(Option<Assignment>),
}

impl Handler {
    /// Waits until this entry knows which software versions were in service when the request
    /// arrived, if it takes up a stream without naming its first request. A list that was read before
    /// may lack the version that began the stream, as another entry may have known it earlier.
    ///
    /// # Errors
    ///
    /// Refuses the request if no list arrives in time, as while this entry is cut off.
    pub(super) async fn await_versions(
        &self,
        metadata: &Metadata,
        route: &Route,
        service: &str,
        deadline: Instant,
    ) -> Result<(), Error> {
        let resumption = metadata.resumption.as_ref().filter(|_| route.is_resumable);
        if resumption.is_none_or(|resumption| resumption.origin.is_some()) {
            return Ok(());
        }
        let arrived_at = self.entry.now();
        let kept_ms = millis(kept_time(metadata, route));
        let is_settled = |fleet: &Fleet| fleet.only_version(arrived_at, service, kept_ms).is_some();
        if !self.entry.fleet.lock().is_ok_and(|fleet| is_settled(&fleet)) {
            // The request will be refused at once.
            return Ok(());
        }
        let timeout = deadline.saturating_duration_since(Instant::now()).mul_f64(PLACEMENT_SHARE);
        let mut list_read_at = self.entry.list_read_at.subscribe();
        let read = list_read_at.wait_for(|read_at| *read_at >= arrived_at);
        if tokio::time::timeout(timeout, read).await.is_ok() {
            return Ok(());
        }
        let age_ms = arrived_at.saturating_sub(*self.entry.list_read_at.borrow());
        tracing::info!(request = metadata.id, age_ms, "software versions in service not known");
        let detail = "the request doesn't name the one that began the stream, and this entry has no \
                      current list of servers";
        Err(self.refuse_resumption("outdated", detail))
    }

    /// Returns how the stream of the request starts if a later request may take it up.
    pub(super) fn start_of_stream(
        &self,
        metadata: &Metadata,
        route: &Route,
        service: &str,
    ) -> Result<Option<Start>, Error> {
        if !route.is_resumable {
            return Ok(None);
        }
        let kept_ms = millis(kept_time(metadata, route));
        let resumption = metadata.resumption.as_ref();
        if resumption.is_some() && route.retains_turns {
            let detail = "the events before the break are not part of the turn to retain";
            return Err(self.refuse_resumption("retained", detail));
        }
        let first = resumption.and_then(|resumption| resumption.origin.clone());
        if first.is_some() {
            return Ok(Some(Start { first, kept_ms, ..Start::default() }));
        }
        let now = self.entry.now();
        let versions: Vec<String> = match self.entry.fleet.lock() {
            Ok(fleet) if resumption.is_some() => {
                let only = fleet.only_version(now, service, kept_ms);
                only.filter(|_| route.targets.len() == 1).map(str::to_owned).into_iter().collect()
            }
            Ok(fleet) => {
                let query = Query { service, ..Query::default() };
                fleet.versions(now, &query).into_iter().map(str::to_owned).collect()
            }
            Err(_) => Vec::new(),
        };
        if resumption.is_some() && versions.is_empty() {
            let detail = "the request doesn't name the one that began the stream, and its servers \
                          may have had several software versions lately";
            return Err(self.refuse_resumption("unnamed", detail));
        }
        let origin = |software_version| Origin { service: service.to_owned(), software_version };
        let candidates = versions.into_iter().map(origin).collect();
        Ok(Some(Start { first, candidates, kept_ms }))
    }

    /// Binds the request to the recorded origin of its stream; returns the service to send it to.
    pub(super) fn bind_to_origin(
        &mut self,
        metadata: &Metadata,
        route: &Route,
        service: &str,
        recorded: Option<Assignment>,
    ) -> Result<String, Error> {
        if !route.is_resumable {
            return Ok(service.to_owned());
        }
        if metadata.resumption.is_none() {
            self.versions = Versions::Recorded(recorded);
            return Ok(service.to_owned());
        }
        let Some(Assignment { origin, .. }) = recorded else {
            return Err(self.refuse_resumption("unknown", "the origin of the stream is not known"));
        };
        if !route.targets.iter().any(|target| target.service == origin.service) {
            let detail = format!("route {} no longer allows {}", route.name, origin.service);
            return Err(self.refuse_resumption("moved", &detail));
        }
        self.versions = Versions::Only(origin.software_version);
        Ok(origin.service)
    }

    /// Refuses to take up a stream. There is no retry time, since waiting doesn't help: the caller
    /// has to start again.
    pub(super) fn refuse_resumption(&self, outcome: &str, detail: &str) -> Error {
        self.entry.metrics.resumption(outcome);
        Refusal::new(Kind::Unavailable, detail).into()
    }

    /// Records that the stream begins at the version of `server`.
    pub(super) async fn record_origin(
        &mut self,
        outbound: &Outbound<'_>,
        server: &Listing,
    ) -> Result<(), Error> {
        let (Versions::Recorded(recorded), Some(turn)) = (&self.versions, outbound.turn) else {
            return Ok(());
        };
        let revision = recorded.as_ref().map_or(0, |recorded| recorded.revision);
        let origin = Origin {
            service: outbound.service.to_owned(),
            software_version: server.software_version.clone(),
        };
        let kept = kept_time(outbound.metadata, outbound.route);
        let remaining = outbound.deadline.saturating_duration_since(Instant::now());
        let timeout = remaining.mul_f64(PLACEMENT_SHARE);
        let assigned = turn.assign(origin.clone(), revision, kept, timeout).await;
        tracing::info!(
            request = outbound.metadata.id,
            server = server.id,
            previous = ?recorded,
            ?assigned,
            "origin of a stream changed"
        );
        match assigned {
            Ok(assignment) if assignment.origin == origin => {
                self.versions = Versions::Recorded(Some(assignment));
                Ok(())
            }
            _ => Err(self.refuse("the origin of the stream could not be recorded")),
        }
    }
}

/// Time for which the origin of a stream is kept: a caller takes it up while it still waits.
fn kept_time(metadata: &Metadata, route: &Route) -> Duration {
    metadata.timeout.unwrap_or_default().max(route.timeout)
}
