//! Handle to the thread of a replica: the work that it accepts, and the status that it publishes.

use bytes::Bytes;
use coordination::consensus::{Id, Message};
use coordination::membership::Candidate;
use protocol::wire::Envelope;
use std::sync::mpsc::Sender;
use std::time::Instant;
use tokio::sync::{oneshot, watch};

/// Sends consensus messages to the other replicas of a group.
pub(crate) trait MessageSender: Send + Sync {
    /// Sends a message to the instance `to`. The message may be lost; consensus repeats it.
    fn send(&self, to: &str, envelope: Envelope);

    /// Sends a message on one of several lanes, which keep no order among each other; messages on
    /// lane 0 keep it with those of [`MessageSender::send`]. A transport without lanes sends all
    /// messages in order.
    fn send_on(&self, _lane: usize, to: &str, envelope: Envelope) {
        self.send(to, envelope);
    }
}

/// Result of a command or query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Encoded reply of the state machine.
    Data(Bytes),
    /// The local replica does not lead; holds the instance that leads, if it is known.
    NotLeader(Option<String>),
    /// No result is known: the command may or may not take effect.
    Unknown,
}

/// Work for the replica's thread.
pub(crate) enum Job {
    /// Consensus messages received from an instance, with the ids of the sending replicas.
    Messages { instance: String, messages: Vec<(Id, Message)> },
    /// A command to replicate; answered once it is applied.
    Submit { command: Bytes, arrived_at: Instant, reply: oneshot::Sender<Outcome> },
    /// A linearizable query.
    Query { query: Vec<u8>, arrived_at: Instant, reply: oneshot::Sender<Outcome> },
    /// A query of the state that the local replica has applied, which may be outdated.
    QueryApplied { query: Vec<u8>, reply: oneshot::Sender<Outcome> },
    /// A request to add a replica, which replaces the previous replica of its instance.
    Join { instance: String, id: Id },
    /// Instances that can hold a replica now.
    Candidates(Vec<Candidate>),
    /// Transfers the leadership to another replica.
    Transfer,
    /// Returns a JSON dump of the state machine.
    Dump { reply: oneshot::Sender<String> },
}

/// Published status of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Status {
    pub(crate) is_leader: bool,
    /// Whether the replica leads and knows every committed entry.
    pub(crate) is_established: bool,
    pub(crate) is_voter: bool,
    pub(crate) term: u64,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) last_index: u64,
    /// Index of the last entry that is no longer in memory.
    pub(crate) base_index: u64,
    /// Size of the entries in memory, in bytes.
    pub(crate) log_bytes: u64,
    /// Commands refused since the start because too many bytes waited for a quorum or
    /// were retained.
    pub(crate) refused_full: u64,
    /// Commands and queries that got a result since the start.
    pub(crate) answered: u64,
    /// Total time from their arrival to the result, in microseconds.
    pub(crate) answer_micros: u64,
    /// Those that took longer than their senders wait for a response.
    pub(crate) overdue: u64,
    /// Commands and queries without a result.
    pub(crate) unanswered: usize,
    /// Name or address of the instance that leads.
    pub(crate) leader: Option<String>,
    /// Replica id, instance, and whether the replica votes.
    pub(crate) members: Vec<(Id, String, bool)>,
    /// Whether the last membership change is committed.
    pub(crate) is_settled: bool,
    pub(crate) syncs: u64,
    /// Total duration of all syncs, in microseconds.
    pub(crate) sync_micros: u64,
    pub(crate) bytes_written: u64,
    /// Error that stopped the replica.
    pub(crate) fault: Option<String>,
}

/// Handle to a replica's thread, which ends when all its handles are dropped.
#[derive(Clone)]
pub(crate) struct Handle {
    pub(crate) jobs: Sender<Job>,
    pub(crate) status: watch::Receiver<Status>,
}

impl Handle {
    /// Replicates a command and returns the reply of the state machine.
    pub(crate) async fn submit(&self, command: Bytes) -> Outcome {
        let (reply, response) = oneshot::channel();
        let arrived_at = Instant::now();
        if self.jobs.send(Job::Submit { command, arrived_at, reply }).is_err() {
            return Outcome::NotLeader(None);
        }
        response.await.unwrap_or(Outcome::Unknown)
    }

    /// Runs a linearizable query.
    pub(crate) async fn query(&self, query: Vec<u8>) -> Outcome {
        let (reply, response) = oneshot::channel();
        let arrived_at = Instant::now();
        if self.jobs.send(Job::Query { query, arrived_at, reply }).is_err() {
            return Outcome::NotLeader(None);
        }
        response.await.unwrap_or(Outcome::Unknown)
    }

    /// Submits a command, then queries the state that includes its effect. The view is empty if there is
    /// no memory for it.
    pub(crate) async fn submit_then_query(
        &self,
        command: Bytes,
        query: Vec<u8>,
    ) -> Result<(Bytes, Bytes), Outcome> {
        let reply = match self.submit(command).await {
            Outcome::Data(reply) => reply,
            other => return Err(other),
        };
        // The command has been applied to the local state machine, so its state includes it.
        match self.query_applied(query).await {
            Outcome::Data(view) => Ok((reply, view)),
            Outcome::NotLeader(_) => Ok((reply, Bytes::new())),
            Outcome::Unknown => Err(Outcome::Unknown),
        }
    }

    /// Queries the locally applied state without confirmation by a quorum.
    pub(crate) async fn query_applied(&self, query: Vec<u8>) -> Outcome {
        let (reply, response) = oneshot::channel();
        if self.jobs.send(Job::QueryApplied { query, reply }).is_err() {
            return Outcome::NotLeader(None);
        }
        response.await.unwrap_or(Outcome::Unknown)
    }

    /// Whether the replica leads and knows every committed entry.
    pub(crate) fn leads(&self) -> bool {
        self.status.borrow().is_established
    }
}
