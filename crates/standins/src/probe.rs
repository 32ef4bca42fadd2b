//! Small measurements on a running cluster.

use crate::caller::Crowd;
use crate::cluster::Cluster;
use crate::engine::Held;
use hdrhistogram::Histogram;
use protocol::api::{Call, Open};
use protocol::backend::{EXECUTE, IDEMPOTENCY_KEY};
use serde_json::{Value, json};
use state::budget::Amount;
use state::id;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Programs that share the calls of [`added`].
const PROGRAMS: u64 = 100;

/// Time for which [`added`] makes calls.
const SECONDS: u64 = 10;

/// Time between two samples of what engines hold.
const SAMPLE: Duration = Duration::from_millis(500);

/// Length of a clock tick in the kernel's accounting, in milliseconds.
const TICK_MS: f64 = 10.0;

/// Processor time of all instances so far, in milliseconds.
pub fn cpu_ms(cluster: &Cluster) -> f64 {
    (0..cluster.instances.len()).filter_map(|at| cluster.pid(at)).filter_map(cpu_of).sum()
}

/// Processor time of a process, from `/proc/PID/stat` (see proc(5)), in milliseconds.
pub fn cpu_of(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) * TICK_MS)
}

/// Resident memory of a process, from `/proc/PID/status`, in KiB.
pub fn resident_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Mean cost of one instance while nobody calls, with and without a disk.
pub async fn idle(cluster: &Cluster, http: &reqwest::Client, time: Duration) -> Value {
    let before = costs(cluster, http).await;
    tokio::time::sleep(time).await;
    let after = costs(cluster, http).await;
    let disks = cluster.plan.disks;
    let mean = |range: std::ops::Range<usize>| {
        let count = range.len().max(1) as f64;
        let seconds = time.as_secs_f64() * count;
        let sum = |pick: &dyn Fn(&Cost) -> f64| -> f64 {
            range.clone().map(|at| pick(&after[at]) - pick(&before[at])).sum()
        };
        let resident: f64 = range.clone().map(|at| after[at].resident_kib).sum();
        json!({
            "core_percent": sum(&|cost| cost.cpu_ms) / seconds / 10.0,
            "resident_mb": resident / count / 1_024.0,
            "kb_per_s": sum(&|cost| cost.bytes) / seconds / 1_024.0,
        })
    };
    let servers = cluster.seed.servers.len();
    json!({
        "instances": cluster.instances.len(), "servers": servers, "seconds": time.as_secs(),
        "with_disk": mean(0..disks), "without_disk": mean(disks..cluster.instances.len()),
    })
}

/// What one instance has used so far.
struct Cost {
    cpu_ms: f64,
    resident_kib: f64,
    bytes: f64,
}

async fn costs(cluster: &Cluster, http: &reqwest::Client) -> Vec<Cost> {
    let rows = cluster.status(http).await;
    let of = |(at, instance): (usize, &crate::cluster::Instance)| {
        let row = rows.iter().find(|row| row["name"] == instance.name.as_str());
        let number = |key: &str| row.and_then(|row| row[key].as_f64()).unwrap_or(0.0);
        let pid = cluster.pid(at);
        Cost {
            cpu_ms: pid.and_then(cpu_of).unwrap_or(0.0),
            resident_kib: pid.and_then(resident_kib).unwrap_or(0) as f64,
            bytes: number("bytes_sent") + number("bytes_received"),
        }
    };
    cluster.instances.iter().enumerate().map(of).collect()
}

/// Time from the loss of a journal's leader to the answer of the next call, in
/// milliseconds; once for each program journal.
pub async fn failover(cluster: &mut Cluster, http: &reqwest::Client) -> Value {
    open_programs(cluster, http).await;
    let shards = 2;
    let mut times = Vec::new();
    for shard in 0..shards {
        let Some(leader) = cluster.leader(http, u64::from(shard) + 1).await else {
            return Value::Null;
        };
        let is_there = |at: &u64| {
            let name = format!("added-{at}");
            id::Program::new(&cluster.plan.deployment, &name).shard(shards) == shard
        };
        let Some(program) = (0..PROGRAMS).find(is_there) else {
            return Value::Null;
        };
        let entry = cluster.instances[cluster.instances.len() - 1].callers.clone();
        let url = format!("http://{entry}/v1/programs/added-{program}/calls");
        let call = json!({
            "seq": 1, "service": cluster.plan.tool.0, "arguments": { "op": "probe" },
        });
        cluster.kill_instance(leader);
        let start = Instant::now();
        let request = http.post(url).header("x-deployment", &cluster.plan.deployment).json(&call);
        let status = request.send().await.map(|response| response.status().as_u16());
        let ms = start.elapsed().as_secs_f64() * 1_000.0;
        times.push(json!({ "ms": ms.round(), "status": status.unwrap_or(0) }));
        // The next loss comes once this instance is back.
        if cluster.start_instance(leader).is_err() || !cluster.wait_ready(http).await {
            return Value::Null;
        }
    }
    json!({ "failover": times })
}

/// Share of the sessions held by engines that belong to ended programs.
#[derive(Debug, Default)]
pub struct HeldShare {
    held: AtomicU64,
    ended: AtomicU64,
}

