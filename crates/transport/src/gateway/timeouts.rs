//! How long a request waits for the response of one backend server.

use crate::gateway::flow::Handler;
use crate::gateway::peer::Peer;
use crate::gateway::sending::Outbound;
use protocol::routes::Retry;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of an attempt that may be repeated, as a multiple of the route's latency
/// objective. It admits responses that are slightly late but still useful, and leaves time
/// for a second server.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.2;

/// Pause before a request that may leave a silent server looks for another one again.
const LEAVE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Timeout that expired while waiting for a response.
pub(super) enum Timeout {
    /// Per-attempt timeout; the request may be sent to another backend server.
    Attempt,
    /// This instance reaches no backend server any more.
    Partition,
    /// The backend server is silent; the request may be sent to another one.
    Silence,
    /// Deadline of the request.
    Request,
}

impl Handler {
    /// Waits for the response. The per-attempt timeout applies if the request may be repeated
    /// and has attempts remaining, another server has a free slot and the retry budget is not
    /// exhausted; otherwise only the deadline of the request applies.
    ///
    /// A request that may be repeated is given up when this instance is found to be partitioned, or
    /// when its server is found silent and it can go to another one. Any other request stays with a
    /// silent server, which may go on.
    pub(super) async fn wait<T>(
        &self,
        outbound: &Outbound<'_>,
        response: impl Future<Output = T>,
        remaining: Duration,
        attempted: &[String],
        peer: &Peer,
    ) -> Result<T, Timeout> {
        let response = self.wait_for_timeouts(outbound, response, remaining, attempted);
        if outbound.route.retry != Retry::Always {
            return response.await;
        }
        let mut partitions = self.entry.is_partitioned.subscribe();
        let begins = async {
            // The entry holds the sender, so that the wait doesn't fail.
            while partitions.changed().await.is_ok() && !*partitions.borrow_and_update() {}
        };
        let may_leave = async {
            loop {
                let fallen_silent = peer.silence();
                // It may have fallen silent while the request was on its way to it.
                while peer.is_silent() {
                    if self.may_try_another(outbound, attempted) {
                        return;
                    }
                    tokio::time::sleep(LEAVE_RETRY_PAUSE).await;
                }
                fallen_silent.await;
            }
        };
        tokio::select! {
            response = response => response,
            () = begins => Err(Timeout::Partition),
            () = may_leave => Err(Timeout::Silence),
        }
    }

    /// Whether a request may leave the backend server that has it for another one. Takes a retry from
    /// the budget if so.
    fn may_try_another(&self, outbound: &Outbound<'_>, attempted: &[String]) -> bool {
        let may_repeat = outbound.route.retry == Retry::Always
            && self.progress.attempts + 1 < outbound.route.max_attempts;
        let now = self.entry.now();
        let has_capacity = || {
            let fleet = self.entry.fleet.lock();
            fleet.is_ok_and(|fleet| fleet.has_capacity(now, outbound.service, attempted))
        };
        may_repeat
            && has_capacity()
            && self.check_quarantine(outbound).is_ok()
            && self.entry.retries.lock().is_ok_and(|mut budget| budget.withdraw())
    }

    /// Waits for the response, without regard to partitions.
    async fn wait_for_timeouts<T>(
        &self,
        outbound: &Outbound<'_>,
        response: impl Future<Output = T>,
        remaining: Duration,
        attempted: &[String],
    ) -> Result<T, Timeout> {
        let may_repeat = outbound.route.retry == Retry::Always
            && self.progress.attempts + 1 < outbound.route.max_attempts;
        let timeout = outbound.route.latency_objective.mul_f64(ATTEMPT_TIMEOUT_FACTOR);
        let mut response = std::pin::pin!(response);
        if may_repeat && !timeout.is_zero() && timeout < remaining {
            if let Ok(response) = tokio::time::timeout(timeout, &mut response).await {
                return Ok(response);
            }
            if self.may_try_another(outbound, attempted) {
                return Err(Timeout::Attempt);
            }
        }
        let remaining = outbound.deadline.saturating_duration_since(Instant::now());
        tokio::time::timeout(remaining, response).await.map_err(|_| Timeout::Request)
    }
}
