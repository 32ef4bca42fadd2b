//! The command `call`: runs a program with one call, to check a deployment by hand.

use crate::arguments::Call;
use crate::client::{Client, Request, read_token};
use crate::error::Error;
use protocol::api;
use reqwest::Method;
use serde_json::{Value, json};
use state::budget::Amount;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time for which the call may run; also the deadline of the program.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Opens a program, sends one call, ends the program and returns the response to the call.
///
/// The program is ended even if the call fails.
pub(crate) async fn run(operators: &Client, call: Call) -> Result<Value, Error> {
    let instances = operators.send(&Request::new(Method::GET, "/v1/instances")).await?;
    let instances = instances.as_object().into_iter().flatten();
    let live_instances = instances.filter(|(_, row)| row["standing"] == "live");
    let addresses: Vec<String> =
        live_instances.filter_map(|(_, row)| row["address"].as_str().map(str::to_owned)).collect();
    let token = read_token(call.caller_token_file.as_deref())?;
    let caller_client = Client::new(addresses, token)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let program = format!("by-hand-{}", now.as_millis());
    let deadline_ms = u64::try_from((now + CALL_TIMEOUT).as_millis()).unwrap_or(u64::MAX);
    let open = api::Open {
        program: program.clone(),
        budget: Amount { tokens: call.tokens, calls: 1, cost: 1_000 },
        deadline_ms,
        labels: Vec::new(),
    };
    let send = async |method, path: String, body: Value| {
        let body = (!body.is_null()).then_some(body);
        let deployment = Some(call.deployment.clone());
        caller_client.send(&Request { method, path, body, deployment, wait: CALL_TIMEOUT }).await
    };
    send(Method::POST, "/v1/programs".into(), json!(open)).await?;
    let body = call_body(&call)?;
    let response = send(Method::POST, format!("/v1/programs/{program}/calls"), body).await;
    send(Method::DELETE, format!("/v1/programs/{program}"), Value::Null).await?;
    response
}

/// Returns the JSON body of the call.
fn call_body(call: &Call) -> Result<Value, Error> {
    let mut body = json!({ "seq": 1, "service": call.service, "max_tokens": 256 });
    match (&call.message, &call.arguments) {
        (Some(text), None) => body["messages"] = json!([{ "role": "user", "content": text }]),
        (None, Some(text)) => {
            body["arguments"] = serde_json::from_str(text)
                .map_err(|error| Error::Usage(format!("--arguments is not valid JSON: {error}")))?;
        }
        _ => return Err(Error::Usage("pass either --message or --arguments".into())),
    }
    Ok(body)
}
