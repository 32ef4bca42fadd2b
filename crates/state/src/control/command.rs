//! Commands and queries of the control journal, with their replies.

use crate::control::config::Config;
use crate::control::snapshot::{Order, Snapshot};
use crate::control::ticket::{Acceptance, Ticket};
use crate::id::{Digest, Holder};
use crate::program::Refusal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change to the control state. Each command is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sets the objects of the settings file; has no effect once objects or tickets exist.
    Seed(Config),
    /// Applies a change ticket.
    Ticket {
        /// Ticket to apply.
        ticket: Ticket,
        /// Current time, in milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// Records that every instance that may dispatch calls has applied a ticket.
    MarkInForce {
        /// Number of the ticket.
        number: u64,
    },
    /// Starts a new incarnation of an instance.
    Register {
        /// Name of the instance.
        instance: String,
        /// Random number of the process, so that a repeated command gets the same incarnation.
        nonce: u64,
        /// Address at which callers reach the instance.
        address: String,
        /// Failure domain of the instance.
        failure_domain: String,
    },
    /// Ends the incarnation of an instance whose lease has expired or was released.
    Expire(Holder),
    /// Starts or stops draining an instance.
    Drain {
        /// Name of the instance.
        instance: String,
        /// Whether the instance is to drain.
        is_draining: bool,
    },
    /// Reports that a backend server crashed while it executed some content.
    ReportCrash {
        /// Digest of the content.
        digest: Digest,
        /// Name of the backend server.
        server: String,
        /// Incarnation of the backend server that crashed.
        incarnation: u64,
        /// Current time, in milliseconds since the Unix epoch.
        now_ms: u64,
        /// Duration of a quarantine, in milliseconds.
        quarantine_ms: u64,
    },
    /// Requests a trial run of suspect content, alone on one backend server.
    Trial {
        /// Digest of the content.
        digest: Digest,
        /// Name of the backend server.
        server: String,
        /// Lease holder that runs the trial.
        holder: Holder,
    },
    /// Ends a trial run; content that was answered is no longer suspect.
    EndTrial {
        /// Digest of the content.
        digest: Digest,
        /// Lease holder that ran the trial.
        holder: Holder,
        /// Whether the content was answered without a crash.
        is_cleared: bool,
    },
    /// Lifts the quarantine of the content with this digest, and clears its reported crashes.
    LiftQuarantine(Digest),
    /// Records that a backend server confirmed an order.
    ConfirmOrder {
        /// Name of the backend server.
        server: String,
        /// Number of the confirmed order.
        number: u64,
    },
}

/// Reply to a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command is in effect.
    Done,
    /// The ticket is accepted, by this command or an earlier one.
    Accepted(Acceptance),
    /// The instance is registered.
    Registered {
        /// Incarnation number of the instance.
        epoch: u64,
    },
    /// The content is quarantined.
    Quarantined,
    /// The command is refused and changed nothing; the decision itself is committed.
    Refused(Refusal),
}

/// A read of the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Current snapshot.
    Snapshot,
    /// Version of the current snapshot.
    Version,
    /// Accepted tickets with numbers above `after`.
    Tickets {
        /// Lower bound of the numbers, exclusive.
        after: u64,
        /// Maximum number of tickets to return.
        limit: usize,
    },
    /// Accepted tickets that are not yet in force.
    Pending {
        /// Maximum number of tickets to return.
        limit: usize,
    },
    /// Latest order to each backend server.
    Orders,
}

/// Result of a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// Current snapshot.
    Snapshot(Box<Snapshot>),
    /// Version of the current snapshot.
    Version(u64),
    /// Accepted tickets by number.
    Tickets(BTreeMap<u64, Acceptance>),
    /// Latest order to each backend server, by name.
    Orders(BTreeMap<String, Order>),
}
