//! Request and response bodies of the HTTP interface of backend servers.
//!
//! Model engines accept chat completions and respond with server-sent events. Each event
//! carries its token offset, so that an interrupted stream is resumed without duplicates.

use crate::entries::Entries;
use coordination::entry::Load;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Header with the idempotency key; a tool executes a call at most once per key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Path of chat completions, on engines.
pub const COMPLETIONS: &str = "/v1/chat/completions";
/// Path for resuming a stream, on engines.
pub const RESUME: &str = "/v1/resume";
/// Path for cancelling a stream, on engines.
pub const CANCEL: &str = "/v1/cancel";
/// Path for releasing the cached state of a program, on engines.
pub const RELEASE: &str = "/v1/release";
/// Path of the load report, on all backend servers.
pub const LOAD: &str = "/v1/load";
/// Path for orders to load a version, on engines.
pub const ORDERS: &str = "/v1/orders";
/// Path for executing a call, on tools.
pub const EXECUTE: &str = "/v1/execute";
/// Path for querying the outcome of a call, on tools.
pub const OUTCOME: &str = "/v1/outcome";

/// Request for a chat completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Name of the model's service.
    pub model: String,
    /// Id of the stream, made of the program, the call and the attempt.
    pub stream_id: String,
    /// Program that the stream belongs to; [`Release`] frees its cached state.
    pub session: String,
    /// Chat messages of the conversation so far.
    pub messages: Vec<Value>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Always `true`: completions are streamed.
    pub stream: bool,
}

/// One event of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the stream that the event belongs to.
    pub stream_id: String,
    /// Number of tokens in the stream before this event.
    pub offset: u64,
    /// Choices; there is always exactly one.
    pub choices: Vec<Choice>,
    /// Token counts; present only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Part of the answer in one event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Text that the event adds.
    pub delta: Delta,
    /// Reason why the answer ended; present only in the last event.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text that an event adds to the answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The added text.
    #[serde(default)]
    pub content: String,
}

/// Token counts of a complete answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the answer.
    pub completion_tokens: u64,
    /// Number of prompt tokens that were served from the cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Request to resume or cancel a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Id of the stream.
    pub stream_id: String,
    /// Number of tokens already received, at which a resumed stream continues.
    #[serde(default)]
    pub from: u64,
}

/// Request to release the cached state of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Program whose cached state is released.
    pub session: String,
}

/// Order to an engine to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: the controller's term and the order's number, compared in that order.
    pub fence: (u64, u64),
    /// Version of the model and its adapters.
    pub version: String,
}

/// Load report of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Current load.
    #[serde(flatten)]
    pub load: Load,
    /// Loaded version of the model and its adapters; empty for tools.
    #[serde(default)]
    pub version: String,
}

/// Query for the outcome of a call of a tool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Idempotency key of the call.
    pub key: String,
}

/// Response of a tool to a [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Recorded answer; `None` if the call was not executed.
    pub answer: Option<String>,
}

/// Response of the platform's instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Names of the backend servers that are about to stop.
    pub leaving: Entries<String>,
}

/// Builds the chat messages for a model from a program's history and a new call.
///
/// History items alternate between the content of a call and its answer. Content that is a
/// JSON array belongs to a call of a model, any other content to a call of a tool.
pub fn messages(history: &[Vec<u8>], content: &[u8]) -> Vec<Value> {
    let mut messages = Vec::new();
    for pair in history.chunks(2) {
        let role = match pair.first().map(|content| append(&mut messages, content)) {
            Some(true) => "assistant",
            _ => "tool",
        };
        let answer = pair.get(1).map_or(String::new(), |a| String::from_utf8_lossy(a).into());
        messages.push(serde_json::json!({ "role": role, "content": answer }));
    }
    append(&mut messages, content);
    messages
}

/// Appends the messages in the content of a call; returns whether it was a call of a model.
fn append(messages: &mut Vec<Value>, content: &[u8]) -> bool {
    match serde_json::from_slice(content) {
        Ok(Value::Array(items)) => {
            messages.extend(items);
            true
        }
        Ok(arguments) => {
            let content = arguments.to_string();
            messages.push(serde_json::json!({ "role": "assistant", "content": content }));
            false
        }
        Err(_) => false,
    }
}
