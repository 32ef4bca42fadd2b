//! Messages between instances of one deployment.
//!
//! Each message is one JSON-RPC call that carries a [`Frame`]: a postcard body with a BLAKE3
//! MAC under the deployment's shared key. Messages of processes without the key are rejected.

use crate::transfer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use coordination::consensus::{Id, Message, Peer};
use coordination::entry::Load;
use serde::{Deserialize, Serialize};
use state::control::Snapshot;
use state::id::Holder;

/// Name of the JSON-RPC method that carries a frame.
pub const METHOD: &str = "frame";

/// Id of the replica group that holds tickets, instances and orders.
pub const CONTROL_GROUP: u32 = 0;

/// Context string for deriving the MAC key from the content of the key file.
const KEY_CONTEXT: &str = "buckthornshelf 2026 peer frames";

/// A request of one instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Consensus messages between replicas.
    Consensus(Vec<Envelope>),
    /// A command for the leader of a replica group.
    Submit {
        /// The replica group.
        group: u32,
        /// The encoded command.
        command: Bytes,
    },
    /// A query for the leader of a replica group.
    Query {
        /// The replica group.
        group: u32,
        /// The encoded query.
        #[serde(with = "serde_bytes")]
        query: Vec<u8>,
    },
    /// A command for the leader of a replica group, followed by a query of the state after
    /// the command was applied.
    SubmitThenQuery {
        /// The replica group.
        group: u32,
        /// The encoded command.
        command: Bytes,
        /// The encoded query.
        #[serde(with = "serde_bytes")]
        query: Vec<u8>,
    },
    /// A heartbeat, for a control instance.
    Heartbeat(Box<crate::presence::Heartbeat>),
    /// Renews a lease; for the leader of the control group.
    Renew {
        /// The lease holder: the instance and its incarnation.
        holder: Holder,
        /// Version of the control state that the instance applies.
        version: u64,
        /// Load reports that the instance collected from backend servers.
        reports: Vec<Report>,
    },
    /// Registers a new incarnation of an instance; for the leader of the control group.
    Register {
        /// Name of the instance.
        instance: String,
        /// Random number of the process; a repeated request with the same number is idempotent.
        nonce: u64,
        /// Address at which callers reach the instance.
        address: String,
        /// Failure domain of the instance.
        failure_domain: String,
    },
    /// Releases a lease; for the leader of the control group.
    ReleaseLease(Holder),
    /// Asks what the instance's replicas have stored.
    Probe,
    /// Requests a dump of the instance's state.
    Dump {
        /// Section of the dump; `None` for all sections.
        section: Option<String>,
    },
    /// Asks the leader to admit a replica whose data folder is empty.
    Join {
        /// The replica group.
        group: u32,
        /// Name of the instance.
        instance: String,
        /// Identity of the replica's data folder.
        id: Id,
    },
    /// Requests a part of the registry of a control instance. Earlier builds do not know it; sent
    /// only to control instances whose replies say that they serve it.
    RegistryPart(transfer::Request),
}

/// A consensus message with its replica group, sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The replica group.
    pub group: u32,
    /// Id of the sending replica.
    pub from: Id,
    /// Id of the receiving replica.
    pub to: Id,
    /// The consensus message.
    pub message: Message,
}

/// Load of a backend server, as its load poller observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the backend server.
    pub server: String,
    /// Time since the load was observed, in milliseconds.
    pub age_ms: u64,
    /// The load; `None` if the backend server did not answer.
    pub load: Option<Load>,
}

/// Response to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The request was accepted; there is nothing to return.
    Done,
    /// Encoded reply of a replica group.
    Data(Bytes),
    /// Encoded replies to the command and to the query of [`Request::SubmitThenQuery`]. The latter is
    /// empty if there was no memory for it; the query may be repeated then.
    SubmitThenQuery(Bytes, Bytes),
    /// Reply to a heartbeat.
    HeartbeatReply(Box<crate::presence::Reply>),
    /// Another instance is the leader; its address, if known.
    NotLeader(Option<String>),
    /// The outcome is unknown: the command may or may not have been applied.
    Unknown,
    /// The lease was granted.
    Granted(Box<Grant>),
    /// The lease is refused; the instance must register a new incarnation.
    LeaseRefused,
    /// An earlier incarnation of the instance may still hold a lease; retry later.
    RetryLater,
    /// A new incarnation was registered.
    Registered {
        /// Number of the incarnation.
        epoch: u64,
    },
    /// A dump of the instance's state, as JSON text.
    Text(String),
    /// What the instance's replicas have stored; the response to [`Request::Probe`].
    Peer {
        /// Name of the instance and whether its replicas are empty.
        peer: Peer,
        /// Whether the instance's data folder already has an identity.
        has_identity: bool,
    },
    /// A part of the registry.
    RegistryPart(transfer::Part),
}

/// Terms of a granted lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Duration of the lease in milliseconds, counted from when the renewal was sent.
    pub length_ms: u64,
    /// The complete control state; `None` unless it is newer than the instance's.
    pub snapshot: Option<Snapshot>,
    /// Version of the control state that every instance that may dispatch has applied.
    pub in_force: u64,
    /// Load reports of all load pollers.
    pub reports: Vec<Report>,
}

/// Reason why a frame was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is not valid base64, or the message cannot be encoded or decoded.
    #[error("frame cannot be encoded or decoded")]
    Codec,
    /// The MAC does not match: the sender has another key, or the frame is corrupt.
    #[error("frame has an invalid MAC; check that all instances have the same peer key")]
    Mac,
}

/// MAC key for frames between the instances of one deployment.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the content of the key file.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }
}

/// An encoded message with its MAC.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Postcard encoding of the message, in base64.
    pub body: String,
    /// BLAKE3 MAC of the postcard encoding, in hexadecimal.
    pub mac: String,
}

impl Frame {
    /// Encodes and authenticates a message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Codec`] if the message cannot be encoded.
    pub fn seal<T: Serialize>(key: &Key, message: &T) -> Result<Self, Error> {
        let body = postcard::to_stdvec(message).map_err(|_| Error::Codec)?;
        let mac = blake3::keyed_hash(&key.0, &body).to_hex().to_string();
        Ok(Self { body: STANDARD.encode(body), mac })
    }

    /// Verifies the MAC in constant time and decodes the message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Mac`] if the MAC does not match the key, and [`Error::Codec`] if the
    /// content does not decode to `T`.
    pub fn open<T: serde::de::DeserializeOwned>(&self, key: &Key) -> Result<T, Error> {
        let body = STANDARD.decode(&self.body).map_err(|_| Error::Codec)?;
        let mac = blake3::Hash::from_hex(&self.mac).map_err(|_| Error::Mac)?;
        if blake3::keyed_hash(&key.0, &body) != mac {
            return Err(Error::Mac);
        }
        postcard::from_bytes(&body).map_err(|_| Error::Codec)
    }
}
