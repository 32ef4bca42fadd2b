//! HTTP client for the interfaces of instances. A request goes to the first instance that
//! responds, or to all.

use crate::error::Error;
use protocol::answer::Refusal;
use reqwest::Method;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// Timeout for the response of one instance, in addition to the wait that the request asks for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for the connection to one instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests to a list of instances.
pub(crate) struct Client {
    http: reqwest::Client,
    addresses: Vec<String>,
    /// Bearer token; requests carry none if it is `None`.
    token: Option<String>,
}

/// A request to an instance.
pub(crate) struct Request {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// JSON body.
    pub(crate) body: Option<Value>,
    /// Value of the header `x-deployment`.
    pub(crate) deployment: Option<String>,
    /// Time for which the instance may wait before it responds; it extends the timeout.
    pub(crate) wait: Duration,
}

impl Request {
    /// Creates a request without a body, a deployment or a wait.
    pub(crate) fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), body: None, deployment: None, wait: Duration::ZERO }
    }
}

/// Reads a token from a file, without surrounding white space; `None` without a path.
pub(crate) fn read_token(path: Option<&Path>) -> Result<Option<String>, Error> {
    let Some(path) = path else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::Usage(format!("{}: {error}", path.display())))?;
    Ok(Some(text.trim().to_owned()))
}

impl Client {
    /// Creates a client of `addresses`, which are tried in order.
    pub(crate) fn new(addresses: Vec<String>, token: Option<String>) -> Result<Self, Error> {
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).build();
        let http = http.map_err(|error| Error::Usage(error.to_string()))?;
        Ok(Self { http, addresses, token })
    }

    /// Returns the response of the first instance that responds, even if it is a refusal.
    pub(crate) async fn send(&self, request: &Request) -> Result<Value, Error> {
        for address in &self.addresses {
            if let Some(result) = self.send_to(address, request).await {
                return result;
            }
        }
        Err(Error::NoResponse(self.addresses.clone()))
    }

    /// Sends a request to every instance and returns the responses. Instances that do not respond
    /// are left out; a refusal by any instance is an error.
    pub(crate) async fn send_all(&self, request: &Request) -> Result<Vec<Value>, Error> {
        let mut responses = Vec::new();
        for address in &self.addresses {
            if let Some(result) = self.send_to(address, request).await {
                responses.push(result?);
            }
        }
        if responses.is_empty() {
            return Err(Error::NoResponse(self.addresses.clone()));
        }
        Ok(responses)
    }

    /// Returns the response of one instance; `None` if it cannot be reached, does not respond in
    /// time or responds with something else than JSON.
    async fn send_to(&self, address: &str, request: &Request) -> Option<Result<Value, Error>> {
        let url = format!("http://{address}{}", request.path);
        let timeout = RESPONSE_TIMEOUT + request.wait;
        let mut builder = self.http.request(request.method.clone(), url).timeout(timeout);
        if let Some(token) = &self.token {
            builder = builder.bearer_auth(token);
        }
        if let Some(deployment) = &request.deployment {
            builder = builder.header("x-deployment", deployment);
        }
        if let Some(body) = &request.body {
            builder = builder.json(body);
        }
        let response = builder.send().await.ok()?;
        let is_success = response.status().is_success();
        let status = response.status();
        let body = response.json::<Value>().await.ok()?;
        if is_success {
            return Some(Ok(body));
        }
        Some(Err(match serde_json::from_value::<Refusal>(body) {
            Ok(refusal) => Error::Refused(refusal),
            Err(_) => Error::Usage(format!(
                "{address} responded with status {status} and an unknown body"
            )),
        }))
    }
}
