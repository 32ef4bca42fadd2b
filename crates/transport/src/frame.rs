//! Frames between instances.
//!
//! A frame is encoded in parts: byte strings of some length that a message shares with others, such as
//! the content of a turn in the log and in the messages to each replica, are not copied.

use bytes::{BufMut, Bytes, BytesMut};
use coordination::consensus::{Message, Payload};
use postcard::ser_flavors::Flavor;
use protocol::wire::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of a frame, in bytes; leaves a wide margin above a configuration of 4 MiB and
/// the message that contains it.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Size of the kind and the call number, in bytes.
const HEAD_BYTES: usize = 9;

/// Length from which a byte string is a part of its own, in bytes. Shorter ones are copied, so that a
/// batch of small messages is one write.
pub(crate) const MIN_PART_BYTES: usize = 16 * 1024;

/// Kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Kind {
    /// Address of the sender; the first frame of a connection.
    Hello = 1,
    /// A request that gets no reply.
    OneWay = 2,
    /// A request that gets a reply.
    Call = 3,
    /// The reply to the call with the same number.
    Reply = 4,
    /// Requests a pong.
    Ping = 5,
    /// The reply to a ping.
    Pong = 6,
}

impl Kind {
    fn from_byte(byte: u8) -> Option<Self> {
        let all = [Self::Hello, Self::OneWay, Self::Call, Self::Reply, Self::Ping, Self::Pong];
        all.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// Content of a frame.
pub(crate) trait Body: Serialize {
    /// Long byte strings in it.
    fn shared(&self) -> Vec<Bytes> {
        Vec::new()
    }
}

impl Body for () {}

impl Body for String {}

impl Body for Request {
    fn shared(&self) -> Vec<Bytes> {
        match self {
            Self::Submit { command, .. } | Self::SubmitThenQuery { command, .. } => {
                vec![command.clone()]
            }
            Self::Consensus(envelopes) => {
                let messages = envelopes.iter().map(|envelope| &envelope.message);
                let entries = messages.flat_map(|message| match message {
                    Message::Append { entries, .. } => entries.as_slice(),
                    _ => &[],
                });
                let data = entries.filter_map(|entry| match &entry.payload {
                    Payload::Data(data) if data.len() >= MIN_PART_BYTES => Some(data.clone()),
                    _ => None,
                });
                data.collect()
            }
            _ => Vec::new(),
        }
    }
}

impl Body for Response {
    fn shared(&self) -> Vec<Bytes> {
        match self {
            Self::Data(data) => vec![data.clone()],
            Self::SubmitThenQuery(_, view) => vec![view.clone()],
            _ => Vec::new(),
        }
    }
}

/// An encoded frame with its length.
#[derive(Debug, Clone, Default)]
pub(crate) struct Frame {
    parts: Vec<Bytes>,
    len: usize,
}

impl Frame {
    /// Encodes a frame: length (4 bytes), kind (1 byte), call number (8 bytes) and body; `None` if the
    /// body cannot be encoded or is too large.
    pub(crate) fn encode<T: Body>(kind: Kind, number: u64, body: &T) -> Option<Self> {
        let shared = body.shared();
        let encoder = Encoder { shared: &shared, parts: Vec::new(), rest: BytesMut::new() };
        let body = postcard::serialize_with_flavor(body, encoder).ok()?;
        let len = HEAD_BYTES + body.iter().map(Bytes::len).sum::<usize>();
        if len > MAX_BYTES {
            return None;
        }
        let first = body.first().filter(|first| first.len() < MIN_PART_BYTES);
        let mut head = BytesMut::with_capacity(4 + HEAD_BYTES + first.map_or(0, Bytes::len));
        head.put_u32(u32::try_from(len).ok()?);
        head.put_u8(kind as u8);
        head.put_u64(number);
        head.extend_from_slice(first.map_or(&[], |first| first));
        let rest = body.iter().skip(usize::from(first.is_some()));
        let parts = std::iter::once(head.freeze()).chain(rest.cloned()).collect();
        Some(Self { parts, len: 4 + len })
    }

    /// Size, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Parts in the order in which they are sent.
    pub(crate) fn into_parts(self) -> Vec<Bytes> {
        self.parts
    }
}

/// Encoder that shares the long byte strings among `shared` instead of copying them.
struct Encoder<'a> {
    shared: &'a [Bytes],
    parts: Vec<Bytes>,
    /// What follows the last of `parts`.
    rest: BytesMut,
}

impl Flavor for Encoder<'_> {
    type Output = Vec<Bytes>;

    fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
        let is_same =
            |shared: &&Bytes| shared.as_ptr() == data.as_ptr() && shared.len() == data.len();
        let shared = match data.len() >= MIN_PART_BYTES {
            true => self.shared.iter().find(is_same),
            false => None,
        };
        match shared {
            Some(shared) => {
                let before = self.rest.split().freeze();
                self.parts.extend(Some(before).filter(|before| !before.is_empty()));
                self.parts.push(shared.clone());
            }
            None => self.rest.extend_from_slice(data),
        }
        Ok(())
    }

    fn try_push(&mut self, data: u8) -> postcard::Result<()> {
        self.rest.put_u8(data);
        Ok(())
    }

    fn finalize(mut self) -> postcard::Result<Vec<Bytes>> {
        let rest = self.rest.freeze();
        self.parts.extend(Some(rest).filter(|rest| !rest.is_empty()));
        Ok(self.parts)
    }
}

/// Splits a frame without its length into kind, call number and body.
pub(crate) fn parse(frame: &[u8]) -> Option<(Kind, u64, &[u8])> {
    let kind = Kind::from_byte(*frame.first()?)?;
    let number = u64::from_be_bytes(frame.get(1..HEAD_BYTES)?.try_into().ok()?);
    Some((kind, number, &frame[HEAD_BYTES..]))
}

/// Decodes the body of a frame.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    postcard::from_bytes(body).ok()
}

/// Splits received bytes into frames.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_BYTES).new_codec()
}

/// Frames that are to be written. Long parts are written from where they are, the others together.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    parts: Vec<Bytes>,
    rest: BytesMut,
    len: usize,
}

impl Buffer {
    /// Adds a frame.
    pub(crate) fn push(&mut self, frame: Frame) {
        self.len += frame.len();
        for part in frame.into_parts() {
            if part.len() < MIN_PART_BYTES {
                self.rest.extend_from_slice(&part);
            } else {
                let before = self.rest.split().freeze();
                self.parts.extend(Some(before).filter(|before| !before.is_empty()));
                self.parts.push(part);
            }
        }
    }

    /// Adds bytes that are no frame.
    pub(crate) fn put(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
        self.len += bytes.len();
    }

    /// Size of what is to be written, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Whether there is nothing to be written.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes what is to be written, in order.
    pub(crate) fn take(&mut self) -> Vec<Bytes> {
        self.len = 0;
        let mut parts = std::mem::take(&mut self.parts);
        let rest = self.rest.split().freeze();
        parts.extend(Some(rest).filter(|rest| !rest.is_empty()));
        parts
    }
}
