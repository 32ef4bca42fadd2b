//! Attempts whose backend server closed the connection before its response was complete.
//!
//! The server may have ended, or only the response was lost. A process that ends closes the socket
//! that it listens on together with its connections, so the entry connects again at once: a
//! server that has ended refuses.

use crate::clock::millis;
use crate::gateway::entry::Entry;
use bytes::Bytes;
use coordination::content::{self, Content};
use coordination::quarantine::Crash;
use coordination::routing;
use http::Method;
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

/// A request as it is sent to backend servers. Its content is identified only if that is needed,
/// since a digest of each body would cost processor time.
#[derive(Debug)]
pub(super) struct Subject {
    pub(super) method: Method,
    pub(super) host: String,
    /// Path and query.
    pub(super) path: String,
    pub(super) body: Bytes,
    /// Program or session of the request.
    pub(super) caller: Option<String>,
}

impl Subject {
    pub(super) fn content(&self) -> Content {
        Content::of(&content::Request {
            method: self.method.as_str(),
            host: &self.host,
            path: &self.path,
            body: &self.body,
            caller: self.caller.as_deref(),
        })
    }
}

/// An attempt that ended without a complete response.
#[derive(Debug)]
pub(super) struct Loss {
    /// Id of the request.
    pub(super) request: String,
    pub(super) content: Content,
    /// Id of the backend server.
    pub(super) server: String,
    /// Address of the backend server.
    pub(super) address: String,
    /// Whether the request is for a stream of which no event was received.
    pub(super) is_before_first_event: bool,
}

impl Entry {
    /// Examines a loss in the background.
    pub(super) fn report_loss(self: &Arc<Self>, loss: Loss) {
        let entry = self.clone();
        tokio::spawn(async move { entry.examine_loss(&loss).await });
    }

    /// Records that the server ended under the request, and tells the control instances at once.
    fn record_crash(&self, loss: &Loss) {
        let crash = Crash {
            content: loss.content,
            digest: routing::score(&loss.request, &loss.server),
            is_before_output: loss.is_before_first_event,
            age_ms: 0,
        };
        let now = self.now();
        let recorded = self.member.quarantine.lock().map(|mut q| q.observe(now, crash));
        if recorded.is_ok_and(|is_quarantined| is_quarantined) {
            tracing::warn!(
                request = loss.request,
                content = %loss.content,
                server = loss.server,
                "content quarantined, because it crashes backend servers"
            );
        }
        self.member.heartbeat_trigger.notify_one();
    }

    /// Finds out whether the backend server has ended, and counts that against the content.
    pub(super) async fn examine_loss(&self, loss: &Loss) {
        let started = Instant::now();
        let connected = self.pool.probe(&loss.address).await;
        let error = connected.err();
        let kind = error.as_ref().map(io::Error::kind);
        let has_ended = kind == Some(io::ErrorKind::ConnectionRefused);
        if has_ended {
            self.record_crash(loss);
        }
        self.metrics.loss(match kind {
            Some(io::ErrorKind::ConnectionRefused) => "server ended",
            Some(_) => "server not reached",
            None => "server runs",
        });
        tracing::info!(
            request = loss.request,
            content = %loss.content,
            server = loss.server,
            address = loss.address,
            is_before_first_event = loss.is_before_first_event,
            has_ended,
            error = error.map(tracing::field::display),
            ms = millis(started.elapsed()),
            "response lost"
        );
    }
}
