//! What the inspection addresses of processes say.

use crate::client::{Client, Request};
use crate::error::Error;
use crate::table::Column;
use reqwest::Method;
use serde_json::Value;

/// Columns of processes that were asked.
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

/// Columns of instances as a control instance hears them.
pub(crate) const MEMBERS: [Column; 6] = [
    ("INSTANCE", "name"),
    ("ROLE", "role"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("READY", "is_ready"),
    ("LEADS", "leads"),
    ("HEARD (MS)", "age_ms"),
];

/// Columns of how a request went.
pub(crate) const STORIES: [Column; 9] = [
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

/// State of each process that answers.
pub(crate) async fn status(client: &Client) -> Result<Vec<Value>, Error> {
    client.send_all(&Request::new(Method::GET, "/dump")).await
}

/// Instances as the first control instance hears them.
pub(crate) async fn members(client: &Client) -> Result<Vec<Value>, Error> {
    let dumps = status(client).await?;
    let heard = dumps.into_iter().find_map(|mut dump| match dump["instances"].take() {
        Value::Array(instances) if !instances.is_empty() => Some(instances),
        _ => None,
    });
    heard.ok_or_else(|| {
        Error::Usage("no control instance is among --operators; name the address of one".into())
    })
}

/// What all processes remember of one request.
pub(crate) async fn story(client: &Client, id: &str) -> Result<Vec<Value>, Error> {
    let answers = client.send_all(&Request::new(Method::GET, format!("/requests/{id}"))).await?;
    let lists = answers.into_iter().filter_map(|answer| match answer {
        Value::Array(list) => Some(list),
        _ => None,
    });
    let found: Vec<Value> = lists.flatten().collect();
    if found.is_empty() {
        return Err(Error::Usage(format!(
            "request {id:?} is not among the last ones of these processes; look into their logs"
        )));
    }
    Ok(found)
}
