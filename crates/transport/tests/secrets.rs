//! Test that the content of calls appears in no log, dump or metric.

use crate::util::{Fixture, call_body};
use serde_json::json;
use std::io::Write;
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

const SECRET: &str = "planted-secret-4711";

/// Log writer that keeps the output in memory.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Captured {
    type Writer = Captured;

    fn make_writer(&'a self) -> Captured {
        self.clone()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn call_content_appears_in_no_log_dump_or_metric() {
    let captured = Captured::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_max_level(tracing_subscriber::filter::LevelFilter::TRACE)
        .with_writer(captured.clone());
    subscriber.init();
    let fixture = Fixture::start(|_, _| {}).await;
    fixture.open("p", None).await;
    let calls = "/v1/programs/p/calls";
    fixture.call("POST", calls, Some(call_body(1, SECRET)), None).await;
    let tool = json!({ "seq": 2, "service": "till", "arguments": { "op": SECRET } });
    let (_, answer) = fixture.call("POST", calls, Some(tool), None).await;
    assert!(answer.to_string().contains(SECRET), "the tool did not echo the content: {answer}");
    let forbidden = json!({ "seq": 3, "service": SECRET, "arguments": {} });
    fixture.call("POST", calls, Some(forbidden), None).await;
    for path in ["/dump", "/metrics", "/v1/status", "/v1/programs"] {
        let (status, text) = fixture.operate("GET", path, None, None).await;
        assert_eq!(status, 200, "{path}");
        assert!(!text.to_string().contains(SECRET), "{path} shows the secret");
    }
    fixture.node.stop().await;
    let text = String::from_utf8(captured.0.lock().unwrap().clone()).unwrap();
    let log_lines = text.lines().filter(|line| line.contains("\"target\":\"transport"));
    let log_lines: Vec<&str> = log_lines.collect();
    assert!(log_lines.iter().any(|line| line.contains("dispatch")), "the log has no dispatch");
    assert!(
        log_lines.iter().any(|line| line.contains("call answered")),
        "the log has no answered call"
    );
    let leaked_line = log_lines.iter().find(|line| line.contains(SECRET));
    assert_eq!(leaked_line, None);
}
