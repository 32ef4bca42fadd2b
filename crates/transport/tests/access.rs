//! Tokens, deployments and limits.

use crate::util::{Bed, ask, open};

async fn guarded() -> Bed {
    Bed::start(|settings, folder| {
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
async fn tokens_are_required_and_tell_the_deployment() {
    let bed = guarded().await;
    for token in [None, Some("wrong"), Some("m-toke"), Some("op")] {
        let (status, body) = bed.open("p", token).await;
        assert_eq!((status, body["error"].as_str()), (401, Some("unauthorized")), "{token:?}");
    }
    // The token belongs to another deployment than the one that the header names.
    assert_eq!(bed.open("p", Some("o-token")).await.0, 401);
    assert_eq!(bed.open("p", Some("m-token")).await.0, 200);
    for token in [None, Some("m-token")] {
        assert_eq!(bed.operate("GET", "/v1/status", None, token).await.0, 401);
        assert_eq!(bed.operate("GET", "/metrics", None, token).await.0, 401);
        assert_eq!(bed.operate("GET", "/dump", None, token).await.0, 401);
    }
    assert_eq!(bed.operate("GET", "/health", None, None).await.0, 200);
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_cannot_see_anothers_programs() {
    let bed = guarded().await;
    bed.open("p", Some("m-token")).await;
    let calls = "/v1/programs/p/calls";
    bed.call("POST", calls, Some(ask(1, "hi")), Some("m-token")).await;
    let url = |path: &str| format!("http://{}{path}", bed.node.callers_address());
    for path in ["/v1/programs/p/calls/1"] {
        let answer = bed.http.get(url(path)).bearer_auth("o-token").send().await.unwrap();
        assert_eq!(answer.status(), 404);
    }
    let answer =
        bed.http.delete(url("/v1/programs/p")).bearer_auth("o-token").send().await.unwrap();
    assert_eq!(answer.status(), 404);
    assert_eq!(bed.call("GET", &format!("{calls}/1"), None, Some("m-token")).await.0, 200);
    bed.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_floods_harms_only_itself() {
    let bed = Bed::start(|settings, _| {
        settings.limits.requests_per_second = 0.001;
        settings.limits.request_burst = 5.0;
    })
    .await;
    let mut statuses = Vec::new();
    for at in 0..8 {
        statuses.push(bed.open(&format!("p{at}"), None).await.0);
    }
    assert_eq!(statuses, [200, 200, 200, 200, 200, 429, 429, 429]);
    let url = format!("http://{}/v1/programs", bed.node.callers_address());
    let request = bed.http.post(url).header("x-deployment", "other").json(&open("q"));
    assert_eq!(request.send().await.unwrap().status(), 200);
    bed.node.stop().await;
}
