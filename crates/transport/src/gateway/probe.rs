//! Detection that this instance reaches no backend server.
//!
//! The task feeds [`Reach`](coordination::reach::Reach) with what the connections show and
//! probes some servers when that asks for it.

use crate::gateway::entry::Entry;
use coordination::placement::Listing;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
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
            let (busy, servers) = match self.fleet.lock() {
                Ok(fleet) => {
                    let ready = fleet.iter().filter(|server| !server.listed.is_draining);
                    let servers: Vec<Listing> = ready.map(|server| server.listed.clone()).collect();
                    (fleet.local_loads(), servers)
                }
                Err(_) => return,
            };
            let received = self.pool.received();
            let busy = busy.iter().map(|(server, _)| server.as_str());
            let cause = self
                .reach
                .lock()
                .ok()
                .and_then(|mut reach| reach.check(self.now(), received, busy));
            let Some(cause) = cause.filter(|_| !servers.is_empty()) else {
                continue;
            };
            let probed: Vec<&Listing> = servers.sample(&mut rand::rng(), PROBED_SERVERS).collect();
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
                self.member.set_partitioned(is_partitioned);
            }
        }
    }

    /// Connects to all of `servers` and returns the id of the first one that accepts.
    async fn probe(&self, servers: &[&Listing]) -> Option<String> {
        let connect = |server: &Listing| {
            let (id, address) = (server.id.clone(), server.address.clone());
            async move { self.pool.warm_up(&address).await.ok().map(|()| id) }
        };
        let mut attempts: FuturesUnordered<_> =
            servers.iter().map(|server| connect(server)).collect();
        while let Some(accepted) = attempts.next().await {
            if accepted.is_some() {
                return accepted;
            }
        }
        None
    }
}
