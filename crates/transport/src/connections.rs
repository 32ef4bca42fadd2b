//! Limits on the number of open connections of a server.
//!
//! The descriptors of a machine are shared out among the addresses that a process listens on. At
//! the limit of an address, the connection that has been without a request for the longest time is
//! closed, so that connections on which nobody speaks don't keep others out.

use state::collections::Map;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Descriptors that machines reserve for files other than connections.
const RESERVED_FILES: usize = 200;

/// Maximum number of connections of other instances: three for each of 340 instances.
const MAX_PEERS: usize = 1_024;

/// Number of descriptors of a machine whose settings name none.
pub const DEFAULT_FILES: usize = 4_096;

/// Maximum numbers of connections on the addresses of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of entries that forward requests.
    pub relays: usize,
    /// Connections of other instances.
    pub peers: usize,
    /// Connections of callers that look up addresses.
    pub directory: usize,
    /// Connections of operators, of the platform's probes and for metrics, each.
    pub endpoint: usize,
}

impl Limits {
    /// Shares out the descriptors of a machine. What is left is for connections that the process
    /// opens itself. All other instances connect to one that `has_replica`, and few to others.
    pub fn new(files: usize, has_replica: bool) -> Self {
        let usable = files.saturating_sub(RESERVED_FILES);
        let peers = if has_replica { usable * 3 / 8 } else { usable / 16 };
        Self {
            callers: (usable * 5 / 8).max(1),
            relays: (usable / 16).max(1),
            peers: peers.clamp(1, MAX_PEERS),
            directory: (usable / 4).max(1),
            endpoint: (usable / 32).max(1),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new(DEFAULT_FILES, true)
    }
}

/// State of one connection.
#[derive(Debug)]
struct State {
    is_busy: AtomicBool,
    /// Whether a request or a message has arrived; those without one make room first.
    has_spoken: AtomicBool,
    /// Time of the last request, or of the beginning, in milliseconds since the start of the server.
    idle_since: AtomicU64,
    /// Whether a request was refused before its body was read.
    has_unread_body: AtomicBool,
    close: Notify,
}

/// Open connections of one server.
#[derive(Debug)]
pub(crate) struct Connections {
    /// What the connections are for, in the log.
    purpose: &'static str,
    limit: usize,
    started: Instant,
    open: Mutex<Map<u64, Arc<State>>>,
    next: AtomicU64,
}

impl Connections {
    /// Creates the list of a server with at most `limit` connections.
    pub(crate) fn new(purpose: &'static str, limit: usize) -> Arc<Self> {
        let (open, next) = (Mutex::default(), AtomicU64::new(0));
        Arc::new(Self { purpose, limit, started: Instant::now(), open, next })
    }

    /// Maximum number of connections.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    fn now(&self) -> u64 {
        crate::clock::millis(self.started.elapsed())
    }

    /// Adds a connection; `None` if all others have requests and there is no room for it.
    pub(crate) fn add(self: &Arc<Self>) -> Option<Connection> {
        let mut open = self.open.lock().ok()?;
        if open.len() >= self.limit {
            let idle = open.iter().filter(|(_, state)| !state.is_busy.load(Ordering::Relaxed));
            let oldest = idle.min_by_key(|(id, state)| {
                let idle_since = state.idle_since.load(Ordering::Relaxed);
                (state.has_spoken.load(Ordering::Relaxed), idle_since, **id)
            });
            let id = oldest.map(|(id, _)| *id)?;
            if let Some(state) = open.remove(&id) {
                let (limit, purpose) = (self.limit, self.purpose);
                tracing::info!(limit, purpose, "connection makes room for another one");
                state.close.notify_one();
            }
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(State {
            is_busy: AtomicBool::new(false),
            has_spoken: AtomicBool::new(false),
            idle_since: AtomicU64::new(self.now()),
            has_unread_body: AtomicBool::new(false),
            close: Notify::new(),
        });
        open.insert(id, state.clone());
        Some(Connection { connections: self.clone(), id, state })
    }
}

/// One open connection; dropping it makes room for another one.
#[derive(Debug)]
pub(crate) struct Connection {
    connections: Arc<Connections>,
    id: u64,
    state: Arc<State>,
}

impl Connection {
    /// Marks the connection as one with a request until the guard is dropped.
    pub(crate) fn busy(&self) -> Busy {
        self.state.is_busy.store(true, Ordering::Relaxed);
        Busy { connections: self.connections.clone(), state: self.state.clone() }
    }

    /// Records that a request or a message has arrived.
    pub(crate) fn touch(&self) {
        self.state.has_spoken.store(true, Ordering::Relaxed);
        self.state.idle_since.store(self.connections.now(), Ordering::Relaxed);
    }

    /// Records that a request was refused before its body was read.
    pub(crate) fn leave_body(&self) {
        self.state.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Whether a request was refused before its body was read.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.state.has_unread_body.load(Ordering::Relaxed)
    }

    /// Completes once the connection has to make room for another one, unless it has got a request
    /// meanwhile.
    pub(crate) async fn closed(&self) {
        self.state.close.notified().await;
        if self.state.is_busy.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Ok(mut open) = self.connections.open.lock() {
            open.remove(&self.id);
        }
    }
}

/// Guard of a request.
#[derive(Debug)]
pub(crate) struct Busy {
    connections: Arc<Connections>,
    state: Arc<State>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.state.idle_since.store(self.connections.now(), Ordering::Relaxed);
        self.state.is_busy.store(false, Ordering::Relaxed);
    }
}
