//! Tests of servers that write an earlier refusal once more on a connection that is kept.

use crate::util::Fixture;
use protocol::settings::Settings;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of calls; the first one of a connection is refused.
const CALLS: u64 = 4;

/// Pause between the repeated refusal and the answer.
const ANSWER_PAUSE: Duration = Duration::from_millis(20);

const REFUSAL: &[u8] = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Refuses the first call of a connection, and repeats that before the answers to the others.
async fn serve(mut stream: TcpStream, executions: Arc<AtomicUsize>) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    let mut has_refused = false;
    loop {
        let count = stream.read(&mut buffer).await?;
        let head = String::from_utf8_lossy(&buffer[..count]);
        if count == 0 {
            return Ok(());
        }
        if head.starts_with("GET") {
            stream.write_all(b"HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n").await?;
        } else if head.starts_with("POST") && has_refused {
            executions.fetch_add(1, Ordering::Relaxed);
            stream.write_all(REFUSAL).await?;
            tokio::time::sleep(ANSWER_PAUSE).await;
            stream.write_all(ANSWER).await?;
        } else if head.starts_with("POST") {
            has_refused = true;
            stream.write_all(REFUSAL).await?;
        }
    }
}

async fn refusing_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let executions = Arc::new(AtomicUsize::new(0));
    let counted = executions.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, counted.clone()));
        }
    });
    (address, executions)
}

#[tokio::test(flavor = "multi_thread")]
async fn call_of_a_tool_is_executed_and_refused_after_a_repeated_refusal() {
    let (address, executions) = refusing_server().await;
    let fixture = Fixture::start(|settings: &mut Settings, _| {
        settings.seed.servers.get_mut("tool").unwrap().address = address.to_string();
    })
    .await;
    assert_eq!(fixture.open("p", None).await.0, 200);
    for number in 1..=CALLS {
        let before = executions.load(Ordering::Relaxed);
        let body = json!({ "seq": number, "service": "till", "arguments": {} });
        let (status, answer) = fixture.call("POST", "/v1/programs/p/calls", Some(body), None).await;
        let executed = executions.load(Ordering::Relaxed) - before;
        assert!(executed <= 1, "call {number} was executed {executed} times: {status} {answer}");
        assert!(
            answer["ran"] != "no" || executed == 0,
            "call {number} was executed, and answered {status} {answer}"
        );
    }
}
