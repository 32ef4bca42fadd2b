//! Probes of backend servers that may have fallen silent.
//!
//! The task feeds [`Silence`](coordination::silence::Silence) with what the connections show, and
//! connects to the servers that it names. The connections to a server that has fallen silent are
//! closed, so that its requests go the way of those whose server closed them. Requests that were
//! given up before are remembered until then as [`Doubt`]s.

use crate::clock::{Clock, millis};
use crate::gateway::dialect::{Dispatch, Identity};
use crate::gateway::entry::Entry;
use crate::gateway::loss::Loss;
use bytes::Bytes;
use coordination::Millis;
use coordination::placement::Listing;
use coordination::silence::{Observed, PROBE_TIMEOUT_MS, Probed, Verdict};
use futures_util::future::join_all;
use http::{HeaderMap, HeaderValue, Request, header};
use http_body_util::Full;
use rand::seq::IteratorRandom;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of servers of the failure domain of a silent one that are probed with it.
const NEAR_WITNESSES: usize = 2;

/// Number of other servers that are probed with it.
const FAR_WITNESSES: usize = 1;

/// Id that no server has. Whichever server reads it refuses the request at once.
const NO_SERVER: &str = "none";

/// Time that a request must have waited for a silent server when it is given up, to be remembered,
/// in milliseconds. Servers that aren't busy answer sooner, and its content isn't identified then.
const MIN_WAIT_MS: Millis = 100;

/// Time for which a request that was given up is remembered, in milliseconds: some probes.
const DOUBT_RETENTION_MS: Millis = 4_000;

/// Maximum number of requests that are remembered; later ones aren't.
const MAX_DOUBTS: usize = 256;

/// What the connections to one server show.
#[derive(Debug)]
pub(crate) struct Peer {
    clock: Clock,
    /// Time of the last byte.
    heard_at: AtomicU64,
    /// Time of the first request after that.
    asked_at: AtomicU64,
    silent: Notify,
}

impl Peer {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            heard_at: AtomicU64::new(0),
            asked_at: AtomicU64::new(0),
            silent: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Records that bytes arrived.
    pub(super) fn hear(&self) {
        self.heard_at.store(self.now(), Ordering::Relaxed);
    }

    /// Records that a request is sent.
    pub(super) fn ask(&self) {
        if self.heard_at() >= self.asked_at.load(Ordering::Relaxed) {
            self.asked_at.store(self.now(), Ordering::Relaxed);
        }
    }

    /// Time of the last byte; 0 before the first one.
    pub(super) fn heard_at(&self) -> Millis {
        self.heard_at.load(Ordering::Relaxed)
    }

    /// Time since which the server has sent nothing, if it has requests.
    fn quiet_since(&self) -> Millis {
        self.heard_at().max(self.asked_at.load(Ordering::Relaxed))
    }

    /// Ends all waits for [`Peer::silence`].
    pub(super) fn fall_silent(&self) {
        self.silent.notify_waiters();
    }

    /// Waits until the server has fallen silent.
    pub(super) async fn silence(&self) {
        self.silent.notified().await;
    }
}

/// A request that was given up while its server was silent.
#[derive(Debug)]
pub(super) struct Doubt {
    loss: Loss,
    at: Millis,
}

