//! A later desired state takes away the key of the only tenant: its list of tenants is empty.

use crate::stand::{Deployment, Record, has_trouble, request};
use std::thread;
use std::time::Duration;

/// `RevokeMs` of the settings, as in the first deployment that has tenants.
const REVOKE_MS: u64 = 5_000;

const BOUNDS: &str = "RevokeStrict = true\nRevokeMs = 5000\n";

const DEADLINE_MS: u64 = 2_000;

/// Number of requests with each key, by turns at both fronts.
const REQUESTS: usize = 10;

fn config(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r","Host":"shop.example","PathPrefix":"/o/",
"Kind":"unsafe","TimeoutMs":2000,"TargetLatencyMs":200,"Priority":0,"Service":"app","MaxAttempts":1}}],
"Services":[{{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":{tenants}}}"#
    )
}

/// Sends requests with a key; returns their ids.
fn send(deployment: &Deployment, key: &str) -> Vec<String> {
    let fronts = deployment.fronts();
    let send_one = |number: usize| {
        let (id, node) = (deployment.id(), fronts[number % fronts.len()]);
        deployment.record.line(&format!("request {id} with key {key} is sent to {}", node.name));
        let header = format!("X-Credential: {key}\r\n");
        let wait = Duration::from_millis(DEADLINE_MS + 500);
        match request(node, &id, "/o/x", DEADLINE_MS, &header, wait) {
            Ok(answer) => deployment.record.line(&format!("request {id}: {}", answer.status)),
            Err(error) => deployment.record.line(&format!("request {id}: {error}")),
        }
        id
    };
    (0..REQUESTS).map(send_one).collect()
}

/// Time for which a runner works on a request.
const WORK: Duration = Duration::from_millis(20);

/// Runs the case; returns whether a rule was broken.
pub fn run(record: Record) -> bool {
    let both = r#"[{"Name":"t1","ApiKeys":["key-1"]}]"#;
    let deployment = Deployment::start(record.clone(), BOUNDS, WORK, &config(1, both));
    let before = send(&deployment, "key-1");
    // Without the disruption, the tenant stays, and only its key is taken away.
    let after = if has_trouble() { "[]" } else { r#"[{"Name":"t1","ApiKeys":[]}]"# };
    assert!(deployment.put(&config(2, after)), "the second desired state was not acknowledged");
    thread::sleep(Duration::from_millis(REVOKE_MS + 500));
    let revoked = send(&deployment, "key-1");
    let unknown = send(&deployment, "key-never-held");
    let runs = deployment.runs.all();
    let ran = |ids: &[String]| runs.iter().filter(|run| ids.contains(&run.id)).count();
    let with_key = runs.iter().filter(|run| run.headers.contains_key("x-credential")).count();
    let summary = format!(
        "run: {} of {REQUESTS} before; sent {} ms after the ack that took the key away: {} of {REQUESTS}; with a key \
         that no desired state ever held: {} of {REQUESTS}; keys passed on to runners: {with_key}",
        ran(&before),
        REVOKE_MS + 500,
        ran(&revoked),
        ran(&unknown),
    );
    record.line(&summary);
    println!("{summary}");
    assert!(ran(&before) > 0, "no request ran before");
    ran(&revoked) + ran(&unknown) + with_key > 0
}