impl HeldShare {
    /// Samples until the task is aborted.
    pub async fn sample(
        self: Arc<Self>,
        addresses: Vec<String>,
        http: reqwest::Client,
        crowd: Arc<Crowd>,
    ) {
        loop {
            tokio::time::sleep(SAMPLE).await;
            for address in &addresses {
                let url = format!("http://{address}/held");
                if let Ok(response) = http.get(url).send().await
                    && let Ok(held) = response.json::<Held>().await
                {
                    let ended = held.sessions.iter().filter(|s| crowd.has_ended(s)).count();
                    self.held.fetch_add(held.sessions.len() as u64, Ordering::Relaxed);
                    self.ended.fetch_add(ended as u64, Ordering::Relaxed);
                }
            }
        }
    }

    /// The share so far.
    pub fn share(&self) -> f64 {
        let held = self.held.load(Ordering::Relaxed).max(1);
        self.ended.load(Ordering::Relaxed) as f64 / held as f64
    }
}

/// What the system adds to a tool call, at `rate` calls a second, in milliseconds.
pub async fn added(cluster: &Cluster, http: &reqwest::Client, rate: u64) -> Value {
    let tool = cluster.seed.servers.values().find(|s| s.service == cluster.plan.tool.0);
    let Some(tool) = tool.map(|server| server.address.clone()) else {
        return Value::Null;
    };
    let direct = paced(rate, |at| {
        let url = format!("http://{tool}{EXECUTE}");
        let key = format!("direct/{at}");
        http.post(url).header(IDEMPOTENCY_KEY, key).json(&json!({ "op": "probe" }))
    })
    .await;
    open_programs(cluster, http).await;
    let service = cluster.plan.tool.0.clone();
    let through = paced(rate, |at| {
        let call = Call {
            seq: at / PROGRAMS + 1,
            service: service.clone(),
            messages: None,
            arguments: Some(json!({ "op": "probe" })),
            idempotent: false,
            max_tokens: 0,
            cost: 0,
            stream: false,
        };
        let instances = &cluster.instances;
        let program = at % PROGRAMS;
        let entry = &instances[usize::try_from(program).unwrap_or(0) % instances.len()];
        let url = format!("http://{}/v1/programs/added-{program}/calls", entry.callers);
        http.post(url).header("x-deployment", &cluster.plan.deployment).json(&call)
    })
    .await;
    let cell = |quantile: f64| {
        let (direct, through) = (direct.quantile(quantile), through.quantile(quantile));
        json!({ "direct": direct, "through": through, "added": through - direct })
    };
    let journals = journals(cluster, http).await;
    json!({
        "rate": rate, "failed": through.failed, "journals": journals,
        "p50_ms": cell(0.5), "p95_ms": cell(0.95), "p99_ms": cell(0.99),
    })
}

/// Mean time of a sync and bytes and syncs so far, for each replica.
async fn journals(cluster: &Cluster, http: &reqwest::Client) -> Vec<Value> {
    let mut rows = Vec::new();
    for instance in cluster.instances.iter().take(cluster.plan.disks) {
        let url = format!("http://{}/dump?section=journals", instance.operators);
        let Ok(response) = http.get(url).send().await else {
            continue;
        };
        let journals: Vec<Value> = response.json().await.unwrap_or_default();
        for journal in journals {
            let number = |key: &str| journal[key].as_f64().unwrap_or(0.0);
            rows.push(json!({
                "instance": instance.name, "group": journal["group"],
                "is_leader": journal["is_leader"],
                "sync_ms": number("sync_micros") / number("syncs").max(1.0) / 1_000.0,
                "syncs": journal["syncs"], "bytes": journal["bytes_written"],
            }));
        }
    }
    rows
}

async fn open_programs(cluster: &Cluster, http: &reqwest::Client) {
    for program in 0..PROGRAMS {
        let open = Open {
            program: format!("added-{program}"),
            budget: Amount { tokens: 1_000, calls: 10_000, cost: 0 },
            deadline_ms: u64::MAX / 2,
            labels: Vec::new(),
        };
        let url = format!("http://{}/v1/programs", cluster.instances[0].callers);
        let request = http.post(url).header("x-deployment", &cluster.plan.deployment).json(&open);
        // A program that is not open shows up as failed calls.
        let _ = request.send().await;
    }
}

/// Longest time that is told apart, in microseconds.
const MOST_MICROS: u64 = 600_000_000;

/// An empty histogram of microseconds with three digits.
///
/// # Panics
///
/// Never: the bounds are constants that the histogram accepts.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_MICROS, 3).expect("constant bounds")
}

/// Times of requests.
struct Times {
    micros: Histogram<u64>,
    failed: u64,
}

impl Times {
    fn quantile(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Sends requests at a fixed rate, whether earlier ones are answered or not.
async fn paced(rate: u64, request: impl Fn(u64) -> reqwest::RequestBuilder) -> Times {
    let mut times = Times { micros: histogram(), failed: 0 };
    let mut running = JoinSet::new();
    let mut interval =
        tokio::time::interval(Duration::from_secs(1) / u32::try_from(rate).unwrap_or(1).max(1));
    for at in 0..rate * SECONDS {
        interval.tick().await;
        let request = request(at);
        running.spawn(async move {
            let start = Instant::now();
            let response = request.send().await.ok()?;
            let is_success = response.status().is_success();
            response.bytes().await.ok()?;
            is_success.then(|| start.elapsed())
        });
    }
    while let Some(result) = running.join_next().await {
        match result.ok().flatten() {
            Some(time) => {
                let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                times.micros.saturating_record(micros);
            }
            None => times.failed += 1,
        }
    }
    times
}
