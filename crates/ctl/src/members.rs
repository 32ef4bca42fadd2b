//! Reads the inspection interface that instances serve beside their metrics: their state and
//! records of recent requests.

use crate::client::{Client, Request};
use crate::error::Error;
use crate::table::Column;
use reqwest::Method;
use serde_json::Value;

/// Columns of `member status`.
pub(crate) const STATUS: [Column; 9] = [
    ("INSTANCE", "name"),
    ("ROLE", "role"),
    ("CONFIGURATION", "configuration"),
    ("REVISION", "revision"),
    ("CONTROL HEARD (MS)", "heard_ms"),
    ("LEADS", "replica.leads"),
    ("VOTES", "replica.votes"),
    ("TERM", "replica.term"),
    ("COMMIT", "replica.commit"),
];

/// Columns of `member list`.
pub(crate) const MEMBERS: [Column; 8] = [
    ("INSTANCE", "name"),
    ("ROLE", "role"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("READY", "is_ready"),
    ("LEADS", "leads"),
    ("HEARD (MS)", "age_ms"),
    ("BUILD", "build"),
    ("FORMAT", "format"),
];

/// Columns of `request show`.
pub(crate) const REQUESTS: [Column; 9] = [
    ("REQUEST", "id"),
    ("ROUTE", "route"),
    ("VERSION", "version"),
    ("ATTEMPTS", "attempts"),
    ("SERVER", "server"),
    ("STATUS", "status"),
    ("MS", "ms"),
    ("LIST AGE (MS)", "list_age_ms"),
    ("OUTCOME", "outcome"),
];

/// Returns the state of each process that responds.
pub(crate) async fn status(client: &Client) -> Result<Vec<Value>, Error> {
    client.send_all(&Request::new(Method::GET, "/dump")).await
}

/// Returns the instances that send heartbeats to the first control instance among the addresses.
pub(crate) async fn members(client: &Client) -> Result<Vec<Value>, Error> {
    let dumps = status(client).await?;
    let found = dumps.into_iter().find_map(|mut dump| match dump["instances"].take() {
        Value::Array(instances) if !instances.is_empty() => Some(instances),
        _ => None,
    });
    found.ok_or_else(|| {
        Error::Usage(
            "no control instance is among the addresses of --operators; add the address of one"
                .into(),
        )
    })
}

/// Returns the records that all responding processes have of one request.
pub(crate) async fn request_records(client: &Client, id: &str) -> Result<Vec<Value>, Error> {
    let responses = client.send_all(&Request::new(Method::GET, format!("/requests/{id}"))).await?;
    let lists = responses.into_iter().filter_map(|response| match response {
        Value::Array(list) => Some(list),
        _ => None,
    });
    let records: Vec<Value> = lists.flatten().collect();
    if records.is_empty() {
        return Err(Error::Usage(format!(
            "no process has a record of request {id:?}; older requests are in the logs"
        )));
    }
    Ok(records)
}
