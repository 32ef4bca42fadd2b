//! Snapshot transfer to replicas that need entries which the leader has compacted.
//!
//! A snapshot is sent in chunks. The leader requests each chunk from its caller when the
//! receiver's window allows, and the receiver passes each chunk to its caller in order, so that
//! neither side holds the entire state in memory.
//!
//! A single connection carries less than the link does: its window is small, and one lost packet
//! stops it. Chunks therefore take turns on several connections, the lanes, and a receiver keeps
//! those that arrive early. It says so with a reply that earlier builds ignore; a receiver that has
//! not said so is sent all chunks on one connection.

use crate::Millis;
use crate::consensus::message::{Message, Meta};
use crate::consensus::replica::{Id, Replica};
use std::collections::BTreeMap;

/// Added to the snapshot number of a reply which tells that the receiver takes chunks in any order.
/// Earlier builds ignore it as a reply to another snapshot.
const ANY_ORDER: u64 = 1 << 63;

/// Request for a snapshot chunk that the caller must read and pass to
/// [`Replica::send_chunk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkRequest {
    /// Replica that the chunk is sent to.
    pub to: Id,
    /// Offset of the chunk in the snapshot, in bytes.
    pub offset: u64,
    /// Maximum size of the chunk, in bytes; the last one may be shorter.
    pub len: usize,
}

/// A received snapshot chunk; chunks arrive in order, and offset 0 starts a new snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Offset of the chunk in the snapshot, in bytes.
    pub offset: u64,
    /// Verified content of the chunk.
    pub data: Vec<u8>,
}

/// A snapshot being sent.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) meta: Meta,
    /// Distinguishes the snapshot from others of the same term.
    number: u64,
    /// Size of the entire snapshot, in bytes.
    total: u64,
    /// Contiguous bytes that the receiver has acknowledged.
    acknowledged: u64,
    /// Offset up to which chunks were requested from the caller.
    requested: u64,
    /// Whether the receiver takes chunks in any order.
    is_any_order: bool,
}

impl Outgoing {
    /// Marks all chunks that the receiver has not acknowledged to be requested again.
    pub(crate) fn rewind(&mut self) {
        self.requested = self.acknowledged;
    }
}

/// A snapshot being received.
#[derive(Debug)]
pub(crate) struct Incoming {
    term: u64,
    number: u64,
    /// Contiguous bytes received so far.
    received: u64,
    /// Chunks that arrived before the one at `received`, by offset.
    ahead: BTreeMap<u64, Vec<u8>>,
}

impl Incoming {
    /// Takes a chunk; returns the chunks that are next in order. A chunk that lies more than
    /// `max_ahead` bytes ahead is dropped, and requested again by its sender.
    fn take(&mut self, offset: u64, data: Vec<u8>, max_ahead: u64) -> Vec<Chunk> {
        if (self.received..=self.received.saturating_add(max_ahead)).contains(&offset) {
            self.ahead.insert(offset, data);
        }
        let mut chunks = Vec::new();
        while let Some(data) = self.ahead.remove(&self.received) {
            chunks.push(Chunk { offset: self.received, data });
            self.received += chunks.last().map_or(0, |chunk| chunk.data.len() as u64);
        }
        chunks
    }
}

impl Replica {
    /// Starts sending a snapshot of the state machine, described by `meta` and `total` bytes
    /// long, to a lagging replica. [`crate::consensus::Ready::chunk_requests`] then lists the
    /// chunks to read.
    pub fn start_snapshot(&mut self, to: Id, meta: Meta, total: u64) {
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.snapshots += 1;
        let number = leadership.snapshots;
        let Some(peer) = leadership.peers.get_mut(&to) else {
            return;
        };
        peer.is_snapshot_pending = false;
        peer.rewind_to(meta.index + 1);
        peer.snapshot = Some(Outgoing {
            meta,
            number,
            total,
            acknowledged: 0,
            requested: 0,
            is_any_order: false,
        });
        self.request_chunks(to);
    }

    /// Replicas to which a snapshot is being sent, each with the snapshot's last index.
    pub fn snapshots(&self) -> impl Iterator<Item = (Id, u64)> {
        let peers = self.leadership().into_iter().flat_map(|leadership| &leadership.peers);
        peers.filter_map(|(id, peer)| Some((*id, peer.snapshot.as_ref()?.meta.index)))
    }

    /// Lane on which to send a message: 0 for those that must arrive in order, otherwise one of
    /// [`crate::consensus::Settings::chunk_lanes`].
    pub fn lane(&self, to: Id, message: &Message) -> usize {
        let Message::Chunk { offset, .. } = message else {
            return 0;
        };
        let peer = self.leadership().and_then(|leadership| leadership.peers.get(&to));
        let outgoing = peer.and_then(|peer| peer.snapshot.as_ref());
        if !outgoing.is_some_and(|outgoing| outgoing.is_any_order) {
            return 0;
        }
        let number = offset / (self.settings.chunk_bytes.max(1) as u64);
        let lanes = self.settings.chunk_lanes.max(1) as u64;
        1 + usize::try_from(number % lanes).unwrap_or(0)
    }

    /// Requests as many chunks from the caller as fit into the receiver's window.
    pub(crate) fn request_chunks(&mut self, to: Id) {
        let (len, window, now) =
            (self.settings.chunk_bytes, self.settings.chunk_window as u64, self.now);
        let Some(peer) = self.leadership_mut().and_then(|l| l.peers.get_mut(&to)) else {
            return;
        };
        let Some(outgoing) = &mut peer.snapshot else {
            return;
        };
        peer.last_sent = now;
        let limit = outgoing.total.min(outgoing.acknowledged + window * len as u64);
        let mut requests = Vec::new();
        while outgoing.requested < limit {
            requests.push(ChunkRequest { to, offset: outgoing.requested, len });
            outgoing.requested += len as u64;
        }
        self.ready.chunk_requests.extend(requests);
    }

