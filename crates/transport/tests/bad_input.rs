//! Tests that invalid input is refused with the right kind and `ran` value, and leaves no state.

use crate::util::{Fixture, call_body, open_body};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Returns the status, the error kind and the `ran` value of a response.
fn refusal(response: &(u16, Value)) -> (u16, &str, &str) {
    let text = |key: &str| response.1[key].as_str().unwrap_or_default();
    (response.0, text("error"), text("ran"))
}

async fn fixture_with_small_limits() -> Fixture {
    Fixture::start(|settings, _| {
        settings.limits.body_bytes = 2_048;
        settings.limits.body_ms = 150;
        settings.entry.early_wait_ms = 100;
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn each_invalid_request_is_refused_with_its_kind() {
    let fixture = fixture_with_small_limits().await;
    assert_eq!(fixture.open("p", None).await.0, 200);
    let post = async |path: &str, body| fixture.call("POST", path, Some(body), None).await;
    let calls = "/v1/programs/p/calls";

    let unknown_key = json!({ "seq": 1, "service": "model", "colour": "red" });
    assert_eq!(refusal(&post(calls, unknown_key).await), (400, "malformed", "no"));
    let both = json!({ "seq": 1, "service": "model", "messages": [], "arguments": {} });
    assert_eq!(refusal(&post(calls, both).await), (400, "malformed", "no"));
    let large = call_body(1, &"x".repeat(4_000));
    assert_eq!(refusal(&post(calls, large).await), (413, "too_large", "no"));
    let unopened = post("/v1/programs/nobody/calls", call_body(1, "hi")).await;
    assert_eq!(refusal(&unopened), (404, "unknown_program", "no"));
    assert_eq!(refusal(&post(calls, call_body(7, "early")).await), (409, "out_of_order", "no"));
    assert_eq!(refusal(&post(calls, call_body(0, "zero")).await), (409, "out_of_order", "no"));
    let answer = fixture.call("GET", "/v1/programs/p/calls/1", None, None).await;
    assert_eq!(refusal(&answer), (404, "unknown_call", "no"));
    let answer = fixture.call("GET", "/v1/programs/p/calls/one", None, None).await;
    assert_eq!(refusal(&answer), (400, "malformed", "no"));
    assert_eq!(refusal(&post("/v1/programs", open_body("a..b")).await), (400, "malformed", "no"));
    assert_eq!(refusal(&post("/v1/programs", open_body("a/b")).await), (400, "malformed", "no"));
    let other = json!({ "program": "p", "budget": { "tokens": 1, "calls": 1, "cost": 1 }, "deadline_ms": 1 });
    assert_eq!(refusal(&post("/v1/programs", other).await), (409, "conflict", "no"));

    // None of the refused requests consumed the first sequence number.
    let (status, body) = post(calls, call_body(1, "hello [[n=3]]")).await;
    assert_eq!((status, body["ran"].as_str()), (200, Some("yes")), "{body}");
    let repeated = post(calls, call_body(1, "other")).await;
    assert_eq!(refusal(&repeated), (409, "conflict", "no"));
    let unknown = json!({ "seq": 2, "service": "nothing", "arguments": {} });
    assert_eq!(refusal(&post(calls, unknown).await), (404, "unknown_service", "no"));
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_or_slow_body_leaves_no_call() {
    let fixture = fixture_with_small_limits().await;
    fixture.open("p", None).await;
    let head = "POST /v1/programs/p/calls HTTP/1.1\r\nhost: x\r\nx-deployment: mine\r\n\
                content-length: 500\r\n\r\n{\"seq\":1";
    let mut truncated = TcpStream::connect(fixture.node.callers_address()).await.unwrap();
    truncated.write_all(head.as_bytes()).await.unwrap();
    drop(truncated);
    let mut slow = TcpStream::connect(fixture.node.callers_address()).await.unwrap();
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut buffer = vec![0; 1_024];
    let read = tokio::time::timeout(Duration::from_secs(5), slow.read(&mut buffer)).await;
    let text = String::from_utf8_lossy(&buffer[..read.unwrap().unwrap()]).into_owned();
    assert!(text.contains("408") && text.contains("slow_sender"), "{text}");

    let (_, dump) = fixture.operate("GET", "/dump?section=entry", None, None).await;
    assert_eq!(dump["calls"], json!([]), "{dump}");
    let (status, _) =
        fixture.call("POST", "/v1/programs/p/calls", Some(call_body(1, "whole")), None).await;
    assert_eq!(status, 200);
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn placement_and_budget_refusals_report_no_execution() {
    let fixture = fixture_with_small_limits().await;
    let mut open_request = open_body("p");
    open_request["labels"] = json!(["abroad"]);
    fixture.call("POST", "/v1/programs", Some(open_request), None).await;
    let calls = "/v1/programs/p/calls";
    let first = fixture.call("POST", calls, Some(call_body(1, "hi")), None).await;
    assert_eq!(refusal(&first), (403, "placement_forbidden", "no"));
    let again = fixture.call("POST", calls, Some(call_body(1, "hi")), None).await;
    assert_eq!(refusal(&again), (403, "placement_forbidden", "no"));
    let mut open_request = open_body("poor");
    open_request["budget"] = json!({ "tokens": 10, "calls": 1, "cost": 0 });
    fixture.call("POST", "/v1/programs", Some(open_request), None).await;
    let refused =
        fixture.call("POST", "/v1/programs/poor/calls", Some(call_body(1, "hi")), None).await;
    assert_eq!(refusal(&refused), (402, "budget_exhausted", "no"));
    fixture.node.stop().await;
}

/// Guards against a program that is opened with a label for which its deployment has no rule.
#[tokio::test(flavor = "multi_thread")]
async fn program_with_an_unknown_label_is_opened() {
    let fixture = Fixture::start(|_, _| {}).await;
    let mut open = open_body("p");
    open["labels"] = json!(["abroad", "abraod"]);
    let refused = fixture.call("POST", "/v1/programs", Some(open.clone()), None).await;
    assert_eq!(refusal(&refused), (403, "placement_forbidden", "no"));
    open["labels"] = json!(["abroad"]);
    assert_eq!(fixture.call("POST", "/v1/programs", Some(open), None).await.0, 200);
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_beyond_max_tokens_is_truncated() {
    let fixture = fixture_with_small_limits().await;
    fixture.open("p", None).await;
    let text = "long [[overshoot]] [[n=400]]";
    let (status, body) =
        fixture.call("POST", "/v1/programs/p/calls", Some(call_body(1, text)), None).await;
    assert_eq!(status, 200, "{body}");
    let words = body["content"].as_str().unwrap().split_whitespace().count();
    assert_eq!(words, 20, "{body}");
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_matches_the_recorded_one() {
    let fixture = fixture_with_small_limits().await;
    fixture.open("p", None).await;
    let mut call = call_body(1, "hello [[n=5]]");
    call["stream"] = json!(true);
    let (status, text) = fixture.call("POST", "/v1/programs/p/calls", Some(call), None).await;
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
    let (_, fetched) = fixture.call("GET", "/v1/programs/p/calls/1", None, None).await;
    assert_eq!(fetched["content"].as_str(), Some(chunks.as_str()));
    fixture.node.stop().await;
}
