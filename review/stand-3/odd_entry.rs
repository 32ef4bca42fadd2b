//! Case 12: the provider's list has an entry with bytes that can't be read, and a runner leaves.

use crate::stand::{Deployment, Record, has_trouble, request};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `DrainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time for which the runner goes on to serve after that, before it ends.
const LONGER: Duration = Duration::from_millis(2_000);

const DEADLINE_MS: u64 = 2_000;

/// The runner that leaves, in the zone of one front.
const LEAVING: usize = 1;

/// Number of consumers, each with one request at a time.
const CONSUMERS: usize = 8;

/// An entry of another writer: an id of one byte that is no text, 0x01, in an otherwise complete entry.
const OTHER: &[u8] = b"{\"Id\":\"\x01\",\"Service\":\"other\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"a\",\
\"Version\":\"v1\",\"Slots\":1,\"State\":\"ready\",\"ColdLeftMs\":0}";

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r","Host":"shop.example","PathPrefix":"/o/",
"Kind":"unsafe","TimeoutMs":2000,"TargetLatencyMs":500,"Priority":0,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Time for which a runner works on a request.
const WORK: Duration = Duration::from_millis(150);

/// Runs the case; returns whether the rule was broken.
pub fn run(record: Record) -> bool {
    let deployment = Arc::new(Deployment::start(record.clone(), "", WORK, CONFIG));
    let other = has_trouble().then_some(OTHER);
    if other.is_some() {
        record.line("the list has an entry of another writer, whose id is the byte 0x01");
    }
    deployment.set_list(None, other);
    thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (deployment, is_over, failed) = (deployment.clone(), is_over.clone(), failed.clone());
            thread::spawn(move || {
                let node = deployment.fronts()[number % 2];
                while !is_over.load(Ordering::Relaxed) {
                    let id = deployment.id();
                    deployment.record.line(&format!("request {id} is sent to {}", node.name));
                    let wait = Duration::from_millis(DEADLINE_MS + 500);
                    let answer = request(node, &id, "/o/x", DEADLINE_MS, "", wait);
                    match &answer {
                        Ok(answer) => deployment.record.line(&format!("request {id}: {}", answer.status)),
                        Err(error) => deployment.record.line(&format!("request {id}: {error}")),
                    }
                    if !answer.is_ok_and(|answer| answer.status == 200) {
                        failed.lock().unwrap().push(id);
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    deployment.set_list(Some(LEAVING), other);
    let shown_at = Instant::now();
    record.line("the list shows runner i-1 as draining");
    thread::sleep(DRAIN + LONGER);
    deployment.end_runner(LEAVING);
    record.line("runner i-1 ends");
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    let runs = deployment.runs.all();
    let late: Vec<&str> = runs
        .iter()
        .filter(|run| run.runner == "i-1" && run.at.duration_since(shown_at) > DRAIN)
        .map(|run| run.id.as_str())
        .collect();
    let failed = failed.lock().unwrap();
    let lost = failed.iter().filter(|id| late.contains(&id.as_str())).count();
    let summary = format!(
        "{} requests ran; {} reached runner i-1 later than DrainMs ({} ms) after the list showed it as draining, \
         {lost} of these were run and have no answer of the runner",
        runs.len(),
        late.len(),
        DRAIN.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    assert!(runs.iter().any(|run| run.runner == "i-1"), "runner i-1 got no request before");
    !late.is_empty()
}
