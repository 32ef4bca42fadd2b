//! One instance before an engine and a tool, on ports of the kernel's choice.

use protocol::settings::{Listen, Settings, Storage};
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use serde_json::{Value, json};
use standins::engine::{self, Engine};
use standins::tool::Tool;
use state::budget::Amount;
use state::control::{Config, Deployment, Role, Server as Backend, Service, Weights};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use transport::Node;

/// Time for the instance to hold its lease.
const READY: Duration = Duration::from_secs(10);

/// A running instance with its backend servers.
pub(crate) struct Bed {
    pub(crate) node: Node,
    pub(crate) http: reqwest::Client,
    _folder: tempfile::TempDir,
}

async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(Server::new(TcpAcceptor::try_from(listener).unwrap()).serve(router));
    address
}

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
    let server = |service: &str, address: SocketAddr| Backend {
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

impl Bed {
    /// Starts an instance; `change` adapts its settings, given a folder for files.
    pub(crate) async fn start(change: impl FnOnce(&mut Settings, &Path)) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let any = || "127.0.0.1:0".to_owned();
        let mut settings = Settings {
            listen: Listen { callers: any(), operators: any(), peers: any() },
            storage: Some(Storage { folder: folder.path().join("data") }),
            seed: config(folder.path()).await,
            ..Settings::default()
        };
        settings.stop.keep_ms = 10;
        change(&mut settings, folder.path());
        let node = Node::start(settings).await.unwrap();
        let bed = Self { node, http: reqwest::Client::new(), _folder: folder };
        bed.wait_ready().await;
        bed
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
        tokio::time::timeout(READY, ready).await.expect("the instance is not ready");
    }

    /// A caller's request; returns status and body.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<Value>,
        token: Option<&str>,
    ) -> (u16, Value) {
        self.send(self.node.callers_address(), method, path, body, token).await
    }

    /// An operator's request; returns status and body.
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

    /// Opens a program.
    pub(crate) async fn open(&self, name: &str, token: Option<&str>) -> (u16, Value) {
        self.call("POST", "/v1/programs", Some(open(name)), token).await
    }
}

pub(crate) fn open(name: &str) -> Value {
    json!({
        "program": name,
        "budget": { "tokens": 50_000, "calls": 20, "cost": 100 },
        "deadline_ms": 4_000_000_000_000_u64,
    })
}

pub(crate) fn ask(seq: u64, text: &str) -> Value {
    json!({
        "seq": seq, "service": "model", "max_tokens": 20,
        "messages": [{ "role": "user", "content": text }],
    })
}
