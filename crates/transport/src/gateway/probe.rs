//! Detection that this instance reaches no backend server.
//!
//! The task feeds [`Reach`](coordination::reach::Reach) with what the connections show and
//! probes some servers when that asks for it.

use crate::gateway::entry::Entry;
use coordination::placement::Listing;
use coordination::reach::Cause;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two checks, unless a connection fails in between.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of servers to which a probe connects at the same time. Few enough to cost little, and
/// too many to be down together while others are not.
const PROBED_SERVERS: usize = 4;

impl Entry {
    /// Checks whether this instance reaches the backend servers for as long as the process runs.
    pub(super) async fn watch_reach(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.connection_failed.notified() => {}
            }
            let Some((cause, probed)) = self.servers_to_probe() else {
                continue;
            };
            let reached = self.probe(&probed).await;
            let Ok(has_changed) =
                self.reach.lock().map(|mut reach| reach.probed(self.now(), reached.is_some()))
            else {
                return;
            };
            let is_partitioned = reached.is_none();
            if has_changed {
                let probed: Vec<&str> = probed.iter().map(|server| server.id.as_str()).collect();
                tracing::warn!(
                    is_partitioned,
                    ?cause,
                    ?probed,
                    ?reached,
                    "reach of servers changed"
                );
                self.metrics.partitioned.set(i64::from(is_partitioned));
                self.is_partitioned.send_replace(is_partitioned);
                self.member.set_partitioned(is_partitioned);
            }
        }
    }

    /// Returns the servers to probe, and why.
    fn servers_to_probe(&self) -> Option<(Cause, Vec<Listing>)> {
        let fleet = self.fleet.lock().ok()?;
        let busy = fleet.iter().filter(|server| server.outstanding > 0);
        let busy = busy.map(|server| server.listed.id.as_str());
        let received = self.pool.received();
        let cause = self.reach.lock().ok()?.check(self.now(), received, busy)?;
        let ready = fleet.iter().map(|server| &server.listed).filter(|listed| !listed.is_draining);
        let probed: Vec<Listing> =
            ready.sample(&mut rand::rng(), PROBED_SERVERS).into_iter().cloned().collect();
        (!probed.is_empty()).then_some((cause, probed))
    }

    /// Connects to all of `servers` and returns the id of the first one that accepts.
    async fn probe(&self, servers: &[Listing]) -> Option<String> {
        let connect = |server: &Listing| {
            let (id, address) = (server.id.clone(), server.address.clone());
            async move { self.pool.warm_up(&address).await.ok().map(|()| id) }
        };
        let mut attempts: FuturesUnordered<_> = servers.iter().map(connect).collect();
        while let Some(accepted) = attempts.next().await {
            if accepted.is_some() {
                return accepted;
            }
        }
        None
    }
}
