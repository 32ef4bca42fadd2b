//! Distribution of the backend server list and of the entries' loads.
//!
//! The control leader reads the platform's backend server list; the other instances receive
//! it with the replies to their heartbeats. Entries report their outstanding requests and the
//! rate limits that they observe in heartbeats. The replies carry the sums of the requests and
//! the newest limits of the other entries.

use crate::clock::millis;
use crate::gateway::List;
use crate::member::node::Member;
use coordination::Millis;
use coordination::pace::Step;
use coordination::placement::{self, Listing};
use coordination::routing;
use coordination::versions::History;
use protocol::presence::{Effect, RateLimit, Relay, Update};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two reads of the list by the control leader. Together with a heartbeat
/// interval it is well below the few seconds after which a leaving server must get no requests.
const READ_PAUSE: Duration = Duration::from_millis(700);

/// Minimum pause between two reads. It applies to lists of many pages, which take longer to read
/// than [`READ_PAUSE`].
const MIN_READ_PAUSE: Duration = Duration::from_millis(100);

/// Age above which the list is stale: the interval between two reads plus two heartbeats. Then a
/// control instance that does not lead reads the list itself, and an entry requests it from
/// another control instance.
const MAX_AGE: Duration = Duration::from_millis(1_100);

/// Time for reading the list, per server: twice the time that it takes at 50 servers per page and
/// 44 calls per second, rounded up.
const READ_TIME_PER_SERVER: Duration = Duration::from_millis(1);

/// Number of earlier lists for which a control instance can send differences. They cover several
/// seconds in which servers come and go.
const EARLIER_LISTS: usize = 16;

/// Interval at which a control instance checks whether it leads or its list is stale.
const LEADERSHIP_CHECK_PAUSE: Duration = Duration::from_millis(200);

/// A backend server list, with the time at which it was read.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    pub(crate) digest: u64,
    pub(crate) read_at: Instant,
    pub(crate) servers: Arc<Vec<Listing>>,
}

/// View that an instance has of the backend servers.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) list: Option<Snapshot>,
    /// Software versions that the lists have shown.
    pub(crate) versions: History,
    /// Earlier lists, newest last.
    earlier: VecDeque<Snapshot>,
    /// Outstanding requests of the other entries, by id of the backend server.
    pub(crate) loads: Arc<Vec<(String, u32)>>,
    /// Rate limits that other entries observed, as of `relayed_at`.
    pub(crate) rate_limits: Arc<Vec<RateLimit>>,
    /// Paces of the servers, by id.
    pub(crate) paces: Arc<Vec<(String, Step)>>,
    /// Time at which a control instance last relayed the list.
    pub(crate) relayed_at: Option<Instant>,
}

/// What an entry reports of its use of the backend servers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Usage {
    /// Outstanding requests, by id of the backend server.
    pub(crate) in_flight: Vec<(String, u32)>,
    /// Rate limits that it observed lately.
    pub(crate) rate_limits: Vec<RateLimit>,
    /// Paces that it observed since the last report.
    pub(crate) paces: Vec<(String, Step)>,
}

/// Function that returns what this instance reports.
pub(crate) type UsageSource = Box<dyn Fn() -> Usage + Send + Sync>;

impl Snapshot {
    pub(crate) fn new(mut servers: Vec<Listing>, read_at: Instant) -> Self {
        servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        Self { digest: digest(&servers), read_at, servers: Arc::new(servers) }
    }
}

