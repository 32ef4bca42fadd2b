//! Commands and queries of the control journal.

use crate::control::config::Config;
use crate::control::snapshot::{Order, Snapshot};
use crate::control::ticket::{Recorded, Ticket};
use crate::id::{Digest, Holder};
use crate::program::Refusal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change to the control state; each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sets the objects of the settings file, once, before the first ticket.
    Seed(Config),
    /// Applies a ticket.
    Ticket {
        /// The ticket.
        ticket: Ticket,
        /// Time since the Unix epoch, in milliseconds.
        now_ms: u64,
    },
    /// Records that each instance that may dispatch obeys a ticket.
    InForce {
        /// Number of the ticket.
        number: u64,
    },
    /// Starts a new life of an instance.
    Register {
        /// Name of the instance.
        instance: String,
        /// Random number of the process, so that a resend finds the same life.
        nonce: u64,
        /// Address for callers.
        address: String,
        /// Its failure domain.
        failure_domain: String,
    },
    /// Ends a life of an instance whose lease has run out or was given back.
    Expire(Holder),
    /// Sets or lifts draining of an instance.
    Drain {
        /// Name of the instance.
        instance: String,
        /// Whether it drains.
        is_draining: bool,
    },
    /// Reports a backend server crash at which content was present.
    Crash {
        /// The content.
        digest: Digest,
        /// Name of the backend server.
        server: String,
        /// The life of the backend server that ended.
        incarnation: u64,
        /// Time since the Unix epoch, in milliseconds.
        now_ms: u64,
        /// How long a quarantine lasts, in milliseconds.
        quarantine_ms: u64,
    },
    /// Asks to run suspect content alone.
    Try {
        /// The content.
        digest: Digest,
        /// Name of the backend server.
        server: String,
        /// The entry that runs it.
        holder: Holder,
    },
    /// Ends a trial; content that survived is no longer suspect.
    Tried {
        /// The content.
        digest: Digest,
        /// The entry that ran it.
        holder: Holder,
        /// Whether it was answered.
        is_cleared: bool,
    },
    /// Lifts a quarantine.
    Lift(Digest),
    /// Records that a backend server confirmed an order.
    Ordered {
        /// Name of the backend server.
        server: String,
        /// Number of the order.
        number: u64,
    },
}

/// Answer to a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command is in effect.
    Done,
    /// The ticket is accepted, now or before.
    Accepted(Recorded),
    /// The instance lives under this epoch.
    Registered {
        /// Number of the life.
        epoch: u64,
    },
    /// The content is quarantined.
    Quarantined,
    /// Nothing was changed, by a committed decision.
    Refused(Refusal),
}

/// A question about the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// What entries must obey.
    Snapshot,
    /// Version of what entries must obey.
    Version,
    /// Tickets with numbers above this one.
    Tickets {
        /// Number below the first.
        after: u64,
        /// The most tickets to return.
        limit: usize,
    },
    /// Tickets that are not yet in force.
    Pending {
        /// The most tickets to return.
        limit: usize,
    },
    /// Orders to backend servers.
    Orders,
}

/// Answer to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// What entries must obey.
    Snapshot(Box<Snapshot>),
    /// Version of what entries must obey.
    Version(u64),
    /// Tickets by number.
    Tickets(BTreeMap<u64, Recorded>),
    /// Orders by backend server.
    Orders(BTreeMap<String, Order>),
}
