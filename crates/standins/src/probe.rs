//! Measurements on a running cluster: cost of idle instances, failover time, added latency and
//! cached sessions of closed programs.

use crate::caller::Context;
use crate::cluster::Cluster;
use crate::engine::Sessions;
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

/// Number of programs among which [`added_latency`] and [`failover`] distribute their calls.
const PROGRAMS: u64 = 100;

/// Time for which [`added_latency`] sends calls on each path, in seconds.
const DURATION_S: u64 = 10;

/// Interval at which the cached sessions of engines are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Length of a clock tick in the kernel's process accounting, in milliseconds.
const TICK_MS: f64 = 10.0;

/// Returns the processor time that all instances have used, in milliseconds.
pub fn cpu_ms(cluster: &Cluster) -> f64 {
    (0..cluster.instances.len())
        .filter_map(|index| cluster.pid(index))
        .filter_map(process_cpu_ms)
        .sum()
}

/// Returns the processor time of a process in milliseconds, from `/proc/PID/stat` (see
/// proc(5)).
pub fn process_cpu_ms(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) * TICK_MS)
}

/// Returns the resident memory of a process in KiB, from `/proc/PID/status`.
pub fn resident_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Measures the mean cost of an instance without calls, with and without a disk.
pub async fn idle_costs(cluster: &Cluster, http: &reqwest::Client, time: Duration) -> Value {
    let before = costs(cluster, http).await;
    tokio::time::sleep(time).await;
    let after = costs(cluster, http).await;
    let disks = cluster.spec.disks;
    let mean = |range: std::ops::Range<usize>| {
        let count = range.len().max(1) as f64;
        let seconds = time.as_secs_f64() * count;
        let sum = |metric: &dyn Fn(&Cost) -> f64| -> f64 {
            range.clone().map(|index| metric(&after[index]) - metric(&before[index])).sum()
        };
        let resident: f64 = range.clone().map(|index| after[index].resident_kib).sum();
        json!({
            "core_percent": sum(&|cost| cost.cpu_ms) / seconds / 10.0,
            "resident_mb": resident / count / 1_024.0,
            "kb_per_s": sum(&|cost| cost.bytes) / seconds / 1_024.0,
        })
    };
    let servers = cluster.config.servers.len();
    json!({
        "instances": cluster.instances.len(), "servers": servers, "seconds": time.as_secs(),
        "with_disk": mean(0..disks), "without_disk": mean(disks..cluster.instances.len()),
    })
}

/// Resources that an instance has used since its start.
struct Cost {
    cpu_ms: f64,
    resident_kib: f64,
    bytes: f64,
}

/// Returns the resources that each instance has used so far.
async fn costs(cluster: &Cluster, http: &reqwest::Client) -> Vec<Cost> {
    let rows = cluster.status(http).await;
    let cost = |(index, instance): (usize, &crate::cluster::Instance)| {
        let row = rows.iter().find(|row| row["name"] == instance.name.as_str());
        let value = |key: &str| row.and_then(|row| row[key].as_f64()).unwrap_or(0.0);
        let pid = cluster.pid(index);
        Cost {
            cpu_ms: pid.and_then(process_cpu_ms).unwrap_or(0.0),
            resident_kib: pid.and_then(resident_kib).unwrap_or(0) as f64,
            bytes: value("bytes_sent") + value("bytes_received"),
        }
    };
    cluster.instances.iter().enumerate().map(cost).collect()
}

/// Measures the time from the kill of a leader to the response to the next call, in
/// milliseconds, once for the replica group of each program shard.
pub async fn failover(cluster: &mut Cluster, http: &reqwest::Client) -> Value {
    open_programs(cluster, http).await;
    let shards = 2;
    let mut times = Vec::new();
    for shard in 0..shards {
        let Some(leader) = cluster.leader(http, u64::from(shard) + 1).await else {
            return Value::Null;
        };
        let is_in_shard = |index: &u64| {
            let name = format!("added-{index}");
            id::Program::new(&cluster.spec.deployment, &name).shard(shards) == shard
        };
        let Some(program) = (0..PROGRAMS).find(is_in_shard) else {
            return Value::Null;
        };
        let address = cluster.instances[cluster.instances.len() - 1].caller_address.clone();
        let url = format!("http://{address}/v1/programs/added-{program}/calls");
        let call = json!({
            "seq": 1, "service": cluster.spec.tool.0, "arguments": { "op": "probe" },
        });
        cluster.kill_instance(leader);
        let start = Instant::now();
        let request = http.post(url).header("x-deployment", &cluster.spec.deployment).json(&call);
        let status = request.send().await.map(|response| response.status().as_u16());
        let ms = start.elapsed().as_secs_f64() * 1_000.0;
        times.push(json!({ "ms": ms.round(), "status": status.unwrap_or(0) }));
        // The instance must be ready again before the next leader is killed.
        if cluster.start_instance(leader).is_err() || !cluster.wait_ready(http).await {
            return Value::Null;
        }
    }
    json!({ "failover": times })
}

/// Share of the sessions cached by engines that belong to closed programs.
#[derive(Debug, Default)]
pub struct Staleness {
    cached: AtomicU64,
    stale: AtomicU64,
}

