//! One attempt of a request on a backend server.
//!
//! An [`Attempt`] counts as outstanding in the fleet and holds the connection while it is in
//! progress. Its outcome feeds the choice of backend servers.

use crate::gateway::entry::Entry;
use crate::gateway::pool::Connection;
use coordination::placement::{Listing, Outcome};
use std::sync::Arc;

/// An attempt in progress. Dropping it closes the connection, which stops the work on the
/// server, and reports the outcome.
pub(crate) struct Attempt {
    entry: Arc<Entry>,
    pub(crate) server: Listing,
    pub(crate) connection: Option<Connection>,
    outcome: Outcome,
}

impl Attempt {
    /// Wraps an attempt that was begun in the fleet. Its outcome is `Cancelled` unless it is
    /// ended otherwise.
    pub(crate) fn new(entry: &Arc<Entry>, server: Listing) -> Self {
        Self { entry: entry.clone(), server, connection: None, outcome: Outcome::Cancelled }
    }

    /// Ends the attempt with an outcome.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Ends the attempt after a complete response and returns its connection to the pool;
    /// `headers` are those of the response.
    pub(crate) fn complete(mut self, headers: &http::HeaderMap) {
        self.outcome = Outcome::Answered;
        if let Ok(mut retries) = self.entry.retries.lock() {
            retries.deposit();
        }
        if let Some(connection) = self.connection.take() {
            self.entry.pool.put(&self.server.address, connection, headers);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.entry.now();
        if let Ok(mut fleet) = self.entry.fleet.lock() {
            fleet.finish(now, &self.server.id, self.outcome);
        }
        let outcome = match self.outcome {
            Outcome::Answered => "answered",
            Outcome::Failed => "failed",
            Outcome::Full => "full",
            Outcome::Gone => "gone",
            Outcome::Cancelled => "cancelled",
        };
        self.entry.metrics.attempt(outcome);
    }
}
