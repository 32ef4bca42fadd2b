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
use crate::gateway::flow::{Error, Handler};
use coordination::routing;
use http::HeaderMap;
use protocol::organisations::KeyDigest;
use protocol::routes::{Route, Table};
use state::error::Kind;
use std::borrow::Cow;

/// Separates the name of an organisation from an id. Neither contains it: ids come from headers, and
/// names are validated.
const SEPARATOR: char = '\u{1f}';

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
        let organisations = table.organisations();
        self.checks_keys = !organisations.is_empty();
        if !self.checks_keys || route.is_public {
            return Ok(());
        }
        let Some(key) = self.entry.adapter.key(headers) else {
            let detail = "the request carries no key; exactly one is accepted on this route";
            return Err(Refusal::new(Kind::Unauthorized, detail).into());
        };
        let Some(organisation) = organisations.find(&KeyDigest::new(key)) else {
            let detail = "the key of the request belongs to no organisation";
            return Err(Refusal::new(Kind::Unauthorized, detail).into());
        };
        self.organisation = Some(organisation.clone());
        Ok(())
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