impl Staleness {
    /// Samples the engines at `addresses` until the task is aborted.
    pub async fn sample(
        self: Arc<Self>,
        addresses: Vec<String>,
        http: reqwest::Client,
        context: Arc<Context>,
    ) {
        loop {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            for address in &addresses {
                let url = format!("http://{address}/held");
                if let Ok(response) = http.get(url).send().await
                    && let Ok(cache) = response.json::<Sessions>().await
                {
                    let stale = cache.sessions.iter().filter(|s| context.is_closed(s)).count();
                    self.cached.fetch_add(cache.sessions.len() as u64, Ordering::Relaxed);
                    self.stale.fetch_add(stale as u64, Ordering::Relaxed);
                }
            }
        }
    }

    /// Returns the share over all samples so far.
    pub fn share(&self) -> f64 {
        let cached = self.cached.load(Ordering::Relaxed).max(1);
        self.stale.load(Ordering::Relaxed) as f64 / cached as f64
    }
}

/// Measures the latency that the system adds to a tool call at `rate` calls per second, in
/// milliseconds.
pub async fn added_latency(cluster: &Cluster, http: &reqwest::Client, rate: u64) -> Value {
    let tool = cluster.config.servers.values().find(|s| s.service == cluster.spec.tool.0);
    let Some(tool) = tool.map(|server| server.address.clone()) else {
        return Value::Null;
    };
    let direct = send_at_rate(rate, |index| {
        let url = format!("http://{tool}{EXECUTE}");
        let key = format!("direct/{index}");
        http.post(url).header(IDEMPOTENCY_KEY, key).json(&json!({ "op": "probe" }))
    })
    .await;
    open_programs(cluster, http).await;
    let service = cluster.spec.tool.0.clone();
    let through = send_at_rate(rate, |index| {
        let call = Call {
            seq: index / PROGRAMS + 1,
            service: service.clone(),
            messages: None,
            arguments: Some(json!({ "op": "probe" })),
            idempotent: false,
            max_tokens: 0,
            cost: 0,
            stream: false,
        };
        let instances = &cluster.instances;
        let program = index % PROGRAMS;
        let instance = &instances[usize::try_from(program).unwrap_or(0) % instances.len()];
        let url = format!("http://{}/v1/programs/added-{program}/calls", instance.caller_address);
        http.post(url).header("x-deployment", &cluster.spec.deployment).json(&call)
    })
    .await;
    let compare = |quantile: f64| {
        let (direct, through) = (direct.quantile(quantile), through.quantile(quantile));
        json!({ "direct": direct, "through": through, "added": through - direct })
    };
    let replica_stats = replica_stats(cluster, http).await;
    json!({
        "rate": rate, "failed": through.failed, "journals": replica_stats,
        "p50_ms": compare(0.5), "p95_ms": compare(0.95), "p99_ms": compare(0.99),
    })
}

/// Returns the mean sync time and the number of syncs and written bytes of each replica.
async fn replica_stats(cluster: &Cluster, http: &reqwest::Client) -> Vec<Value> {
    let mut rows = Vec::new();
    for instance in cluster.instances.iter().take(cluster.spec.disks) {
        let url = format!("http://{}/dump?section=journals", instance.operator_address);
        let Ok(response) = http.get(url).send().await else {
            continue;
        };
        let replicas: Vec<Value> = response.json().await.unwrap_or_default();
        for replica in replicas {
            let value = |key: &str| replica[key].as_f64().unwrap_or(0.0);
            rows.push(json!({
                "instance": instance.name, "group": replica["group"],
                "is_leader": replica["is_leader"],
                "sync_ms": value("sync_micros") / value("syncs").max(1.0) / 1_000.0,
                "syncs": replica["syncs"], "bytes": replica["bytes_written"],
            }));
        }
    }
    rows
}

/// Opens the programs of [`added_latency`] and [`failover`].
async fn open_programs(cluster: &Cluster, http: &reqwest::Client) {
    for program in 0..PROGRAMS {
        let open = Open {
            program: format!("added-{program}"),
            budget: Amount { tokens: 1_000, calls: 10_000, cost: 0 },
            deadline_ms: u64::MAX / 2,
            labels: Vec::new(),
        };
        let url = format!("http://{}/v1/programs", cluster.instances[0].caller_address);
        let request = http.post(url).header("x-deployment", &cluster.spec.deployment).json(&open);
        // A program that cannot be opened shows as failed calls.
        let _ = request.send().await;
    }
}

/// Upper bound of the histogram, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Creates an empty histogram of microseconds with three significant digits.
///
/// # Panics
///
/// Never panics, as the constant bounds are valid.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the constant bounds are valid")
}

/// Latencies of successful requests, and the number of failed ones.
struct Latencies {
    micros: Histogram<u64>,
    failed: u64,
}

impl Latencies {
    /// Returns a quantile of the latencies, in milliseconds.
    fn quantile(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Sends requests at a fixed rate per second without waiting for earlier responses.
async fn send_at_rate(rate: u64, request: impl Fn(u64) -> reqwest::RequestBuilder) -> Latencies {
    let mut latencies = Latencies { micros: histogram(), failed: 0 };
    let mut requests = JoinSet::new();
    let mut interval =
        tokio::time::interval(Duration::from_secs(1) / u32::try_from(rate).unwrap_or(1).max(1));
    for index in 0..rate * DURATION_S {
        interval.tick().await;
        let request = request(index);
        requests.spawn(async move {
            let start = Instant::now();
            let response = request.send().await.ok()?;
            let is_success = response.status().is_success();
            response.bytes().await.ok()?;
            is_success.then(|| start.elapsed())
        });
    }
    while let Some(result) = requests.join_next().await {
        match result.ok().flatten() {
            Some(time) => {
                let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                latencies.micros.saturating_record(micros);
            }
            None => latencies.failed += 1,
        }
    }
    latencies
}
