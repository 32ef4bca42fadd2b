//! Memory on engines that ended programs still hold.
//!
//! The leader of each program journal repeats each release until the engine acknowledges
//! it; what is held is in the journal, so any later leader goes on.

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

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(200);

/// Releases in one round of one journal.
const BATCH: usize = 256;

/// Rounds between two sweeps of idle programs.
const SWEEP_ROUNDS: u64 = 150;

/// Releases what ended programs hold.
pub(crate) struct Sweeper {
    pub(crate) clock: Clock,
    pub(crate) settings: settings::Journal,
    pub(crate) groups: Map<u32, Handle>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) client: Client,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) view: watch::Receiver<View>,
}

impl Sweeper {
    pub(crate) async fn run(self) {
        let mut interval = tokio::time::interval(ROUND);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut round = 0;
        let mut checked_version = 0;
        loop {
            interval.tick().await;
            round += 1;
            let led: Vec<u32> = self.journal.groups().filter(|group| self.leads(*group)).collect();
            let in_force = self.view.borrow().in_force;
            let mut backlog = 0;
            for group in &led {
                backlog += self.release_ended(*group).await;
                if in_force != checked_version {
                    self.release_forbidden(*group).await;
                }
                if round % SWEEP_ROUNDS == 0 {
                    self.sweep(*group).await;
                }
            }
            checked_version = in_force;
            self.metrics.release_backlog.set(i64::try_from(backlog).unwrap_or(i64::MAX));
        }
    }

    fn leads(&self, group: u32) -> bool {
        self.groups.get(&group).is_some_and(Handle::leads)
    }

    /// Queries the applied state; a program that it shows as ended stays ended.
    async fn peek(&self, group: u32, query: &Query) -> Option<Rows> {
        let query = machine::encode(query).ok()?;
        match self.groups.get(&group)?.query_applied(query).await {
            Outcome::Data(view) => machine::decode(&view).ok(),
            Outcome::NotLeader(_) | Outcome::Unknown => None,
        }
    }

    async fn release_ended(&self, group: u32) -> usize {
        let query = Query::Backlog { limit: BATCH };
        let Some(Rows::Backlog(rows)) = self.peek(group, &query).await else {
            return 0;
        };
        let count = rows.len();
        self.release_all(rows).await;
        count
    }

    /// Releases what open programs hold where the rules in force no longer allow them.
    async fn release_forbidden(&self, group: u32) {
        let query = Query::List { deployment: None, limit: usize::MAX };
        let Some(Rows::Programs(programs)) = self.peek(group, &query).await else {
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
        // A backend server that operators removed no longer belongs to the deployment.
        let address = snapshot.config.servers.get(&server).map(|found| found.address.clone());
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

    async fn sweep(&self, group: u32) {
        let command = Command::Expire {
            now_ms: self.clock.wall_ms(),
            idle_ms: self.settings.idle_ms,
            keep_ms: self.settings.keep_ms,
        };
        drop(self.journal.submit_to(group, &command).await);
    }
}
