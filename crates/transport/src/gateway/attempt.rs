//! One attempt on a backend server.

use crate::gateway::entry::Entry;
use crate::gateway::pool::Connection;
use coordination::placement::{Listing, Outcome};
use std::sync::Arc;

/// An attempt under way; dropping it stops the work and reports how it ended.
pub(crate) struct Attempt {
    entry: Arc<Entry>,
    pub(crate) server: Listing,
    pub(crate) connection: Option<Connection>,
    outcome: Outcome,
}

impl Attempt {
    /// Starts an attempt; until it is settled it counts as cancelled.
    pub(crate) fn new(entry: &Arc<Entry>, server: Listing) -> Self {
        if let Ok(mut fleet) = entry.fleet.lock() {
            fleet.begin(&server.id);
        }
        Self { entry: entry.clone(), server, connection: None, outcome: Outcome::Cancelled }
    }

    /// Says how it ended.
    pub(crate) fn settle(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Ends it after a whole answer and keeps its connection.
    pub(crate) fn finish(mut self, headers: &http::HeaderMap) {
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
