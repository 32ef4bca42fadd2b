//! Accounting of the memory that a process holds for others.
//!
//! A [`Budget`] is shared by all servers of a process. Bytes are taken from it as a `Grant`
//! before they are held, and returned when the grant is dropped. If it is used up, the upload that
//! [`coordination::memory`] chooses gives way.

use coordination::memory::{self, Pace};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use state::collections::Map;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time for an upload that gives way to return its memory: some turns of the process's tasks.
const RETURN_TIMEOUT: Duration = Duration::from_millis(250);

/// Memory of a machine whose settings name none, in bytes.
pub const DEFAULT_MACHINE_BYTES: u64 = 256_000_000;

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Buffers of connections of callers.
    Connection,
    /// Bodies of requests.
    Body,
    /// Messages of other instances that have not arrived in full.
    Message,
    /// Events of responses, and answers to other instances.
    Response,
    /// Turns on their way to the journal.
    Record,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Body => "body",
            Self::Message => "message",
            Self::Response => "response",
            Self::Record => "record",
        }
    }
}

/// Label of a metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    kind: String,
}

/// Metrics of the budget; clones share their values.
#[derive(Debug, Clone, Default)]
pub(crate) struct Metrics {
    held: Family<Label, Gauge>,
    refused: Family<Label, Counter>,
}

impl Metrics {
    /// Adds the metrics to those that the instance serves.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Bytes held for others, by what for";
        registry.register("held_bytes", help, self.held.clone());
        let help = "Uploads, connections and messages that were given up, by reason";
        registry.register("given_up", help, self.refused.clone());
    }

    /// Counts something that was given up.
    pub(crate) fn give_up(&self, reason: &str) {
        self.refused.get_or_create(&Label { kind: reason.to_owned() }).inc();
    }
}

/// The budget is used up, and nobody gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory for what others send is used up")]
pub(crate) struct Full;

/// An upload that may be made to give way.
#[derive(Debug)]
struct Candidate {
    pace: Pace,
    leave: Arc<Notify>,
}

/// Memory of a process for what others send.
#[derive(Debug)]
pub struct Budget {
    clock: crate::clock::Clock,
    limit: usize,
    held: AtomicUsize,
    by_kind: [Gauge; 5],
    next: AtomicU64,
    uploads: Mutex<Map<u64, Candidate>>,
    /// Notified when memory is returned.
    returned: Notify,
    pub(crate) metrics: Metrics,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: u64, metrics: Metrics) -> Arc<Self> {
        let gauge =
            |kind: Kind| metrics.held.get_or_create_owned(&Label { kind: kind.name().to_owned() });
        Arc::new(Self {
            clock: crate::clock::Clock::new(),
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            held: AtomicUsize::new(0),
            by_kind: [Kind::Connection, Kind::Body, Kind::Message, Kind::Response, Kind::Record]
                .map(gauge),
            next: AtomicU64::new(0),
            uploads: Mutex::default(),
            returned: Notify::new(),
            metrics,
        })
    }

    /// Size of the budget, in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Returns a grant of no bytes.
    pub(crate) fn grant(self: &Arc<Self>, kind: Kind) -> Grant {
        Grant { budget: self.clone(), kind, bytes: 0 }
    }

    /// Begins an upload, which holds no bytes yet; `leave` is notified once if it has to give way.
    pub(crate) fn upload(self: &Arc<Self>, kind: Kind, leave: Arc<Notify>) -> Upload {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        if let Ok(mut uploads) = self.uploads.lock() {
            let pace = Pace::new(self.clock.now());
            uploads.insert(id, Candidate { pace, leave });
        }
        Upload { id, grant: self.grant(kind) }
    }

    fn try_take(&self, kind: Kind, bytes: usize) -> Result<(), Full> {
        let take = |held: usize| held.checked_add(bytes).filter(|held| *held <= self.limit);
        self.held.try_update(Ordering::Relaxed, Ordering::Relaxed, take).map_err(|_| Full)?;
        self.by_kind[kind as usize].inc_by(i64::try_from(bytes).unwrap_or(i64::MAX));
        Ok(())
    }

    fn give_back(&self, kind: Kind, bytes: usize) {
        if bytes > 0 {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
            self.by_kind[kind as usize].dec_by(i64::try_from(bytes).unwrap_or(i64::MAX));
            self.returned.notify_waiters();
        }
    }

    /// Makes an upload give way; `false` if none may be made to.
    pub(crate) fn make_room(&self) -> bool {
        let Ok(mut uploads) = self.uploads.lock() else {
            return false;
        };
        let paces = uploads.iter().map(|(id, candidate)| (id, &candidate.pace));
        let Some(id) = memory::choose(self.clock.now(), paces) else {
            return false;
        };
        if let Some(candidate) = uploads.remove(&id) {
            candidate.leave.notify_one();
        }
        true
    }
}

