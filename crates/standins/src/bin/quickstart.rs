//! Runs agent programs on a cluster of the size of the Voskuilen deployment.
//!
//! During the run an instance and a leader are killed, a ticket forbids an engine, and an
//! instance is stopped. The run fails if a check finds a violated guarantee.

use argh::FromArgs;
use serde_json::{Value, json};
use standins::caller::{self, Context, Outcome, Record};
use standins::check::{self, Counts};
use standins::cluster::{self, Cluster, Spec};
use standins::ledger;
use standins::program::{self, print_line};
use standins::workload::{self, Profile};
use state::control::{Change, Ticket};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time limit for engines to release the cached sessions of closed programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);

/// Simulated one-way latency between callers and instances.
const LATENCY: Duration = Duration::from_millis(3);

/// Minimum share of the programs that must finish, in percent.
const MIN_FINISHED_PERCENT: usize = 95;

/// Share of ended programs after which an instance is killed, in percent.
const KILL_INSTANCE_PERCENT: u64 = 15;
/// Share of ended programs after which the leader of group 0 is killed, in percent.
const KILL_LEADER_PERCENT: u64 = 30;
/// Share of ended programs after which the ticket is submitted, in percent.
const TICKET_PERCENT: u64 = 50;
/// Share of ended programs after which an instance is stopped, in percent.
const STOP_PERCENT: u64 = 65;

/// Runs agent programs on eight instances, some of which are killed or stopped.
#[derive(FromArgs)]
struct Arguments {
    /// seed of the programs
    #[argh(option, default = "1")]
    seed: u64,
    /// number of programs
    #[argh(option, default = "200")]
    programs: u64,
    /// folder of the run; its contents are deleted at the start
    #[argh(option, default = "PathBuf::from(\"target/quickstart\")")]
    folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    program::run("quickstart", run(arguments))
}

async fn run(arguments: Arguments) -> std::io::Result<bool> {
    // Built first, so that the reported times do not include the build.
    cluster::build_binaries()?;
    let start = Instant::now();
    prepare(&arguments.folder)?;
    let mut cluster = Cluster::start(Spec::voskuilen(), &arguments.folder)?;
    let http = reqwest::Client::builder()
        .connect_timeout(Duration::from_secs(1))
        .build()
        .map_err(std::io::Error::other)?;
    if !cluster.wait_ready(&http).await {
        return Err(std::io::Error::other(format!(
            "the instances did not become ready in time; see the logs in {}",
            arguments.folder.display()
        )));
    }
    print_line(&format!(
        "ready after {:.1} s: 8 instances, 3 disks, 30 backend servers",
        start.elapsed().as_secs_f64()
    ));
    let context = Context::new(&cluster, http.clone(), LATENCY);
    let mut tasks = start_programs(&context, &arguments);
    let events = inject_events(&mut cluster, &context, &http, arguments.programs).await?;
    let mut records = Vec::new();
    while let Some(record) = tasks.join_next().await {
        records.push(record.map_err(std::io::Error::other)?);
    }
    print_line(&format!("all programs ended after {:.1} s", start.elapsed().as_secs_f64()));
    let counts = count(&cluster, &context, &http, &records).await?;
    Ok(report(&arguments, &context, &records, counts, &events, start))
}

/// Creates an empty folder for the run.
fn prepare(folder: &Path) -> std::io::Result<()> {
    if folder.exists() {
        print_line("deleting the folder of an earlier run");
        std::fs::remove_dir_all(folder)?;
    }
    std::fs::create_dir_all(folder)
}

/// Starts one program every 100 milliseconds.
fn start_programs(context: &Arc<Context>, arguments: &Arguments) -> JoinSet<Record> {
    let profile = Profile {
        min_turns: 3,
        max_turns: 20,
        max_pause_ms: 120,
        shared_prefix_bytes: 2_048,
        max_answer_tokens: 24,
        has_children: true,
    };
    let run = ledger::now_us();
    let mut tasks = JoinSet::new();
    for index in 0..arguments.programs {
        let program = workload::program(&profile, arguments.seed, index, run);
        let context = context.clone();
        let delay = Duration::from_millis(index * 100);
        tasks.spawn(async move {
            tokio::time::sleep(delay).await;
            caller::run(context, program).await
        });
    }
    tasks
}

/// Results of the events that were injected during the run.
#[derive(Default)]
struct Events {
    ticket_in_force_ms: u64,
    forbidden_server: String,
    in_force_at_us: u64,
}

