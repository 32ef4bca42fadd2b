//! Peer transport over JSON-RPC, for instances that are listed in the settings.
//!
//! Each request is one JSON-RPC call. Consensus messages pass through a queue for each instance
//! and are sent in batches, one call each; a full queue drops messages, as on a lossy network.

use crate::journal::Unreachable;
use crate::leaders;
use crate::replica::{Handle, Job, MessageSender, Outcome};
use coordination::consensus::Id;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use protocol::settings::Settings;
use protocol::wire::{self, Envelope, Frame, Key, Request, Response};
use state::collections::Map;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::mpsc;

/// Timeout of a call with a batch of consensus messages.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of consensus messages that wait for one instance.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Maximum number of consensus messages in one call.
const MAX_BATCH: usize = 256;

/// Maximum size of a request or response between instances, in bytes.
const MAX_FRAME_BYTES: u32 = 96 * 1024 * 1024;

/// Maximum number of concurrent connections from other instances.
const MAX_CONNECTIONS: u32 = 4_096;

/// Handles the requests of other instances.
pub(crate) trait Handler: Send + Sync {
    /// Executes the request of the instance `from` and returns the response.
    fn handle<'a>(
        &'a self,
        from: String,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>>;
}

/// Content of a request frame.
#[derive(serde::Serialize, serde::Deserialize)]
struct Payload {
    /// Name of the sender.
    from: String,
    request: Request,
}

/// Total size of the frames sent and received, in bytes, without HTTP headers.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    fn record(counter: &AtomicU64, frame: &Frame) {
        let bytes = frame.body.len() + frame.mac.len();
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Client of one other instance.
struct Peer {
    client: HttpClient,
    queue: mpsc::Sender<Envelope>,
}

/// Clients of all other instances, and the server for their requests.
pub(crate) struct Transport {
    name: String,
    key: Key,
    peers: Map<String, Peer>,
    traffic: Traffic,
    handler: OnceLock<Arc<dyn Handler>>,
}

impl Transport {
    /// Creates a client of each peer, which connects on first use.
    ///
    /// # Errors
    ///
    /// Returns the reason if a client cannot be created.
    pub(crate) fn new(settings: &Settings, key: Key) -> Result<Arc<Self>, String> {
        let mut peers = Map::default();
        let mut queues = Vec::new();
        for peer in settings.peers.iter().filter(|peer| peer.name != settings.name) {
            let client = HttpClientBuilder::default()
                .max_request_size(MAX_FRAME_BYTES)
                .max_response_size(MAX_FRAME_BYTES)
                .build(format!("http://{}", peer.address))
                .map_err(|error| format!("peer {}: {error}", peer.name))?;
            let (queue, inbox) = mpsc::channel(MAX_QUEUED_MESSAGES);
            queues.push((peer.name.clone(), inbox));
            peers.insert(peer.name.clone(), Peer { client, queue });
        }
        let name = settings.name.clone();
        let transport = Arc::new(Self {
            name,
            key,
            peers,
            traffic: Traffic::default(),
            handler: OnceLock::new(),
        });
        for (peer, inbox) in queues {
            tokio::spawn(forward(Arc::downgrade(&transport), peer, inbox));
        }
        Ok(transport)
    }

    /// Sets the handler of requests, including those that this instance sends to itself.
    pub(crate) fn set_handler(&self, handler: Arc<dyn Handler>) {
        drop(self.handler.set(handler));
    }

    /// Names of all instances, this one first.
    pub(crate) fn names(&self) -> Vec<String> {
        std::iter::once(&self.name).chain(self.peers.keys()).cloned().collect()
    }

