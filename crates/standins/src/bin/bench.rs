//! Compares scheduling policies under load and faults, with real processes on loopback.
//!
//! Other modes measure latency, failover, idle cost and the sizes of the state machines.

use argh::FromArgs;
use coordination::entry::policy::Name;
use serde_json::{Value, json};
use standins::caller::{self, Context, Outcome, Record};
use standins::check::{self, Counts};
use standins::cluster::{Cluster, Spec};
use standins::ledger;
use standins::probe::{self, Staleness};
use standins::program::{self, print_line};
use standins::sizes;
use standins::workload::{self, Profile, Step};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time to generate one token, in microseconds.
const TOKEN_US: u64 = 10_000;

/// Time to compute one prompt token, in microseconds.
const PREFILL_US: u64 = 200;

/// Size of an engine's prefix cache, in tokens.
const CACHE_TOKENS: u64 = 40_000;

/// Factor by which generation is faster than on engines that need 66 ms per token.
const SCALE: f64 = 6.6;

/// Multiple of its time on an idle system beyond which a program counts as late.
const LATE_FACTOR: f64 = 3.0;

/// Number of prompt bytes that the engine stand-in counts as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Number of programs from which the mean demand is computed.
const SAMPLED_PROGRAMS: u64 = 400;

/// Time limit for the last programs to end after the arrivals stop.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Measures each policy and prints one JSON line per policy.
#[derive(FromArgs, Clone)]
struct Arguments {
    /// voskuilen or magnolia
    #[argh(option, default = "String::from(\"voskuilen\")")]
    deployment: String,
    /// policies, separated by commas
    #[argh(option, default = "String::from(\"least-outstanding,shelf\")")]
    policy: String,
    /// arrival rate as a share of the capacity of the engines' slots
    #[argh(option, default = "0.9")]
    load: f64,
    /// none, entry-killed, server-lost or late-reports
    #[argh(option, default = "String::from(\"none\")")]
    fault: String,
    /// seed of the programs and their arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// time during which programs arrive, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// only measure the latency that the system adds to a call, at this number of calls per second
    #[argh(option)]
    added: Option<u64>,
    /// only measure the cost of an idle deployment, for this number of seconds
    #[argh(option)]
    idle: Option<u64>,
    /// only measure the time from the loss of a leader to the next answer
    #[argh(switch)]
    failover: bool,
    /// only measure sizes and times of the state machines
    #[argh(switch)]
    sizes: bool,
    /// number of instances; 0 for the current size of the deployment
    #[argh(option, default = "0")]
    instances: usize,
    /// number of engines; 0 for the current size of the deployment
    #[argh(option, default = "0")]
    engines: usize,
    /// print only one JSON line per run
    #[argh(switch)]
    json: bool,
    /// folder of the runs
    #[argh(option, default = "PathBuf::from(\"target/bench\")")]
    folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    program::run("bench", run_policies(arguments))
}

/// Runs each policy; returns whether all checks passed.
async fn run_policies(arguments: Arguments) -> std::io::Result<bool> {
    if arguments.sizes {
        return measure_sizes(&arguments);
    }
    let mut is_clean = true;
    for name in arguments.policy.split(',') {
        let policy: Name = serde_json::from_value(json!(name))
            .map_err(|error| std::io::Error::other(format!("--policy {name:?}: {error}")))?;
        if !arguments.json {
            print_line(&format!(
                "policy {name}, load {}, fault {}",
                arguments.load, arguments.fault
            ));
        }
        let (report, counts) = run(&arguments, name, policy).await?;
        is_clean &= counts.is_clean();
        print_line(&report.to_string());
    }
    Ok(is_clean)
}

