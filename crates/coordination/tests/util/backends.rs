//! Simulated engines and tools, and the ledger of what they execute.

use coordination::Millis;
use coordination::entry::Dispatch;
use state::collections::Map;
use std::collections::BTreeSet;

/// One entry of the ledger.
#[derive(Debug, Clone)]
pub(crate) struct Execution {
    pub(crate) at: Millis,
    pub(crate) server: String,
    pub(crate) attempt: state::id::Attempt,
    pub(crate) is_idempotent: bool,
    pub(crate) tokens: u64,
}

/// State of one simulated backend server.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) incarnation: u64,
    pub(crate) is_down: bool,
    pub(crate) is_leaving: bool,
    pub(crate) cached_programs: BTreeSet<state::id::Program>,
    /// Running dispatches, by host, incarnation of the host and identifier of the dispatch.
    pub(crate) running: Map<(usize, u32, u64), Dispatch>,
}

/// Content that crashes a backend server.
pub(crate) const CRASH: &str = "poison";

/// Content that a tool neither executes nor answers.
pub(crate) const HANG: &str = "hang";

/// Content that a tool executes and whose answer is lost.
pub(crate) const LOSE_ANSWER: &str = "lose";

pub(crate) fn content_contains(dispatch: &Dispatch, word: &str) -> bool {
    String::from_utf8_lossy(&dispatch.content).contains(word)
}

/// Answer of an engine, which depends on the whole history and the content.
pub(crate) fn answer_of(history: &[Vec<u8>], content: &[u8]) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    for item in history {
        hasher.update(&(item.len() as u64).to_le_bytes());
        hasher.update(item);
    }
    hasher.update(content);
    hasher.finalize().to_hex()[..8].as_bytes().to_vec()
}
