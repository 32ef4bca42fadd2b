//! Tests of the operators' interface: tickets, releases, metrics, dumps and restarts.

use crate::util::{Fixture, call_body};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_is_enforced_once_the_wait_ends() {
    let fixture = Fixture::start(|_, _| {}).await;
    fixture.open("p", None).await;
    let (_, config) = fixture.operate("GET", "/v1/config", None, None).await;
    let mut rules = config["deployments"]["mine"].clone();
    rules["servers"] = json!(["tool"]);
    let ticket =
        json!({ "number": 4, "changes": [{ "deployment": { "name": "mine", "state": rules } }] });
    let path = "/v1/tickets?wait_ms=4000";
    let (status, body) = fixture.operate("POST", path, Some(ticket.clone()), None).await;
    assert_eq!((status, &body["in_force"]), (200, &json!(true)), "{body}");
    let (_, again) = fixture.operate("POST", path, Some(ticket.clone()), None).await;
    assert_eq!(again, body);
    let (status, _) =
        fixture.call("POST", "/v1/programs/p/calls", Some(call_body(1, "hi")), None).await;
    assert_eq!(status, 403);
    let mut stale = ticket.clone();
    stale["number"] = json!(3);
    let (status, body) = fixture.operate("POST", path, Some(stale), None).await;
    assert_eq!((status, body["error"].as_str()), (409, Some("stale")));
    let (status, body) = fixture.operate("POST", path, Some(json!({ "number": 9 })), None).await;
    assert_eq!((status, body["error"].as_str()), (400, Some("malformed")));
    assert_eq!(fixture.operate("GET", "/v1/tickets/4", None, None).await.0, 200);
    assert_eq!(fixture.operate("GET", "/v1/tickets/5", None, None).await.0, 404);
    fixture.node.stop().await;
}

/// Guards against a ticket that removes an object because its new state was left out.
#[tokio::test(flavor = "multi_thread")]
async fn change_without_a_state_removes_its_object() {
    let fixture = Fixture::start(|_, _| {}).await;
    let path = "/v1/tickets?wait_ms=4000";
    let without = json!({ "number": 4, "changes": [{ "deployment": { "name": "mine" } }] });
    let (status, body) = fixture.operate("POST", path, Some(without), None).await;
    assert_eq!((status, body["error"].as_str()), (400, Some("malformed")), "{body}");
    let (_, config) = fixture.operate("GET", "/v1/config", None, None).await;
    assert!(config["deployments"]["mine"].is_object());
    let removal =
        json!({ "number": 4, "changes": [{ "deployment": { "name": "mine", "state": null } }] });
    let (status, body) = fixture.operate("POST", path, Some(removal), None).await;
    assert_eq!(status, 200, "{body}");
    let (_, config) = fixture.operate("GET", "/v1/config", None, None).await;
    assert!(config["deployments"]["mine"].is_null());
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_after_a_program_ends_and_counted() {
    let fixture = Fixture::start(|_, _| {}).await;
    fixture.open("p", None).await;
    fixture.call("POST", "/v1/programs/p/calls", Some(call_body(1, "hi")), None).await;
    let (_, rows) = fixture.operate("GET", "/v1/programs/mine/p", None, None).await;
    assert_eq!(rows[0]["held"], json!(["engine"]));
    fixture.call("DELETE", "/v1/programs/p", None, None).await;
    let released = async {
        loop {
            let (_, rows) = fixture.operate("GET", "/v1/programs/mine/p", None, None).await;
            if rows[0]["held"] == json!([]) {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let timeout = std::time::Duration::from_secs(10);
    tokio::time::timeout(timeout, released).await.expect("the memory was not released within 10 s");
    let (_, text) = fixture.operate("GET", "/metrics", None, None).await;
    for name in ["releases_total 1", "answers_total 1", "journal_commit{group=\"0\"}"] {
        assert!(text.as_str().unwrap().contains(name), "{name} is not in\n{text}");
    }
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dumps_are_served_under_load_and_by_section() {
    let fixture = Fixture::start(|_, _| {}).await;
    fixture.open("p", None).await;
    let call = call_body(1, "long [[n=20]]");
    let running = fixture.call("POST", "/v1/programs/p/calls", Some(call), None);
    let dumping = async {
        let (status, dump) = fixture.operate("GET", "/dump", None, None).await;
        assert_eq!(status, 200);
        for section in ["summary", "entry", "control", "journals", "leases"] {
            assert!(!dump[section].is_null(), "{section} is missing in {dump}");
        }
    };
    let ((status, _), ()) = tokio::join!(running, dumping);
    assert_eq!(status, 200);
    let (_, section) = fixture.operate("GET", "/v1/dump/local?section=journals", None, None).await;
    assert_eq!(section.as_array().map(Vec::len), Some(3));
    assert_eq!(fixture.operate("GET", "/v1/dump/nowhere", None, None).await.0, 503);
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_with_the_same_folder_keeps_recorded_answers() {
    let folder = tempfile::tempdir().unwrap();
    let data = folder.path().join("kept");
    let first =
        Fixture::start(|settings, _| settings.storage.as_mut().unwrap().folder = data.clone())
            .await;
    first.open("p", None).await;
    let calls = "/v1/programs/p/calls";
    let (_, before) = first.call("POST", calls, Some(call_body(1, "hi")), None).await;
    first.node.stop().await;
    drop(first.http);
    let second =
        Fixture::start(|settings, _| settings.storage.as_mut().unwrap().folder = data.clone())
            .await;
    let (_, after) = second.call("GET", &format!("{calls}/1"), None, None).await;
    assert_eq!(after, before);
    second.node.stop().await;
}
