//! How the last requests went, for an operator who asks for one by its id.

use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Mutex;

/// Requests that are remembered: some seconds of an entry under load.
const KEPT: usize = 512;

/// How one request went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Told {
    /// Id of the request.
    pub id: String,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// Route that took it.
    pub route: String,
    /// Version of the configuration that decided.
    pub version: u64,
    /// Attempts on backend servers.
    pub attempts: u32,
    /// Backend server whose answer was passed on.
    pub server: Option<String>,
    /// Status of the answer, or 0 without one.
    pub status: u16,
    /// Events that were passed on.
    pub events: u64,
    /// How long it took, in milliseconds.
    pub ms: u64,
    /// Age of the list of backend servers when one was chosen, in milliseconds.
    pub list_age_ms: u64,
    /// How it ended.
    pub outcome: String,
}

/// The last requests of an entry, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Stories {
    ring: Mutex<VecDeque<Told>>,
}

impl Stories {
    /// Remembers one, and forgets the oldest.
    pub(crate) fn note(&self, told: Told) {
        if let Ok(mut ring) = self.ring.lock() {
            if ring.len() == KEPT {
                ring.pop_front();
            }
            ring.push_back(told);
        }
    }

    /// What is remembered of a request; callers' attempts have ids of their own, but a copy
    /// may have arrived twice.
    pub(crate) fn find(&self, id: &str) -> Vec<Told> {
        let ring = self.ring.lock();
        let found = |ring: &VecDeque<Told>| ring.iter().filter(|t| t.id == id).cloned().collect();
        ring.map(|ring| found(&ring)).unwrap_or_default()
    }
}
