//! Requests to a journal's leader, wherever it is.

use crate::journal::Unreachable;
use protocol::wire::{Request, Response};
use state::collections::Map;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The answer to one request.
pub(crate) type ResponseFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Response, Unreachable>> + Send + 'a>>;

/// Reaches other instances by name or address.
pub(crate) trait Client: Send + Sync {
    /// Sends a request and waits for the answer, for `timeout` at most.
    fn call<'a>(
        &'a self,
        to: &'a str,
        request: &'a Request,
        timeout: Duration,
    ) -> ResponseFuture<'a>;
}

/// Times of the search for a leader.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Time for one instance to answer.
    pub(crate) call_timeout: Duration,
    /// Pause between two tries while no instance leads.
    pub(crate) retry_pause: Duration,
}

impl Default for Settings {
    /// One answer takes some syncs; an election takes a few pauses.
    fn default() -> Self {
        Self { call_timeout: Duration::from_millis(1_000), retry_pause: Duration::from_millis(30) }
    }
}

/// Where the replicas of one journal are.
#[derive(Debug, Default)]
struct Place {
    replicas: Vec<String>,
    leader: Option<String>,
    turn: usize,
}

/// Finds the leaders of journals and remembers them.
pub(crate) struct Leaders {
    settings: Settings,
    client: Arc<dyn Client>,
    places: Mutex<Map<u32, Place>>,
}

impl Leaders {
    pub(crate) fn new(client: Arc<dyn Client>, settings: Settings) -> Self {
        Self { settings, client, places: Mutex::default() }
    }

    /// Sets the instances that hold replicas of a journal, and its leader if it is known.
    pub(crate) fn set_replicas(&self, group: u32, replicas: &[String], leader: Option<&str>) {
        if let Ok(mut places) = self.places.lock() {
            let place = places.entry(group).or_default();
            if place.replicas != replicas {
                replicas.clone_into(&mut place.replicas);
            }
            let is_gone = |leader: &String| !replicas.contains(leader);
            if leader.is_some() || place.leader.as_ref().is_some_and(is_gone) {
                place.leader = leader.map(str::to_owned);
            }
        }
    }

    /// Sends a request to the journal's leader until one answers or `timeout` is over.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if none answered in time; the request may or may not have
    /// been carried out.
    pub(crate) async fn route(
        &self,
        group: u32,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, Unreachable> {
        let start = Instant::now();
        while let Some(left) = timeout.checked_sub(start.elapsed()).filter(|t| !t.is_zero()) {
            let Some(target) = self.target(group) else {
                tokio::time::sleep(self.settings.retry_pause.min(left)).await;
                continue;
            };
            match self.client.call(&target, request, self.settings.call_timeout.min(left)).await {
                Ok(Response::NotLeader(hint)) => {
                    let is_news = hint.as_deref().is_some_and(|hint| hint != target);
                    self.set_leader(group, hint.filter(|_| is_news));
                    if !is_news {
                        tokio::time::sleep(self.settings.retry_pause).await;
                    }
                }
                Ok(Response::Unknown) | Err(Unreachable) => {
                    self.set_leader(group, None);
                    tokio::time::sleep(self.settings.retry_pause).await;
                }
                Ok(response) => {
                    self.set_leader(group, Some(target));
                    return Ok(response);
                }
            }
        }
        Err(Unreachable)
    }

    /// The known leader, or the next replica in turn.
    fn target(&self, group: u32) -> Option<String> {
        let mut places = self.places.lock().ok()?;
        let place = places.get_mut(&group)?;
        if let Some(leader) = &place.leader {
            return Some(leader.clone());
        }
        place.turn = place.turn.wrapping_add(1);
        place.replicas.get(place.turn % place.replicas.len().max(1)).cloned()
    }

    fn set_leader(&self, group: u32, leader: Option<String>) {
        if let Some(place) = self.places.lock().ok().as_mut().and_then(|p| p.get_mut(&group)) {
            place.leader = leader;
        }
    }
}
