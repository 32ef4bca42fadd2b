//! A small cluster under load, and the check of its ledgers.

use serde_json::Value;
use standins::caller::{self, Crowd, Record};
use standins::check::{self, Counts};
use standins::cluster::{Cluster, Plan};
use standins::workload::{self, Shape};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Longest time of one wait.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Programs of one run.
const PROGRAMS: u64 = 40;

/// One cluster at a time, so that clusters do not disturb each other's timing.
static ONE: Mutex<()> = Mutex::const_new(());

/// A cluster with callers.
pub(crate) struct Bed {
    pub(crate) cluster: Cluster,
    pub(crate) crowd: Arc<Crowd>,
    pub(crate) http: reqwest::Client,
    players: JoinSet<Record>,
    _folder: tempfile::TempDir,
    _turn: MutexGuard<'static, ()>,
}

pub(crate) fn plan() -> Plan {
    Plan {
        instances: 5,
        model: ("taalmodel".into(), 4),
        tool: ("offerte-app".into(), 2),
        ..Plan::voskuilen()
    }
}

fn shape() -> Shape {
    Shape {
        turns_least: 3,
        turns_most: 8,
        pause_ms: 100,
        prefix_bytes: 512,
        answer_tokens: 16,
        has_children: true,
    }
}

impl Bed {
    /// Starts a cluster and its programs.
    pub(crate) async fn start(seed: u64) -> Self {
        Self::start_with(seed, &|_, _, address| address.to_owned()).await
    }

    /// As [`Bed::start`], with other addresses between the instances.
    pub(crate) async fn start_with(seed: u64, via: &dyn Fn(usize, usize, &str) -> String) -> Self {
        let turn = ONE.lock().await;
        let folder = tempfile::tempdir().unwrap();
        let cluster = Cluster::start_with(plan(), folder.path(), via).unwrap();
        let http =
            reqwest::Client::builder().connect_timeout(Duration::from_secs(1)).build().unwrap();
        assert!(cluster.wait_ready(&http).await, "seed {seed}: not ready");
        let crowd = Crowd::new(&cluster, http.clone(), Duration::from_millis(1));
        let mut players = JoinSet::new();
        for at in 0..PROGRAMS {
            let program = workload::program(&shape(), seed, at, seed);
            let crowd = crowd.clone();
            players.spawn(async move {
                tokio::time::sleep(Duration::from_millis(at * 50)).await;
                caller::play(crowd, program).await
            });
        }
        Self { cluster, crowd, http, players, _folder: folder, _turn: turn }
    }

    /// Waits until a share of the programs has ended.
    pub(crate) async fn reach(&self, percent: u64) {
        self.until("programs end", async || {
            self.crowd.ended.load(Ordering::Relaxed) * 100 >= PROGRAMS * percent
        })
        .await;
    }

    /// Waits until something holds.
    pub(crate) async fn until(&self, what: &str, holds: impl AsyncFn() -> bool) {
        let start = Instant::now();
        while !holds().await {
            assert!(start.elapsed() < LIMIT, "waited in vain: {what}");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Index of the leader of a journal, once there is one.
    pub(crate) async fn leader(&self, group: u64) -> usize {
        self.until("a leader", async || self.cluster.leader(&self.http, group).await.is_some())
            .await;
        self.cluster.leader(&self.http, group).await.unwrap()
    }

    /// Journals of an instance, as its dump shows them.
    pub(crate) async fn journals(&self, at: usize) -> Vec<Value> {
        let url = format!("http://{}/dump?section=journals", self.cluster.instances[at].operators);
        let Ok(response) = self.http.get(url).send().await else {
            return Vec::new();
        };
        response.json().await.unwrap_or_default()
    }

    /// Ends the run and checks it; returns what callers recorded.
    pub(crate) async fn finish(mut self, label: &str) -> Vec<Record> {
        let mut records = Vec::new();
        while let Some(record) = self.players.join_next().await {
            records.push(record.unwrap());
        }
        let folder = self.cluster.folder.join("ledgers");
        let lines = standins::ledger::read_all(&folder).unwrap();
        let mut counts = check::count(&self.crowd.deployment, &records, &lines);
        counts.lost = caller::count_lost(&self.crowd, &records).await;
        self.until("memory is released", async || {
            let held = self.cluster.held(&self.http).await;
            check::held(&self.crowd.deployment, &records, &held) == 0
        })
        .await;
        assert_eq!(counts, Counts::default(), "{label}");
        let unfinished: Vec<_> = records.iter().filter(|record| !record.is_finished).collect();
        assert!(unfinished.len() * 20 <= records.len(), "{label}: not finished: {unfinished:#?}");
        records
    }
}
