//! The whole path, at Voskuilen's size, with losses in the middle.

use argh::FromArgs;
use serde_json::{Value, json};
use standins::caller::{self, Crowd, Outcome, Record};
use standins::check::{self, Counts};
use standins::cluster::{self, Cluster, Plan};
use standins::ledger;
use standins::program::{self, say};
use standins::workload::{self, Shape};
use state::control::{Change, Ticket};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time for ended programs' memory to be released.
const RELEASE_TIME: Duration = Duration::from_secs(15);

/// Latency one way between callers and instances.
const LATENCY: Duration = Duration::from_millis(3);

/// Programs that must finish, in percent.
const FINISHED_PERCENT: usize = 95;

/// Share of the programs after which each event of the run comes, in percent.
const KILL_ENTRY_AT: u64 = 15;
const KILL_LEADER_AT: u64 = 30;
const TICKET_AT: u64 = 50;
const STOP_AT: u64 = 65;

/// Runs programs on eight instances while some of them are lost.
#[derive(FromArgs)]
struct Arguments {
    /// seed of the programs
    #[argh(option, default = "1")]
    seed: u64,
    /// number of programs
    #[argh(option, default = "200")]
    programs: u64,
    /// folder of the run; deleted at the start
    #[argh(option, default = "PathBuf::from(\"target/quickstart\")")]
    folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    program::run("quickstart", run(arguments))
}

async fn run(arguments: Arguments) -> std::io::Result<bool> {
    // The time of the build does not count.
    cluster::build()?;
    let start = Instant::now();
    prepare(&arguments.folder)?;
    let mut cluster = Cluster::start(Plan::voskuilen(), &arguments.folder)?;
    let http = reqwest::Client::builder()
        .connect_timeout(Duration::from_secs(1))
        .build()
        .map_err(std::io::Error::other)?;
    if !cluster.wait_ready(&http).await {
        return Err(std::io::Error::other(format!(
            "the instances are not ready; see the logs in {}",
            arguments.folder.display()
        )));
    }
    say(&format!(
        "ready after {:.1} s: 8 instances, 3 disks, 30 backend servers",
        start.elapsed().as_secs_f64()
    ));
    let crowd = Crowd::new(&cluster, http.clone(), LATENCY);
    let mut players = start_programs(&crowd, &arguments);
    let events = events(&mut cluster, &crowd, &http, arguments.programs).await?;
    let mut records = Vec::new();
    while let Some(record) = players.join_next().await {
        records.push(record.map_err(std::io::Error::other)?);
    }
    say(&format!("programs done after {:.1} s", start.elapsed().as_secs_f64()));
    let counts = count(&cluster, &crowd, &http, &records).await?;
    Ok(report(&arguments, &crowd, &records, counts, &events, start))
}

fn prepare(folder: &Path) -> std::io::Result<()> {
    if folder.exists() {
        say("starting clean: the folder of an earlier run is deleted");
        std::fs::remove_dir_all(folder)?;
    }
    std::fs::create_dir_all(folder)
}

fn start_programs(crowd: &Arc<Crowd>, arguments: &Arguments) -> JoinSet<Record> {
    let shape = Shape {
        turns_least: 3,
        turns_most: 20,
        pause_ms: 120,
        prefix_bytes: 2_048,
        answer_tokens: 24,
        has_children: true,
    };
    let run = ledger::now_us();
    let mut players = JoinSet::new();
    for at in 0..arguments.programs {
        let program = workload::program(&shape, arguments.seed, at, run);
        let crowd = crowd.clone();
        let delay = Duration::from_millis(at * 100);
        players.spawn(async move {
            tokio::time::sleep(delay).await;
            caller::play(crowd, program).await
        });
    }
    players
}

/// What happened in the middle of the run.
#[derive(Default)]
struct Events {
    ticket_in_force_ms: u64,
    forbidden_server: String,
    in_force_at_us: u64,
}

