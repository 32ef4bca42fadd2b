//! Backend servers that may have fallen silent, and what becomes of them.
//!
//! The task feeds [`Silence`](coordination::silence::Silence) with what the connections show, and
//! connects to the servers that it names. A server that has fallen silent gets nothing new. What it
//! has accepted stays with it until it answers or closes the connection, whatever the [`Fate`]: that
//! tells whether its end counts against the content, which is under suspicion meanwhile. Requests that
//! were given up before are remembered until then as [`Doubt`]s.

use crate::clock::millis;
use crate::gateway::dialect::{Dispatch, Identity};
use crate::gateway::entry::Entry;
use crate::gateway::loss::Loss;
use crate::gateway::pool::Connection;
use crate::gateway::prober::{Probe, Prober, Reaction, react};
use bytes::Bytes;
use coordination::Millis;
use coordination::placement::{Listing, Server};
use coordination::quarantine::Crash;
use coordination::silence::{Fate, Observed, PROBE_TIMEOUT_MS, Probed, Trace, Verdict};
use futures_util::future::join_all;
use http::{HeaderMap, HeaderValue, Request, header};
use http_body_util::Full;
use rand::seq::IteratorRandom;
use state::collections::{Map, Set};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two checks.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(PROBE_TIMEOUT_MS);

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
            // Suspicions of others lapse also while no control instance is reached.
            self.member.extend_suspicions(&[]);
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

    /// Remembers a request that was given up while its server was quiet.
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

    /// Probes a server, and follows it if it has fallen silent.
    async fn examine_silence(self: Arc<Self>, address: &str) {
        let started = Instant::now();
        let witnesses = self.witnesses(address);
        let others = join_all(witnesses.iter().map(|witness| self.lives(&witness.address)));
        let mut probe = self.begin_probe(address);
        let first = tokio::time::timeout(PROBE_TIMEOUT, &mut probe);
        let (first, others) = tokio::join!(first, others);
        let is_open = first.is_err();
        let probed = Probed {
            has_answered: first.is_ok_and(|reaction| reaction != Reaction::Unreachable),
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
            // A connection from before shows what a new one doesn't if the machine was lost.
            let probe = match is_open {
                true => Some(probe),
                false => self.pool.take(address).map(|idle| self.send_probe(address, idle)),
            };
            self.follow(address, probe).await;
        }
    }

    fn judge_silence(&self, address: &str, probed: &Probed) -> Option<Verdict> {
        if self.is_partitioned() {
            return Some(Verdict::Unclear);
        }
        Some(self.silence.lock().ok()?.judge(address, probed))
    }

    /// Follows a silent server until it is known what became of it. `probe` is the one that it owes an
    /// answer to.
    async fn follow(self: &Arc<Self>, address: &str, probe: Option<Probe>) {
        let started = Instant::now();
        let id = self.fleet.lock().ok().and_then(|fleet| {
            let server = fleet.iter().find(|server| server.listed.address == address);
            server.map(|server| server.listed.id.clone())
        });
        let id = id.unwrap_or_default();
        let (losses, ends) = self.begin_silence(address, &id);
        let (fate, trace) = self.await_fate(address, &id, probe).await;
        let is_evidence = trace.is_evidence(fate);
        let is_answering = trace.checks_since_answer.is_some();
        self.metrics.silence(match fate {
            Fate::Silent | Fate::Unknown => "unknown",
            Fate::GoesOn => "goes on",
            Fate::Ended => "ended",
            Fate::Forgot => "forgot",
            Fate::Unlisted => "unlisted",
        });
        let ms = millis(started.elapsed());
        let requests = losses.len();
        tracing::warn!(
            address,
            server = id,
            ?fate,
            is_evidence,
            requests,
            ms,
            "silence of a server ended"
        );
        self.end_silence(address, &id, &ends);
        if is_evidence {
            losses.iter().for_each(|loss| self.record_silent_loss(loss));
        }
        if matches!(fate, Fate::Forgot | Fate::Unknown) || (fate == Fate::Ended && is_answering) {
            // What it does from now on is no part of this end.
            self.pool.peer(address).heard_at.store(self.now() + 1, Ordering::Relaxed);
        }
        if fate == Fate::Ended {
            self.pool.close_idle(address);
        }
    }

    /// Records that a server is silent: it is sent nothing new, requests that may be repeated can leave
    /// it, and the content of all that it has is under suspicion. Returns these requests, and the ends of
    /// the server that are suspected.
    fn begin_silence(&self, address: &str, id: &str) -> (Vec<Loss>, Set<u64>) {
        let (now, peer) = (self.now(), self.pool.peer(address));
        if let Ok(mut fleet) = self.fleet.lock() {
            fleet.set_silent(id, true);
        }
        peer.silent_at.store(now, Ordering::Relaxed);
        let heard_at = peer.heard_at();
        let pending = peer.requests_since(now).into_iter().map(|pending| Loss {
            request: pending.request.clone(),
            content: pending.subject.content(),
            server: pending.server.clone(),
            address: address.to_owned(),
            is_before_first_event: pending.is_before_first_event.load(Ordering::Relaxed),
            alive_at: heard_at,
        });
        let doubts = self.take_doubts(address).into_iter().map(|doubt| doubt.loss);
        let losses: Vec<Loss> = pending.chain(doubts).collect();
        let mut ends: Map<(&str, Millis), u64> = Map::default();
        if let Ok(mut quarantine) = self.member.quarantine.lock() {
            let mut crashes = Vec::with_capacity(losses.len());
            for Loss { server, alive_at, content, is_before_first_event, .. } in &losses {
                let end = ends.entry((server.as_str(), *alive_at));
                let end = *end.or_insert_with(|| quarantine.end_of(server, *alive_at));
                crashes.push(Crash::new(*content, end, *is_before_first_event));
            }
            for content in quarantine.suspect(now, crashes) {
                tracing::warn!(
                    %content,
                    server = id,
                    "content held, because servers that have it are silent"
                );
            }
        }
        self.member.heartbeat_trigger.notify_one();
        peer.fall_silent();
        let ends = ends.into_values().collect();
        (losses, ends)
    }

    /// Waits until it is known what became of a silent server.
    async fn await_fate(
        self: &Arc<Self>,
        address: &str,
        id: &str,
        probe: Option<Probe>,
    ) -> (Fate, Trace) {
        let peer = self.pool.peer(address);
        let silent_at = peer.silent_at.load(Ordering::Relaxed);
        let mut prober = Prober::new(probe);
        loop {
            prober.check(|| self.begin_probe(address)).await;
            let trace = &mut prober.trace;
            trace.has_gone_on |= !peer.is_silent();
            trace.open_requests = peer.requests_since(silent_at).len();
            if let Ok(fleet) = self.fleet.lock() {
                let server = fleet.get(id).filter(|server| server.listed.address == address);
                trace.is_listed = server.is_some();
                trace.is_leaving |= server.is_some_and(Server::is_leaving);
            }
            if trace.fate() == Fate::Ended && trace.is_refusing {
                trace.is_refusing = self.reaches_others(address).await;
                trace.has_gone_on |= !peer.is_silent();
            }
            let fate = trace.fate();
            if fate != Fate::Silent {
                return (fate, *trace);
            }
        }
    }

    /// Ends the silence of a server, and the suspicions that it was the cause of.
    fn end_silence(&self, address: &str, id: &str, ends: &Set<u64>) {
        self.pool.peer(address).silent_at.store(0, Ordering::Relaxed);
        if let Ok(mut silence) = self.silence.lock() {
            silence.resolve(address);
        }
        if let Ok(mut fleet) = self.fleet.lock() {
            fleet.set_silent(id, false);
        }
        if let Ok(mut quarantine) = self.member.quarantine.lock() {
            ends.iter().for_each(|end| quarantine.clear(*end));
        }
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

    /// Whether other servers answer, so that a refusal is that of the server at `address` alone.
    async fn reaches_others(&self, address: &str) -> bool {
        let witnesses = self.witnesses(address);
        let answers = witnesses
            .iter()
            .map(|witness| tokio::time::timeout(PROBE_TIMEOUT, self.begin_probe(&witness.address)));
        let answers = join_all(answers).await;
        !answers.is_empty() && answers.iter().all(|answer| *answer == Ok(Reaction::Answered))
    }

    /// Whether the server answers on a new connection, or refuses or closes it.
    async fn lives(&self, address: &str) -> bool {
        let reaction = tokio::time::timeout(PROBE_TIMEOUT, self.begin_probe(address)).await;
        reaction.is_ok_and(|reaction| reaction != Reaction::Unreachable)
    }

    /// Begins a probe: a request on a new connection that whichever server reads it refuses at once.
    fn begin_probe(&self, address: &str) -> Probe {
        let (opening, request) = (self.pool.opening(address), self.probe_request(address));
        Box::pin(async move {
            match opening.await {
                Ok(connection) => react(connection, request).await,
                Err(error) => match error.kind() {
                    io::ErrorKind::TimedOut
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::NetworkUnreachable => Reaction::Unreachable,
                    io::ErrorKind::ConnectionRefused => Reaction::Refused,
                    io::ErrorKind::ConnectionReset => Reaction::Closed,
                    _ => Reaction::Untried,
                },
            }
        })
    }

    /// Begins a probe on an idle connection.
    fn send_probe(&self, address: &str, connection: Connection) -> Probe {
        Box::pin(react(connection, self.probe_request(address)))
    }

    fn probe_request(&self, address: &str) -> Request<Full<Bytes>> {
        let headers = self.adapter.request_headers(
            HeaderMap::new(),
            &Dispatch {
                id: "",
                server: NO_SERVER,
                remaining: PROBE_TIMEOUT,
                identity: Identity::Unchecked,
            },
        );
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.headers_mut() = headers;
        if let Ok(host) = HeaderValue::from_str(address) {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }
}
