//! Attempts whose connection was closed before the response of the backend server was complete.
//!
//! The server may have ended, or only the response was lost. A process that ends closes the socket
//! that it listens on together with its connections, so the entry connects again at once: a
//! server that has ended refuses. The losses of a server that has ended in silence are known from
//! that silence.

use crate::clock::millis;
use crate::gateway::entry::Entry;
use bytes::Bytes;
use coordination::Millis;
use coordination::content::{self, Content};
use coordination::quarantine::Crash;
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
    /// Time at which the server was last known to run. A new connection shows that, unless the server
    /// is silent: the network accepts connections for it.
    pub(super) alive_at: Millis,
}

impl Entry {
    /// Examines a loss in the background.
    pub(super) fn report_loss(self: &Arc<Self>, loss: Loss) {
        let entry = self.clone();
        tokio::spawn(async move { entry.examine_loss(&loss).await });
    }

    /// Records that the server ended under the request, and tells the control instances at once.
    fn record_crash(&self, loss: &Loss) {
        let now = self.now();
        let recorded = self.member.quarantine.lock().map(|mut quarantine| {
            let withdrawn = quarantine.withdrawn();
            let end = quarantine.end_of(&loss.server, loss.alive_at);
            let crash = Crash::new(loss.content, end, loss.is_before_first_event);
            (quarantine.observe(now, crash), quarantine.withdrawn() > withdrawn)
        });
        let Ok((is_quarantined, is_withdrawn)) = recorded else {
            return;
        };
        if is_quarantined {
            tracing::warn!(
                request = loss.request,
                content = %loss.content,
                server = loss.server,
                "content quarantined, because it crashes backend servers"
            );
        }
        if is_withdrawn {
            tracing::info!(
                content = %loss.content,
                server = loss.server,
                "quarantine withdrawn, because this content was lost with the same servers"
            );
        }
        self.member.heartbeat_trigger.notify_one();
    }

    /// Counts a request that was lost with a server that ended in silence against its content.
    pub(super) fn record_silent_loss(&self, loss: &Loss) {
        self.record_crash(loss);
        self.metrics.loss("server silent");
        tracing::info!(
            request = loss.request,
            content = %loss.content,
            server = loss.server,
            address = loss.address,
            is_before_first_event = loss.is_before_first_event,
            "response lost with a silent server"
        );
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
