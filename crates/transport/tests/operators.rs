//! The operators' interface.

use crate::util::{Bed, ask};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_is_in_force_when_the_wait_ends_and_forbids_at_once() {
    let bed = Bed::start(|_, _| {}).await;
    bed.open("p", None).await;
    let (_, config) = bed.operate("GET", "/v1/config", None, None).await;
    let mut rules = config["deployments"]["mine"].clone();
    rules["servers"] = json!(["tool"]);
    let ticket =
        json!({ "number": 4, "changes": [{ "deployment": { "name": "mine", "state": rules } }] });
    let path = "/v1/tickets?wait_ms=4000";
    let (status, body) = bed.operate("POST", path, Some(ticket.clone()), None).await;
    assert_eq!((status, &body["in_force"]), (200, &json!(true)), "{body}");
    let (_, again) = bed.operate("POST", path, Some(ticket.clone()), None).await;
    assert_eq!(again, body);
    let (status, _) = bed.call("POST", "/v1/programs/p/calls", Some(ask(1, "hi")), None).await;
    assert_eq!(status, 403);
    let mut stale = ticket.clone();
    stale["number"] = json!(3);
    let (status, body) = bed.operate("POST", path, Some(stale), None).await;
    assert_eq!((status, body["error"].as_str()), (409, Some("stale")));
    let (status, body) = bed.operate("POST", path, Some(json!({ "number": 9 })), None).await;
    assert_eq!((status, body["error"].as_str()), (400, Some("malformed")));
    assert_eq!(bed.operate("GET", "/v1/tickets/4", None, None).await.0, 200);
    assert_eq!(bed.operate("GET", "/v1/tickets/5", None, None).await.0, 404);
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_after_the_end_and_metrics_tell() {
    let bed = Bed::start(|_, _| {}).await;
    bed.open("p", None).await;
    bed.call("POST", "/v1/programs/p/calls", Some(ask(1, "hi")), None).await;
    let (_, rows) = bed.operate("GET", "/v1/programs/mine/p", None, None).await;
    assert_eq!(rows[0]["held"], json!(["engine"]));
    bed.call("DELETE", "/v1/programs/p", None, None).await;
    let released = async {
        loop {
            let (_, rows) = bed.operate("GET", "/v1/programs/mine/p", None, None).await;
            if rows[0]["held"] == json!([]) {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let limit = std::time::Duration::from_secs(10);
    tokio::time::timeout(limit, released).await.expect("the memory is still held");
    let (_, text) = bed.operate("GET", "/metrics", None, None).await;
    for name in ["releases_total 1", "answers_total 1", "journal_commit{group=\"0\"}"] {
        assert!(text.as_str().unwrap().contains(name), "{name} is not in\n{text}");
    }
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dump_is_given_under_load_and_by_section() {
    let bed = Bed::start(|_, _| {}).await;
    bed.open("p", None).await;
    let call = ask(1, "long [[n=20]]");
    let running = bed.call("POST", "/v1/programs/p/calls", Some(call), None);
    let dumping = async {
        let (status, dump) = bed.operate("GET", "/dump", None, None).await;
        assert_eq!(status, 200);
        for section in ["summary", "entry", "control", "journals", "leases"] {
            assert!(!dump[section].is_null(), "{section} is missing in {dump}");
        }
    };
    let ((status, _), ()) = tokio::join!(running, dumping);
    assert_eq!(status, 200);
    let (_, section) = bed.operate("GET", "/v1/dump/local?section=journals", None, None).await;
    assert_eq!(section.as_array().map(Vec::len), Some(3));
    assert_eq!(bed.operate("GET", "/v1/dump/nowhere", None, None).await.0, 503);
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_with_the_old_folder_keeps_everything() {
    let keep = tempfile::tempdir().unwrap();
    let data = keep.path().join("kept");
    let first =
        Bed::start(|settings, _| settings.storage.as_mut().unwrap().folder = data.clone()).await;
    first.open("p", None).await;
    let calls = "/v1/programs/p/calls";
    let (_, before) = first.call("POST", calls, Some(ask(1, "hi")), None).await;
    first.node.stop().await;
    drop(first.http);
    let second =
        Bed::start(|settings, _| settings.storage.as_mut().unwrap().folder = data.clone()).await;
    let (_, after) = second.call("GET", &format!("{calls}/1"), None, None).await;
    assert_eq!(after, before);
    second.node.stop().await;
}
