//! Runs the command-line tool against an instance, or stand-ins of the inspection interface,
//! inside the test process.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

use protocol::settings::{Listen, Settings, Storage};
use state::budget::Amount;
use state::control::{Config, Deployment, Weights};
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use transport::Node;

/// Longest time until the instance holds its lease and serves requests.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

async fn start(folder: &Path) -> Node {
    let free_port = || "127.0.0.1:0".to_owned();
    let deployment = Deployment {
        servers: Vec::new(),
        failure_domains: vec!["local".into()],
        labels: Default::default(),
        cap: Amount { tokens: 9, calls: 9, cost: 9 },
        weights: Weights { latency: 1, cache: 1 },
    };
    let seed =
        Config { deployments: [("demo".to_owned(), deployment)].into(), ..Config::default() };
    let mut settings = Settings {
        listen: Listen { callers: free_port(), operators: free_port(), peers: free_port() },
        storage: Some(Storage { folder: folder.join("data") }),
        seed,
        ..Settings::default()
    };
    settings.stop.keep_ms = 10;
    Node::start(settings).await.unwrap()
}

async fn run(operators: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornctl"));
    command.args(["--operators", operators]).args(arguments);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn write_ticket(folder: &Path, number: u64, servers: &str) -> String {
    let path = folder.join(format!("{number}{}.toml", servers.len()));
    let body = format!(
        "number = {number}\n[[changes]]\n[changes.deployment]\nname = \"demo\"\n\
         [changes.deployment.state]\nservers = [{servers}]\nfailure_domains = [\"local\"]\n\
         cap = {{ tokens = 1, calls = 1, cost = 1 }}\nweights = {{ latency = 1, cache = 1 }}\n"
    );
    std::fs::write(&path, body).unwrap();
    path.to_string_lossy().into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_return_output_and_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    let node = start(folder.path()).await;
    // Nothing listens on the first address, so that the tool has to try the second.
    let operators = format!("127.0.0.1:1,{}", node.operators_address());
    let start_time = Instant::now();
    while !text(&run(&operators, &["--json", "deployment", "list"]).await).contains("demo") {
        assert!(start_time.elapsed() < READY_TIMEOUT, "the instance is not ready");
    }
    let ticket_file = write_ticket(folder.path(), 7, "");
    let applied = run(&operators, &["ticket", "apply", &ticket_file, "--wait", "5000"]).await;
    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied));
    assert!(text(&applied).contains("yes"), "{}", text(&applied));

    let cases: [(&[&str], i32, &str); 7] = [
        (&["status"], 0, "local"),
        (&["ticket", "show", "7"], 0, "deployment demo"),
        (&["ticket", "show", "8"], 1, "NotFound"),
        (&["quarantine", "lift", "xyz"], 1, "hexadecimal"),
        (&["program", "show", "nothing"], 2, "DEPLOYMENT/PROGRAM"),
        (&["ticket", "apply", "no-such-file"], 2, "no-such-file"),
        (&["dump", "nowhere"], 1, "known"),
    ];
    for (arguments, code, expected_text) in cases {
        let output = run(&operators, arguments).await;
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", text(&output));
        assert!(text(&output).contains(expected_text), "{arguments:?}: {}", text(&output));
    }
    for (number, servers, kind) in [(6, "", "Stale"), (9, "\"ghost\"", "Invalid")] {
        let file = write_ticket(folder.path(), number, servers);
        let output = run(&operators, &["ticket", "apply", &file]).await;
        assert_eq!(output.status.code(), Some(1), "{}", text(&output));
        assert!(text(&output).contains(kind), "{}", text(&output));
    }
    let unreachable = run("127.0.0.1:1", &["status"]).await;
    assert_eq!(unreachable.status.code(), Some(3), "{}", text(&unreachable));
    node.stop().await;
}

/// Serves the inspection interface of one process with a fixed dump and the records of one
/// request, and returns its address.
async fn serve_inspection(dump: serde_json::Value, records: serde_json::Value) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            let count = stream.read(&mut request).await.unwrap();
            let request = String::from_utf8_lossy(&request[..count]).into_owned();
            let body = match request.split(' ').nth(1).unwrap() {
                "/dump" => dump.to_string(),
                "/requests/r7" => records.to_string(),
                _ => "[]".to_owned(),
            };
            let response =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn members_and_request_records_come_from_responding_processes() {
    let control = serve_inspection(
        serde_json::json!({
            "name": "control-1", "role": "Control", "configuration": 41, "revision": 9,
            "replica": { "leads": true, "votes": true, "term": 3, "commit": 77 },
            "instances": [{ "name": "entry-5", "role": "Entry", "failure_domain": "b",
                            "is_ready": true, "leads": false, "age_ms": 120,
                            "build": "0.2.0", "format": 3 }],
        }),
        serde_json::json!([]),
    )
    .await;
    let entry = serve_inspection(
        serde_json::json!({ "name": "entry-5", "role": "Entry", "instances": [] }),
        serde_json::json!([{ "id": "r7", "route": "turns", "status": 503, "outcome": "Overloaded" }]),
    )
    .await;
    let all = format!("127.0.0.1:1,{entry},{control}");
    let cases: [(&str, &[&str], i32, &[&str]); 6] = [
        (&all, &["member", "status"], 0, &["control-1", "41", "77", "entry-5"]),
        (&all, &["member", "list"], 0, &["entry-5", "120", "yes", "0.2.0", "FORMAT"]),
        (&entry, &["member", "list"], 2, &["no control instance"]),
        (&all, &["request", "show", "r7"], 0, &["turns", "503", "Overloaded"]),
        (&all, &["request", "show", "r8"], 2, &["r8", "logs"]),
        ("127.0.0.1:1", &["member", "status"], 3, &["no instance answered"]),
    ];
    for (operators, arguments, code, expected_texts) in cases {
        let output = run(operators, arguments).await;
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", text(&output));
        for expected_text in expected_texts {
            assert!(
                text(&output).contains(expected_text),
                "{arguments:?}, {expected_text}: {}",
                text(&output)
            );
        }
    }
}