    /// Amount of data exchanged with other instances.
    pub(crate) fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no valid response is received within `timeout`; the request may
    /// or may not have been executed.
    pub(crate) async fn call(
        &self,
        to: &str,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Unreachable> {
        if to == self.name {
            let handler = self.handler.get().cloned().ok_or(Unreachable)?;
            let response = tokio::time::timeout(timeout, handler.handle(to.to_owned(), request));
            return response.await.map_err(|_| Unreachable);
        }
        let peer = self.peers.get(to).ok_or(Unreachable)?;
        let payload = Payload { from: self.name.clone(), request };
        let frame = Frame::seal(&self.key, &payload).map_err(|_| Unreachable)?;
        Traffic::record(&self.traffic.sent, &frame);
        let response = peer.client.request::<Frame, _>(wire::METHOD, rpc_params![frame]);
        let frame = tokio::time::timeout(timeout, response).await.map_err(|_| Unreachable)?;
        let frame = frame.map_err(|_| Unreachable)?;
        Traffic::record(&self.traffic.received, &frame);
        frame.open(&self.key).map_err(|_| Unreachable)
    }

    /// Opens a request frame, executes the request and returns the sealed response.
    async fn handle_frame(&self, frame: Frame) -> Result<Frame, ErrorObjectOwned> {
        let rpc_error = |text: String| ErrorObjectOwned::owned(-32_001, text, None::<()>);
        Traffic::record(&self.traffic.received, &frame);
        let payload: Payload =
            frame.open(&self.key).map_err(|error| rpc_error(error.to_string()))?;
        let handler = self.handler.get().cloned();
        let handler = handler.ok_or_else(|| rpc_error("the instance is starting".into()))?;
        let response = handler.handle(payload.from, payload.request).await;
        let frame =
            Frame::seal(&self.key, &response).map_err(|error| rpc_error(error.to_string()))?;
        Traffic::record(&self.traffic.sent, &frame);
        Ok(frame)
    }

    /// Serves the other instances until the returned handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns the reason if the address cannot be bound.
    pub(crate) async fn serve(
        self: &Arc<Self>,
        address: &str,
    ) -> Result<(SocketAddr, ServerHandle), String> {
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MAX_FRAME_BYTES)
            .max_response_body_size(MAX_FRAME_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .build();
        let server = Server::builder().set_config(config).build(address).await;
        let server = server.map_err(|error| format!("listen.peers {address}: {error}"))?;
        let local = server.local_addr().map_err(|error| error.to_string())?;
        let mut module = RpcModule::new(self.clone());
        let call = |params: jsonrpsee::types::Params<'static>, this: Arc<Arc<Self>>, _| async move {
            this.handle_frame(params.one()?).await
        };
        module.register_async_method(wire::METHOD, call).map_err(|error| error.to_string())?;
        Ok((local, server.start(module)))
    }
}

impl MessageSender for Transport {
    fn send(&self, to: &str, envelope: Envelope) {
        if let Some(peer) = self.peers.get(to) {
            drop(peer.queue.try_send(envelope));
        }
    }
}

impl leaders::Client for Transport {
    fn call<'a>(
        &'a self,
        to: &'a str,
        request: &'a Request,
        timeout: Duration,
    ) -> leaders::ResponseFuture<'a> {
        Box::pin(self.call(to, request.clone(), timeout))
    }
}

/// Sends the queued messages of one peer; ends when the transport is dropped.
async fn forward(
    transport: std::sync::Weak<Transport>,
    peer: String,
    mut inbox: mpsc::Receiver<Envelope>,
) {
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let Some(transport) = transport.upgrade() else {
            return;
        };
        let request = Request::Consensus(std::mem::take(&mut batch));
        // A message may be lost; consensus repeats it.
        drop(transport.call(&peer, request, SEND_TIMEOUT).await);
    }
}

/// Passes received consensus messages to the local replicas. Those addressed to another id are
/// dropped; the data folder with that id was replaced.
fn deliver(groups: &Map<u32, Handle>, id: Id, from: &str, envelopes: Vec<Envelope>) {
    let mut by_group: Map<u32, Vec<_>> = Map::default();
    for envelope in envelopes {
        if envelope.to == id {
            by_group.entry(envelope.group).or_default().push((envelope.from, envelope.message));
        }
    }
    for (group, messages) in by_group {
        if let Some(handle) = groups.get(&group) {
            drop(handle.jobs.send(Job::Messages { instance: from.to_owned(), messages }));
        }
    }
}

/// Executes a request to the local replicas, whose data folder has the identity `id`. Returns any
/// other request unchanged as the error.
pub(crate) async fn serve_journal(
    groups: Option<&Map<u32, Handle>>,
    id: Option<&Id>,
    from: &str,
    request: Request,
) -> Result<Response, Request> {
    let handle = |group: &u32| groups.and_then(|groups| groups.get(group));
    let result = match request {
        Request::Submit { group, command } => match handle(&group) {
            Some(handle) => response(handle.submit(command).await),
            None => Response::NotLeader(None),
        },
        Request::Query { group, query } => match handle(&group) {
            Some(handle) => response(handle.query(query).await),
            None => Response::NotLeader(None),
        },
        Request::SubmitThenQuery { group, command, query } => match handle(&group) {
            Some(handle) => match handle.submit_then_query(command, query).await {
                Ok((reply, view)) => Response::SubmitThenQuery(reply, view),
                Err(outcome) => response(outcome),
            },
            None => Response::NotLeader(None),
        },
        Request::Consensus(envelopes) => {
            if let Some((groups, id)) = groups.zip(id) {
                deliver(groups, *id, from, envelopes);
            }
            Response::Done
        }
        other => return Err(other),
    };
    Ok(result)
}

/// Converts the outcome of a command or query to a response.
fn response(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Data(data) => Response::Data(data),
        Outcome::NotLeader(hint) => Response::NotLeader(hint),
        Outcome::Unknown => Response::Unknown,
    }
}
