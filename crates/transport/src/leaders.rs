//! Routing of requests to the leader of a replica group.
//!
//! The leader of each group is cached. While none is known, the group's replicas are tried in
//! turn until one of them answers or names the leader.

use crate::journal::Unreachable;
use coordination::backlog;
use protocol::wire::{Request, Response};
use state::collections::Map;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of refusals after which other replicas are asked for the leader: one that is cut off from
/// them may be the last to learn that it no longer leads.
const REFUSALS_PER_SEARCH: u32 = 3;

/// Pending response to a request.
pub(crate) type ResponseFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Response, Unreachable>> + Send + 'a>>;

/// Sends requests to instances, which are identified by name or address.
pub(crate) trait Client: Send + Sync {
    /// Sends a request and waits for the response, at most for `timeout`.
    fn call<'a>(
        &'a self,
        to: &'a str,
        request: &'a Request,
        timeout: Duration,
    ) -> ResponseFuture<'a>;
}

/// Response to a request that may have been sent more than once.
#[derive(Debug)]
pub(crate) struct Routed {
    pub(crate) response: Response,
    /// Whether it was sent before, without a response.
    pub(crate) is_repeated: bool,
}

/// Timing of the search for a leader.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Timeout of a request to one instance.
    pub(crate) call_timeout: Duration,
    /// Pause between two attempts while no leader is known.
    pub(crate) retry_pause: Duration,
}

impl Default for Settings {
    /// The timeout covers the several disk syncs that a response may take; the pause is a
    /// fraction of the time that an election takes.
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_millis(backlog::SENDER_TIMEOUT_MS),
            retry_pause: Duration::from_millis(30),
        }
    }
}

/// Instances of one replica group.
#[derive(Debug, Default)]
struct Group {
    replicas: Vec<String>,
    leader: Option<String>,
    /// Counter that selects the replica to try while no leader is known.
    attempt: usize,
}

/// Finds and caches the leaders of the replica groups.
pub(crate) struct Leaders {
    settings: Settings,
    client: Arc<dyn Client>,
    groups: Mutex<Map<u32, Group>>,
}

impl Leaders {
    /// Creates a router without any known group.
    pub(crate) fn new(client: Arc<dyn Client>, settings: Settings) -> Self {
        Self { settings, client, groups: Mutex::default() }
    }

    /// Sets the instances that hold replicas of a group, and its leader if it is known. Without
    /// `leader`, the cached leader is kept unless it is no longer among the replicas.
    pub(crate) fn set_replicas(&self, group: u32, replicas: &[String], leader: Option<&str>) {
        if let Ok(mut groups) = self.groups.lock() {
            let group = groups.entry(group).or_default();
            if group.replicas != replicas {
                replicas.clone_into(&mut group.replicas);
            }
            let is_removed = |leader: &String| !replicas.contains(leader);
            if leader.is_some() || group.leader.as_ref().is_some_and(is_removed) {
                group.leader = leader.map(str::to_owned);
            }
        }
    }

    /// Sends a request to the leader of a group, and repeats it until a leader answers or
    /// `timeout` has elapsed. Returns [`Response::NotLeader`] if it was refused each time, and is
    /// not executed.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no leader answered in time; the request may or may not have
    /// been executed.
    pub(crate) async fn route(
        &self,
        group: u32,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, Unreachable> {
        Ok(self.route_once(group, request, timeout).await?.response)
    }

    /// As [`Leaders::route`], and tells whether an attempt before the response may have been executed.
    pub(crate) async fn route_once(
        &self,
        group: u32,
        request: &Request,
        timeout: Duration,
    ) -> Result<Routed, Unreachable> {
        let start = Instant::now();
        let mut refusals = 0;
        let mut may_be_executed = false;
        while let Some(remaining) = timeout.checked_sub(start.elapsed()).filter(|t| !t.is_zero()) {
            let Some(target) = self.target(group) else {
                tokio::time::sleep(self.settings.retry_pause.min(remaining)).await;
                continue;
            };
            match self
                .client
                .call(&target, request, self.settings.call_timeout.min(remaining))
                .await
            {
                Ok(Response::NotLeader(Some(hint))) if hint == target => {
                    // The leader is behind and refuses commands for a while.
                    refusals += 1;
                    if refusals % REFUSALS_PER_SEARCH == 0 {
                        self.set_leader(group, None);
                    }
                    let pause = backlog::pause(refusals, &mut rand::rng());
                    tokio::time::sleep(pause.min(remaining)).await;
                }
                Ok(Response::NotLeader(hint)) => {
                    let is_new = hint.as_deref().is_some_and(|hint| hint != target);
                    self.set_leader(group, hint.filter(|_| is_new));
                    if !is_new {
                        tokio::time::sleep(self.settings.retry_pause).await;
                    }
                }
                Ok(Response::Unknown) | Err(Unreachable) => {
                    may_be_executed = true;
                    self.set_leader(group, None);
                    tokio::time::sleep(self.settings.retry_pause).await;
                }
                Ok(response) => {
                    self.set_leader(group, Some(target));
                    return Ok(Routed { response, is_repeated: may_be_executed });
                }
            }
        }
        let response = Response::NotLeader(None);
        if may_be_executed { Err(Unreachable) } else { Ok(Routed { response, is_repeated: false }) }
    }

    /// Returns the known leader, or the next replica in turn; `None` if no replica is known.
    fn target(&self, group: u32) -> Option<String> {
        let mut groups = self.groups.lock().ok()?;
        let group = groups.get_mut(&group)?;
        if let Some(leader) = &group.leader {
            return Some(leader.clone());
        }
        group.attempt = group.attempt.wrapping_add(1);
        group.replicas.get(group.attempt % group.replicas.len().max(1)).cloned()
    }

    fn set_leader(&self, group: u32, leader: Option<String>) {
        if let Some(group) = self.groups.lock().ok().as_mut().and_then(|g| g.get_mut(&group)) {
            group.leader = leader;
        }
    }
}