impl Entry {
    /// Looks for silent servers for as long as the process runs.
    pub(super) async fn watch_silence(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            for address in self.doubtful_servers() {
                let entry = self.clone();
                tokio::spawn(async move { entry.examine_silence(&address).await });
            }
        }
    }

    /// Whether a request that is given up on the server has waited so long that it is remembered.
    pub(super) fn is_quiet(&self, address: &str) -> bool {
        self.now() >= self.pool.peer(address).quiet_since() + MIN_WAIT_MS
    }

    /// Remembers a request that was given up while its server was silent.
    pub(super) fn doubt(&self, loss: Loss) {
        let at = self.now();
        if let Ok(mut doubts) = self.doubts.lock()
            && doubts.len() < MAX_DOUBTS
        {
            doubts.push(Doubt { loss, at });
        }
    }

    /// Returns the addresses of the servers to probe.
    fn doubtful_servers(&self) -> Vec<String> {
        let now = self.now();
        let (Ok(fleet), Ok(mut doubts)) = (self.fleet.lock(), self.doubts.lock()) else {
            return Vec::new();
        };
        doubts.retain(|doubt| {
            let heard_at = self.pool.peer(&doubt.loss.address).heard_at();
            heard_at <= doubt.at && now < doubt.at + DOUBT_RETENTION_MS
        });
        let busy = fleet.iter().filter(|server| server.outstanding > 0);
        let busy = busy.map(|server| server.listed.address.as_str());
        let servers = busy.chain(doubts.iter().map(|doubt| doubt.loss.address.as_str()));
        let observed = servers
            .map(|server| Observed { server, quiet_since: self.pool.peer(server).quiet_since() });
        let Ok(mut silence) = self.silence.lock() else {
            return Vec::new();
        };
        silence.check(now, observed).into_iter().map(str::to_owned).collect()
    }

    /// Probes a server, and ends its requests if it has fallen silent.
    async fn examine_silence(&self, address: &str) {
        let started = Instant::now();
        let witnesses = self.witnesses(address);
        let others = join_all(witnesses.iter().map(|witness| self.lives(&witness.address)));
        let (has_answered, others) = tokio::join!(self.lives(address), others);
        let probed = Probed {
            has_answered,
            witnesses: others.len(),
            answering_witnesses: others.into_iter().filter(|lives| *lives).count(),
            took_ms: millis(started.elapsed()),
        };
        let Some(verdict) = self.judge_silence(address, &probed) else {
            return;
        };
        self.metrics.probed(match verdict {
            Verdict::Lives => "lives",
            Verdict::Silent => "silent",
            Verdict::Unclear => "unclear",
        });
        if verdict == Verdict::Lives {
            return;
        }
        let witnesses: Vec<&str> = witnesses.iter().map(|witness| witness.id.as_str()).collect();
        tracing::warn!(address, ?verdict, ?probed, ?witnesses, "server is silent");
        if verdict == Verdict::Silent {
            self.pool.close_silent(address);
            for doubt in self.take_doubts(address) {
                self.examine_loss(&doubt.loss).await;
            }
        }
    }

    fn judge_silence(&self, address: &str, probed: &Probed) -> Option<Verdict> {
        if self.is_partitioned() {
            return Some(Verdict::Unclear);
        }
        Some(self.silence.lock().ok()?.judge(self.now(), address, probed))
    }

    /// Removes the requests that were given up while the server was silent, and returns them.
    fn take_doubts(&self, address: &str) -> Vec<Doubt> {
        let Ok(mut doubts) = self.doubts.lock() else {
            return Vec::new();
        };
        doubts.extract_if(.., |doubt| doubt.loss.address == address).collect()
    }

    /// Chooses servers to probe together with the one at `address`.
    fn witnesses(&self, address: &str) -> Vec<Listing> {
        let (Ok(fleet), Ok(silence)) = (self.fleet.lock(), self.silence.lock()) else {
            return Vec::new();
        };
        let domain = fleet.iter().find(|server| server.listed.address == address);
        let domain = domain.map(|server| server.listed.failure_domain.as_str());
        let others = |is_near: bool| {
            fleet.iter().map(|server| &server.listed).filter(move |listed| {
                listed.address != address
                    && !listed.is_draining
                    && (Some(listed.failure_domain.as_str()) == domain) == is_near
            })
        };
        let others =
            |is_near| others(is_near).filter(|listed| silence.may_testify(&listed.address));
        let mut witnesses = others(true).sample(&mut rand::rng(), NEAR_WITNESSES);
        witnesses.extend(others(false).sample(&mut rand::rng(), FAR_WITNESSES));
        witnesses.into_iter().cloned().collect()
    }

    /// Whether the server answers on a new connection, or refuses or closes it.
    async fn lives(&self, address: &str) -> bool {
        let headers = self.adapter.request_headers(
            HeaderMap::new(),
            &Dispatch {
                id: "",
                server: NO_SERVER,
                remaining: Duration::from_millis(PROBE_TIMEOUT_MS),
                identity: Identity::Unchecked,
            },
        );
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.headers_mut() = headers;
        if let Ok(host) = HeaderValue::from_str(address) {
            request.headers_mut().insert(header::HOST, host);
        }
        let answered = async {
            match self.pool.open(address).await {
                // Whatever the response is, a living server sent it.
                Ok(mut connection) => {
                    drop(connection.send(request).await);
                    true
                }
                Err(error) => !matches!(
                    error.kind(),
                    io::ErrorKind::TimedOut
                        | io::ErrorKind::HostUnreachable
                        | io::ErrorKind::NetworkUnreachable
                ),
            }
        };
        let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
        tokio::time::timeout(timeout, answered).await.unwrap_or(false)
    }
}
