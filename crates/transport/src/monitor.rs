//! Background tasks that feed the entry: lease renewal, load polling and the instance list.
//!
//! The lease is renewed with the control leader; each renewal exchanges load reports and brings
//! the current control state.

use crate::actor::{Handle, View};
use crate::backend::Client;
use crate::bounded::{self, REPORT_BYTES};
use crate::journal::Journal;
use coordination::entry::{Input, Load};
use coordination::routing;
use protocol::backend::InstanceList;
use protocol::settings::Settings;
use protocol::wire::{CONTROL_GROUP, Grant, Report, Request, Response};
use state::collections::Map;
use state::control::Standing;
use state::id::Holder;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Pause before a failed registration is retried.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a request for the platform's instance list.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Keeps the entry's lease, control state and load reports up to date.
pub(crate) struct Monitor {
    pub(crate) settings: Settings,
    pub(crate) address: SocketAddr,
    pub(crate) entry: Handle,
    pub(crate) journal: Arc<Journal>,
    pub(crate) client: Client,
    /// Random number of this process; a repeated registration with it returns the same incarnation.
    pub(crate) nonce: u64,
    /// Loads that this instance polled, with the time of each poll in milliseconds of its clock;
    /// `None` if a backend server did not answer.
    pub(crate) local_reports: Mutex<Map<String, (u64, Option<Load>)>>,
}

impl Monitor {
    /// Renews the lease until `stop` becomes true, then releases it.
    pub(crate) async fn maintain_lease(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut holder = None;
        while !*stop.borrow() {
            let current = match holder.take() {
                Some(current) => current,
                None => match self.register().await {
                    Some(registered) => registered,
                    None => {
                        tokio::time::sleep(REGISTER_RETRY_PAUSE).await;
                        continue;
                    }
                },
            };
            let renewal = self.renew(&current).await;
            match renewal {
                Renewal::Granted(version) => {
                    holder = Some(current);
                    self.wait_for_renewal(version, &mut stop).await;
                }
                Renewal::Unreachable => holder = Some(current),
                Renewal::LeaseRefused => {}
            }
        }
        if let Some(holder) = holder {
            self.send(Input::LeaseEnded).await;
            drop(self.journal.route(CONTROL_GROUP, &Request::ReleaseLease(holder)).await);
        }
    }

    async fn register(&self) -> Option<Holder> {
        let request = Request::Register {
            instance: self.settings.name.clone(),
            nonce: self.nonce,
            address: self.address.to_string(),
            failure_domain: self.settings.failure_domain.clone(),
        };
        match self.journal.route(CONTROL_GROUP, &request).await {
            Ok(Response::Registered { epoch }) => {
                tracing::info!(epoch, "registered");
                Some(Holder { instance: self.settings.name.clone(), epoch })
            }
            _ => None,
        }
    }

    async fn renew(&self, holder: &Holder) -> Renewal {
        let sent_at = self.client.clock.now();
        let version = self.entry.view.borrow().version;
        let request = Request::Renew {
            holder: holder.clone(),
            version,
            reports: self.current_reports(sent_at),
        };
        match self.journal.route(CONTROL_GROUP, &request).await {
            Ok(Response::Granted(grant)) => {
                let version = grant.snapshot.as_ref().map_or(version, |snapshot| snapshot.version);
                self.apply_grant(holder, sent_at, *grant).await;
                Renewal::Granted(version)
            }
            Ok(Response::LeaseRefused) => {
                tracing::warn!(
                    epoch = holder.epoch,
                    "lease renewal refused; registering a new incarnation"
                );
                self.send(Input::LeaseEnded).await;
                Renewal::LeaseRefused
            }
            _ => Renewal::Unreachable,
        }
    }

    async fn apply_grant(&self, holder: &Holder, sent_at: u64, grant: Grant) {
        let now = self.client.clock.now();
        self.send(Input::LeaseRenewed {
            holder: holder.clone(),
            sent_at,
            length: grant.length_ms,
            snapshot: grant.snapshot.map(Box::new),
            in_force: grant.in_force,
        })
        .await;
        for report in grant.reports {
            let at = now.saturating_sub(report.age_ms);
            let is_local =
                self.local_reports.lock().is_ok_and(|reports| reports.contains_key(&report.server));
            if !is_local {
                let (server, load) = (report.server, report.load);
                self.send(Input::LoadReport { server, at, load }).await;
            }
        }
    }

