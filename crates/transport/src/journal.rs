//! Access to the journals from any instance.

use crate::links::Links;
use coordination::entry;
use protocol::wire::{CONTROL, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use state::machine;
use state::{control, id, program};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for one instance to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for the journal to answer through any instance.
const TIMEOUT: Duration = Duration::from_millis(4_000);

/// Pause between two tries while no instance leads.
const PAUSE: Duration = Duration::from_millis(30);

/// No answer came in time; a command may or may not be in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the journal gave no answer in time")]
pub(crate) struct Unreachable;

/// Client of all journals of the deployment.
pub(crate) struct Journal {
    links: Arc<Links>,
    replicas: Vec<String>,
    shards: u32,
    leaders: Mutex<Vec<Option<String>>>,
}

impl Journal {
    pub(crate) fn new(links: Arc<Links>, replicas: Vec<String>, shards: u32) -> Self {
        let groups = usize::try_from(shards).unwrap_or(0) + 1;
        Self { links, replicas, shards, leaders: Mutex::new(vec![None; groups]) }
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
        self.ask(CONTROL, Request::Submit { group: CONTROL, command }).await
    }

    pub(crate) async fn query_control(
        &self,
        query: &control::Query,
    ) -> Result<control::View, Unreachable> {
        self.query_group(CONTROL, query).await
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
        match self.route(group, request).await? {
            Response::Data(data) => machine::decode(&data).map_err(|_| Unreachable),
            _ => Err(Unreachable),
        }
    }

    /// Sends a request to the journal's leader, wherever it is.
    pub(crate) async fn route(
        &self,
        group: u32,
        request: Request,
    ) -> Result<Response, Unreachable> {
        let start = Instant::now();
        let mut turn = 0;
        while start.elapsed() < TIMEOUT {
            let target = self.leader(group).unwrap_or_else(|| self.replica(turn));
            turn += 1;
            match self.links.call(&target, request.clone(), CALL_TIMEOUT).await {
                Ok(Response::NotLeader(hint)) => {
                    let is_news = hint.as_deref().is_some_and(|hint| hint != target);
                    self.set_leader(group, hint.filter(|_| is_news));
                    if !is_news {
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Ok(Response::Unknown) | Err(Unreachable) => {
                    self.set_leader(group, None);
                    tokio::time::sleep(PAUSE).await;
                }
                Ok(response) => {
                    self.set_leader(group, Some(target));
                    return Ok(response);
                }
            }
        }
        Err(Unreachable)
    }

    fn replica(&self, turn: usize) -> String {
        self.replicas.get(turn % self.replicas.len().max(1)).cloned().unwrap_or_default()
    }

    fn leader(&self, group: u32) -> Option<String> {
        let leaders = self.leaders.lock().ok()?;
        leaders.get(usize::try_from(group).ok()?).cloned().flatten()
    }

    fn set_leader(&self, group: u32, leader: Option<String>) {
        let Ok(mut leaders) = self.leaders.lock() else {
            return;
        };
        let slot = usize::try_from(group).ok().and_then(|group| leaders.get_mut(group));
        if let Some(slot) = slot {
            *slot = leader;
        }
    }
}