impl View {
    /// Returns the age of the list.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.list.as_ref().map(|snapshot| snapshot.read_at.elapsed())
    }

    /// Returns the time that reading a list of this length may take.
    pub(crate) fn read_time(&self) -> Duration {
        let servers = self.list.as_ref().map_or(0, |snapshot| snapshot.servers.len());
        READ_TIME_PER_SERVER * u32::try_from(servers).unwrap_or(u32::MAX)
    }

    /// Whether the list is so old that the control instance that relays it may be isolated.
    pub(crate) fn is_stale(&self) -> bool {
        self.age().is_none_or(|age| age > MAX_AGE + self.read_time())
    }

    /// Replaces the list at `now`; the previous one is retained if its content differs.
    pub(crate) fn replace(&mut self, snapshot: Snapshot, now: Millis) {
        let read_at = now.saturating_sub(millis(snapshot.read_at.elapsed()));
        let servers = snapshot.servers.iter();
        let versions = servers.map(|l| (l.service.as_str(), l.software_version.as_str()));
        self.versions.update(read_at, versions);
        let old = self.list.replace(snapshot);
        let is_new = old.as_ref().map(|old| old.digest) != self.list.as_ref().map(|new| new.digest);
        if let Some(old) = old.filter(|_| is_new) {
            if self.earlier.len() == EARLIER_LISTS {
                self.earlier.pop_front();
            }
            self.earlier.push_back(old);
        }
    }

    /// Returns the list for an instance that has the one with `digest`, as a difference if that
    /// one is retained.
    pub(crate) fn relay(&self, digest: u64) -> Option<Relay> {
        let snapshot = self.list.as_ref()?;
        let servers = || match self.earlier.iter().rev().find(|old| old.digest == digest) {
            Some(old) => Update::delta(digest, &old.servers, &snapshot.servers),
            None => Update::Full(snapshot.servers.as_ref().clone()),
        };
        let servers = (snapshot.digest != digest).then(servers);
        Some(Relay { digest: snapshot.digest, age_ms: millis(snapshot.read_at.elapsed()), servers })
    }

    /// Updates the outstanding requests of the other entries; `loads` has the order of the list
    /// with `digest`.
    pub(crate) fn update_loads(&mut self, digest: u64, loads: &[u32]) {
        if let Some(snapshot) = self.list.as_ref().filter(|snapshot| snapshot.digest == digest) {
            let ids = snapshot.servers.iter().map(|server| server.id.clone());
            let busy = ids.zip(loads.iter().copied()).filter(|(_, load)| *load > 0);
            self.loads = Arc::new(busy.collect());
        }
    }

    /// Updates the paces of the servers; `steps` has the order of the list with `digest`. Unknown ones stay as they are.
    pub(crate) fn update_paces(&mut self, digest: u64, steps: &[Step]) {
        if let Some(snapshot) = self.list.as_ref().filter(|snapshot| snapshot.digest == digest) {
            let ids = snapshot.servers.iter().map(|server| server.id.clone());
            let known = ids.zip(steps.iter().copied()).filter(|(_, step)| step.is_known());
            self.paces = Arc::new(known.collect());
        }
    }

    /// Applies a list that is relayed at `now`, in reply to a heartbeat sent at `sent_at`, if it was
    /// read later than the local one. It is at most as old as if the reply had been sent at
    /// `sent_at`; when it was sent after that is not known, since the reply may have been delayed.
    pub(crate) fn apply(&mut self, relayed: Relay, sent_at: Instant, now: Millis) {
        let Some(read_at) = sent_at.checked_sub(Duration::from_millis(relayed.age_ms)) else {
            return;
        };
        if self.list.as_ref().is_some_and(|snapshot| snapshot.read_at >= read_at) {
            return;
        }
        let base =
            self.list.as_ref().map(|snapshot| (snapshot.digest, snapshot.servers.as_slice()));
        let (digest, base_digest) = (relayed.digest, base.map(|(digest, _)| digest));
        match relayed.effect(base) {
            Effect::Confirmed => {
                if let Some(snapshot) = &mut self.list {
                    snapshot.read_at = read_at;
                }
            }
            Effect::Replaced(servers) => {
                let snapshot = Snapshot::new(servers, read_at);
                if snapshot.digest == digest {
                    self.replace(snapshot, now);
                } else {
                    // Without a local list, the next reply contains the complete list.
                    tracing::warn!(digest, ?base_digest, "relayed list has another digest");
                    self.list = None;
                }
            }
            Effect::Inapplicable => {
                tracing::debug!(digest, ?base_digest, "relayed difference is from another list");
            }
        }
    }
}

/// Returns the digest that identifies a list; never 0, which stands for no list.
fn digest(servers: &[Listing]) -> u64 {
    // Encoding a list does not fail. If it did, the digest would be that of an empty encoding.
    let bytes = postcard::to_stdvec(servers).unwrap_or_default();
    routing::digest(&bytes).max(1)
}

impl Member {
    /// Polls the platform's list while this control instance leads or its list is stale. The
    /// latter serves entries that reach no other control instance.
    pub async fn poll_list(self: Arc<Self>, list: Arc<dyn List>) {
        let mut has_failed = false;
        loop {
            let leads = self.handle().is_some_and(|handle| handle.leads());
            if !leads && !self.servers.borrow().is_stale() {
                tokio::time::sleep(LEADERSHIP_CHECK_PAUSE).await;
                continue;
            }
            let read_at = Instant::now();
            self.read_list(list.as_ref(), &mut has_failed).await;
            tokio::time::sleep(READ_PAUSE.saturating_sub(read_at.elapsed()).max(MIN_READ_PAUSE))
                .await;
        }
    }

    /// Reads the list once; returns whether that succeeded. `has_failed` is whether the previous
    /// read failed, so that only changes are logged.
    pub(crate) async fn read_list(&self, list: &dyn List, has_failed: &mut bool) -> bool {
        let read_at = Instant::now();
        let listing = list.read().await;
        let had_failed = std::mem::replace(has_failed, listing.is_err());
        match listing {
            Ok(servers) => {
                if had_failed {
                    tracing::info!(count = servers.len(), "backend server list can be read again");
                }
                let servers = self.without_duplicates(servers);
                let (snapshot, now) = (Snapshot::new(servers, read_at), self.clock.now());
                self.servers.send_modify(|view| view.replace(snapshot, now));
                true
            }
            Err(error) => {
                if !had_failed {
                    tracing::warn!(%error, "cannot read the backend server list");
                }
                false
            }
        }
    }

    /// Leaves out the entries that have the id of another one, since lists are relayed by id.
    fn without_duplicates(&self, servers: Vec<Listing>) -> Vec<Listing> {
        let view = self.servers.borrow();
        let current = view.list.as_ref().map(|list| list.servers.as_slice()).unwrap_or_default();
        // A snapshot is sorted by id.
        let known = |id: &str| {
            let found = current.binary_search_by(|listed| listed.id.as_str().cmp(id));
            found.ok().map(|position| &current[position])
        };
        let (unique, duplicates) = placement::split_duplicates(servers, known);
        if let Ok(mut last) = self.duplicates.lock()
            && *last != duplicates
        {
            tracing::warn!(?duplicates, "entries with the id of another server left out");
            *last = duplicates;
        }
        unique
    }

    /// Sets the source of what this instance reports of its use of the backend servers.
    pub(crate) fn set_usage_source(&self, source: UsageSource) {
        // An instance has only one gateway, which sets the source once.
        drop(self.usage_source.set(source));
    }
}
