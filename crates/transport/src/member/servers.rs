//! What instances tell each other of the backend servers.
//!
//! The control instance that leads reads the platform's list; all others get it with the
//! answers to their beats. Entries say what they have outstanding and hear the sum of what
//! the others have.

use crate::clock::millis;
use crate::gateway::List;
use crate::member::node::Member;
use coordination::placement::Listing;
use coordination::routing;
use protocol::presence::{ListUpdate, RelayedList};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two reads of the list by the control instance that leads; with a beat it
/// reaches entries well within the seconds that a leaving server is used at most.
const READ_PAUSE: Duration = Duration::from_millis(700);

/// Shortest pause between two reads: a list of many pages takes longer than [`READ_PAUSE`].
const LEAST_PAUSE: Duration = Duration::from_millis(100);

/// Age of the list at which a control instance that does not lead reads it itself, and at
/// which an entry asks another control instance: the time between two reads and two beats.
const STALE: Duration = Duration::from_millis(1_100);

/// Time to read the list, for each server: pages of 50 at 44 calls a second, twice.
const READ_TIME_PER_SERVER: Duration = Duration::from_millis(1);

/// Earlier lists that a control instance can tell the difference from; a few seconds in
/// which servers come and go.
const HISTORY: usize = 16;

/// Pause between two looks of a control instance at whether it leads.
const LEAD_PAUSE: Duration = Duration::from_millis(200);

/// A list of backend servers and when it was read.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub(crate) digest: u64,
    pub(crate) read: Instant,
    pub(crate) servers: Arc<Vec<Listing>>,
}

/// What an instance knows of the backend servers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Known {
    pub(crate) list: Option<Held>,
    /// Lists before it, the newest last.
    earlier: VecDeque<Held>,
    /// Requests that the other entries have outstanding.
    pub(crate) loads: Arc<Vec<(String, u32)>>,
    /// When a control instance relayed something.
    pub(crate) relayed: Option<Instant>,
}

/// Says what this instance has outstanding.
pub(crate) type Loads = Box<dyn Fn() -> Vec<(String, u32)> + Send + Sync>;

impl Held {
    pub(crate) fn new(mut servers: Vec<Listing>, read: Instant) -> Self {
        servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        Self { digest: digest(&servers), read, servers: Arc::new(servers) }
    }
}

impl Known {
    /// Age of the list.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.list.as_ref().map(|held| held.read.elapsed())
    }

    /// Time that a read of so long a list may take.
    pub(crate) fn read_time(&self) -> Duration {
        let servers = self.list.as_ref().map_or(0, |held| held.servers.len());
        READ_TIME_PER_SERVER * u32::try_from(servers).unwrap_or(u32::MAX)
    }

    /// Whether the list is so old that whoever relays it may be cut off.
    pub(crate) fn is_stale(&self) -> bool {
        self.age().is_none_or(|age| age > STALE + self.read_time())
    }

    /// Takes a list that was read.
    pub(crate) fn set(&mut self, held: Held) {
        let old = self.list.replace(held);
        let is_new = old.as_ref().map(|old| old.digest) != self.list.as_ref().map(|h| h.digest);
        if let Some(old) = old.filter(|_| is_new) {
            if self.earlier.len() == HISTORY {
                self.earlier.pop_front();
            }
            self.earlier.push_back(old);
        }
    }

    /// The list for an instance that knows the one of `digest`.
    pub(crate) fn relay(&self, digest: u64) -> Option<RelayedList> {
        let held = self.list.as_ref()?;
        let servers = || match self.earlier.iter().rev().find(|old| old.digest == digest) {
            Some(old) => ListUpdate::delta(digest, &old.servers, &held.servers),
            None => ListUpdate::Full(held.servers.as_ref().clone()),
        };
        let servers = (held.digest != digest).then(servers);
        Some(RelayedList { digest: held.digest, age_ms: millis(held.read.elapsed()), servers })
    }

    /// Takes what the others have outstanding on the servers of the list of `digest`.
    pub(crate) fn share(&mut self, digest: u64, loads: &[u32]) {
        if let Some(held) = self.list.as_ref().filter(|held| held.digest == digest) {
            let ids = held.servers.iter().map(|server| server.id.clone());
            let busy = ids.zip(loads.iter().copied()).filter(|(_, load)| *load > 0);
            self.loads = Arc::new(busy.collect());
        }
    }

    /// Takes a relayed list if it was read later than the own one.
    pub(crate) fn take(&mut self, relayed: RelayedList) {
        let Some(read) = Instant::now().checked_sub(Duration::from_millis(relayed.age_ms)) else {
            return;
        };
        if self.list.as_ref().is_some_and(|held| held.read >= read) {
            return;
        }
        let Some(servers) = relayed.servers else {
            if let Some(held) = self.list.as_mut().filter(|held| held.digest == relayed.digest) {
                held.read = read;
            }
            return;
        };
        let own = self.list.as_ref().map(|held| (held.digest, held.servers.as_slice()));
        let taken = servers.apply(own).map(|servers| Held::new(servers, read));
        match taken.filter(|held| held.digest == relayed.digest) {
            Some(held) => self.set(held),
            // The next answer brings the whole list.
            None => {
                tracing::warn!(digest = relayed.digest, "relayed list does not fit the own one");
                self.list = None;
            }
        }
    }
}

/// Digest by which two lists are told apart; never 0.
fn digest(servers: &[Listing]) -> u64 {
    // A list always has an encoding; without one it would count as a new list.
    let bytes = postcard::to_stdvec(servers).unwrap_or_default();
    routing::digest(&bytes).max(1)
}

impl Member {
    /// Reads the platform's list while this control instance leads, or hears of no fresh one:
    /// entries that it alone reaches depend on it.
    pub async fn read_list(self: Arc<Self>, list: Arc<dyn List>) {
        let mut is_lost = false;
        loop {
            let leads = self.handle().is_some_and(|handle| handle.leads());
            if !leads && !self.servers.borrow().is_stale() {
                tokio::time::sleep(LEAD_PAUSE).await;
                continue;
            }
            let read = Instant::now();
            self.take_listing(list.as_ref(), &mut is_lost).await;
            tokio::time::sleep(READ_PAUSE.saturating_sub(read.elapsed()).max(LEAST_PAUSE)).await;
        }
    }

    /// Reads the list once; returns whether that succeeded. `is_lost` says whether the read
    /// before failed.
    pub(crate) async fn take_listing(&self, list: &dyn List, is_lost: &mut bool) -> bool {
        let read = Instant::now();
        let listing = list.read().await;
        let was_lost = std::mem::replace(is_lost, listing.is_err());
        match listing {
            Ok(servers) => {
                if was_lost {
                    tracing::info!(count = servers.len(), "list of backend servers regained");
                }
                self.servers.send_modify(|known| known.set(Held::new(servers, read)));
                true
            }
            Err(error) => {
                if !was_lost {
                    tracing::warn!(%error, "list of backend servers lost");
                }
                false
            }
        }
    }

    /// Sets what says how much this instance has outstanding.
    pub(crate) fn set_loads(&self, loads: Loads) {
        // Only the one gateway of the instance sets it, once.
        drop(self.loads.set(loads));
    }
}
