//! Customer content stays out of logs, dumps and metrics.

use crate::util::{Bed, ask};
use serde_json::json;
use std::io::Write;
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

const SECRET: &str = "planted-secret-4711";

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
async fn a_planted_secret_is_nowhere_but_in_the_answer() {
    let captured = Captured::default();
    let log = tracing_subscriber::fmt()
        .json()
        .with_max_level(tracing_subscriber::filter::LevelFilter::TRACE)
        .with_writer(captured.clone());
    log.init();
    let bed = Bed::start(|_, _| {}).await;
    bed.open("p", None).await;
    let calls = "/v1/programs/p/calls";
    bed.call("POST", calls, Some(ask(1, SECRET)), None).await;
    let tool = json!({ "seq": 2, "service": "till", "arguments": { "op": SECRET } });
    let (_, answer) = bed.call("POST", calls, Some(tool), None).await;
    assert!(answer.to_string().contains(SECRET), "the tool echoes it: {answer}");
    let forbidden = json!({ "seq": 3, "service": SECRET, "arguments": {} });
    bed.call("POST", calls, Some(forbidden), None).await;
    for path in ["/dump", "/metrics", "/v1/status", "/v1/programs"] {
        let (status, text) = bed.operate("GET", path, None, None).await;
        assert_eq!(status, 200, "{path}");
        assert!(!text.to_string().contains(SECRET), "{path} shows the secret");
    }
    bed.node.stop().await;
    let text = String::from_utf8(captured.0.lock().unwrap().clone()).unwrap();
    let own = text.lines().filter(|line| line.contains("\"target\":\"transport"));
    let own: Vec<&str> = own.collect();
    assert!(own.iter().any(|line| line.contains("dispatch")), "the log has the dispatch");
    assert!(own.iter().any(|line| line.contains("call answered")), "and the answer");
    let leak = own.iter().find(|line| line.contains(SECRET));
    assert_eq!(leak, None);
}