/// Prints one JSON line for each size of the state machines.
fn measure_sizes(arguments: &Arguments) -> std::io::Result<bool> {
    for servers in [30, 120, 600] {
        print_line(&sizes::measure_entry(servers).to_string());
    }
    for (programs, turns) in [(1_000, 10), (27_000, 10), (27_000, 40), (270_000, 10)] {
        let folder = arguments.folder.join(format!("sizes-{programs}-{turns}"));
        let _ = std::fs::remove_dir_all(&folder);
        let report =
            sizes::measure_shard(programs, turns, &folder).map_err(std::io::Error::other)?;
        print_line(&report.to_string());
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(true)
}

/// Returns the cluster for the given arguments and policy.
fn spec(arguments: &Arguments, policy: Name) -> std::io::Result<Spec> {
    let spec = match arguments.deployment.as_str() {
        "voskuilen" => Spec::voskuilen(),
        "magnolia" => Spec::magnolia(),
        other => {
            let text = format!("--deployment {other:?}; accepted: voskuilen, magnolia");
            return Err(std::io::Error::other(text));
        }
    };
    let lag_ms = if arguments.fault == "late-reports" { 2_000 } else { 200 };
    let event_loss_interval = if arguments.fault == "late-reports" { 2 } else { 0 };
    let options = [
        ("--token-us", TOKEN_US),
        ("--prefill-us", PREFILL_US),
        ("--cache-tokens", CACHE_TOKENS),
        ("--lag-ms", lag_ms),
        ("--lose-event-every", event_loss_interval),
    ];
    let engine_arguments = options
        .iter()
        .flat_map(|(option, value)| [(*option).to_owned(), value.to_string()])
        .collect();
    let instances = if arguments.instances == 0 { spec.instances } else { arguments.instances };
    let engines = if arguments.engines == 0 { spec.model.1 } else { arguments.engines };
    let model = (spec.model.0.clone(), engines);
    Ok(Spec { policy, engine_arguments, instances, model, ..spec })
}

fn profile() -> Profile {
    Profile {
        min_turns: 3,
        max_turns: 24,
        max_pause_ms: 400,
        shared_prefix_bytes: 4_096,
        max_answer_tokens: 48,
        has_children: true,
    }
}

/// Returns the time for which steps occupy a slot of an idle engine that has their history
/// cached, in seconds.
fn demand(steps: &[Step]) -> f64 {
    let mut seconds = 0.0;
    for step in steps {
        seconds += match step {
            Step::Model { content, .. } => {
                let requested =
                    content.split("[[n=").nth(1).and_then(|rest| rest.split("]]").next());
                let tokens: u64 = requested.and_then(|number| number.parse().ok()).unwrap_or(8);
                let prompt = content.len() as u64 / BYTES_PER_TOKEN;
                (tokens * TOKEN_US + prompt * PREFILL_US) as f64 / 1e6
            }
            Step::Child(program) => demand(&program.steps),
            Step::Tool { .. } | Step::Pause(_) => 0.0,
        };
    }
    seconds
}

/// Returns the number of programs per second that the engines' slots can process.
fn capacity(spec: &Spec, seed: u64) -> f64 {
    let profile = profile();
    let total: f64 = (0..SAMPLED_PROGRAMS)
        .map(|index| demand(&workload::program(&profile, seed, index, 0).steps))
        .sum();
    let slots = spec.model.1 as f64 * f64::from(spec.slots);
    slots / (total / SAMPLED_PROGRAMS as f64)
}

/// Runs one policy; returns the report and the counts of violated guarantees.
async fn run(arguments: &Arguments, name: &str, policy: Name) -> std::io::Result<(Value, Counts)> {
    let folder = arguments.folder.join(name);
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    let mut cluster = Cluster::start(spec(arguments, policy)?, &folder)?;
    let http = reqwest::Client::builder().connect_timeout(Duration::from_secs(1)).build();
    let http = http.map_err(std::io::Error::other)?;
    if !cluster.wait_ready(&http).await {
        return Err(std::io::Error::other("the instances did not become ready in time"));
    }
    if let Some(rate) = arguments.added {
        return Ok((probe::added_latency(&cluster, &http, rate).await, Counts::default()));
    }
    if arguments.failover {
        return Ok((probe::failover(&mut cluster, &http).await, Counts::default()));
    }
    if let Some(seconds) = arguments.idle {
        let time = Duration::from_secs(seconds);
        return Ok((probe::idle_costs(&cluster, &http, time).await, Counts::default()));
    }
    let latency = if arguments.deployment == "magnolia" { 1 } else { 3 };
    let context = Context::new(&cluster, http.clone(), Duration::from_millis(latency));
    let rate = arguments.load * capacity(&cluster.spec, arguments.seed);
    let cpu_ms = probe::cpu_ms(&cluster);
    let start = Instant::now();
    let mut tasks = arrivals(&context, arguments, rate);
    let staleness = Arc::new(Staleness::default());
    let sampler = staleness.clone().sample(addresses(&cluster), http.clone(), context.clone());
    let sampler = tokio::spawn(sampler);
    inject(arguments, &mut cluster).await?;
    let (mut records, mut late) = (Vec::new(), 0);
    let limit = Duration::from_secs(arguments.seconds) + FINISH_TIMEOUT;
    while let Ok(Some(result)) =
        tokio::time::timeout(limit.saturating_sub(start.elapsed()), tasks.join_next()).await
    {
        let (record, demand) = result.map_err(std::io::Error::other)?;
        late += usize::from(record.latency.as_secs_f64() > demand * LATE_FACTOR);
        records.push(record);
    }
    let unfinished = tasks.len();
    tasks.shutdown().await;
    sampler.abort();
    let cpu_ms = probe::cpu_ms(&cluster) - cpu_ms;
    let lines = ledger::read_all(&folder.join("ledgers"))?;
    let counts = check::count(&context.deployment, &records, &lines);
    let results = Results {
        records: &records,
        lines: &lines,
        counts,
        rate,
        cpu_ms,
        staleness: staleness.share(),
        late,
        unfinished,
    };
    Ok((report(arguments, name, &context, &results), counts))
}

/// Starts the programs at their arrival times; each task returns the record of its program and
/// its demand in seconds.
fn arrivals(context: &Arc<Context>, arguments: &Arguments, rate: f64) -> JoinSet<(Record, f64)> {
    let run = ledger::now_us();
    let mut tasks = JoinSet::new();
    let arrival_times = workload::arrivals(arguments.seed, rate, arguments.seconds as f64);
    for (index, arrival_time) in arrival_times.into_iter().enumerate() {
        let program = workload::program(&profile(), arguments.seed, index as u64, run);
        let context = context.clone();
        tasks.spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(arrival_time)).await;
            let demand = demand(&program.steps);
            (caller::run(context, program).await, demand)
        });
    }
    tasks
}

