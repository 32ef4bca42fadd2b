//! Bad input gets its kind, whether it ran, and leaves nothing behind.

use crate::util::{Bed, ask, open};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn refusal(answer: &(u16, Value)) -> (u16, &str, &str) {
    let text = |key: &str| answer.1[key].as_str().unwrap_or_default();
    (answer.0, text("error"), text("ran"))
}

async fn small() -> Bed {
    Bed::start(|settings, _| {
        settings.limits.body_bytes = 2_048;
        settings.limits.body_ms = 150;
        settings.entry.early_wait_ms = 100;
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_bad_request_is_named() {
    let bed = small().await;
    assert_eq!(bed.open("p", None).await.0, 200);
    let post = async |path: &str, body| bed.call("POST", path, Some(body), None).await;
    let calls = "/v1/programs/p/calls";

    let unknown_key = json!({ "seq": 1, "service": "model", "colour": "red" });
    assert_eq!(refusal(&post(calls, unknown_key).await), (400, "malformed", "no"));
    let both = json!({ "seq": 1, "service": "model", "messages": [], "arguments": {} });
    assert_eq!(refusal(&post(calls, both).await), (400, "malformed", "no"));
    let large = ask(1, &"x".repeat(4_000));
    assert_eq!(refusal(&post(calls, large).await), (413, "too_large", "no"));
    let nobody = post("/v1/programs/nobody/calls", ask(1, "hi")).await;
    assert_eq!(refusal(&nobody), (404, "unknown_program", "no"));
    assert_eq!(refusal(&post(calls, ask(7, "early")).await), (409, "out_of_order", "no"));
    assert_eq!(refusal(&post(calls, ask(0, "zero")).await), (409, "out_of_order", "no"));
    let answer = bed.call("GET", "/v1/programs/p/calls/1", None, None).await;
    assert_eq!(refusal(&answer), (404, "unknown_call", "no"));
    let answer = bed.call("GET", "/v1/programs/p/calls/one", None, None).await;
    assert_eq!(refusal(&answer), (400, "malformed", "no"));
    assert_eq!(refusal(&post("/v1/programs", open("a..b")).await), (400, "malformed", "no"));
    assert_eq!(refusal(&post("/v1/programs", open("a/b")).await), (400, "malformed", "no"));
    let other = json!({ "program": "p", "budget": { "tokens": 1, "calls": 1, "cost": 1 }, "deadline_ms": 1 });
    assert_eq!(refusal(&post("/v1/programs", other).await), (409, "conflict", "no"));

    // Nothing above used the first sequence number.
    let (status, body) = post(calls, ask(1, "hello [[n=3]]")).await;
    assert_eq!((status, body["ran"].as_str()), (200, Some("yes")), "{body}");
    let repeated = post(calls, ask(1, "other")).await;
    assert_eq!(refusal(&repeated), (409, "conflict", "no"));
    let unknown = json!({ "seq": 2, "service": "nothing", "arguments": {} });
    assert_eq!(refusal(&post(calls, unknown).await), (404, "unknown_service", "no"));
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_cut_off_or_slow_leaves_nothing_behind() {
    let bed = small().await;
    bed.open("p", None).await;
    let head = "POST /v1/programs/p/calls HTTP/1.1\r\nhost: x\r\nx-deployment: mine\r\n\
                content-length: 500\r\n\r\n{\"seq\":1";
    let mut cut = TcpStream::connect(bed.node.callers_address()).await.unwrap();
    cut.write_all(head.as_bytes()).await.unwrap();
    drop(cut);
    let mut slow = TcpStream::connect(bed.node.callers_address()).await.unwrap();
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 1_024];
    let read = tokio::time::timeout(Duration::from_secs(5), slow.read(&mut answer)).await;
    let text = String::from_utf8_lossy(&answer[..read.unwrap().unwrap()]).into_owned();
    assert!(text.contains("408") && text.contains("slow_sender"), "{text}");

    let (_, dump) = bed.operate("GET", "/dump?section=entry", None, None).await;
    assert_eq!(dump["calls"], json!([]), "{dump}");
    let (status, _) = bed.call("POST", "/v1/programs/p/calls", Some(ask(1, "whole")), None).await;
    assert_eq!(status, 200);
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn placement_and_budget_refusals_are_truthful_and_recorded() {
    let bed = small().await;
    let mut abroad = open("p");
    abroad["labels"] = json!(["abroad"]);
    bed.call("POST", "/v1/programs", Some(abroad), None).await;
    let calls = "/v1/programs/p/calls";
    let first = bed.call("POST", calls, Some(ask(1, "hi")), None).await;
    assert_eq!(refusal(&first), (403, "placement_forbidden", "no"));
    let again = bed.call("POST", calls, Some(ask(1, "hi")), None).await;
    assert_eq!(refusal(&again), (403, "placement_forbidden", "no"));
    let mut poor = open("poor");
    poor["budget"] = json!({ "tokens": 10, "calls": 1, "cost": 0 });
    bed.call("POST", "/v1/programs", Some(poor), None).await;
    let refused = bed.call("POST", "/v1/programs/poor/calls", Some(ask(1, "hi")), None).await;
    assert_eq!(refusal(&refused), (402, "budget_exhausted", "no"));
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_overshoots_is_cut_at_the_limit() {
    let bed = small().await;
    bed.open("p", None).await;
    let text = "long [[overshoot]] [[n=400]]";
    let (status, body) = bed.call("POST", "/v1/programs/p/calls", Some(ask(1, text)), None).await;
    assert_eq!(status, 200, "{body}");
    let words = body["content"].as_str().unwrap().split_whitespace().count();
    assert_eq!(words, 20, "{body}");
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_ends_with_the_recorded_one() {
    let bed = small().await;
    bed.open("p", None).await;
    let mut call = ask(1, "hello [[n=5]]");
    call["stream"] = json!(true);
    let (status, text) = bed.call("POST", "/v1/programs/p/calls", Some(call), None).await;
    assert_eq!(status, 200);
    let events: Vec<Value> = text
        .as_str()
        .unwrap()
        .lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
        .collect();
    let chunks: String = events.iter().filter_map(|event| event["text"].as_str()).collect();
    let last = events.last().unwrap();
    assert_eq!(last["event"], "done");
    assert_eq!(last["content"].as_str(), Some(chunks.as_str()));
    let (_, fetched) = bed.call("GET", "/v1/programs/p/calls/1", None, None).await;
    assert_eq!(fetched["content"].as_str(), Some(chunks.as_str()));
    bed.node.stop().await;
}
