//! Origins of streams that a later request may take up after they broke off.
//!
//! The output of different software versions of a service doesn't fit together, so a stream may go
//! on only at the version that began it. Its origin is recorded before the request is sent to a
//! backend server, so that any entry finds it, whatever happened to the one that sent it.

use crate::collections::Map;
use serde::{Deserialize, Serialize};

/// Backend servers whose output fits together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the service.
    pub service: String,
    /// Software version of the service's servers.
    pub software_version: String,
}

/// How a turn's stream starts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Id of the turn that brought the first event; `None` if the stream starts with this turn.
    pub first: Option<String>,
    /// Origins at which a new stream may start, the preferred one first. The origin of the
    /// program's last stream goes before them if it is one of them.
    pub candidates: Vec<Origin>,
    /// Minimum time for which the origin is kept, in milliseconds from the begin of the turn.
    pub kept_ms: u64,
}

/// Recorded origin of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Where the stream starts, or started.
    pub origin: Origin,
    /// Number of changes of the origin.
    pub revision: u64,
}

/// A stream whose origin is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Stream {
    assignment: Assignment,
    /// Time after which the origin is removed, in milliseconds since the Unix epoch.
    expires_ms: u64,
}

/// Origins of streams, by the id of the turn.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Streams(Map<String, Stream>);

impl Streams {
    /// Returns the recorded origin of a turn's stream.
    pub(crate) fn get(&self, turn: &str) -> Option<&Assignment> {
        self.0.get(turn).map(|stream| &stream.assignment)
    }

    /// Records the origin of a turn's stream, unless there is one.
    pub(crate) fn insert(&mut self, turn: &str, assignment: Assignment, expires_ms: u64) {
        self.0.entry(turn.to_owned()).or_insert(Stream { assignment, expires_ms });
    }

    /// Replaces the origin if `revision` is that of the recorded one, 0 if there is none. Returns
    /// what is recorded then.
    pub(crate) fn assign(
        &mut self,
        turn: &str,
        origin: Origin,
        revision: u64,
        expires_ms: u64,
    ) -> Assignment {
        let new = || Stream { assignment: Assignment::default(), expires_ms };
        let stream = self.0.entry(turn.to_owned()).or_insert_with(new);
        if stream.assignment.revision == revision {
            stream.assignment = Assignment { origin, revision: revision + 1 };
        }
        stream.assignment.clone()
    }

    /// Removes the origins that have expired.
    pub(crate) fn remove_expired(&mut self, now_ms: u64) {
        self.0.retain(|_, stream| stream.expires_ms > now_ms);
    }

    /// Whether an origin has expired.
    pub(crate) fn has_expired(&self, now_ms: u64) -> bool {
        self.0.values().any(|stream| stream.expires_ms <= now_ms)
    }

    /// Number of streams.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