/// Injects the fault in the middle of the arrivals.
async fn inject(arguments: &Arguments, cluster: &mut Cluster) -> std::io::Result<()> {
    let half = Duration::from_secs(arguments.seconds) / 2;
    match arguments.fault.as_str() {
        "none" | "late-reports" => {}
        "entry-killed" => {
            tokio::time::sleep(half).await;
            let last = cluster.instances.len() - 1;
            cluster.kill_instance(last);
        }
        "server-lost" => {
            tokio::time::sleep(half).await;
            let name = format!("{}-1", cluster.spec.model.0);
            cluster.kill_server(&name);
        }
        other => {
            let accepted = "none, entry-killed, server-lost, late-reports";
            return Err(std::io::Error::other(format!("--fault {other:?}; accepted: {accepted}")));
        }
    }
    Ok(())
}

/// Returns the addresses of the engines.
fn addresses(cluster: &Cluster) -> Vec<String> {
    let servers = cluster.config.servers.values();
    servers.filter(|s| s.service == cluster.spec.model.0).map(|s| s.address.clone()).collect()
}

/// Results of a run.
struct Results<'a> {
    records: &'a [Record],
    lines: &'a [ledger::Line],
    counts: Counts,
    rate: f64,
    cpu_ms: f64,
    staleness: f64,
    late: usize,
    unfinished: usize,
}

/// Returns percentiles of durations, in milliseconds with one decimal.
fn percentiles(values: impl Iterator<Item = Duration>) -> Value {
    let mut histogram = probe::histogram();
    for value in values {
        let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
    }
    let ms = |quantile| (histogram.value_at_quantile(quantile) as f64 / 100.0).round() / 10.0;
    json!({ "p50": ms(0.5), "p95": ms(0.95), "p99": ms(0.99) })
}

fn report(arguments: &Arguments, name: &str, context: &Context, results: &Results<'_>) -> Value {
    let records = results.records;
    let outcomes = || records.iter().flat_map(Record::flatten).flat_map(|r| r.calls.values());
    let calls = outcomes().count();
    let refused = outcomes().filter(|outcome| matches!(outcome, Outcome::NotExecuted(_))).count();
    let finished = records.iter().filter(|record| record.is_finished).count();
    let late = results.late;
    let attempts = results.lines.iter().filter(|line| {
        matches!(line.event, ledger::Event::Start { .. } | ledger::Event::Execute { .. })
    });
    json!({
        "policy": name,
        "deployment": arguments.deployment,
        "load": arguments.load,
        "fault": arguments.fault,
        "seed": arguments.seed,
        "scale": SCALE,
        "programs_per_s": (results.rate * 100.0).round() / 100.0,
        "programs": records.len() + results.unfinished,
        "finished": finished,
        "latency_ms": percentiles(records.iter().filter(|r| r.is_finished).map(|r| r.latency)),
        "late_share": ratio(late + results.unfinished, records.len() + results.unfinished),
        "recomputed_share": round3(check::recomputed_share(results.lines)),
        "held_share": round3(results.staleness),
        "calls": calls,
        "refused": refused,
        "attempts_per_call": ratio(attempts.count(), calls),
        "cpu_ms_per_call": round3(results.cpu_ms / calls.max(1) as f64),
        "resends": context.resends.load(Ordering::Relaxed),
        "counts": results.counts,
    })
}

fn ratio(part: usize, total: usize) -> f64 {
    round3(part as f64 / total.max(1) as f64)
}

fn round3(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
