//! Snapshots for replicas that lag behind the log.
//!
//! The state travels in parts. The leader asks its caller for each part when the receiver
//! has room for it, and the receiver hands each part to its caller as it comes, so that
//! neither holds the whole state in memory.

use crate::Millis;
use crate::consensus::message::{Message, Meta};
use crate::consensus::replica::{Id, Replica};

/// A part of a snapshot that the caller reads and gives to [`Replica::send_chunk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkRequest {
    /// Replica that receives it.
    pub to: Id,
    /// Offset in the snapshot, in bytes.
    pub offset: u64,
    /// Size, in bytes.
    pub len: usize,
}

/// A part of a snapshot that was received; parts come in order, and offset 0 starts anew.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Offset in the snapshot, in bytes.
    pub offset: u64,
    /// Content.
    pub data: Vec<u8>,
}

/// A snapshot being sent.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) meta: Meta,
    /// Tells it from other snapshots of the same term.
    number: u64,
    total: u64,
    /// Up to where the receiver has it.
    acknowledged: u64,
    /// Up to where parts were asked of the caller.
    asked: u64,
}

impl Outgoing {
    /// Goes back to what the receiver has.
    pub(crate) fn rewind(&mut self) {
        self.asked = self.acknowledged;
    }
}

/// A snapshot being received.
#[derive(Debug)]
pub(crate) struct Incoming {
    term: u64,
    number: u64,
    received: u64,
}

impl Replica {
    /// Starts to send the machine's state, which ends at `meta` and has `total` bytes, to a
    /// replica that lags; [`crate::consensus::Ready::chunk_requests`] then asks for its parts.
    pub fn start_snapshot(&mut self, to: Id, meta: Meta, total: u64) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        leadership.snapshots += 1;
        let number = leadership.snapshots;
        let Some(peer) = leadership.peers.get_mut(&to) else {
            return;
        };
        peer.awaits_snapshot = false;
        peer.next = meta.index + 1;
        peer.snapshot = Some(Outgoing { meta, number, total, acknowledged: 0, asked: 0 });
        self.want_parts(to);
    }

    /// Replicas that a snapshot is being sent to, each with the index at which it ends.
    pub fn snapshots(&self) -> impl Iterator<Item = (Id, u64)> {
        let peers = self.leadership_view().into_iter().flat_map(|leadership| &leadership.peers);
        peers.filter_map(|(id, peer)| Some((*id, peer.snapshot.as_ref()?.meta.index)))
    }

    /// Asks the caller for as many parts as the receiver has room for.
    pub(crate) fn want_parts(&mut self, to: Id) {
        let (len, window, now) =
            (self.settings.chunk_bytes, self.settings.chunk_window as u64, self.now);
        let Some(peer) = self.leadership().and_then(|l| l.peers.get_mut(&to)) else {
            return;
        };
        let Some(outgoing) = &mut peer.snapshot else {
            return;
        };
        peer.sent = now;
        let limit = outgoing.total.min(outgoing.acknowledged + window * len as u64);
        let mut wanted = Vec::new();
        while outgoing.asked < limit {
            wanted.push(ChunkRequest { to, offset: outgoing.asked, len });
            outgoing.asked += len as u64;
        }
        self.ready.chunk_requests.extend(wanted);
    }

    /// Sends a part that [`crate::consensus::Ready::chunk_requests`] asked for.
    pub fn send_chunk(&mut self, wanted: &ChunkRequest, data: Vec<u8>) {
        let term = self.hard_state.term;
        let Some(peer) = self.leadership().and_then(|l| l.peers.get(&wanted.to)) else {
            return;
        };
        let Some(outgoing) = &peer.snapshot else {
            return;
        };
        let message = Message::Chunk {
            term,
            meta: outgoing.meta.clone(),
            number: outgoing.number,
            offset: wanted.offset,
            total: outgoing.total,
            digest: *blake3::hash(&data).as_bytes(),
            data,
        };
        self.ready.messages.push((wanted.to, message));
    }

    pub(crate) fn on_chunk_reply(&mut self, from: Id, term: u64, number: u64, offset: u64) {
        if term != self.hard_state.term {
            return;
        }
        let now = self.now;
        let Some(peer) = self.leadership().and_then(|l| l.peers.get_mut(&from)) else {
            return;
        };
        peer.seen = Some(now);
        let Some(outgoing) = peer.snapshot.as_mut().filter(|s| s.number == number) else {
            return;
        };
        // A receiver that started anew has less than before.
        let is_back = offset < outgoing.acknowledged;
        let is_new = offset > outgoing.acknowledged;
        outgoing.acknowledged = offset;
        if is_back {
            outgoing.rewind();
        }
        if is_back || is_new {
            self.want_parts(from);
        }
    }

    /// Sends a heartbeat to a replica that gets a snapshot, and asks for the snapshot, or
    /// for parts that got lost.
    pub(crate) fn advance_snapshot(&mut self, to: Id, is_heartbeat: bool) {
        let (now, retry_ms): (Millis, Millis) = (self.now, self.settings.election_ms);
        let Some(leadership) = self.leadership() else {
            return;
        };
        let round = leadership.round();
        let Some(peer) = leadership.peers.get_mut(&to) else {
            return;
        };
        let is_stalled = peer.sent + retry_ms <= now;
        match &mut peer.snapshot {
            None => {
                let is_heard = peer.seen.is_some();
                if is_heard && !std::mem::replace(&mut peer.awaits_snapshot, true) {
                    self.ready.snapshot_targets.push(to);
                }
            }
            Some(outgoing) if is_stalled => {
                outgoing.rewind();
                self.want_parts(to);
            }
            Some(_) => {}
        }
        if is_heartbeat {
            self.send_empty(to, round);
        }
    }

    pub(crate) fn on_chunk(&mut self, from: Id, message: ChunkMessage) {
        if !self.follow(from, message.term) {
            return;
        }
        if self.log.term(message.meta.index) == Some(message.meta.term) {
            // Entries after the snapshot were acknowledged and must stay.
            self.commit = self.commit.max(message.meta.index);
        }
        if message.meta.index <= self.commit {
            self.incoming = None;
            self.reply_append(from, true, self.commit, 0);
            return;
        }
        let ChunkMessage { term, number, offset, .. } = message;
        let is_whole = *blake3::hash(&message.data).as_bytes() == message.digest;
        let is_same = |incoming: &Incoming| (incoming.term, incoming.number) == (term, number);
        let mut incoming = match self.incoming.take().filter(is_same) {
            Some(incoming) => incoming,
            None => Incoming { term, number, received: 0 },
        };
        if is_whole && offset == incoming.received {
            incoming.received += message.data.len() as u64;
            self.ready.chunks.push(Chunk { offset, data: message.data });
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

/// Fields of [`Message::Chunk`].
pub(crate) struct ChunkMessage {
    pub(crate) term: u64,
    pub(crate) meta: Meta,
    pub(crate) number: u64,
    pub(crate) offset: u64,
    pub(crate) total: u64,
    pub(crate) digest: [u8; 32],
    pub(crate) data: Vec<u8>,
}
