//! Request that waits for a backend server.

use crate::clock::millis;
use crate::gateway::entry::Entry;
use coordination::waiting::{Class, Ticket};
use std::sync::Arc;
use std::time::Duration;

/// A waiting request, which leaves its queue when it is dropped.
pub(super) struct Waiter {
    entry: Arc<Entry>,
    service: String,
    pub(super) ticket: Ticket,
}

impl Waiter {
    /// Joins the queue of a service for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns the expected wait if that is longer.
    pub(super) fn join(
        entry: &Arc<Entry>,
        service: &str,
        class: Class,
        limit: Duration,
    ) -> Result<Self, Duration> {
        let Ok(mut queues) = entry.queues.lock() else {
            return Err(limit);
        };
        let queue = queues.entry(service.to_owned()).or_default();
        let ticket =
            queue.join(entry.now(), class, millis(limit)).map_err(Duration::from_millis)?;
        entry.metrics.waiting.inc();
        Ok(Self { entry: entry.clone(), service: service.to_owned(), ticket })
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.entry.metrics.waiting.dec();
        if let Ok(mut queues) = self.entry.queues.lock()
            && let Some(queue) = queues.get_mut(&self.service)
        {
            queue.leave(self.ticket);
        }
    }
}