    /// Sends a chunk requested by [`crate::consensus::Ready::chunk_requests`].
    pub fn send_chunk(&mut self, request: &ChunkRequest, data: Vec<u8>) {
        let term = self.hard_state.term;
        let Some(peer) = self.leadership_mut().and_then(|l| l.peers.get(&request.to)) else {
            return;
        };
        let Some(outgoing) = &peer.snapshot else {
            return;
        };
        let message = Message::Chunk {
            term,
            meta: outgoing.meta.clone(),
            number: outgoing.number,
            offset: request.offset,
            total: outgoing.total,
            digest: *blake3::hash(&data).as_bytes(),
            data,
        };
        self.ready.messages.push((request.to, message));
    }

    pub(crate) fn on_chunk_reply(&mut self, from: Id, term: u64, number: u64, offset: u64) {
        if term != self.hard_state.term {
            return;
        }
        let now = self.now;
        let Some(peer) = self.leadership_mut().and_then(|l| l.peers.get_mut(&from)) else {
            return;
        };
        peer.last_reply = Some(now);
        let is_same = |outgoing: &&mut Outgoing| outgoing.number == number & !ANY_ORDER;
        let Some(outgoing) = peer.snapshot.as_mut().filter(is_same) else {
            return;
        };
        if number & ANY_ORDER != 0 {
            outgoing.is_any_order = true;
            return;
        }
        // A restarted receiver acknowledges less than before.
        let has_restarted = offset < outgoing.acknowledged;
        let has_advanced = offset > outgoing.acknowledged;
        outgoing.acknowledged = offset;
        if has_restarted {
            outgoing.rewind();
        }
        if has_restarted || has_advanced {
            self.request_chunks(from);
        }
    }

    /// Continues the snapshot transfer to a replica: requests the snapshot from the caller if
    /// there is none, or requests unacknowledged chunks again if the transfer has stalled.
    /// Also sends a heartbeat if `is_heartbeat` is set.
    pub(crate) fn advance_snapshot(&mut self, to: Id, is_heartbeat: bool) {
        let (now, retry_ms): (Millis, Millis) = (self.now, self.settings.election_ms);
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let round = leadership.round();
        let Some(peer) = leadership.peers.get_mut(&to) else {
            return;
        };
        let is_stalled = peer.last_sent + retry_ms <= now;
        match &mut peer.snapshot {
            None => {
                let has_replied = peer.last_reply.is_some();
                if has_replied && !std::mem::replace(&mut peer.is_snapshot_pending, true) {
                    self.ready.snapshot_targets.push(to);
                }
            }
            Some(outgoing) if is_stalled => {
                outgoing.rewind();
                self.request_chunks(to);
            }
            Some(_) => {}
        }
        if is_heartbeat {
            self.send_heartbeat(to, round);
        }
    }

    pub(crate) fn on_chunk(&mut self, from: Id, message: ChunkMessage) {
        if !self.accept_leader(from, message.term) {
            return;
        }
        if self.log.term(message.meta.index) == Some(message.meta.term) {
            // The log already contains the snapshot's last entry. Installing the snapshot would
            // drop later entries that this replica has acknowledged.
            self.commit = self.commit.max(message.meta.index);
        }
        if message.meta.index <= self.commit {
            self.incoming = None;
            self.reply_append(from, true, self.commit, 0);
            return;
        }
        let ChunkMessage { term, number, offset, .. } = message;
        let known = self.incoming.as_ref().map(|incoming| (incoming.term, incoming.number));
        if known.is_some_and(|known| known > (term, number)) {
            // A late chunk of an earlier snapshot, which the current one replaces.
            return;
        }
        let mut incoming = match self.incoming.take().filter(|_| known == Some((term, number))) {
            Some(incoming) => incoming,
            None => {
                let reply = Message::ChunkReply { term, number: number | ANY_ORDER, offset: 0 };
                self.ready.messages.push((from, reply));
                Incoming { term, number, received: 0, ahead: BTreeMap::new() }
            }
        };
        let is_intact = *blake3::hash(&message.data).as_bytes() == message.digest;
        if is_intact {
            let max_ahead = self.settings.chunk_window as u64 * self.settings.chunk_bytes as u64;
            self.ready.chunks.extend(incoming.take(offset, message.data, max_ahead));
        }
        if incoming.received >= message.total {
            self.install(from, message.meta);
            return;
        }
        let reply = Message::ChunkReply { term, number, offset: incoming.received };
        self.incoming = Some(incoming);
        self.ready.persisted_messages.push((from, reply));
    }

    fn install(&mut self, from: Id, meta: Meta) {
        self.log.reset(meta.index, meta.term);
        self.base_members = meta.members.clone();
        self.refresh_members();
        self.commit = meta.index;
        self.delivered = meta.index;
        self.synced = meta.index;
        self.ready.entries.clear();
        self.ready.committed.clear();
        self.ready.truncate = None;
        self.reply_append(from, true, meta.index, 0);
        self.ready.install = Some(meta);
    }
}

/// Fields of a received [`Message::Chunk`].
pub(crate) struct ChunkMessage {
    pub(crate) term: u64,
    pub(crate) meta: Meta,
    pub(crate) number: u64,
    pub(crate) offset: u64,
    pub(crate) total: u64,
    pub(crate) digest: [u8; 32],
    pub(crate) data: Vec<u8>,
}
