//! Requests to whichever instance answers.

use crate::error::Error;
use protocol::answer::Refusal;
use reqwest::Method;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// Time for one instance to answer, beyond what the request waits for.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time to connect to one instance.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A client of some instances.
pub(crate) struct Client {
    http: reqwest::Client,
    addresses: Vec<String>,
    token: Option<String>,
}

/// A request.
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Option<Value>,
    pub(crate) deployment: Option<String>,
    pub(crate) wait: Duration,
}

impl Request {
    /// A request without a body.
    pub(crate) fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), body: None, deployment: None, wait: Duration::ZERO }
    }
}

/// Reads a token file.
pub(crate) fn read_token(path: Option<&Path>) -> Result<Option<String>, Error> {
    let Some(path) = path else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::Usage(format!("{}: {error}", path.display())))?;
    Ok(Some(text.trim().to_owned()))
}

impl Client {
    /// A client of `addresses`, tried in order.
    pub(crate) fn new(addresses: Vec<String>, token: Option<String>) -> Result<Self, Error> {
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIME).build();
        let http = http.map_err(|error| Error::Usage(error.to_string()))?;
        Ok(Self { http, addresses, token })
    }

    /// Sends a request to the first instance that answers.
    pub(crate) async fn send(&self, request: &Request) -> Result<Value, Error> {
        for address in &self.addresses {
            if let Some(result) = self.try_one(address, request).await {
                return result;
            }
        }
        Err(Error::Silent(self.addresses.clone()))
    }

    /// Sends a request to every instance; answers of those that gave one.
    pub(crate) async fn send_all(&self, request: &Request) -> Result<Vec<Value>, Error> {
        let mut answers = Vec::new();
        for address in &self.addresses {
            if let Some(result) = self.try_one(address, request).await {
                answers.push(result?);
            }
        }
        if answers.is_empty() {
            return Err(Error::Silent(self.addresses.clone()));
        }
        Ok(answers)
    }

    /// Answer of one instance; `None` if it gave none.
    async fn try_one(&self, address: &str, request: &Request) -> Option<Result<Value, Error>> {
        let url = format!("http://{address}{}", request.path);
        let timeout = TIMEOUT + request.wait;
        let mut built = self.http.request(request.method.clone(), url).timeout(timeout);
        if let Some(token) = &self.token {
            built = built.bearer_auth(token);
        }
        if let Some(deployment) = &request.deployment {
            built = built.header("x-deployment", deployment);
        }
        if let Some(body) = &request.body {
            built = built.json(body);
        }
        let response = built.send().await.ok()?;
        let is_success = response.status().is_success();
        let status = response.status();
        let body = response.json::<Value>().await.ok()?;
        if is_success {
            return Some(Ok(body));
        }
        Some(Err(match serde_json::from_value::<Refusal>(body) {
            Ok(refusal) => Error::Refused(refusal),
            Err(_) => Error::Usage(format!("{address} answered with status {status}")),
        }))
    }
}
