//! Case 15: a request makes the machine of each runner that runs it go away for some seconds.

use crate::stand::{CRASHING, Crash, Deployment, Record, has_trouble, request_with};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a machine is away, as `srv_crash` of the bench has it if nothing else is said.
const AWAY: Duration = Duration::from_secs(5);

/// `StableWindowMs` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

const DEADLINE_MS: u64 = 3_000;

/// Number of times that the request comes, and the time between two of them.
const TIMES: usize = 12;
const INTERVAL: Duration = Duration::from_millis(6_500);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r","Host":"shop.example","PathPrefix":"/o/",
"Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":500,"Priority":0,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time for which a runner works on a request.
const WORK: Duration = Duration::from_millis(50);

/// Runs the case; returns whether the rule was broken.
pub fn run(record: Record) -> bool {
    let crash = if has_trouble() { Crash::Away(AWAY) } else { Crash::Never };
    let deployment = Deployment::start_with(record.clone(), "", WORK, CONFIG, crash);
    let headers = "X-Program-Id: p-4711\r\nX-Session-Id: s-4711\r\n";
    let send = |number: usize, path: &str, body: &str| {
        let (id, node) = (deployment.id(), deployment.fronts()[number % 2]);
        record.line(&format!("request {id} is sent to {}", node.name));
        let wait = Duration::from_millis(DEADLINE_MS);
        match request_with(node, &id, path, DEADLINE_MS, headers, body, wait) {
            Ok(answer) => record.line(&format!("request {id}: {}", answer.status)),
            Err(error) => record.line(&format!("request {id}: {error}")),
        }
        id
    };
    // Ordinary requests first, so that the fronts know the runners.
    (0..16).for_each(|number| drop(send(number, "/o/first", "an ordinary order")));
    let mut sent = Vec::new();
    for number in 0..TIMES {
        let sent_at = Instant::now();
        sent.push((send(number, "/o/x", CRASHING), sent_at));
        thread::sleep(INTERVAL.saturating_sub(sent_at.elapsed()));
    }
    let runs = deployment.runs.all();
    let crashes: Vec<Instant> =
        runs.iter().filter(|run| sent.iter().any(|(id, _)| *id == run.id)).map(|run| run.at).collect();
    let late = match crashes.get(2) {
        Some(third) if has_trouble() => crashes.iter().filter(|at| **at > *third + STABLE_WINDOW).count(),
        _ => 0,
    };
    let summary = format!(
        "of {TIMES} times, the request reached a runner {} times; {late} of them later than StableWindowMs ({} ms) after it \
         had crashed the third",
        crashes.len(),
        STABLE_WINDOW.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    late > 3
}
