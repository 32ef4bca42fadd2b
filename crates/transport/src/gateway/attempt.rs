//! One attempt of a request on a backend server.
//!
//! An [`Attempt`] counts as outstanding in the fleet and holds the connection while it is in
//! progress. Its outcome feeds the choice of backend servers.

use crate::gateway::entry::Entry;
use crate::gateway::loss::{Loss, Subject};
use crate::gateway::peer::{Pending, Registration};
use crate::gateway::pool::Connection;
use coordination::placement::{Listing, Outcome};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// An attempt in progress. Dropping it closes the connection, which stops the work on the
/// server, and reports the outcome.
pub(crate) struct Attempt {
    entry: Arc<Entry>,
    pub(crate) server: Listing,
    pub(crate) connection: Option<Connection>,
    /// The request, once it is sent; `None` for one that is forwarded.
    pub(super) subject: Option<Arc<Subject>>,
    /// Whether it is for a stream whose response has not begun.
    pub(super) is_before_stream: bool,
    /// Entry among the requests of the server, once it is sent.
    registration: Option<Registration>,
    outcome: Outcome,
    /// Whether the request was forwarded to another entry.
    is_forwarded: bool,
}

impl Attempt {
    /// Wraps an attempt that was begun in the fleet. Its outcome is `Cancelled` unless it is
    /// ended otherwise.
    pub(crate) fn new(entry: &Arc<Entry>, server: Listing) -> Self {
        Self {
            entry: entry.clone(),
            server,
            connection: None,
            subject: None,
            is_before_stream: false,
            registration: None,
            outcome: Outcome::Cancelled,
            is_forwarded: false,
        }
    }

    /// Wraps an attempt to forward a request to the entry at `relay`, which takes the place of a
    /// backend server.
    pub(crate) fn to_entry(entry: &Arc<Entry>, relay: &str) -> Self {
        let (id, address) = (relay.to_owned(), relay.to_owned());
        let server = Listing { id, address, ..Listing::default() };
        let mut attempt = Self::new(entry, server);
        attempt.is_forwarded = true;
        attempt
    }

    /// Registers `request`, which is about to be sent on the connection, among those of the server.
    pub(super) fn register(&mut self, request: &str, connection: &Connection) {
        let Some(subject) = &self.subject else {
            return;
        };
        self.registration = Some(connection.peer.register(Pending {
            request: request.to_owned(),
            subject: subject.clone(),
            server: self.server.id.clone(),
            opened_at: connection.opened_at,
            sent_at: self.entry.now(),
            is_before_first_event: AtomicBool::new(self.is_before_stream),
        }));
    }

    /// Records that the first event of the stream has arrived.
    pub(crate) fn observe_output(&self) {
        if let Some(registration) = &self.registration {
            registration.pending.is_before_first_event.store(false, Ordering::Relaxed);
        }
    }

    /// Records the pace of the server's stream: the time of `intervals` intervals between its events.
    pub(crate) fn observe_pace(&self, micros: u64, intervals: u64) {
        if !self.is_forwarded
            && let Ok(mut fleet) = self.entry.fleet.lock()
        {
            fleet.observe_pace(&self.server.id, micros, intervals);
        }
    }

    /// Ends the attempt with an outcome.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Ends the attempt of `request` after the server closed the connection before its response was
    /// complete; `None` for a request that was forwarded.
    pub(super) fn lose(mut self, request: &str, is_before_first_event: bool) -> Option<Loss> {
        self.outcome = Outcome::Failed;
        let request = request.to_owned();
        Some(Loss { request, is_before_first_event, ..self.loss()? })
    }

    /// The attempt as one that is lost now; `None` for a request that was forwarded, or not sent.
    fn loss(&self) -> Option<Loss> {
        Some(Loss {
            request: String::new(),
            content: self.subject.as_ref()?.content(),
            server: self.server.id.clone(),
            address: self.server.address.clone(),
            is_before_first_event: self.is_before_stream,
            alive_at: self.registration.as_ref()?.pending.opened_at,
        })
    }

    /// Ends the attempt after a complete response and returns its connection to the pool;
    /// `headers` are those of the response.
    pub(crate) fn complete(mut self, headers: &http::HeaderMap) {
        self.outcome = Outcome::Answered;
        if !self.is_forwarded
            && let Ok(mut retries) = self.entry.retries.lock()
        {
            retries.deposit();
        }
        let is_leaving = self.entry.has_announced_leaving(&self.server.id);
        if let Some(connection) = self.connection.take_if(|_| !is_leaving) {
            let pool = if self.is_forwarded { &self.entry.relays } else { &self.entry.pool };
            pool.put(&self.server.address, connection, headers);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.outcome == Outcome::Cancelled
            && let Some(peer) = self.registration.as_ref().map(|registration| &registration.peer)
            // The requests of a silent server are known.
            && !peer.is_silent()
            && self.entry.is_quiet(&self.server.address)
            && let Some(loss) = self.loss()
        {
            self.entry.doubt(Loss { alive_at: peer.heard_at(), ..loss });
        }
        let now = self.entry.now();
        if !self.is_forwarded
            && let Ok(mut fleet) = self.entry.fleet.lock()
        {
            fleet.finish(now, &self.server.id, self.outcome);
        }
        let outcome = match self.outcome {
            Outcome::Answered => "answered",
            Outcome::Failed => "failed",
            Outcome::Full => "full",
            Outcome::Gone => "gone",
            Outcome::Cancelled => "cancelled",
        };
        if self.is_forwarded {
            self.entry.metrics.forwarded(outcome);
        } else {
            self.entry.metrics.attempt(outcome);
        }
    }
}
