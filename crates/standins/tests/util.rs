//! Test harness: a small cluster under load, whose ledgers are checked after the run.

use serde_json::Value;
use standins::caller::{self, Context, Record};
use standins::check::{self, Counts};
use standins::cluster::{Cluster, Spec};
use standins::workload::{self, Profile};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Time limit of a single wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of programs of one run.
const PROGRAMS: u64 = 40;

/// Lets only one cluster run at a time, so that clusters do not affect each other's timing.
static CLUSTER_LOCK: Mutex<()> = Mutex::const_new(());

/// A running cluster with callers that run programs on it.
pub(crate) struct Harness {
    pub(crate) cluster: Cluster,
    pub(crate) context: Arc<Context>,
    pub(crate) http: reqwest::Client,
    tasks: JoinSet<Record>,
    _folder: tempfile::TempDir,
    _guard: MutexGuard<'static, ()>,
}

pub(crate) fn spec() -> Spec {
    Spec {
        instances: 5,
        model: ("taalmodel".into(), 4),
        tool: ("offerte-app".into(), 2),
        ..Spec::voskuilen()
    }
}

fn profile() -> Profile {
    Profile {
        min_turns: 3,
        max_turns: 8,
        max_pause_ms: 100,
        shared_prefix_bytes: 512,
        max_answer_tokens: 16,
        has_children: true,
    }
}

impl Harness {
    /// Starts a cluster and one program every 50 milliseconds.
    pub(crate) async fn start(seed: u64) -> Self {
        Self::start_with(seed, &|_, _, address| address.to_owned()).await
    }

    /// Like [`Harness::start`], with custom addresses between the instances.
    pub(crate) async fn start_with(
        seed: u64,
        peer_address: &dyn Fn(usize, usize, &str) -> String,
    ) -> Self {
        let guard = CLUSTER_LOCK.lock().await;
        let folder = tempfile::tempdir().unwrap();
        let cluster = Cluster::start_with(spec(), folder.path(), peer_address).unwrap();
        let http =
            reqwest::Client::builder().connect_timeout(Duration::from_secs(1)).build().unwrap();
        assert!(
            cluster.wait_ready(&http).await,
            "seed {seed}: the instances did not become ready in time"
        );
        let context = Context::new(&cluster, http.clone(), Duration::from_millis(1));
        let mut tasks = JoinSet::new();
        for index in 0..PROGRAMS {
            let program = workload::program(&profile(), seed, index, seed);
            let context = context.clone();
            tasks.spawn(async move {
                tokio::time::sleep(Duration::from_millis(index * 50)).await;
                caller::run(context, program).await
            });
        }
        Self { cluster, context, http, tasks, _folder: folder, _guard: guard }
    }

    /// Waits until a share of the programs has ended.
    pub(crate) async fn wait_for_ended(&self, percent: u64) {
        self.wait_for("enough programs have ended", async || {
            self.context.ended_programs.load(Ordering::Relaxed) * 100 >= PROGRAMS * percent
        })
        .await;
    }

    /// Waits until `condition` holds; `what` describes it in the panic message.
    pub(crate) async fn wait_for(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let start = Instant::now();
        while !condition().await {
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a replica group has a leader and returns its index.
    pub(crate) async fn leader(&self, group: u64) -> usize {
        self.wait_for("a leader", async || self.cluster.leader(&self.http, group).await.is_some())
            .await;
        self.cluster.leader(&self.http, group).await.unwrap()
    }

    /// Returns the journals of an instance as its dump shows them; empty if it does not respond.
    pub(crate) async fn journals(&self, index: usize) -> Vec<Value> {
        let url = format!(
            "http://{}/dump?section=journals",
            self.cluster.instances[index].operator_address
        );
        let Ok(response) = self.http.get(url).send().await else {
            return Vec::new();
        };
        response.json().await.unwrap_or_default()
    }

    /// Waits for the programs, checks the run and returns the callers' records.
    pub(crate) async fn finish(mut self, label: &str) -> Vec<Record> {
        let mut records = Vec::new();
        while let Some(record) = self.tasks.join_next().await {
            records.push(record.unwrap());
        }
        let folder = self.cluster.folder.join("ledgers");
        let lines = standins::ledger::read_all(&folder).unwrap();
        let mut counts = check::count(&self.context.deployment, &records, &lines);
        counts.lost = caller::count_lost(&self.context, &records).await;
        self.wait_for("the engines have released the sessions of closed programs", async || {
            let caches = self.cluster.cached_sessions(&self.http).await;
            check::count_unreleased(&self.context.deployment, &records, &caches) == 0
        })
        .await;
        assert_eq!(counts, Counts::default(), "{label}");
        let unfinished: Vec<_> = records.iter().filter(|record| !record.is_finished).collect();
        assert!(unfinished.len() * 20 <= records.len(), "{label}: not finished: {unfinished:#?}");
        records
    }
}