    /// Waits until the next renewal is due.
    ///
    /// If the entry has yet to apply `version`, the wait ends as soon as it has, so that the
    /// version is acknowledged without delay.
    async fn wait_for_renewal(&self, version: u64, stop: &mut watch::Receiver<bool>) {
        let renew_interval = Duration::from_millis(self.settings.lease.renew_ms);
        let is_behind = self.entry.view.borrow().version < version;
        if is_behind {
            let mut view = self.entry.view.clone();
            let caught_up = view.wait_for(|view: &View| view.version >= version);
            drop(tokio::time::timeout(renew_interval, caught_up).await);
            return;
        }
        drop(tokio::time::timeout(renew_interval, stop.changed()).await);
    }

    fn current_reports(&self, now: u64) -> Vec<Report> {
        let Ok(reports) = self.local_reports.lock() else {
            return Vec::new();
        };
        reports
            .iter()
            .map(|(server, (at, load))| Report {
                server: server.clone(),
                age_ms: now.saturating_sub(*at),
                load: *load,
            })
            .collect()
    }

    async fn send(&self, input: Input) {
        drop(self.entry.inputs.send(input).await);
    }

    /// Polls the load of the backend servers for which this instance is the load poller.
    pub(crate) async fn poll_loads(self: Arc<Self>) {
        let mut interval =
            tokio::time::interval(Duration::from_millis(self.settings.platform.report_ms));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            interval.tick().await;
            let servers = self.polled_servers();
            if let Ok(mut reports) = self.local_reports.lock() {
                reports.retain(|name, _| servers.iter().any(|(server, _)| server == name));
            }
            let polls =
                servers.into_iter().map(|(server, address)| self.poll_load(server, address));
            futures_util::future::join_all(polls).await;
        }
    }

    /// Names and addresses of the backend servers that rendezvous hashing assigns to this instance.
    fn polled_servers(&self) -> Vec<(String, String)> {
        let snapshot = self.entry.view.borrow().snapshot.clone();
        let live: Vec<&str> = snapshot
            .instances
            .iter()
            .filter(|(_, instance)| instance.standing != Standing::Expired)
            .map(|(name, _)| name.as_str())
            .collect();
        let servers = snapshot.config.servers.iter();
        servers
            .filter(|(name, _)| {
                routing::pick(name, live.iter().copied()) == Some(&self.settings.name)
            })
            .map(|(name, server)| (name.clone(), server.address.clone()))
            .collect()
    }

    async fn poll_load(&self, server: String, address: String) {
        let load = self.client.fetch_load(&address).await;
        let at = self.client.clock.now();
        if let Ok(mut reports) = self.local_reports.lock() {
            reports.insert(server.clone(), (at, load));
        }
        self.send(Input::LoadReport { server, at, load }).await;
    }

    /// Polls the platform's instance list for backend servers that are about to leave.
    pub(crate) async fn poll_instance_list(self: Arc<Self>) {
        let Some(url) = self.settings.platform.instance_list.clone() else {
            return;
        };
        let mut interval =
            tokio::time::interval(Duration::from_millis(self.settings.platform.list_ms));
        // What the last list was read with, so that only changes are logged.
        let mut last = Ok(Vec::new());
        loop {
            interval.tick().await;
            let read = match self.read_instance_list(&url).await {
                Ok(list) => {
                    self.send(Input::LeavingServers(list.leaving.valid)).await;
                    Ok(list.leaving.faults)
                }
                Err(error) => Err(error.to_string()),
            };
            match &read {
                _ if read == last => {}
                Ok(faults) => {
                    let (count, first) = (faults.len(), faults.first());
                    tracing::warn!(count, first, "instance list read; invalid entries left out");
                }
                Err(error) => tracing::warn!(error, "cannot read the instance list"),
            }
            last = read;
        }
    }

    async fn read_instance_list(&self, url: &str) -> Result<InstanceList, bounded::Error> {
        let response = self.client.http.get(url).timeout(LIST_TIMEOUT).send().await?;
        bounded::json(response, REPORT_BYTES, &mut self.client.grant()).await
    }
}

/// Result of a lease renewal.
enum Renewal {
    /// The lease was granted; latest known version of the control state.
    Granted(u64),
    /// The control leader did not answer; the lease stays until it expires.
    Unreachable,
    /// The lease was refused; the instance must register a new incarnation.
    LeaseRefused,
}
