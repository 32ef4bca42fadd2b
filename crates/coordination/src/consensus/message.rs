//! Messages exchanged by the replicas of one group.
//!
//! Each message carries its sender's term, except that a pre-vote request and a granted
//! pre-vote reply carry the next term.

use crate::consensus::log::{Entry, Members};
use serde::{Deserialize, Serialize};

/// Describes the log prefix that a snapshot replaces.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// Index of the last entry included in the snapshot.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Group members as of that index.
    pub members: Members,
}

/// A message to another replica of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote or, as a pre-vote, asks whether the receiver would grant one.
    Vote {
        /// Candidate's term; for a pre-vote, the term that it would campaign in.
        term: u64,
        /// Whether this is a pre-vote, which changes neither term nor vote of the receiver.
        is_pre_vote: bool,
        /// Whether the current leader requested this election to transfer its leadership.
        /// Receivers then consider the request even if they have recent contact with that leader.
        is_transfer: bool,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Term of the request if granted, otherwise the voter's term.
        term: u64,
        /// Whether this answers a pre-vote.
        is_pre_vote: bool,
        /// Whether the vote was granted.
        is_granted: bool,
    },
    /// Appends entries; serves as a heartbeat if `entries` is empty.
    Append {
        /// Leader's term.
        term: u64,
        /// Index of the entry that precedes `entries`.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries to append, in ascending order of index; may be empty.
        entries: Vec<Entry>,
        /// Leader's commit index, or 0 if the message must not advance the follower's.
        commit: u64,
        /// Heartbeat round that confirms the leadership for pending reads.
        round: u64,
    },
    /// Reply to an append.
    AppendReply {
        /// Follower's term.
        term: u64,
        /// Whether the follower's log matched at `prev_index`, so that it appended the entries.
        is_ok: bool,
        /// On success, the last index known to match and to be durable; otherwise a hint for
        /// the index after which the leader should resume.
        index: u64,
        /// Heartbeat round copied from the append.
        round: u64,
    },
    /// One chunk of a snapshot.
    Chunk {
        /// Leader's term.
        term: u64,
        /// Log prefix that the snapshot replaces.
        meta: Meta,
        /// Distinguishes the snapshots that a leader sends within one term.
        number: u64,
        /// Offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// Size of the entire snapshot, in bytes.
        total: u64,
        /// BLAKE3 digest of `data`.
        digest: [u8; 32],
        /// Content of the chunk.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// Reply to a chunk; acknowledges the contiguous bytes received.
    ChunkReply {
        /// Receiver's term.
        term: u64,
        /// Number of the snapshot that the chunk belonged to.
        number: u64,
        /// Bytes received so far, which is also the offset expected next.
        offset: u64,
    },
    /// Requests that a follower start an election immediately (leadership transfer).
    Transfer {
        /// Leader's term.
        term: u64,
    },
}

impl Message {
    /// Term carried by the message, whatever its kind.
    pub fn term(&self) -> u64 {
        match self {
            Message::Vote { term, .. }
            | Message::VoteReply { term, .. }
            | Message::Append { term, .. }
            | Message::AppendReply { term, .. }
            | Message::Chunk { term, .. }
            | Message::ChunkReply { term, .. }
            | Message::Transfer { term } => *term,
        }
    }
}
