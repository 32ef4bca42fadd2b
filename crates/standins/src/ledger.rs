//! Append-only log of what a stand-in executed, with one JSON line per event.
//!
//! The file survives a crash of the stand-in, so [`crate::check`] can compare it with the
//! outcomes that callers saw.

use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// One line of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Time since the Unix epoch, in microseconds.
    pub at_us: u64,
    /// Event that the stand-in recorded.
    pub event: Event,
}

/// Event that a stand-in recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// An engine started to generate a stream.
    Start {
        /// Id of the stream, made of the program, the call and the attempt.
        stream_id: String,
        /// Program that the stream belongs to.
        session: String,
        /// Number of tokens in the prompt.
        prompt_tokens: u64,
        /// Number of prompt tokens that were in the engine's cache.
        cached_tokens: u64,
        /// Number of prompt tokens of earlier turns, which some engine has computed before.
        known_tokens: u64,
    },
    /// An engine stopped generating a stream.
    Stop {
        /// Id of the stream, made of the program, the call and the attempt.
        stream_id: String,
        /// Program that the stream belongs to.
        session: String,
        /// Number of generated tokens.
        completion_tokens: u64,
    },
    /// A tool executed a call.
    Execute {
        /// Idempotency key, made of the program and the sequence number of the call.
        key: String,
    },
    /// An engine loaded a version of the model.
    Load {
        /// Fencing token of the order.
        fence: (u64, u64),
        /// Version that was loaded.
        version: String,
    },
}

/// A ledger file that is open for appending.
#[derive(Debug)]
pub struct Ledger {
    file: Mutex<File>,
}

impl Ledger {
    /// Opens the ledger at `path` for appending and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { file: Mutex::new(file) })
    }

    /// Appends an event with the current time.
    pub fn write(&self, event: Event) {
        let line = Line { at_us: now_us(), event };
        let Ok(mut text) = serde_json::to_string(&line) else {
            return;
        };
        text.push('\n');
        if let Ok(mut file) = self.file.lock() {
            // A failed write, for example on a full disk, shows as a missing line in the check.
            let _ = file.write_all(text.as_bytes());
        }
    }
}

/// Returns the time since the Unix epoch, in microseconds.
pub fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Reads all ledgers in a folder and sorts their lines by time.
///
/// # Errors
///
/// Returns an error if the folder or a ledger cannot be read.
pub fn read_all(folder: &Path) -> std::io::Result<Vec<Line>> {
    let mut lines: Vec<Line> = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path: PathBuf = entry?.path();
        if path.extension().is_some_and(|extension| extension == "ledger") {
            lines.extend(read(&path)?);
        }
    }
    lines.sort_by_key(|line| line.at_us);
    Ok(lines)
}

/// Reads one ledger; lines that are incomplete or invalid are skipped.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read(path: &Path) -> std::io::Result<Vec<Line>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}
