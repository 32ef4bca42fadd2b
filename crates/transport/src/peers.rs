//! Handling of requests from other instances that are listed in the settings.
//!
//! Requests are dispatched to the local replicas, to the controller and to the dump of the
//! process, as far as they run on this instance.

use crate::controller::Controller;
use crate::inspect::Inspector;
use crate::replica::{Handle, Job, Status};
use crate::rpc::{self, Handler};
use coordination::consensus::{Id, Peer};
use protocol::wire::{Request, Response};
use state::collections::Map;
use state::control;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

/// Handler of the requests of other instances; its components are set as they start.
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) groups: OnceLock<Map<u32, Handle>>,
    pub(crate) id: OnceLock<Id>,
    pub(crate) controller: OnceLock<Arc<Controller>>,
    pub(crate) inspector: OnceLock<Arc<Inspector>>,
    /// Whether the identity of the data folder has been written.
    pub(crate) has_identity: AtomicBool,
    /// Whether the data folder held a term, a snapshot or an entry when it was opened.
    pub(crate) had_state: AtomicBool,
}

impl Service {
    /// Creates the handler of an instance whose components have not started yet.
    pub(crate) fn new(name: &str) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            groups: OnceLock::new(),
            id: OnceLock::new(),
            controller: OnceLock::new(),
            inspector: OnceLock::new(),
            has_identity: AtomicBool::new(false),
            had_state: AtomicBool::new(false),
        })
    }

    fn status(&self, group: u32) -> Option<Status> {
        Some(self.groups.get()?.get(&group)?.status.borrow().clone())
    }

    /// Whether no local replica ever stored a term or an entry.
    fn is_fresh(&self) -> bool {
        let is_empty = |handle: &Handle| {
            let status = handle.status.borrow();
            status.term == 0 && status.last_index == 0
        };
        let groups = self.groups.get();
        !self.had_state.load(Ordering::SeqCst)
            && groups.is_none_or(|groups| groups.values().all(is_empty))
    }

    fn leader_of(&self, group: u32) -> Option<String> {
        self.status(group)?.leader
    }

    async fn respond(&self, from: String, request: Request) -> Response {
        let (groups, id) = (self.groups.get(), self.id.get());
        let request = match rpc::serve_journal(groups, id, &from, request).await {
            Ok(response) => return response,
            Err(request) => request,
        };
        match request {
            // Only instances that discover each other from seed addresses send heartbeats and fetch
            // the registry.
            // Requests to replicas are served above.
            Request::Heartbeat(_)
            | Request::RegistryPart(_)
            | Request::Consensus(_)
            | Request::Submit { .. }
            | Request::Query { .. }
            | Request::SubmitThenQuery { .. } => Response::Unknown,
            Request::Renew { holder, version, reports } => match self.controller.get() {
                Some(controller) => controller.renew(holder, version, reports).await,
                None => Response::NotLeader(None),
            },
            Request::Register { instance, nonce, address, failure_domain } => {
                let command =
                    control::Command::Register { instance, nonce, address, failure_domain };
                match self.controller.get() {
                    Some(controller) => controller.register(command).await,
                    None => Response::NotLeader(None),
                }
            }
            Request::ReleaseLease(holder) => match self.controller.get() {
                Some(controller) => controller.release_lease(holder).await,
                None => Response::NotLeader(None),
            },
            Request::Probe => Response::Peer {
                peer: Peer { instance: self.name.clone(), is_fresh: self.is_fresh() },
                has_identity: self.has_identity.load(Ordering::SeqCst),
            },
            Request::Join { group, instance, id } => self.join(group, instance, id),
            Request::Dump { section } => match self.inspector.get() {
                Some(inspector) => Response::Text(inspector.dump(section).await.to_string()),
                None => Response::Unknown,
            },
        }
    }

    fn group(&self, group: u32) -> Option<&Handle> {
        self.groups.get()?.get(&group)
    }

    /// Adds a replica to a group, provided that the local replica leads it.
    fn join(&self, group: u32, instance: String, id: u64) -> Response {
        match self.group(group) {
            Some(handle) if handle.leads() => {
                drop(handle.jobs.send(Job::Join { instance, id }));
                Response::Done
            }
            _ => Response::NotLeader(self.leader_of(group)),
        }
    }
}

impl Handler for Service {
    fn handle<'a>(
        &'a self,
        from: String,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>> {
        Box::pin(self.respond(from, request))
    }
}
