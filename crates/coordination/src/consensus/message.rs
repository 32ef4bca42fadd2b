//! Messages between replicas of one journal.

use crate::consensus::log::{Entry, Members};
use serde::{Deserialize, Serialize};

/// What a snapshot includes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// Last index that it includes.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Members as of that index.
    pub members: Members,
}

/// A message to another replica; `term` is the sender's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or whether one would be given.
    Vote {
        /// Term, or the next one for a pre-vote.
        term: u64,
        /// Whether no vote is cast yet.
        is_pre_vote: bool,
        /// Whether the current leader asked for this election.
        is_transfer: bool,
        /// Candidate's last index.
        last_index: u64,
        /// Candidate's last term.
        last_term: u64,
    },
    /// Answers a vote request.
    VoteReply {
        /// Term of the request if granted, else the voter's.
        term: u64,
        /// Whether no vote was cast.
        is_pre_vote: bool,
        /// Whether it was granted.
        is_granted: bool,
    },
    /// Appends entries; without any it is a heartbeat.
    Append {
        /// Term.
        term: u64,
        /// Index before the first entry.
        prev_index: u64,
        /// Term of that index.
        prev_term: u64,
        /// Entries.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// Confirmation round, for reads.
        round: u64,
    },
    /// Answers an append.
    AppendReply {
        /// Term.
        term: u64,
        /// Whether the entries were appended.
        is_ok: bool,
        /// Last index that is equal and synced, or a hint where to go on.
        index: u64,
        /// Round of the append.
        round: u64,
    },
    /// One part of a snapshot.
    Chunk {
        /// Term.
        term: u64,
        /// What the snapshot includes.
        meta: Meta,
        /// Tells the snapshot from others of the term.
        number: u64,
        /// Offset of this part, in bytes.
        offset: u64,
        /// Size of the whole, in bytes.
        total: u64,
        /// BLAKE3 digest of this part.
        digest: [u8; 32],
        /// This part.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// Answers a part with the next offset wanted.
    ChunkReply {
        /// Term.
        term: u64,
        /// Number of the snapshot.
        number: u64,
        /// Bytes received so far.
        offset: u64,
    },
    /// Tells a follower to start an election at once.
    Transfer {
        /// Term.
        term: u64,
    },
}

impl Message {
    /// Term that the message carries.
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
