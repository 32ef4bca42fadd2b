//! Case 11: nobody reads the standard output of one front for some seconds.

use crate::stand::{Deployment, Record, has_trouble, request};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The route's `TimeoutMs`.
const TIMEOUT_MS: u64 = 2_000;

/// How long the consumers themselves would wait.
const DEADLINE_MS: u64 = 6_000;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r","Host":"shop.example","PathPrefix":"/l/",
"Kind":"safe","TimeoutMs":2000,"TargetLatencyMs":150,"Priority":0,"Service":"app","MaxAttempts":3}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Number of consumers, each with one request at a time and a pause after it: about 40 requests a second.
const CONSUMERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(175);

const CALM: Duration = Duration::from_secs(4);
const UNREAD: Duration = Duration::from_secs(12);

/// Time for which a runner works on a request.
const WORK: Duration = Duration::from_millis(20);

/// Runs the case; returns whether the rule was broken.
pub fn run(record: Record) -> bool {
    let deployment = Arc::new(Deployment::start(record.clone(), "", WORK, CONFIG));
    let is_over = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<Vec<(u64, Option<u16>)>>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|_| {
            let (deployment, is_over, ends) = (deployment.clone(), is_over.clone(), ends.clone());
            thread::spawn(move || {
                let record = &deployment.record;
                while !is_over.load(Ordering::Relaxed) {
                    let id = deployment.id();
                    let node = deployment.fronts()[0];
                    record.line(&format!("request {id} is sent to {}", node.name));
                    let sent_at = Instant::now();
                    let wait = Duration::from_millis(DEADLINE_MS);
                    let answer = request(node, &id, "/l/x", DEADLINE_MS, "", wait);
                    let ms = sent_at.elapsed().as_millis() as u64;
                    match &answer {
                        Ok(answer) => record.line(&format!("request {id}: {} after {ms} ms", answer.status)),
                        Err(error) => record.line(&format!("request {id}: {error} after {ms} ms")),
                    }
                    ends.lock().unwrap().push((ms, answer.ok().map(|answer| answer.status)));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    let front = deployment.fronts()[0];
    if has_trouble() {
        record.line(&format!("the standard output of {} is not read any more", front.name));
        front.log_paused.store(true, Ordering::Relaxed);
    }
    thread::sleep(UNREAD);
    if has_trouble() {
        record.line(&format!("the standard output of {} is read again", front.name));
        front.log_paused.store(false, Ordering::Relaxed);
    }
    is_over.store(true, Ordering::Relaxed);
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    let ends = ends.lock().unwrap();
    let answered = ends.iter().filter(|(_, status)| status.is_some()).count();
    let lasting = ends.iter().filter(|(ms, _)| *ms >= TIMEOUT_MS).count();
    let unanswered = ends.iter().filter(|(ms, _)| *ms > TIMEOUT_MS + 500).count();
    let summary = format!(
        "{} requests, {answered} answered; {lasting} unanswered at the route's TimeoutMs of {TIMEOUT_MS}, \
         {unanswered} of them half a second later",
        ends.len()
    );
    record.line(&summary);
    println!("{summary}");
    // Some requests last longer than their route's TimeoutMs: eight or more, and over a half.
    unanswered >= 8 && 2 * unanswered > lasting
}