/// Waits until a share of the programs has ended.
async fn wait_for_ended(context: &Context, programs: u64, percent: u64) {
    while context.ended_programs.load(Ordering::Relaxed) * 100 < programs * percent {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Injects each event once its share of the programs has ended.
async fn inject_events(
    cluster: &mut Cluster,
    context: &Arc<Context>,
    http: &reqwest::Client,
    programs: u64,
) -> std::io::Result<Events> {
    wait_for_ended(context, programs, KILL_INSTANCE_PERCENT).await;
    let killed = cluster.instances.len() - 1;
    cluster.kill_instance(killed);
    print_line(&format!("killed instance {}", cluster.instances[killed].name));

    wait_for_ended(context, programs, KILL_LEADER_PERCENT).await;
    if let Some(leader) = cluster.leader(http, 0).await {
        cluster.kill_instance(leader);
        print_line(&format!(
            "killed {}, the leader of replica group 0",
            cluster.instances[leader].name
        ));
    }

    wait_for_ended(context, programs, TICKET_PERCENT).await;
    let events = submit_ticket(cluster, http).await?;

    wait_for_ended(context, programs, STOP_PERCENT).await;
    let stopping = killed - 1;
    let address = cluster.instances[stopping].caller_address.clone();
    *context.stopping_address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    cluster.signal_instance(stopping, "TERM")?;
    print_line(&format!("stopping instance {}", cluster.instances[stopping].name));
    let stop_started_at = Instant::now();
    while !cluster.has_exited(stopping) && stop_started_at.elapsed() < Duration::from_secs(30) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    print_line(&format!("stopped after {:.1} s", stop_started_at.elapsed().as_secs_f64()));
    Ok(events)
}

/// Submits a ticket that removes one engine from the deployment, and waits until it is in
/// force.
async fn submit_ticket(cluster: &Cluster, http: &reqwest::Client) -> std::io::Result<Events> {
    let name = cluster.spec.deployment.clone();
    let mut deployment = cluster.config.deployments[&name].clone();
    let forbidden = format!("{}-3", cluster.spec.model.0);
    deployment.servers.retain(|server| *server != forbidden);
    let changes = vec![Change::Deployment { name, state: Some(deployment) }];
    let ticket = Ticket { number: 1, changes };
    let sent = Instant::now();
    for instance in &cluster.instances {
        let url = format!("http://{}/v1/tickets?wait_ms=10000", instance.operator_address);
        let response = http.post(url).json(&ticket).send().await;
        let Ok(response) = response else {
            continue;
        };
        let status: Value = response.json().await.map_err(std::io::Error::other)?;
        let elapsed = sent.elapsed();
        if status["in_force"] == json!(true) {
            print_line(&format!(
                "ticket 1 forbids server {forbidden}; in force after {} ms",
                elapsed.as_millis()
            ));
            return Ok(Events {
                ticket_in_force_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
                forbidden_server: forbidden,
                in_force_at_us: ledger::now_us(),
            });
        }
        print_line(&format!("ticket 1 is not in force: {status}"));
    }
    Err(std::io::Error::other("no instance reported ticket 1 as in force"))
}

/// Counts the violated guarantees after the run.
async fn count(
    cluster: &Cluster,
    context: &Context,
    http: &reqwest::Client,
    records: &[Record],
) -> std::io::Result<Counts> {
    let lines = ledger::read_all(&cluster.folder.join("ledgers"))?;
    let mut counts = check::count(&context.deployment, records, &lines);
    counts.lost = caller::count_lost(context, records).await;
    let start = Instant::now();
    loop {
        let caches = cluster.cached_sessions(http).await;
        counts.held_after_end = check::count_unreleased(&context.deployment, records, &caches);
        if counts.held_after_end == 0 || start.elapsed() > RELEASE_TIMEOUT {
            return Ok(counts);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Prints the result; returns whether the run passed.
fn report(
    arguments: &Arguments,
    context: &Context,
    records: &[Record],
    counts: Counts,
    events: &Events,
    start: Instant,
) -> bool {
    let all_records: Vec<&Record> = records.iter().flat_map(Record::flatten).collect();
    let outcomes = || all_records.iter().flat_map(|record| record.calls.values());
    let refused = outcomes().filter(|outcome| matches!(outcome, Outcome::NotExecuted(_))).count();
    let unknown = outcomes()
        .filter(|outcome| matches!(outcome, Outcome::Unknown(_) | Outcome::NoResponse))
        .count();
    for record in all_records.iter().filter(|record| !record.is_finished) {
        let unanswered: Vec<_> = record
            .calls
            .iter()
            .filter(|(_, outcome)| !matches!(outcome, Outcome::Answered(_)))
            .collect();
        print_line(&format!("not finished: {} {unanswered:?}", record.name));
    }
    let finished = records.iter().filter(|record| record.is_finished).count();
    let cut_connections = context.cut_connections.load(Ordering::Relaxed);
    let ledger =
        arguments.folder.join("ledgers").join(format!("{}.ledger", events.forbidden_server));
    let forbidden = ledger::read(&ledger)
        .map_or(0, |lines| check::started_after(&lines, events.in_force_at_us));
    let result = json!({
        "seed": arguments.seed,
        "programs": records.len(),
        "finished": finished,
        "refused_not_run": refused,
        "unknown": unknown,
        "lost": counts.lost,
        "mixed": counts.mixed,
        "out_of_order": counts.out_of_order,
        "doubled": counts.doubled,
        "over_budget": counts.over_budget,
        "held_after_end": counts.held_after_end,
        "cut_by_stop": cut_connections,
        "ran_though_refused": counts.ran_though_refused,
        "ran_where_forbidden": forbidden,
        "ticket_in_force_ms": events.ticket_in_force_ms,
        "resends": context.resends.load(Ordering::Relaxed),
        "calls": outcomes().count(),
        "wall_s": (start.elapsed().as_secs_f64() * 10.0).round() / 10.0,
    });
    print_line(&result.to_string());
    let has_enough_finished = finished * 100 >= records.len() * MIN_FINISHED_PERCENT;
    counts.is_clean() && cut_connections == 0 && forbidden == 0 && has_enough_finished
}
