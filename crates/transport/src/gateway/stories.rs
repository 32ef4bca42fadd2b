//! Records of recent requests, which operators look up by request id.
//!
//! They are held in memory in a bounded queue.

use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Mutex;

/// Maximum number of records: several seconds of requests of an entry under load.
const CAPACITY: usize = 512;

/// Record of one ended request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Request id, as sent by the caller.
    pub id: String,
    /// Time of its end, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// Name of the matching route; empty if there was none.
    pub route: String,
    /// Version of the configuration that was in force, or 0 without one.
    pub version: u64,
    /// Number of attempts on backend servers.
    pub attempts: u32,
    /// Id of the backend server whose response was relayed.
    pub server: Option<String>,
    /// HTTP status of the response, or 0 without one.
    pub status: u16,
    /// Number of stream events that were relayed.
    pub events: u64,
    /// Time from its start to its end, in milliseconds.
    pub ms: u64,
    /// Age of the backend server list at the last choice of a server, in milliseconds.
    pub list_age_ms: u64,
    /// Outcome, which is also the label of the request metric.
    pub outcome: String,
}

/// Records of the most recent requests of an entry, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Records {
    records: Mutex<VecDeque<Record>>,
}

impl Records {
    /// Appends a record; removes the oldest one if the queue is full.
    pub(crate) fn add(&self, record: Record) {
        if let Ok(mut records) = self.records.lock() {
            if records.len() == CAPACITY {
                records.pop_front();
            }
            records.push_back(record);
        }
    }

    /// Returns the records of a request id. Each attempt of a caller has its own id, but a copy
    /// of a request may arrive twice.
    pub(crate) fn find(&self, id: &str) -> Vec<Record> {
        let records = self.records.lock();
        let found =
            |records: &VecDeque<Record>| records.iter().filter(|r| r.id == id).cloned().collect();
        records.map(|records| found(&records)).unwrap_or_default()
    }
}
