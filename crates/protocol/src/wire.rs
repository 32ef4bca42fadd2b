//! Messages between the instances.
//!
//! Each goes as one JSON-RPC call that carries a [`Frame`]: a postcard body with a BLAKE3
//! MAC under the deployment's shared key, so that no other process can speak.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use coordination::consensus::{Id, Message, Peer};
use coordination::entry::Load;
use serde::{Deserialize, Serialize};
use state::control::Snapshot;
use state::id::Holder;

/// Name of the JSON-RPC method.
pub const METHOD: &str = "frame";

/// Journal of tickets, instances and orders.
pub const CONTROL: u32 = 0;

/// Context under which the MAC key is derived from the key file.
const KEY_CONTEXT: &str = "buckthornshelf 2026 peer frames";

/// A request of one instance to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Messages between replicas of one journal.
    Consensus(Vec<Envelope>),
    /// A command for a journal's leader.
    Submit {
        /// The journal.
        group: u32,
        /// The encoded command.
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
    },
    /// A query for a journal's leader.
    Query {
        /// The journal.
        group: u32,
        /// The encoded query.
        #[serde(with = "serde_bytes")]
        query: Vec<u8>,
    },
    /// A command for a journal's leader, then a query of the state that includes it.
    SubmitThenQuery {
        /// The journal.
        group: u32,
        /// The encoded command.
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
        /// The encoded query.
        #[serde(with = "serde_bytes")]
        query: Vec<u8>,
    },
    /// A sign of life, for a control instance.
    Beat(Box<crate::presence::Beat>),
    /// A renewal of a lease, for the control leader.
    Renew {
        /// This life of the instance.
        holder: Holder,
        /// Version that the instance obeys.
        version: u64,
        /// Load reports that it took, with their age in milliseconds.
        reports: Vec<Report>,
    },
    /// A new life of an instance, for the control leader.
    Register {
        /// Name of the instance.
        instance: String,
        /// Random number of the process.
        nonce: u64,
        /// Address for callers.
        address: String,
        /// Its failure domain.
        failure_domain: String,
    },
    /// A lease given back, for the control leader.
    Leave(Holder),
    /// What the instance's replicas hold.
    Probe,
    /// A dump of the instance's state.
    Dump {
        /// Section of the dump; `None` for all.
        section: Option<String>,
    },
    /// A replica with an empty data folder asks the leader to let it join.
    Join {
        /// The journal.
        group: u32,
        /// Name of the instance.
        instance: String,
        /// Identity of the data folder.
        id: Id,
    },
}

/// One message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The journal.
    pub group: u32,
    /// Identity of the sender.
    pub from: Id,
    /// Identity of the receiver.
    pub to: Id,
    /// The message.
    pub message: Message,
}

/// One backend server's load, as a steward saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the backend server.
    pub server: String,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// The report; `None` if the backend server did not answer.
    pub load: Option<Load>,
}

/// An answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Received.
    Done,
    /// Encoded reply of a journal.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Encoded reply of a journal, and the answer to the query after it.
    Both(#[serde(with = "serde_bytes")] Vec<u8>, #[serde(with = "serde_bytes")] Vec<u8>),
    /// The answer to a beat.
    Report(Box<crate::presence::Report>),
    /// Another instance leads the journal.
    NotLeader(Option<String>),
    /// The command may or may not be in effect.
    Unknown,
    /// A lease.
    Granted(Box<Grant>),
    /// The life of the instance is over; it must register again.
    Expelled,
    /// The instance may still hold an older lease; ask again.
    Wait,
    /// A new life.
    Registered {
        /// Its number.
        epoch: u64,
    },
    /// A dump as JSON.
    Text(String),
    /// What the replicas hold.
    Peer {
        /// The replicas.
        peer: Peer,
        /// Whether the data folder has an identity.
        has_identity: bool,
    },
}

/// A granted lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Length, counted from the sending of the renewal, in milliseconds.
    pub length_ms: u64,
    /// The whole control state, if it is newer than the instance's.
    pub snapshot: Option<Snapshot>,
    /// Version that each instance that may dispatch obeys.
    pub in_force: u64,
    /// Load reports of all stewards.
    pub reports: Vec<Report>,
}

/// Why a frame was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame is not base64 or not postcard.
    #[error("frame cannot be decoded")]
    Codec,
    /// The MAC is wrong: another key, or a damaged frame.
    #[error("frame has a wrong MAC; check that all instances have the same peer key")]
    Mac,
}

/// Key for frames between the instances of one deployment.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the content of the key file.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }
}

/// An authenticated message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Postcard body in base64.
    pub body: String,
    /// MAC of the body, in hexadecimal.
    pub mac: String,
}

impl Frame {
    /// Seals a message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Codec`] if the message has no encoding.
    pub fn seal<T: Serialize>(key: &Key, message: &T) -> Result<Self, Error> {
        let body = postcard::to_stdvec(message).map_err(|_| Error::Codec)?;
        let mac = blake3::keyed_hash(&key.0, &body).to_hex().to_string();
        Ok(Self { body: STANDARD.encode(body), mac })
    }

    /// Opens a message; the MAC is compared in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] for a frame of another key or shape.
    pub fn open<T: serde::de::DeserializeOwned>(&self, key: &Key) -> Result<T, Error> {
        let body = STANDARD.decode(&self.body).map_err(|_| Error::Codec)?;
        let found = blake3::Hash::from_hex(&self.mac).map_err(|_| Error::Mac)?;
        if blake3::keyed_hash(&key.0, &body) != found {
            return Err(Error::Mac);
        }
        postcard::from_bytes(&body).map_err(|_| Error::Codec)
    }
}
