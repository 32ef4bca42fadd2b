//! Tokens of callers and operators.

use protocol::settings::Access;
use state::collections::Map;
use std::path::{Path, PathBuf};

/// Who may do what; tokens are kept as digests and compared in constant time.
#[derive(Default)]
pub(crate) struct Tokens {
    operators: Vec<blake3::Hash>,
    callers: Vec<(blake3::Hash, String)>,
    is_operator_open: bool,
    is_caller_open: bool,
}

/// A token file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}: line {line}: found {found} words; accepted: {accepted}")]
    Line { path: PathBuf, line: usize, found: usize, accepted: &'static str },
}

impl Tokens {
    /// Reads the token files; without a file the address is open, which the settings allow
    /// on loopback only.
    pub(crate) fn read(access: &Access) -> Result<Self, Error> {
        let mut tokens = Self {
            is_operator_open: access.operator_token_file.is_none(),
            is_caller_open: access.caller_token_file.is_none(),
            ..Self::default()
        };
        if let Some(path) = &access.operator_token_file {
            for words in read_words(path, 1, "one token")? {
                tokens.operators.push(blake3::hash(words[0].as_bytes()));
            }
        }
        if let Some(path) = &access.caller_token_file {
            for words in read_words(path, 2, "a deployment and a token")? {
                tokens.callers.push((blake3::hash(words[1].as_bytes()), words[0].clone()));
            }
        }
        Ok(tokens)
    }

    /// Whether the bearer token is an operator's.
    pub(crate) fn is_operator(&self, token: Option<&str>) -> bool {
        let digest = token.map(|token| blake3::hash(token.as_bytes()));
        // Every token is compared, so that the time does not depend on the position.
        let is_known =
            self.operators.iter().fold(false, |found, known| found | (digest == Some(*known)));
        self.is_operator_open || is_known
    }

    /// Deployment of the bearer token; with open access the one that the caller names.
    pub(crate) fn deployment(&self, token: Option<&str>, named: Option<&str>) -> Option<String> {
        if self.is_caller_open {
            return named.map(str::to_owned);
        }
        let digest = blake3::hash(token?.as_bytes());
        let mut owner = None;
        for (known, deployment) in &self.callers {
            if *known == digest {
                owner = Some(deployment.clone());
            }
        }
        owner.filter(|owner| named.is_none_or(|named| named == owner))
    }
}

fn read_words(
    path: &Path,
    count: usize,
    accepted: &'static str,
) -> Result<Vec<Vec<String>>, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Io { path: path.to_owned(), source })?;
    let mut rows = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        if words.is_empty() || line.starts_with('#') {
            continue;
        }
        if words.len() != count {
            let (path, line, found) = (path.to_owned(), at + 1, words.len());
            return Err(Error::Line { path, line, found, accepted });
        }
        rows.push(words);
    }
    Ok(rows)
}

/// Requests of one deployment, limited.
pub(crate) struct Rates {
    per_second: f64,
    burst: f64,
    buckets: std::sync::Mutex<Map<String, coordination::retry::Bucket>>,
}

impl Rates {
    pub(crate) fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, buckets: std::sync::Mutex::default() }
    }

    /// Takes one request of `deployment`.
    pub(crate) fn take(&self, now: coordination::Millis, deployment: &str) -> bool {
        let Ok(mut buckets) = self.buckets.lock() else {
            return false;
        };
        let full = coordination::retry::Bucket::new(self.per_second, self.burst, now);
        buckets.entry(deployment.to_owned()).or_insert(full).take(now)
    }
}
