//! Distribution of the registry.
//!
//! The replies to heartbeats tell an instance which control instances have a newer registry. It
//! fetches that from one of them, one part at a time, and continues with another one if a part
//! does not arrive. A control instance thus holds one part for each instance that is behind, and
//! a slow link carries each revision once.

use crate::clock::millis;
use crate::member::node::Member;
use protocol::transfer::{Assembly, Package, Part, Request};
use protocol::wire;
use state::registry::Registry;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for one part: several times what it takes on a link of 30 Mbit/s that also carries the
/// requests of callers.
const PART_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause before the next control instance is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Number of packages that a control instance retains, so that an instance can complete a
/// revision while newer ones are put in force.
const MAX_PACKAGES: usize = 16;

/// Size above which a control instance retains only the latest package, in bytes.
const MAX_PACKAGES_BYTES: usize = 16 * 1024 * 1024;

/// Packages of the latest revisions that were requested, newest last.
#[derive(Debug, Default)]
pub(crate) struct Packages(VecDeque<Arc<Package>>);

impl Packages {
    /// Returns the package of `revision`, or of the latest registry if that one is not retained.
    fn get(&mut self, revision: u64, registry: &Registry) -> Option<Arc<Package>> {
        let find = |packages: &VecDeque<Arc<Package>>, revision| {
            packages.iter().find(|package| package.revision() == revision).cloned()
        };
        if let Some(package) = find(&self.0, revision).or_else(|| find(&self.0, registry.revision))
        {
            return Some(package);
        }
        let package = match Package::new(registry) {
            Ok(package) => Arc::new(package),
            Err(error) => {
                tracing::error!(revision = registry.revision, %error, "registry cannot be packaged");
                return None;
            }
        };
        tracing::info!(
            revision = registry.revision,
            version = registry.version(),
            bytes = registry.size(),
            packaged_bytes = package.size(),
            "registry packaged"
        );
        self.0.push_back(package.clone());
        while self.0.len() > 1 && (self.0.len() > MAX_PACKAGES || self.size() > MAX_PACKAGES_BYTES)
        {
            self.0.pop_front();
        }
        Some(package)
    }

    fn size(&self) -> usize {
        self.0.iter().map(|package| package.size()).sum()
    }
}

impl Member {
    /// Returns the requested part of the registry; `None` without a registry.
    pub(crate) fn registry_part(&self, request: Request) -> Option<Part> {
        let registry = self.view.borrow().registry.clone();
        if registry.revision == 0 {
            return None;
        }
        let package = self.packages.lock().ok()?.get(request.revision, &registry)?;
        let offset = if package.revision() == request.revision { request.offset } else { 0 };
        let part = package.part(offset);
        self.metrics.registry_bytes_sent.inc_by(part.content.len() as u64);
        Some(part)
    }

    /// Ignores a control instance until its next reply, and waits so that another one is not asked
    /// in a tight loop.
    async fn forget_offer(&self, address: &str) {
        if let Ok(mut offers) = self.offers.lock() {
            offers.forget(address);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Fetches each newer registry for as long as the process runs.
pub(crate) async fn run(member: Arc<Member>) {
    let mut assembly = Assembly::default();
    let mut started_at = Instant::now();
    let mut current: Option<String> = None;
    loop {
        let revision = member.view.borrow().registry.revision;
        let now = member.clock.now();
        let offers = member.offers.lock().ok();
        current = offers.and_then(|offers| offers.source(revision, current.as_deref(), now));
        let Some(source) = current.clone() else {
            member.newer_offered.notified().await;
            continue;
        };
        let request = assembly.next();
        if request.offset == 0 {
            started_at = Instant::now();
        }
        let call = wire::Request::RegistryPart(request);
        let response = member.transport.call(&source, &call, PART_TIMEOUT).await;
        let Ok(wire::Response::RegistryPart(part)) = response else {
            tracing::warn!(source, ?request, ?response, "part of the registry not received");
            member.forget_offer(&source).await;
            continue;
        };
        member.metrics.registry_bytes_received.inc_by(part.content.len() as u64);
        match assembly.add(part) {
            Ok(Some(registry)) => {
                let elapsed_ms = millis(started_at.elapsed());
                if !member.receive_registry(registry, &source, elapsed_ms) {
                    // The control instance has started again and has not caught up yet.
                    member.forget_offer(&source).await;
                }
            }
            Ok(None) => {}
            Err(error) => {
                tracing::error!(source, %error, "registry received but not usable");
                member.forget_offer(&source).await;
            }
        }
    }
}
