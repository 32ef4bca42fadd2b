//! What a stand-in executed, one JSON line each, in a file that survives its crash.

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
    /// What happened.
    pub event: Event,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// An engine started a stream.
    Start {
        /// Program, call and attempt.
        stream_id: String,
        /// The program.
        session: String,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Prompt tokens that its cache held.
        cached_tokens: u64,
        /// Prompt tokens that some engine must have held for the program before.
        known_tokens: u64,
    },
    /// An engine stopped generating.
    Stop {
        /// Program, call and attempt.
        stream_id: String,
        /// The program.
        session: String,
        /// Tokens generated.
        completion_tokens: u64,
    },
    /// A tool executed a call.
    Execute {
        /// Idempotency key: program and call.
        key: String,
    },
    /// An engine loaded a version.
    Load {
        /// Fencing number of the order.
        fence: (u64, u64),
        /// The version.
        version: String,
    },
}

/// A ledger being written.
#[derive(Debug)]
pub struct Ledger {
    file: Mutex<File>,
}

impl Ledger {
    /// Appends to the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { file: Mutex::new(file) })
    }

    /// Writes one event.
    pub fn write(&self, event: Event) {
        let line = Line { at_us: now_us(), event };
        let Ok(mut text) = serde_json::to_string(&line) else {
            return;
        };
        text.push('\n');
        if let Ok(mut file) = self.file.lock() {
            // A full disk shows up as a missing line in the check.
            let _ = file.write_all(text.as_bytes());
        }
    }
}

/// Time since the Unix epoch, in microseconds.
pub fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Reads all ledgers in a folder, in order of time.
///
/// # Errors
///
/// Returns the error of the file system.
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

/// Reads one ledger.
///
/// # Errors
///
/// Returns the error of the file system.
pub fn read(path: &Path) -> std::io::Result<Vec<Line>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}
