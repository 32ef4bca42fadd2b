//! Bodies of the calls that backend servers answer.
//!
//! Model engines take the usual chat-completions shape and send server-sent events; each
//! event carries its offset, so that a cut stream is resumed and never joined twice.

use coordination::entry::Load;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Header with the key under which a tool executes a call at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Path of chat completions on an engine.
pub const COMPLETIONS: &str = "/v1/chat/completions";
/// Path to resume a stream on an engine.
pub const RESUME: &str = "/v1/resume";
/// Path to cancel a stream on an engine.
pub const CANCEL: &str = "/v1/cancel";
/// Path to release a program's memory on an engine.
pub const RELEASE: &str = "/v1/release";
/// Path of the load report.
pub const LOAD: &str = "/v1/load";
/// Path for orders to an engine.
pub const ORDERS: &str = "/v1/orders";
/// Path to execute a call on a tool.
pub const EXECUTE: &str = "/v1/execute";
/// Path to ask a tool for an outcome.
pub const OUTCOME: &str = "/v1/outcome";

/// A chat completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Name of the model's service.
    pub model: String,
    /// Names the stream: program, call and attempt.
    pub stream_id: String,
    /// The program, whose memory a release frees.
    pub session: String,
    /// Conversation.
    pub messages: Vec<Value>,
    /// The most tokens to generate.
    pub max_tokens: u64,
    /// Always true.
    pub stream: bool,
}

/// One event of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Stream that it belongs to.
    pub stream_id: String,
    /// Tokens before this one.
    pub offset: u64,
    /// Choices; always one.
    pub choices: Vec<Choice>,
    /// Totals, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Part of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// New text.
    pub delta: Delta,
    /// Why the answer ended, in the last event.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// New text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: String,
}

/// Totals of an answer, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt.
    pub prompt_tokens: u64,
    /// Answer.
    pub completion_tokens: u64,
    /// Prompt tokens that came from the cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Names a stream and where to go on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// The stream.
    pub stream_id: String,
    /// Tokens that have arrived.
    #[serde(default)]
    pub from: u64,
}

/// Releases a program's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The program.
    pub session: String,
}

/// An order to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: the controller's term, then the order's number.
    pub fence: (u64, u64),
    /// Version of model and adapters.
    pub version: String,
}

/// An engine's report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its load.
    #[serde(flatten)]
    pub load: Load,
    /// Version that is loaded.
    #[serde(default)]
    pub version: String,
}

/// Asks a tool for the outcome of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The key.
    pub key: String,
}

/// What a tool knows of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The recorded answer, if the call was executed.
    pub answer: Option<String>,
}

/// The platform's list of backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Names of those that are leaving.
    pub leaving: Vec<String>,
}

/// Chat messages of history items and a new call.
///
/// Items alternate between what a call added and its answer. A call that added an array
/// was a model call; anything else was a tool call.
pub fn messages(history: &[Vec<u8>], content: &[u8]) -> Vec<Value> {
    let mut messages = Vec::new();
    for pair in history.chunks(2) {
        let role = match pair.first().map(|added| append(&mut messages, added)) {
            Some(true) => "assistant",
            _ => "tool",
        };
        let answer = pair.get(1).map_or(String::new(), |a| String::from_utf8_lossy(a).into());
        messages.push(serde_json::json!({ "role": role, "content": answer }));
    }
    append(&mut messages, content);
    messages
}

/// Appends what a call added; `true` if it was a model call.
fn append(messages: &mut Vec<Value>, added: &[u8]) -> bool {
    match serde_json::from_slice(added) {
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
