//! Confirmation of the newest revision of the registry, and the entry's lease that follows from it.
//!
//! The leader of the control journal reads its revision at a fixed interval, with a quorum. Replies to
//! heartbeats carry the confirmation with its age, so that no further message is needed. Other control
//! instances pass on what the leader replied to their own heartbeats.

use crate::clock::{self, millis};
use crate::member::node::Member;
use crate::replica::{Handle, Outcome};
use coordination::Millis;
use coordination::authority::{self, Confirmation};
use state::machine;
use state::registry::Query;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two confirmations: short compared with what the lease outlasts without one.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a confirmation: a leader that has lost its quorum stops leading after less.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// Confirms the newest revision for as long as the process runs, while its replica leads.
pub(crate) async fn run(member: Arc<Member>, handle: Handle) {
    let query = match machine::encode(&Query::Revision) {
        Ok(query) => query,
        Err(error) => {
            tracing::error!(%error, "the newest revision cannot be confirmed");
            return;
        }
    };
    loop {
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        if !handle.leads() {
            continue;
        }
        let started_at = clock::boot_ms();
        let read = tokio::time::timeout(CONFIRM_TIMEOUT, handle.query(query.clone())).await;
        let revision = match read {
            Ok(Outcome::Data(view)) => machine::decode::<u64>(&view),
            outcome => {
                tracing::info!(?outcome, "the newest revision was not confirmed");
                continue;
            }
        };
        match revision {
            Ok(revision) => member.with_authority(|a| a.confirm(revision, started_at)),
            Err(error) => tracing::error!(%error, "the newest revision cannot be decoded"),
        }
    }
}

impl Member {
    /// Reads or changes what this instance knows of the newest revision.
    pub(crate) fn with_authority<T: Default>(
        &self,
        action: impl FnOnce(&mut authority::Authority) -> T,
    ) -> T {
        self.authority.lock().map(|mut authority| action(&mut authority)).unwrap_or_default()
    }

    /// Length of the lease that accepting keys requires; `None` if it requires none.
    pub(crate) fn lease_length(&self) -> Option<Millis> {
        self.settings.revocation.map(|time| authority::lease_ms(millis(time)))
    }

    /// Whether this instance may accept the keys that it knows.
    pub(crate) fn may_accept_keys(&self) -> bool {
        let Some(length) = self.lease_length() else {
            return true;
        };
        let now = clock::boot_ms();
        self.with_authority(|authority| authority.is_held(now, length))
    }

    /// Whether this instance held a lease at any time, or needs none.
    pub(crate) fn has_held_lease(&self) -> bool {
        self.lease_length().is_none() || self.lease_age().is_some()
    }

    /// Age of the lease in milliseconds, for operators; `None` without one.
    pub(crate) fn lease_age(&self) -> Option<Millis> {
        let now = clock::boot_ms();
        self.with_authority(|authority| authority.age(now))
    }

    /// Returns the newest confirmation, for a reply to a heartbeat.
    pub(crate) fn confirmation(&self) -> Option<Confirmation> {
        let now = clock::boot_ms();
        self.with_authority(|authority| authority.relay(now))
    }
}
