//! Access to the journals from any instance.

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

/// Time for the journal to answer through any instance.
const TIMEOUT: Duration = Duration::from_millis(4_000);

/// No answer came in time; a command may or may not be in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the journal gave no answer in time")]
pub struct Unreachable;

/// Client of all journals of the deployment.
pub(crate) struct Journal {
    leaders: Leaders,
    shards: u32,
}

impl Journal {
    pub(crate) fn new(transport: Arc<Transport>, replicas: &[String], shards: u32) -> Self {
        let leaders = Leaders::new(transport, leaders::Settings::default());
        (CONTROL_GROUP..=shards).for_each(|group| leaders.set_replicas(group, replicas, None));
        Self { leaders, shards }
    }

    /// Journal of a program.
    pub(crate) fn group(&self, program: &id::Program) -> u32 {
        program.shard(self.shards) + 1
    }

    /// All program journals.
    pub(crate) fn groups(&self) -> impl Iterator<Item = u32> {
        1..=self.shards
    }

    pub(crate) async fn submit(
        &self,
        program: &id::Program,
        command: &program::Command,
    ) -> Result<program::Reply, Unreachable> {
        let group = self.group(program);
        self.submit_to(group, command).await
    }

    pub(crate) async fn submit_to(
        &self,
        group: u32,
        command: &program::Command,
    ) -> Result<program::Reply, Unreachable> {
        let command = machine::encode(command).map_err(|_| Unreachable)?;
        self.ask(group, Request::Submit { group, command }).await
    }

    pub(crate) async fn query(
        &self,
        group: u32,
        query: &program::Query,
    ) -> Result<program::View, Unreachable> {
        self.query_group(group, query).await
    }

    pub(crate) async fn submit_control(
        &self,
        command: &control::Command,
    ) -> Result<control::Reply, Unreachable> {
        let command = machine::encode(command).map_err(|_| Unreachable)?;
        self.ask(CONTROL_GROUP, Request::Submit { group: CONTROL_GROUP, command }).await
    }

    pub(crate) async fn query_control(
        &self,
        query: &control::Query,
    ) -> Result<control::View, Unreachable> {
        self.query_group(CONTROL_GROUP, query).await
    }

    /// Loads what an entry needs to start a call.
    pub(crate) async fn load(
        &self,
        call: &id::Call,
        digest: id::Digest,
        known: usize,
    ) -> Result<Result<Box<entry::Loaded>, program::Reply>, entry::Unreachable> {
        let query = program::Query::Load { call: call.clone(), digest, known };
        match self.query(self.group(&call.program), &query).await {
            Ok(program::View::Loaded { summary, history }) => {
                Ok(Ok(Box::new(entry::Loaded { summary: *summary, known, history })))
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
        self.ask(group, Request::Query { group, query }).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        group: u32,
        request: Request,
    ) -> Result<T, Unreachable> {
        match self.route(group, &request).await? {
            Response::Data(data) => machine::decode(&data).map_err(|_| Unreachable),
            _ => Err(Unreachable),
        }
    }

    /// Sends a request to the journal's leader, wherever it is.
    pub(crate) async fn route(
        &self,
        group: u32,
        request: &Request,
    ) -> Result<Response, Unreachable> {
        self.leaders.route(group, request, TIMEOUT).await
    }
}
