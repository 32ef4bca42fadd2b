//! Bodies of the calls that callers and operators make.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use state::budget::Amount;
use state::error::Executed;

/// Answer to "which entry".
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Which {
    /// Name of the instance.
    pub instance: String,
    /// Address to connect to.
    pub address: String,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// Opens a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Open {
    /// Name of the program; a sub-agent's is its parent's, a dot, and its own.
    pub program: String,
    /// What it may draw.
    pub budget: Amount,
    /// End of its time, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Labels for placement.
    #[serde(default)]
    pub labels: Vec<String>,
}

/// Makes one call of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Sequence number, counted from 1.
    pub seq: u64,
    /// Name of the service.
    pub service: String,
    /// New chat messages for a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<Value>>,
    /// Arguments for a tool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arguments: Option<Value>,
    /// Whether the call may be executed again.
    #[serde(default)]
    pub idempotent: bool,
    /// The most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// The most money that the call may draw, in the deployment's smallest unit.
    #[serde(default)]
    pub cost: u64,
    /// Whether tokens are sent as they arrive.
    #[serde(default)]
    pub stream: bool,
}

fn default_max_tokens() -> u64 {
    256
}

/// The whole answer of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Name of the program.
    pub program: String,
    /// Sequence number of the call.
    pub seq: u64,
    /// Whether the call was executed.
    pub ran: Executed,
    /// The answer.
    pub content: String,
    /// What the call drew.
    pub spent: Amount,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// Tokens of one attempt; a higher attempt replaces what came before.
    Chunk {
        /// Attempt that generated them.
        attempt: u32,
        /// Text.
        text: String,
    },
    /// The answer is whole and recorded.
    Done(Answer),
    /// The call failed.
    Error(crate::answer::Refusal),
}

/// Status of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Number of the ticket.
    pub number: u64,
    /// Version of the control state that includes it.
    pub version: u64,
    /// Whether each instance that may dispatch obeys it.
    pub in_force: bool,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Objects that it touched, as class and name.
    pub objects: Vec<String>,
}

/// Anything that succeeded without more to say.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Always true.
    pub done: bool,
}
