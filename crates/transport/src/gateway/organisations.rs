//! Whose request it is: the check of the key that a caller presents.
//!
//! The check precedes the body, so that a request with an unknown key costs no memory. The key itself
//! is passed on only to another entry, which checks it again; backend servers get the organisation's
//! name.
//!
//! The ids that callers choose, of turns, programs, sessions, streams and objects, and the hosts that
//! identify content, are scoped by the organisation's name before they reach a journal or a decision.
//! What belongs to one organisation thus doesn't exist for another, and journals need not know of
//! organisations.

use crate::gateway::dialect::{Identity, Refusal};
use crate::gateway::dialect::{Metadata, Resumption};
use crate::gateway::entry::Entry;
use crate::gateway::flow::{Error, Handler};
use coordination::routing;
use http::HeaderMap;
use protocol::organisations::KeyDigest;
use protocol::routes::{Route, Table};
use state::error::Kind;
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

/// Separates the name of an organisation from an id. Neither contains it: ids come from headers, and
/// names are validated.
const SEPARATOR: char = '\u{1f}';

/// Interval between two checks of the lease, for the log and the metrics; requests check it themselves.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Retry time in refusals without a lease. It is that of an election of the control journal; callers
/// with several addresses come to another entry.
const LEASE_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Refusal of a key that may have been taken away, or may be new.
fn not_current() -> Refusal {
    let detail = "this entry doesn't know whether its configuration is the newest";
    Refusal::retryable(Kind::Unavailable, LEASE_RETRY_AFTER, detail)
}

/// Refusal of a key that is certainly unknown.
fn unknown_key() -> Refusal {
    Refusal::new(Kind::Unauthorized, "the key of the request belongs to no organisation")
}

impl Entry {
    /// Logs when the lease on the configuration is lost or held again.
    pub(super) async fn watch_lease(self: Arc<Self>) {
        let Some(length) = self.member.lease_length() else {
            return;
        };
        let mut was_held = false;
        loop {
            let age_ms = self.member.lease_age();
            let is_held = age_ms.is_some_and(|age| age < length);
            if is_held != was_held {
                was_held = is_held;
                self.member.set_ready(self.is_ready());
                if is_held {
                    tracing::info!(age_ms, length, "keys accepted: the configuration is confirmed");
                } else {
                    tracing::warn!(
                        age_ms,
                        length,
                        "keys refused: the configuration is not confirmed"
                    );
                }
            }
            self.metrics.lease(age_ms, is_held);
            tokio::time::sleep(LEASE_POLL_INTERVAL).await;
        }
    }
}

impl Handler {
    /// Finds the organisation whose key the caller presents.
    ///
    /// # Errors
    ///
    /// Refuses a request without a known key, unless its route is public or no keys are checked.
    pub(super) fn authenticate(
        &mut self,
        table: &Table,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<(), Error> {
        self.checks_keys = table.organisations().is_some();
        let Some(organisations) = table.organisations().filter(|_| !route.is_public) else {
            return Ok(());
        };
        let Some(key) = self.entry.adapter.key(headers) else {
            let detail = "the request carries no key; exactly one is accepted on this route";
            return Err(Refusal::new(Kind::Unauthorized, detail).into());
        };
        let key = KeyDigest::new(key);
        if !self.entry.member.may_accept_keys() {
            return Err(not_current().into());
        }
        let Some(organisation) = organisations.find(&key) else {
            let is_behind = self.entry.member.with_authority(|authority| authority.is_behind());
            return Err(if is_behind { not_current() } else { unknown_key() }.into());
        };
        self.organisation = Some(organisation.clone());
        self.key = Some(key);
        self.entry.metrics.organisation_request(&organisation.name);
        Ok(())
    }

    /// Checks again whether the key may be accepted, right before the request is sent on: it may have
    /// been held, or have had other attempts, or this process may have been frozen.
    ///
    /// # Errors
    ///
    /// Refuses the request if its key was taken away, or that would not be known here.
    pub(super) fn check_key_again(&self) -> Result<(), Refusal> {
        let (Some(organisation), Some(key)) = (&self.organisation, &self.key) else {
            return Ok(());
        };
        let table = self.entry.table();
        let is_known = table.is_none_or(|table| {
            // A configuration that checks no keys takes none away.
            table.organisations().is_none_or(|organisations| {
                let holder = organisations.find(key);
                holder.is_some_and(|holder| holder.name == organisation.name)
            })
        });
        let refusal = match (self.entry.member.may_accept_keys(), is_known) {
            (true, true) => return Ok(()),
            (false, _) => not_current(),
            (true, false) => unknown_key(),
        };
        if self.may_have_executed {
            return Err(Refusal::new(Kind::Failed, refusal.detail));
        }
        Err(refusal)
    }

    /// Counts a refusal for its organisation, or for none.
    pub(super) fn count_refusal(&self, reason: &str) {
        if self.checks_keys {
            let organisation = self.organisation.as_ref().map_or("", |o| o.name.as_str());
            self.entry.metrics.organisation_refusal(organisation, reason);
        }
    }

    /// Whose request it is, for the backend server.
    pub(super) fn identity(&self) -> Identity<'_> {
        match &self.organisation {
            Some(organisation) => Identity::Organisation(&organisation.name),
            None if self.checks_keys => Identity::Public,
            None => Identity::Unchecked,
        }
    }

    /// Priority of the request: that of its organisation, if it has one, or of its route.
    pub(super) fn priority(&self, route: &Route) -> u32 {
        let own = self.organisation.as_ref().and_then(|organisation| organisation.priority);
        own.unwrap_or(route.priority)
    }

    /// Returns an id as it is known outside of the request: that of the organisation.
    pub(super) fn scope_id(&self, id: &str) -> String {
        match &self.organisation {
            Some(organisation) => format!("{}{SEPARATOR}{id}", organisation.name),
            None => id.to_owned(),
        }
    }

    /// Returns the metadata with the ids of the organisation, but that of the request itself, which
    /// backend servers repeat.
    pub(super) fn scope<'a>(&self, metadata: &'a Metadata) -> Cow<'a, Metadata> {
        let Some(organisation) = &self.organisation else {
            return Cow::Borrowed(metadata);
        };
        let scope = |id: &Option<String>| id.as_ref().map(|id| self.scope_id(id));
        let name = routing::digest(organisation.name.as_bytes());
        let resumption = metadata.resumption.as_ref();
        Cow::Owned(Metadata {
            program: scope(&metadata.program),
            session: scope(&metadata.session),
            object: metadata.object.map(|object| routing::mix(object, name)),
            previous: scope(&metadata.previous),
            resumption: resumption.map(|r| Resumption { origin: scope(&r.origin) }),
            ..metadata.clone()
        })
    }
}
