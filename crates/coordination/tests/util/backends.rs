//! Fake engines and tools with ledgers.

use coordination::Millis;
use coordination::entry::Dispatch;
use state::collections::Map;
use std::collections::BTreeSet;

/// One execution in a ledger.
#[derive(Debug, Clone)]
pub(crate) struct Execution {
    pub(crate) at: Millis,
    pub(crate) server: String,
    pub(crate) attempt: state::id::Attempt,
    pub(crate) is_idempotent: bool,
    pub(crate) tokens: u64,
}

/// One backend server.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) incarnation: u64,
    pub(crate) is_down: bool,
    pub(crate) is_leaving: bool,
    pub(crate) cached_programs: BTreeSet<state::id::Program>,
    /// Running dispatches: entry's host, its boot and the dispatch.
    pub(crate) running: Map<(usize, u32, u64), Dispatch>,
}

/// Content that crashes an engine.
pub(crate) const CRASH: &str = "poison";
/// Content that a tool never answers and does not execute.
pub(crate) const HANG: &str = "hang";
/// Content that a tool executes without an answer.
pub(crate) const LOSE_ANSWER: &str = "lose";

pub(crate) fn content_contains(dispatch: &Dispatch, word: &str) -> bool {
    String::from_utf8_lossy(&dispatch.content).contains(word)
}

/// An engine's answer: a function of history and content.
pub(crate) fn answer_of(history: &[Vec<u8>], content: &[u8]) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    for item in history {
        hasher.update(&(item.len() as u64).to_le_bytes());
        hasher.update(item);
    }
    hasher.update(content);
    hasher.finalize().to_hex()[..8].as_bytes().to_vec()
}
