//! Operations that operators request from a control instance.
//!
//! They read and change the registry through the control journal.

use crate::journal::Unreachable;
use crate::member::node::Member;
use crate::member::replica::{CONTROL, PROGRAMS};
use coordination::Millis;
use protocol::presence::Role;
use protocol::wire::{Request, Response};
use state::machine;
use state::registry::{Command, Document, Query, Registry, Reply};
use std::time::Duration;

/// Timeout for the control journal, whichever instance leads it. Operators wait for one second.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Time since the start of a process after which it has heard of all instances that run, also of
/// those that paused for some seconds, in milliseconds.
const HEARING_MS: Millis = 5_000;

/// State of the retirement of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retirement {
    /// The instance still holds a replica, or its state is unknown.
    Running,
    /// The instance holds no replica that is needed.
    Done,
}

/// Reply to a request to retire an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetireReply {
    /// The retirement has started.
    Started,
    /// No instance with the role `Programs` has this name.
    Unknown,
    /// Too few instances would remain for the replicas of the program journal.
    TooFew,
}

impl Member {
    /// Puts a configuration in force. It has no effect unless its version is higher than the
    /// current one.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if the outcome is not known.
    pub async fn put_configuration(&self, document: Document) -> Result<Reply, Unreachable> {
        let version = document.version;
        let reply = self.submit(&Command::Put(document)).await;
        tracing::info!(version, ?reply, "configuration submitted by an operator");
        reply
    }

    /// Reads the registry, including all changes that were acknowledged before the call.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no quorum confirms it in time.
    pub async fn read_registry(&self) -> Result<Registry, Unreachable> {
        let query = machine::encode(&Query::All).map_err(|_| Unreachable)?;
        let request = Request::Query { group: CONTROL, query };
        match self.leaders.route(CONTROL, &request, TIMEOUT).await? {
            Response::Data(view) => machine::decode(&view).map_err(|_| Unreachable),
            _ => Err(Unreachable),
        }
    }

    /// Starts the retirement of an instance, which moves its replica to another instance.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if the outcome is not known.
    pub async fn retire(&self, name: &str) -> Result<RetireReply, Unreachable> {
        let registry = self.read_registry().await?;
        if registry.retiring.contains_key(name) {
            return Ok(RetireReply::Started);
        }
        {
            let presence = self.presence.lock().map_err(|_| Unreachable)?;
            let Some(address) = presence.address(Role::Programs, name) else {
                // The name may be that of an instance with a replica that has yet to send a heartbeat.
                let members = registry.initial_members.get(&PROGRAMS);
                let has_heard = members.is_none_or(|members| {
                    members.iter().all(|member| presence.knows(Role::Programs, &member.address))
                });
                let is_unknown = has_heard || self.clock.now() >= HEARING_MS;
                return if is_unknown { Ok(RetireReply::Unknown) } else { Err(Unreachable) };
            };
            let candidates = presence.candidates(Role::Programs, &registry);
            let is_other = |c: &&_| -> bool {
                let c: &coordination::membership::Candidate = c;
                !c.is_leaving && c.address != address
            };
            if candidates.iter().filter(is_other).count() < self.settings.replicas() {
                return Ok(RetireReply::TooFew);
            }
        }
        self.submit(&Command::Retire { instance: name.to_owned() }).await?;
        tracing::info!(name, "retirement of an instance started");
        Ok(RetireReply::Started)
    }

    /// Returns the state of the retirement of an instance; `None` if none was requested.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no quorum confirms it in time.
    pub async fn retirement(&self, name: &str) -> Result<Option<Retirement>, Unreachable> {
        let registry = self.read_registry().await?;
        let Some(since) = registry.retiring.get(name) else {
            return Ok(None);
        };
        let presence = self.presence.lock().map_err(|_| Unreachable)?;
        let is_done =
            match (presence.address(Role::Programs, name), presence.leader(Role::Programs)) {
                (Some(address), Some((_, replica))) => {
                    let is_removed = !replica.members.iter().any(|member| member == address);
                    replica.revision >= *since && !replica.members.is_empty() && is_removed
                }
                _ => false,
            };
        Ok(Some(if is_done { Retirement::Done } else { Retirement::Running }))
    }

    async fn submit(&self, command: &Command) -> Result<Reply, Unreachable> {
        let command = machine::encode(command).map_err(|_| Unreachable)?;
        let request = Request::Submit { group: CONTROL, command: command.into() };
        match self.leaders.route(CONTROL, &request, TIMEOUT).await? {
            Response::Data(reply) => machine::decode(&reply).map_err(|_| Unreachable),
            _ => Err(Unreachable),
        }
    }
}
