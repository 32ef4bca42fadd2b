//! Release of engine memory that programs no longer need, and expiry of idle programs.
//!
//! The leader of each program journal repeats each release until the engine acknowledges it. The
//! journal records which servers hold memory of a program, so the next leader continues.

use crate::actor::View;
use crate::backend::Client;
use crate::clock::Clock;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::replica::{Handle, Outcome};
use protocol::settings;
use state::collections::Map;
use state::id;
use state::machine;
use state::program::{Command, Query, Summary, View as Rows};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of releases per journal and round.
const BATCH: usize = 256;

/// Number of rounds between two passes that expire idle programs; 150 rounds take 30 s.
const EXPIRY_ROUNDS: u64 = 150;

/// Background task that releases memory and expires programs.
pub(crate) struct Releaser {
    pub(crate) clock: Clock,
    pub(crate) settings: settings::Journal,
    pub(crate) groups: Map<u32, Handle>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) client: Client,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) view: watch::Receiver<View>,
}

impl Releaser {
    pub(crate) async fn run(self) {
        let mut interval = tokio::time::interval(ROUND_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut round = 0;
        let mut checked_version = 0;
        loop {
            interval.tick().await;
            round += 1;
            let led_groups: Vec<u32> =
                self.journal.groups().filter(|group| self.leads(*group)).collect();
            let in_force = self.view.borrow().in_force;
            let mut backlog = 0;
            for group in &led_groups {
                backlog += self.release_ended(*group).await;
                if in_force != checked_version {
                    self.release_forbidden(*group).await;
                }
                if round % EXPIRY_ROUNDS == 0 {
                    self.expire(*group).await;
                }
            }
            checked_version = in_force;
            self.metrics.release_backlog.set(i64::try_from(backlog).unwrap_or(i64::MAX));
        }
    }

    fn leads(&self, group: u32) -> bool {
        self.groups.get(&group).is_some_and(Handle::leads)
    }

    /// Queries the applied state.
    ///
    /// The state may lag, which is safe for releases: a program that has ended stays ended.
    async fn query_applied(&self, group: u32, query: &Query) -> Option<Rows> {
        let query = machine::encode(query).ok()?;
        match self.groups.get(&group)?.query_applied(query).await {
            Outcome::Data(view) => machine::decode(&view).ok(),
            Outcome::NotLeader(_) | Outcome::Unknown => None,
        }
    }

    async fn release_ended(&self, group: u32) -> usize {
        let query = Query::Backlog { limit: BATCH };
        let Some(Rows::Backlog(rows)) = self.query_applied(group, &query).await else {
            return 0;
        };
        let count = rows.len();
        self.release_all(rows).await;
        count
    }

    /// Releases the memory of open programs on servers that the placement rules in force forbid.
    async fn release_forbidden(&self, group: u32) {
        let query = Query::List { deployment: None, limit: usize::MAX };
        let Some(Rows::Programs(programs)) = self.query_applied(group, &query).await else {
            return;
        };
        let snapshot = self.view.borrow().snapshot.clone();
        let is_forbidden = |program: &Summary, server: &str| {
            !snapshot.config.allows(&program.program.deployment, server, &program.labels)
        };
        let rows = programs
            .iter()
            .flat_map(|program| {
                let held = program.held.iter().filter(|server| is_forbidden(program, server));
                held.map(|server| (program.program.clone(), server.clone()))
            })
            .collect();
        self.release_all(rows).await;
    }

    async fn release_all(&self, rows: Vec<(id::Program, String)>) {
        let releases = rows.into_iter().map(|(program, server)| self.release(program, server));
        futures_util::future::join_all(releases).await;
    }

    async fn release(&self, program: id::Program, server: String) {
        let snapshot = self.view.borrow().snapshot.clone();
        if snapshot.version == 0 {
            return;
        }
        // A backend server that operators have removed needs no release: it no longer belongs to
        // the deployment.
        let address = snapshot.config.servers.get(&server).map(|server| server.address.clone());
        let is_released = match address {
            Some(address) => self.client.release(&address, program.to_string()).await,
            None => true,
        };
        if is_released {
            self.metrics.releases.inc();
            let command = Command::ConfirmRelease { program: program.clone(), server };
            drop(self.journal.submit(&program, &command).await);
        }
    }

    async fn expire(&self, group: u32) {
        let command = Command::Expire {
            now_ms: self.clock.wall_ms(),
            idle_ms: self.settings.idle_ms,
            keep_ms: self.settings.keep_ms,
        };
        drop(self.journal.submit_to(group, &command).await);
    }
}
