//! Test fixture: one instance with an engine and a tool, on ports that the system assigns.

use protocol::settings::{Listen, Settings, Storage};
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use serde_json::{Value, json};
use standins::engine::{self, Engine};
use standins::tool::Tool;
use state::budget::Amount;
use state::control::{Config, Deployment, Role, Server as BackendServer, Service, Weights};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use transport::Node;

/// Timeout for the instance to obtain its lease and the first configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Running instance with its backend servers; its files are removed when this is dropped.
pub(crate) struct Fixture {
    pub(crate) node: Node,
    pub(crate) http: reqwest::Client,
    _folder: tempfile::TempDir,
}

/// Serves the routes on a free port and returns its address.
async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(Server::new(TcpAcceptor::try_from(listener).unwrap()).serve(router));
    address
}

/// Starts the backend servers and returns a configuration with them.
async fn config(folder: &Path) -> Config {
    let settings = engine::Settings {
        token_us: 100,
        prefill_us: 0,
        slots: 8,
        cache_tokens: 100_000,
        report_lag_ms: 0,
        lose_event_every: 0,
        ignores_fence: false,
        weight_store: None,
        ledger: folder.join("engine.ledger"),
    };
    let engine = serve(Engine::new(settings, 1).unwrap().router()).await;
    let tool = serve(Tool::new(&folder.join("tool.ledger"), 1).unwrap().router()).await;
    let service = |role| Service {
        role,
        version: String::new(),
        is_urgent: false,
        can_look_up: false,
        timeout_ms: 5_000,
        prompt_bytes_per_token: 3,
    };
    let server = |service: &str, address: SocketAddr| BackendServer {
        service: service.into(),
        address: address.to_string(),
        failure_domain: "local".into(),
        slots: 8,
        checks_fencing: true,
    };
    let deployment = Deployment {
        servers: vec!["engine".into(), "tool".into()],
        failure_domains: vec!["local".into()],
        labels: [("abroad".to_owned(), vec![])].into(),
        cap: Amount { tokens: 100_000, calls: 100, cost: 1_000 },
        weights: Weights { latency: 1, cache: 1 },
    };
    let deployments = ["mine", "other"].map(|name| (name.to_owned(), deployment.clone()));
    Config {
        services: [
            ("model".to_owned(), service(Role::Engine)),
            ("till".to_owned(), service(Role::Tool)),
        ]
        .into(),
        servers: [
            ("engine".to_owned(), server("model", engine)),
            ("tool".to_owned(), server("till", tool)),
        ]
        .into(),
        deployments: deployments.into(),
    }
}

impl Fixture {
    /// Starts an instance and waits until it is ready.
    ///
    /// `change` adapts the settings and receives a temporary folder for files.
    pub(crate) async fn start(change: impl FnOnce(&mut Settings, &Path)) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let any_port = || "127.0.0.1:0".to_owned();
        let mut settings = Settings {
            listen: Listen { callers: any_port(), operators: any_port(), peers: any_port() },
            storage: Some(Storage { folder: folder.path().join("data") }),
            seed: config(folder.path()).await,
            ..Settings::default()
        };
        settings.stop.keep_ms = 10;
        change(&mut settings, folder.path());
        let node = Node::start(settings).await.unwrap();
        let fixture = Self { node, http: reqwest::Client::new(), _folder: folder };
        fixture.wait_ready().await;
        fixture
    }

    async fn wait_ready(&self) {
        let ready = async {
            loop {
                let (status, body) = self.operate("GET", "/v1/status", None, Some("op")).await;
                if status == 200
                    && body[0]["lease_ms"].as_u64() > Some(0)
                    && body[0]["version"].as_u64() > Some(1)
                {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .expect("the instance was not ready in time");
    }

    /// Sends a caller's request; returns status and body.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<Value>,
        token: Option<&str>,
    ) -> (u16, Value) {
        self.send(self.node.callers_address(), method, path, body, token).await
    }

    /// Sends an operator's request; returns status and body.
    pub(crate) async fn operate(
        &self,
        method: &str,
        path: &str,
        body: Option<Value>,
        token: Option<&str>,
    ) -> (u16, Value) {
        self.send(self.node.operators_address(), method, path, body, token).await
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<Value>,
        token: Option<&str>,
    ) -> (u16, Value) {
        let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();
        let mut request = self
            .http
            .request(method, format!("http://{address}{path}"))
            .header("x-deployment", "mine");
        if let Some(token) = token {
            request = request.bearer_auth(token);
        }
        if let Some(body) = body {
            request = request.json(&body);
        }
        let response = request.send().await.unwrap();
        let status = response.status().as_u16();
        let text = response.text().await.unwrap();
        (status, serde_json::from_str(&text).unwrap_or(Value::String(text)))
    }

    /// Opens a program; returns status and body.
    pub(crate) async fn open(&self, name: &str, token: Option<&str>) -> (u16, Value) {
        self.call("POST", "/v1/programs", Some(open_body(name)), token).await
    }
}

/// Body of a request that opens a program.
pub(crate) fn open_body(name: &str) -> Value {
    json!({
        "program": name,
        "budget": { "tokens": 50_000, "calls": 20, "cost": 100 },
        "deadline_ms": 4_000_000_000_000_u64,
    })
}

/// Body of a call of the model.
pub(crate) fn call_body(seq: u64, text: &str) -> Value {
    json!({
        "seq": seq, "service": "model", "max_tokens": 20,
        "messages": [{ "role": "user", "content": text }],
    })
}
