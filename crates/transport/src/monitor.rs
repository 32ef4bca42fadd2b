//! Lease renewals, load reports and the instance list.

use crate::actor::{Handle, View};
use crate::backend::Client;
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

/// Pause before a registration is tried again.
const REGISTER_PAUSE: Duration = Duration::from_millis(100);

/// Time for the instance list to answer.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Keeps the entry's lease, configuration and reports fresh.
pub(crate) struct Monitor {
    pub(crate) settings: Settings,
    pub(crate) address: SocketAddr,
    pub(crate) entry: Handle,
    pub(crate) journal: Arc<Journal>,
    pub(crate) client: Client,
    pub(crate) nonce: u64,
    pub(crate) own_reports: Mutex<Map<String, (u64, Option<Load>)>>,
}

impl Monitor {
    /// Renews the lease until `stop` closes; then gives it back.
    pub(crate) async fn keep_lease(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut holder = None;
        while !*stop.borrow() {
            let current = match holder.take() {
                Some(current) => current,
                None => match self.register().await {
                    Some(registered) => registered,
                    None => {
                        tokio::time::sleep(REGISTER_PAUSE).await;
                        continue;
                    }
                },
            };
            let granted = self.renew(&current).await;
            match granted {
                Renewal::Granted(version) => {
                    holder = Some(current);
                    self.pause(version, &mut stop).await;
                }
                Renewal::Unreachable => holder = Some(current),
                Renewal::Expelled => {}
            }
        }
        if let Some(holder) = holder {
            self.input(Input::LeaseEnded).await;
            drop(self.journal.route(CONTROL_GROUP, &Request::Leave(holder)).await);
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
        let sent = self.client.clock.now();
        let version = self.entry.view.borrow().version;
        let request =
            Request::Renew { holder: holder.clone(), version, reports: self.fresh_reports(sent) };
        match self.journal.route(CONTROL_GROUP, &request).await {
            Ok(Response::Granted(grant)) => {
                let version = grant.snapshot.as_ref().map_or(version, |s| s.version);
                self.take_grant(holder, sent, *grant).await;
                Renewal::Granted(version)
            }
            Ok(Response::Expelled) => {
                tracing::warn!(epoch = holder.epoch, "lease refused; registering again");
                self.input(Input::LeaseEnded).await;
                Renewal::Expelled
            }
            _ => Renewal::Unreachable,
        }
    }

    async fn take_grant(&self, holder: &Holder, sent: u64, grant: Grant) {
        let now = self.client.clock.now();
        self.input(Input::LeaseRenewed {
            holder: holder.clone(),
            sent,
            length: grant.length_ms,
            snapshot: grant.snapshot.map(Box::new),
            in_force: grant.in_force,
        })
        .await;
        for report in grant.reports {
            let at = now.saturating_sub(report.age_ms);
            let is_own = self.own_reports.lock().is_ok_and(|own| own.contains_key(&report.server));
            if !is_own {
                let (server, load) = (report.server, report.load);
                self.input(Input::LoadReport { server, at, load }).await;
            }
        }
    }

    /// Waits for the next renewal; a newer version is acknowledged at once.
    async fn pause(&self, version: u64, stop: &mut watch::Receiver<bool>) {
        let renew = Duration::from_millis(self.settings.lease.renew_ms);
        let is_behind = self.entry.view.borrow().version < version;
        if is_behind {
            let mut view = self.entry.view.clone();
            let caught_up = view.wait_for(|view: &View| view.version >= version);
            drop(tokio::time::timeout(renew, caught_up).await);
            return;
        }
        drop(tokio::time::timeout(renew, stop.changed()).await);
    }

    fn fresh_reports(&self, now: u64) -> Vec<Report> {
        let Ok(own) = self.own_reports.lock() else {
            return Vec::new();
        };
        own.iter()
            .map(|(server, (at, load))| Report {
                server: server.clone(),
                age_ms: now.saturating_sub(*at),
                load: *load,
            })
            .collect()
    }

    async fn input(&self, input: Input) {
        drop(self.entry.inputs.send(input).await);
    }

    /// Takes load reports of the backend servers whose steward this instance is.
    pub(crate) async fn watch_servers(self: Arc<Self>) {
        let mut interval =
            tokio::time::interval(Duration::from_millis(self.settings.platform.report_ms));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            interval.tick().await;
            let servers = self.stewarded();
            if let Ok(mut own) = self.own_reports.lock() {
                own.retain(|name, _| servers.iter().any(|(server, _)| server == name));
            }
            let looks = servers.into_iter().map(|(server, address)| self.look(server, address));
            futures_util::future::join_all(looks).await;
        }
    }

    /// Backend servers that rendezvous hashing gives to this instance.
    fn stewarded(&self) -> Vec<(String, String)> {
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

    async fn look(&self, server: String, address: String) {
        let load = self.client.load(&address).await;
        let at = self.client.clock.now();
        if let Ok(mut own) = self.own_reports.lock() {
            own.insert(server.clone(), (at, load));
        }
        self.input(Input::LoadReport { server, at, load }).await;
    }

    /// Reads the platform's instance list.
    pub(crate) async fn watch_list(self: Arc<Self>) {
        let Some(url) = self.settings.platform.instance_list.clone() else {
            return;
        };
        let mut interval =
            tokio::time::interval(Duration::from_millis(self.settings.platform.list_ms));
        loop {
            interval.tick().await;
            let answer = self.client.http.get(&url).timeout(LIST_TIMEOUT).send().await;
            let Ok(answer) = answer else {
                continue;
            };
            if let Ok(list) = answer.json::<InstanceList>().await {
                self.input(Input::LeavingServers(list.leaving)).await;
            }
        }
    }
}

enum Renewal {
    /// Granted; the newest version known.
    Granted(u64),
    Unreachable,
    Expelled,
}