async fn wait_for(crowd: &Crowd, programs: u64, percent: u64) {
    while crowd.ended.load(Ordering::Relaxed) * 100 < programs * percent {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn events(
    cluster: &mut Cluster,
    crowd: &Arc<Crowd>,
    http: &reqwest::Client,
    programs: u64,
) -> std::io::Result<Events> {
    wait_for(crowd, programs, KILL_ENTRY_AT).await;
    let entry = cluster.instances.len() - 1;
    cluster.kill_instance(entry);
    say(&format!("killed entry {}", cluster.instances[entry].name));

    wait_for(crowd, programs, KILL_LEADER_AT).await;
    if let Some(leader) = cluster.leader(http, 0).await {
        cluster.kill_instance(leader);
        say(&format!("killed journal leader {}", cluster.instances[leader].name));
    }

    wait_for(crowd, programs, TICKET_AT).await;
    let events = ticket(cluster, http).await?;

    wait_for(crowd, programs, STOP_AT).await;
    let stopping = entry - 1;
    let address = cluster.instances[stopping].callers.clone();
    *crowd.stopping.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    cluster.signal_instance(stopping, "TERM")?;
    say(&format!("planned stop of {}", cluster.instances[stopping].name));
    let since = Instant::now();
    while !cluster.has_ended(stopping) && since.elapsed() < Duration::from_secs(30) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    say(&format!("stopped after {:.1} s", since.elapsed().as_secs_f64()));
    Ok(events)
}

/// Forbids one engine by a ticket and waits until that is in force.
async fn ticket(cluster: &Cluster, http: &reqwest::Client) -> std::io::Result<Events> {
    let name = cluster.plan.deployment.clone();
    let mut deployment = cluster.seed.deployments[&name].clone();
    let forbidden = format!("{}-3", cluster.plan.model.0);
    deployment.servers.retain(|server| *server != forbidden);
    let changes = vec![Change::Deployment { name, state: Some(deployment) }];
    let ticket = Ticket { number: 1, changes };
    let sent = Instant::now();
    for instance in &cluster.instances {
        let url = format!("http://{}/v1/tickets?wait_ms=10000", instance.operators);
        let answer = http.post(url).json(&ticket).send().await;
        let Ok(answer) = answer else {
            continue;
        };
        let status: Value = answer.json().await.map_err(std::io::Error::other)?;
        let elapsed = sent.elapsed();
        if status["in_force"] == json!(true) {
            say(&format!(
                "ticket 1 forbids {forbidden}; in force after {} ms",
                elapsed.as_millis()
            ));
            return Ok(Events {
                ticket_in_force_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
                forbidden_server: forbidden,
                in_force_at_us: ledger::now_us(),
            });
        }
        say(&format!("ticket: {status}"));
    }
    Err(std::io::Error::other("the ticket did not come into force"))
}

async fn count(
    cluster: &Cluster,
    crowd: &Crowd,
    http: &reqwest::Client,
    records: &[Record],
) -> std::io::Result<Counts> {
    let lines = ledger::read_all(&cluster.folder.join("ledgers"))?;
    let mut counts = check::count(&crowd.deployment, records, &lines);
    counts.lost = caller::count_lost(crowd, records).await;
    let start = Instant::now();
    loop {
        let held = cluster.held(http).await;
        counts.held_after_end = check::held(&crowd.deployment, records, &held);
        if counts.held_after_end == 0 || start.elapsed() > RELEASE_TIME {
            return Ok(counts);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn report(
    arguments: &Arguments,
    crowd: &Crowd,
    records: &[Record],
    counts: Counts,
    events: &Events,
    start: Instant,
) -> bool {
    let all: Vec<&Record> = records.iter().flat_map(Record::all).collect();
    let outcomes = || all.iter().flat_map(|record| record.calls.values());
    let refused = outcomes().filter(|outcome| matches!(outcome, Outcome::NotRun(_))).count();
    let unknown = outcomes().filter(|o| matches!(o, Outcome::Unknown(_) | Outcome::Silent)).count();
    for record in all.iter().filter(|record| !record.is_finished) {
        let odd: Vec<_> =
            record.calls.iter().filter(|(_, o)| !matches!(o, Outcome::Answered(_))).collect();
        say(&format!("not finished: {} {odd:?}", record.name));
    }
    let finished = records.iter().filter(|record| record.is_finished).count();
    let cut = crowd.cut.load(Ordering::Relaxed);
    let ledger =
        arguments.folder.join("ledgers").join(format!("{}.ledger", events.forbidden_server));
    let forbidden =
        ledger::read(&ledger).map_or(0, |l| check::started_after(&l, events.in_force_at_us));
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
        "cut_by_stop": cut,
        "ran_though_refused": counts.ran_though_refused,
        "ran_where_forbidden": forbidden,
        "ticket_in_force_ms": events.ticket_in_force_ms,
        "resends": crowd.resends.load(Ordering::Relaxed),
        "calls": outcomes().count(),
        "wall_s": (start.elapsed().as_secs_f64() * 10.0).round() / 10.0,
    });
    say(&result.to_string());
    let is_enough = finished * 100 >= records.len() * FINISHED_PERCENT;
    counts.is_clean() && cut == 0 && forbidden == 0 && is_enough
}
