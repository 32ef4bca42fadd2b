//! Client of the replica groups, usable on any instance.
//!
//! Commands and queries of the control group and of the program shards are encoded, sent to the
//! leader of the group, wherever it runs, and their replies decoded.

use crate::leaders::{self, Leaders};
use crate::rpc::Transport;
use coordination::entry;
use protocol::wire::{CONTROL_GROUP, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use state::machine;
use state::{control, id, program};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a request to a group, including the search for its leader.
const TIMEOUT: Duration = Duration::from_millis(4_000);

/// No usable response was received within the timeout; a command may or may not be in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the journal did not respond within the timeout")]
pub struct Unreachable;

/// Client of the control group and of all program shards.
pub(crate) struct Journal {
    leaders: Leaders,
    shards: u32,
}

impl Journal {
    /// Creates a client; every group has replicas on the instances `replicas`.
    pub(crate) fn new(transport: Arc<Transport>, replicas: &[String], shards: u32) -> Self {
        let leaders = Leaders::new(transport, leaders::Settings::default());
        (CONTROL_GROUP..=shards).for_each(|group| leaders.set_replicas(group, replicas, None));
        Self { leaders, shards }
    }

    /// Group of a program's shard; group 0 is the control group.
    pub(crate) fn group(&self, program: &id::Program) -> u32 {
        program.shard(self.shards) + 1
    }

    /// Groups of all program shards.
    pub(crate) fn groups(&self) -> impl Iterator<Item = u32> {
        1..=self.shards
    }

    /// Submits a command to the group of `program`.
    pub(crate) async fn submit(
        &self,
        program: &id::Program,
        command: &program::Command,
    ) -> Result<program::Reply, Unreachable> {
        let group = self.group(program);
        self.submit_to(group, command).await
    }

    /// Submits a command to a program group.
    pub(crate) async fn submit_to(
        &self,
        group: u32,
        command: &program::Command,
    ) -> Result<program::Reply, Unreachable> {
        let command = machine::encode(command).map_err(|_| Unreachable)?;
        self.request(group, Request::Submit { group, command: command.into() }).await
    }

    /// Queries a program group.
    pub(crate) async fn query(
        &self,
        group: u32,
        query: &program::Query,
    ) -> Result<program::View, Unreachable> {
        self.query_group(group, query).await
    }

    /// Submits a command to the control group.
    pub(crate) async fn submit_control(
        &self,
        command: &control::Command,
    ) -> Result<control::Reply, Unreachable> {
        let command = machine::encode(command).map_err(|_| Unreachable)?;
        self.request(
            CONTROL_GROUP,
            Request::Submit { group: CONTROL_GROUP, command: command.into() },
        )
        .await
    }

    /// Queries the control group.
    pub(crate) async fn query_control(
        &self,
        query: &control::Query,
    ) -> Result<control::View, Unreachable> {
        self.query_group(CONTROL_GROUP, query).await
    }

    /// Loads the state of a program that an entry needs to start a call; of the history, only
    /// the items after the first `cached_items`. The inner error is the reply to a call that
    /// must not start, because it was already executed or is refused.
    pub(crate) async fn load(
        &self,
        call: &id::Call,
        digest: id::Digest,
        cached_items: usize,
    ) -> Result<Result<Box<entry::Loaded>, program::Reply>, entry::Unreachable> {
        let query = program::Query::Load { call: call.clone(), digest, cached_items };
        match self.query(self.group(&call.program), &query).await {
            Ok(program::View::Loaded { summary, history }) => {
                Ok(Ok(Box::new(entry::Loaded { summary: *summary, cached_items, history })))
            }
            Ok(program::View::Answer(reply)) => Ok(Err(reply)),
            Ok(program::View::Refused(refusal)) => Ok(Err(program::Reply::Refused(refusal))),
            Ok(_) | Err(Unreachable) => Err(entry::Unreachable),
        }
    }

    async fn query_group<Q: Serialize, V: DeserializeOwned>(
        &self,
        group: u32,
        query: &Q,
    ) -> Result<V, Unreachable> {
        let query = machine::encode(query).map_err(|_| Unreachable)?;
        self.request(group, Request::Query { group, query }).await
    }

    /// Sends a request to the leader of a group and decodes the data of the response.
    async fn request<T: DeserializeOwned>(
        &self,
        group: u32,
        request: Request,
    ) -> Result<T, Unreachable> {
        match self.route(group, &request).await? {
            Response::Data(data) => machine::decode(&data).map_err(|_| Unreachable),
            _ => Err(Unreachable),
        }
    }

    /// Sends a request to the leader of a group, wherever it runs.
    pub(crate) async fn route(
        &self,
        group: u32,
        request: &Request,
    ) -> Result<Response, Unreachable> {
        self.leaders.route(group, request, TIMEOUT).await
    }
}