/// Bytes of the budget, returned on drop.
#[derive(Debug)]
pub(crate) struct Grant {
    budget: Arc<Budget>,
    kind: Kind,
    bytes: usize,
}

impl Grant {
    /// Size of the grant, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes `bytes` off the grant, for another purpose.
    pub(crate) fn split(&mut self, bytes: usize, kind: Kind) -> Grant {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let count = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.budget.by_kind[self.kind as usize].dec_by(count);
        self.budget.by_kind[kind as usize].inc_by(count);
        Grant { budget: self.budget.clone(), kind, bytes }
    }

    /// Changes the size of the grant; a growth fails if the budget is used up.
    pub(crate) fn try_resize(&mut self, bytes: usize) -> Result<(), Full> {
        match bytes.checked_sub(self.bytes) {
            Some(0) => {}
            Some(more) => self.budget.try_take(self.kind, more)?,
            None => self.budget.give_back(self.kind, self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Grows the grant to what a response holds, unless that is more than its share.
    pub(crate) fn grow_response(&mut self, wanted: usize) -> Result<(), Full> {
        if wanted <= self.bytes {
            return Ok(());
        }
        let budget = &self.budget;
        let held = budget.held.load(Ordering::Relaxed);
        if !memory::may_grow(budget.limit, held, self.bytes, wanted) {
            budget.metrics.give_up("response over its share");
            return Err(Full);
        }
        self.try_resize(wanted)
    }

    /// As [`Grant::try_resize`], but uploads that have fallen behind give way to the growth.
    pub(crate) async fn resize(&mut self, bytes: usize) -> Result<(), Full> {
        if self.try_resize(bytes).is_ok() {
            return Ok(());
        }
        if bytes > self.budget.limit {
            return Err(Full);
        }
        let budget = self.budget.clone();
        loop {
            let returned = budget.returned.notified();
            let mut returned = std::pin::pin!(returned);
            returned.as_mut().enable();
            if !budget.make_room() {
                return self.try_resize(bytes);
            }
            // Whether in time or not: the next round finds out.
            let _ = tokio::time::timeout(RETURN_TIMEOUT, returned).await;
            if self.try_resize(bytes).is_ok() {
                return Ok(());
            }
        }
    }
}

impl Grant {
    /// As [`Grant::resize`], but waits until `deadline` for what others return.
    pub(crate) async fn resize_until(
        &mut self,
        bytes: usize,
        deadline: Instant,
    ) -> Result<(), Full> {
        let budget = self.budget.clone();
        let resize = async {
            loop {
                let returned = budget.returned.notified();
                let mut returned = std::pin::pin!(returned);
                returned.as_mut().enable();
                if self.resize(bytes).await.is_ok() {
                    return Ok(());
                }
                if bytes > budget.limit {
                    return Err(Full);
                }
                returned.await;
            }
        };
        tokio::time::timeout_at(deadline, resize).await.unwrap_or(Err(Full))
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.budget.give_back(self.kind, self.bytes);
    }
}

/// An upload under way.
#[derive(Debug)]
pub(crate) struct Upload {
    id: u64,
    pub(crate) grant: Grant,
}

impl Upload {
    /// Records the arrival of bytes.
    pub(crate) fn advance(&self, bytes: usize) {
        let budget = &self.grant.budget;
        let now = budget.clock.now();
        if let Ok(mut uploads) = budget.uploads.lock()
            && let Some(candidate) = uploads.get_mut(&self.id)
        {
            candidate.pace.advance(now, u64::try_from(bytes).unwrap_or(u64::MAX));
        }
    }

    /// Ends the upload; what it holds stays granted.
    pub(crate) fn complete(mut self) -> Grant {
        let nothing = self.grant.budget.grant(self.grant.kind);
        std::mem::replace(&mut self.grant, nothing)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Ok(mut uploads) = self.grant.budget.uploads.lock() {
            uploads.remove(&self.id);
        }
    }
}

/// Returns the anonymous memory of this process, in bytes; 0 if it is not known. The kernel reports
/// kilobytes, whatever the size of a page.
pub(crate) fn at_rest() -> u64 {
    let status = match std::fs::read_to_string("/proc/self/status") {
        Ok(status) => status,
        Err(error) => {
            tracing::warn!(%error, "memory of the process is not known; counted as none");
            return 0;
        }
    };
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0).saturating_mul(1_024)
}
