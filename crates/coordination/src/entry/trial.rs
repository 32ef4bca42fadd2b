//! Trial runs of suspect content.
//!
//! Content that was running when a backend server crashed is suspect. Its trial run is the only
//! call on one backend server, which is reserved by a committed record that each entry has
//! acknowledged. Content that did not cause the crash is thereby cleared, and content that
//! crashes the backend server again is quarantined.

use crate::entry::call::Stage;
use crate::entry::core::Entry;
use crate::entry::input::{Output, Unreachable};
use state::control::{Command, Reply};
use state::error::Kind;
use state::id;
use state::program::{self, Outcome};

impl Entry {
    /// Backend server on which the trial run of the suspect call may start now.
    ///
    /// Requests a trial run if none is recorded.
    pub(crate) fn trial_server(
        &mut self,
        call: &id::Call,
        allowed: &[String],
        holder: &id::Holder,
    ) -> Option<String> {
        let content_digest = self.calls.get(call)?.content_digest;
        let Some(trial) = &self.snapshot.trial else {
            self.request_trial(content_digest, allowed, holder);
            return None;
        };
        if trial.digest != content_digest || trial.holder != *holder {
            return None;
        }
        let is_in_force = self.in_force >= trial.version;
        let server = self.fleet.get(&trial.server)?;
        let (polled_at, load) = server.load?;
        // An earlier report may not include calls that other entries dispatched before the
        // reservation was in force.
        let is_idle = polled_at > self.in_force_at && load.running == 0 && load.waiting == 0;
        let is_usable = allowed.contains(&trial.server) && server.is_available(self.now);
        let name = trial.server.clone();
        if !is_usable {
            self.end_trial(content_digest, false);
            return None;
        }
        let is_trial_running = self.calls.values().any(|active| active.is_trial);
        if !is_in_force || !is_idle || server.outstanding > 0 || is_trial_running {
            return None;
        }
        if let Some(active) = self.calls.get_mut(call) {
            active.is_trial = true;
        }
        Some(name)
    }

    /// Requests a trial run on the available backend server with the fewest outstanding calls.
    fn request_trial(&mut self, digest: id::Digest, allowed: &[String], holder: &id::Holder) {
        if self.trial_op.is_some() {
            return;
        }
        let available = allowed.iter().filter_map(|name| Some((name, self.fleet.get(name)?)));
        let available = available.filter(|(_, server)| server.is_available(self.now));
        let Some((server, _)) = available.min_by_key(|(name, server)| (server.outstanding, *name))
        else {
            return;
        };
        let command = Command::Trial { digest, server: server.clone(), holder: holder.clone() };
        let op = self.next_id();
        self.trial_op = Some(op);
        self.outputs.push(Output::Control { op, command: Box::new(command) });
    }

    /// Ends the trial run of the content; it is cleared if it was executed without a crash.
    pub(crate) fn end_trial(&mut self, digest: id::Digest, is_cleared: bool) {
        let Some(holder) = self.lease.holder().cloned() else {
            return;
        };
        let op = self.next_id();
        let command = Command::EndTrial { digest, holder, is_cleared };
        self.outputs.push(Output::Control { op, command: Box::new(command) });
    }

    /// Reports to the control journal that the call was running when `server` crashed.
    pub(crate) fn report_crash(&mut self, call: &id::Call, server: String, incarnation: u64) {
        let op = self.next_id();
        let (now_ms, quarantine_ms) = (self.unix_ms(), self.settings.quarantine_ms);
        let Some(active) = self.calls.get_mut(call) else {
            return;
        };
        active.is_suspect = true;
        active.stage = Stage::Reporting { server: server.clone(), incarnation };
        active.op = Some(op);
        active.due = None;
        let command = Command::ReportCrash {
            digest: active.content_digest,
            server,
            incarnation,
            now_ms,
            quarantine_ms,
        };
        self.ops.insert(op, call.clone());
        self.outputs.push(Output::Control { op, command: Box::new(command) });
    }

    pub(crate) fn on_control_reply(&mut self, op: u64, result: Result<Reply, Unreachable>) {
        if self.trial_op == Some(op) {
            self.trial_op = None;
            return;
        }
        let Some(call) = self.complete_op(op) else {
            return;
        };
        match result {
            Err(Unreachable) => self.retry_later(&call),
            Ok(Reply::Quarantined) => {
                let trial = self.calls.get(&call).filter(|active| active.is_trial);
                if let Some(content_digest) = trial.map(|active| active.content_digest) {
                    self.end_trial(content_digest, false);
                }
                self.settle(&call, Outcome::Failed(Kind::Quarantined));
            }
            Ok(_) => self.requeue(&call, Some(program::Takeover::SameHolder)),
        }
    }
}
