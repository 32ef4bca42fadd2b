//! What the connections to one backend server show, and the requests that it has.

use crate::clock::Clock;
use crate::gateway::loss::Subject;
use coordination::Millis;
use state::collections::Map;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// A request that a server has.
#[derive(Debug)]
pub(super) struct Pending {
    /// Id of the request.
    pub(super) request: String,
    pub(super) subject: Arc<Subject>,
    /// Id of the server.
    pub(super) server: String,
    /// Time at which its connection was opened.
    pub(super) opened_at: Millis,
    pub(super) sent_at: Millis,
    /// Whether it is for a stream of which no event was received.
    pub(super) is_before_first_event: AtomicBool,
}

/// Entry of a request among those that its server has, until it is dropped.
pub(super) struct Registration {
    pub(super) peer: Arc<Peer>,
    number: u64,
    pub(super) pending: Arc<Pending>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        if let Ok(mut requests) = self.peer.requests.lock() {
            requests.remove(&self.number);
        }
    }
}

/// What the connections to one server show.
#[derive(Debug)]
pub(crate) struct Peer {
    clock: Clock,
    /// Time of the last byte.
    pub(super) heard_at: AtomicU64,
    /// Time of the first request after that.
    asked_at: AtomicU64,
    /// Time at which it was found silent; 0 if it goes on or never was.
    pub(super) silent_at: AtomicU64,
    /// Whether it refused the last connection.
    is_refusing: AtomicBool,
    requests: Mutex<Map<u64, Arc<Pending>>>,
    registered: AtomicU64,
    fallen_silent: Notify,
}

impl Peer {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            heard_at: AtomicU64::new(0),
            asked_at: AtomicU64::new(0),
            silent_at: AtomicU64::new(0),
            is_refusing: AtomicBool::new(false),
            requests: Mutex::default(),
            registered: AtomicU64::new(0),
            fallen_silent: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Records that bytes arrived on a connection that was opened at `opened_at`.
    pub(super) fn hear(&self, opened_at: Millis) {
        self.heard_at.store(self.now(), Ordering::Relaxed);
        if opened_at <= self.silent_at.load(Ordering::Relaxed) {
            self.silent_at.store(0, Ordering::Relaxed);
        }
    }

    /// Records whether the server refused a connection. One that accepts again has started again.
    pub(super) fn observe_opening(&self, is_refusing: bool) {
        if self.is_refusing.swap(is_refusing, Ordering::Relaxed) && !is_refusing {
            self.heard_at.store(self.now(), Ordering::Relaxed);
        }
    }

    /// Records that a request is sent.
    pub(super) fn ask(&self) {
        if self.heard_at() >= self.asked_at.load(Ordering::Relaxed) {
            self.asked_at.store(self.now(), Ordering::Relaxed);
        }
    }

    /// Time of the last byte; 0 before the first one.
    pub(super) fn heard_at(&self) -> Millis {
        self.heard_at.load(Ordering::Relaxed)
    }

    /// Time since which the server has sent nothing, if it has requests.
    pub(super) fn quiet_since(&self) -> Millis {
        self.heard_at().max(self.asked_at.load(Ordering::Relaxed))
    }

    /// Registers a request that is sent to the server.
    pub(super) fn register(self: &Arc<Self>, pending: Pending) -> Registration {
        let number = self.registered.fetch_add(1, Ordering::Relaxed);
        let pending = Arc::new(pending);
        if let Ok(mut requests) = self.requests.lock() {
            requests.insert(number, pending.clone());
        }
        Registration { peer: self.clone(), number, pending }
    }

    /// Returns the requests that the server has had since `time` or longer.
    pub(super) fn requests_since(&self, time: Millis) -> Vec<Arc<Pending>> {
        let Ok(requests) = self.requests.lock() else {
            return Vec::new();
        };
        requests.values().filter(|pending| pending.sent_at <= time).cloned().collect()
    }

    /// Whether the server was found silent and has sent nothing since on connections from before.
    pub(super) fn is_silent(&self) -> bool {
        self.silent_at.load(Ordering::Relaxed) > 0
    }

    /// Ends all waits for [`Peer::silence`].
    pub(super) fn fall_silent(&self) {
        self.fallen_silent.notify_waiters();
    }

    /// Waits until the server is found silent, from this call on.
    pub(super) fn silence(&self) -> Notified<'_> {
        self.fallen_silent.notified()
    }
}
