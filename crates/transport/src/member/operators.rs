//! What operators ask of a control instance.

use crate::journal::Unreachable;
use crate::member::node::Member;
use crate::member::seat::CONTROL;
use protocol::presence::Role;
use protocol::wire::{Request, Response};
use state::machine;
use state::registry::{Command, Document, Query, Registry, Reply};
use std::time::Duration;

/// Time for the registry to answer through any instance: operators wait a second.
const TIMEOUT: Duration = Duration::from_millis(900);

/// How far the emptying of an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retirement {
    /// It still holds something, or that is not known.
    Running,
    /// It holds nothing that is needed.
    Done,
}

/// Answer to a request to empty an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retiring {
    /// It is being emptied.
    Started,
    /// No instance with a program journal has this name.
    Unknown,
    /// Too few instances would remain.
    TooFew,
}

impl Member {
    /// Puts a configuration in force; one of a version that is not higher changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if the outcome is not known.
    pub async fn put(&self, document: Document) -> Result<Reply, Unreachable> {
        let version = document.version;
        let reply = self.submit(&Command::Put(document)).await;
        tracing::info!(version, ?reply, "configuration sent by an operator");
        reply
    }

    /// Reads the registry; the answer includes all that was acknowledged before.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no quorum confirms it in time.
    pub async fn read(&self) -> Result<Registry, Unreachable> {
        let query = machine::encode(&Query::All).map_err(|_| Unreachable)?;
        let request = Request::Query { group: CONTROL, query };
        match self.leaders.route(CONTROL, &request, TIMEOUT).await? {
            Response::Data(view) => machine::decode(&view).map_err(|_| Unreachable),
            _ => Err(Unreachable),
        }
    }

    /// Starts to empty an instance.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if the outcome is not known.
    pub async fn retire(&self, name: &str) -> Result<Retiring, Unreachable> {
        let registry = self.read().await?;
        if registry.retiring.contains_key(name) {
            return Ok(Retiring::Started);
        }
        {
            let register = self.register.lock().map_err(|_| Unreachable)?;
            let Some(address) = register.address(Role::Programs, name) else {
                return Ok(Retiring::Unknown);
            };
            let candidates = register.candidates(Role::Programs, &registry);
            let is_other = |c: &&_| -> bool {
                let c: &coordination::membership::Candidate = c;
                !c.is_leaving && c.address != address
            };
            if candidates.iter().filter(is_other).count() < self.settings.replicas() {
                return Ok(Retiring::TooFew);
            }
        }
        self.submit(&Command::Retire { instance: name.to_owned() }).await?;
        tracing::info!(name, "instance is to be emptied");
        Ok(Retiring::Started)
    }

    /// How far the emptying of an instance is; `None` if none was asked for.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no quorum confirms it in time.
    pub async fn retirement(&self, name: &str) -> Result<Option<Retirement>, Unreachable> {
        let registry = self.read().await?;
        let Some(since) = registry.retiring.get(name) else {
            return Ok(None);
        };
        let register = self.register.lock().map_err(|_| Unreachable)?;
        let is_done =
            match (register.address(Role::Programs, name), register.leader(Role::Programs)) {
                (Some(address), Some((_, held))) => {
                    let is_out = !held.members.iter().any(|member| member == address);
                    held.revision >= *since && !held.members.is_empty() && is_out
                }
                _ => false,
            };
        Ok(Some(if is_done { Retirement::Done } else { Retirement::Running }))
    }

    async fn submit(&self, command: &Command) -> Result<Reply, Unreachable> {
        let command = machine::encode(command).map_err(|_| Unreachable)?;
        let request = Request::Submit { group: CONTROL, command };
        match self.leaders.route(CONTROL, &request, TIMEOUT).await? {
            Response::Data(reply) => machine::decode(&reply).map_err(|_| Unreachable),
            _ => Err(Unreachable),
        }
    }
}
