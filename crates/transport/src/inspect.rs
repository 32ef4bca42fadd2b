//! Diagnostic dumps of the instance, for operators and other instances.
//!
//! A dump has one section for each component; the summary is the row shown in the status of all
//! instances.

use crate::actor;
use crate::clock::Clock;
use crate::controller::Controller;
use crate::replica::{Handle, Job};
use crate::rpc::Transport;
use protocol::settings::Settings;
use serde_json::{Value, json};
use state::collections::Map;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Collects dumps from all components of the instance.
pub(crate) struct Inspector {
    pub(crate) settings: Settings,
    pub(crate) entry: actor::Handle,
    pub(crate) groups: Map<u32, Handle>,
    pub(crate) controller: Option<Arc<Controller>>,
    pub(crate) transport: Arc<Transport>,
    pub(crate) clock: Clock,
}

impl Inspector {
    /// State of the instance, or one section of it; contains no content of calls.
    pub(crate) async fn dump(&self, section: Option<String>) -> Value {
        if section.as_deref() == Some("summary") {
            return self.summary();
        }
        let mut dump = json!({
            "summary": self.summary(),
            "entry": self.entry().await,
            "control": *self.entry.view.borrow().snapshot,
            "journals": self.journals().await,
            "leases": self.controller.as_ref().map(|controller| controller.leases()),
        });
        match section {
            Some(section) => dump.get_mut(&section).map_or(Value::Null, Value::take),
            None => dump,
        }
    }

    fn summary(&self) -> Value {
        let view = self.entry.view.borrow().clone();
        let leads: Vec<u32> =
            self.groups.iter().filter(|(_, handle)| handle.leads()).map(|(g, _)| *g).collect();
        let lag: u64 = self
            .groups
            .values()
            .map(|handle| {
                let status = handle.status.borrow();
                status.last_index - status.applied.min(status.last_index)
            })
            .sum();
        let faults: Vec<String> = self
            .groups
            .values()
            .filter_map(|handle| handle.status.borrow().fault.clone())
            .collect();
        json!({
            "name": self.settings.name,
            "failure_domain": self.settings.failure_domain,
            "is_reachable": true,
            "epoch": view.epoch,
            "lease_ms": view.lease_expires_at.saturating_sub(self.clock.now()),
            "version": view.version,
            "in_force": view.in_force,
            "queued": view.queued,
            "calls": view.calls,
            "leads": leads,
            "lag": lag,
            "bytes_sent": self.transport.traffic().sent(),
            "bytes_received": self.transport.traffic().received(),
            "faults": faults,
        })
    }

    async fn entry(&self) -> Value {
        let (reply, dump) = oneshot::channel();
        if self.entry.dumps.send(reply).await.is_err() {
            return Value::Null;
        }
        dump.await.unwrap_or(Value::Null)
    }

    async fn journals(&self) -> Value {
        let mut rows = Vec::new();
        for (group, handle) in &self.groups {
            let (reply, dump) = oneshot::channel();
            let state_machine = match handle.jobs.send(Job::Dump { reply }) {
                Ok(()) => dump.await.unwrap_or_default(),
                Err(_) => String::new(),
            };
            let status = handle.status.borrow().clone();
            rows.push(json!({
                "group": group, "term": status.term, "is_leader": status.is_leader,
                "is_voter": status.is_voter, "leader": status.leader,
                "commit": status.commit, "applied": status.applied,
                "last_index": status.last_index, "base_index": status.base_index,
                "members": status.members, "syncs": status.syncs,
                "sync_micros": status.sync_micros, "bytes_written": status.bytes_written,
                "log_bytes": status.log_bytes, "refused_full": status.refused_full,
                "answered": status.answered, "answer_micros": status.answer_micros,
                "overdue": status.overdue, "unanswered": status.unanswered,
                "fault": status.fault,
                "machine": serde_json::from_str::<Value>(&state_machine).unwrap_or(Value::Null),
            }));
        }
        Value::Array(rows)
    }
}
