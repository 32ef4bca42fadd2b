//! Connections between the instances.
//!
//! Requests go as JSON-RPC calls. Messages of the journals go through a queue for each
//! instance, which sends what has gathered as one call; a queue that is full drops
//! messages, as a network may.

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

/// Time for a batch of journal messages to be received.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Messages that may wait for one instance.
const QUEUE: usize = 4_096;

/// Messages in one call.
const BATCH: usize = 256;

/// Largest request and response between instances, in bytes.
const FRAME_BYTES: u32 = 96 * 1024 * 1024;

/// Connections from other instances at a time.
const CONNECTIONS: u32 = 4_096;

/// What an instance does with another's request.
pub(crate) trait Handler: Send + Sync {
    fn handle<'a>(
        &'a self,
        from: String,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Response> + Send + 'a>>;
}

/// A sealed request with its sender's name.
#[derive(serde::Serialize, serde::Deserialize)]
struct Addressed {
    from: String,
    request: Request,
}

/// Bytes of frames, sent and received, without HTTP headers.
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

    fn note(counter: &AtomicU64, frame: &Frame) {
        let bytes = frame.body.len() + frame.mac.len();
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

struct Link {
    client: HttpClient,
    queue: mpsc::Sender<Envelope>,
}

/// Connections of this instance to all others.
pub(crate) struct Transport {
    name: String,
    key: Key,
    links: Map<String, Link>,
    traffic: Traffic,
    handler: OnceLock<Arc<dyn Handler>>,
}

impl Transport {
    /// Prepares a connection to each peer; connecting happens on use.
    pub(crate) fn new(settings: &Settings, key: Key) -> Result<Arc<Self>, String> {
        let mut links = Map::default();
        let mut queues = Vec::new();
        for peer in settings.peers.iter().filter(|peer| peer.name != settings.name) {
            let client = HttpClientBuilder::default()
                .max_request_size(FRAME_BYTES)
                .max_response_size(FRAME_BYTES)
                .build(format!("http://{}", peer.address))
                .map_err(|error| format!("peer {}: {error}", peer.name))?;
            let (queue, inbox) = mpsc::channel(QUEUE);
            queues.push((peer.name.clone(), inbox));
            links.insert(peer.name.clone(), Link { client, queue });
        }
        let name = settings.name.clone();
        let links = Arc::new(Self {
            name,
            key,
            links,
            traffic: Traffic::default(),
            handler: OnceLock::new(),
        });
        for (peer, inbox) in queues {
            tokio::spawn(forward(Arc::downgrade(&links), peer, inbox));
        }
        Ok(links)
    }

    /// Sets what answers requests, the own ones included.
    pub(crate) fn set_handler(&self, handler: Arc<dyn Handler>) {
        drop(self.handler.set(handler));
    }

    /// Names of all instances, this one first.
    pub(crate) fn names(&self) -> Vec<String> {
        std::iter::once(&self.name).chain(self.links.keys()).cloned().collect()
    }

    /// Bytes exchanged with other instances.
    pub(crate) fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends a request and waits for the answer.
    pub(crate) async fn call(
        &self,
        to: &str,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Unreachable> {
        if to == self.name {
            let handler = self.handler.get().cloned().ok_or(Unreachable)?;
            let answer = tokio::time::timeout(timeout, handler.handle(to.to_owned(), request));
            return answer.await.map_err(|_| Unreachable);
        }
        let link = self.links.get(to).ok_or(Unreachable)?;
        let addressed = Addressed { from: self.name.clone(), request };
        let frame = Frame::seal(&self.key, &addressed).map_err(|_| Unreachable)?;
        Traffic::note(&self.traffic.sent, &frame);
        let answer = link.client.request::<Frame, _>(wire::METHOD, rpc_params![frame]);
        let frame = tokio::time::timeout(timeout, answer).await.map_err(|_| Unreachable)?;
        let frame = frame.map_err(|_| Unreachable)?;
        Traffic::note(&self.traffic.received, &frame);
        frame.open(&self.key).map_err(|_| Unreachable)
    }

    async fn answer(&self, frame: Frame) -> Result<Frame, ErrorObjectOwned> {
        let refuse = |text: String| ErrorObjectOwned::owned(-32_001, text, None::<()>);
        Traffic::note(&self.traffic.received, &frame);
        let addressed: Addressed =
            frame.open(&self.key).map_err(|error| refuse(error.to_string()))?;
        let handler = self.handler.get().cloned();
        let handler = handler.ok_or_else(|| refuse("the instance is starting".into()))?;
        let response = handler.handle(addressed.from, addressed.request).await;
        let frame = Frame::seal(&self.key, &response).map_err(|error| refuse(error.to_string()))?;
        Traffic::note(&self.traffic.sent, &frame);
        Ok(frame)
    }

    /// Serves the other instances until the handle is dropped.
    pub(crate) async fn serve(
        self: &Arc<Self>,
        address: &str,
    ) -> Result<(SocketAddr, ServerHandle), String> {
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(FRAME_BYTES)
            .max_response_body_size(FRAME_BYTES)
            .max_connections(CONNECTIONS)
            .build();
        let server = Server::builder().set_config(config).build(address).await;
        let server = server.map_err(|error| format!("listen.peers {address}: {error}"))?;
        let local = server.local_addr().map_err(|error| error.to_string())?;
        let mut module = RpcModule::new(self.clone());
        let answer = |params: jsonrpsee::types::Params<'static>, links: Arc<Arc<Self>>, _| async move {
            links.answer(params.one()?).await
        };
        module.register_async_method(wire::METHOD, answer).map_err(|error| error.to_string())?;
        Ok((local, server.start(module)))
    }
}

impl MessageSender for Transport {
    fn send(&self, to: &str, envelope: Envelope) {
        if let Some(link) = self.links.get(to) {
            drop(link.queue.try_send(envelope));
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

/// Sends queued messages; ends with the queue or the links.
async fn forward(
    links: std::sync::Weak<Transport>,
    peer: String,
    mut inbox: mpsc::Receiver<Envelope>,
) {
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, BATCH).await > 0 {
        let Some(links) = links.upgrade() else {
            return;
        };
        let request = Request::Consensus(std::mem::take(&mut batch));
        // A lost message is sent again by the journal itself.
        drop(links.call(&peer, request, SEND_TIMEOUT).await);
    }
}

/// Hands received journal messages to the replicas.
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

/// Answers a request for the journals of the folder `id`; gives any other request back.
pub(crate) async fn serve_journal(
    groups: Option<&Map<u32, Handle>>,
    id: Option<&Id>,
    from: &str,
    request: Request,
) -> Result<Response, Request> {
    let handle = |group: &u32| groups.and_then(|groups| groups.get(group));
    let answer = match request {
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
    Ok(answer)
}

/// Turns a journal's outcome into a response.
fn response(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Data(data) => Response::Data(data),
        Outcome::NotLeader(hint) => Response::NotLeader(hint),
        Outcome::Unknown => Response::Unknown,
    }
}
