//! Tests of bearer tokens, the separation of deployments, and request rate limits.

use crate::util::{Fixture, call_body, open_body};

async fn fixture_with_tokens() -> Fixture {
    Fixture::start(|settings, folder| {
        let write = |name: &str, text: &str| {
            let path = folder.join(name);
            std::fs::write(&path, text).unwrap();
            Some(path)
        };
        settings.access.operator_token_file = write("operators", "# operators\nop\n");
        settings.access.caller_token_file = write("callers", "mine m-token\nother o-token\n");
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_are_required_and_identify_the_deployment() {
    let fixture = fixture_with_tokens().await;
    for token in [None, Some("wrong"), Some("m-toke"), Some("op")] {
        let (status, body) = fixture.open("p", token).await;
        assert_eq!((status, body["error"].as_str()), (401, Some("unauthorized")), "{token:?}");
    }
    // The token belongs to a different deployment than the header names.
    assert_eq!(fixture.open("p", Some("o-token")).await.0, 401);
    assert_eq!(fixture.open("p", Some("m-token")).await.0, 200);
    for token in [None, Some("m-token")] {
        assert_eq!(fixture.operate("GET", "/v1/status", None, token).await.0, 401);
        assert_eq!(fixture.operate("GET", "/metrics", None, token).await.0, 401);
        assert_eq!(fixture.operate("GET", "/dump", None, token).await.0, 401);
    }
    assert_eq!(fixture.operate("GET", "/health", None, None).await.0, 200);
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_cannot_see_anothers_programs() {
    let fixture = fixture_with_tokens().await;
    fixture.open("p", Some("m-token")).await;
    let calls = "/v1/programs/p/calls";
    fixture.call("POST", calls, Some(call_body(1, "hi")), Some("m-token")).await;
    let url = |path: &str| format!("http://{}{path}", fixture.node.callers_address());
    for path in ["/v1/programs/p/calls/1"] {
        let response = fixture.http.get(url(path)).bearer_auth("o-token").send().await.unwrap();
        assert_eq!(response.status(), 404);
    }
    let response =
        fixture.http.delete(url("/v1/programs/p")).bearer_auth("o-token").send().await.unwrap();
    assert_eq!(response.status(), 404);
    assert_eq!(fixture.call("GET", &format!("{calls}/1"), None, Some("m-token")).await.0, 200);
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limited_deployment_does_not_affect_others() {
    let fixture = Fixture::start(|settings, _| {
        settings.limits.requests_per_second = 0.001;
        settings.limits.request_burst = 5.0;
    })
    .await;
    let mut statuses = Vec::new();
    for index in 0..8 {
        statuses.push(fixture.open(&format!("p{index}"), None).await.0);
    }
    assert_eq!(statuses, [200, 200, 200, 200, 200, 429, 429, 429]);
    let url = format!("http://{}/v1/programs", fixture.node.callers_address());
    let request = fixture.http.post(url).header("x-deployment", "other").json(&open_body("q"));
    assert_eq!(request.send().await.unwrap().status(), 200);
    fixture.node.stop().await;
}
