//! Access control: bearer tokens of callers and operators, and request rates of deployments.
//!
//! Tokens are read from files when the instance starts; rates are limited by token buckets.

use protocol::settings::Access;
use state::collections::Map;
use std::path::{Path, PathBuf};

/// Known bearer tokens; stored as digests and compared in constant time.
#[derive(Default)]
pub(crate) struct Tokens {
    operators: Vec<blake3::Hash>,
    /// Digest and deployment of each caller token.
    callers: Vec<(blake3::Hash, String)>,
    is_operator_auth_disabled: bool,
    is_caller_auth_disabled: bool,
}

/// Error of reading a token file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("cannot read token file {path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("token file {path}: line {line}: found {found} words; accepted: {accepted}")]
    Line { path: PathBuf, line: usize, found: usize, accepted: &'static str },
}

impl Tokens {
    /// Reads the token files.
    ///
    /// Without a file, the address accepts requests without a token; the settings allow this only
    /// on loopback addresses.
    pub(crate) fn read(access: &Access) -> Result<Self, Error> {
        let mut tokens = Self {
            is_operator_auth_disabled: access.operator_token_file.is_none(),
            is_caller_auth_disabled: access.caller_token_file.is_none(),
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

    /// Whether the bearer token gives access as an operator.
    pub(crate) fn is_operator(&self, token: Option<&str>) -> bool {
        let digest = token.map(|token| blake3::hash(token.as_bytes()));
        // All tokens are compared, so the duration does not depend on which one matches.
        let is_known =
            self.operators.iter().fold(false, |found, known| found | (digest == Some(*known)));
        self.is_operator_auth_disabled || is_known
    }

    /// Returns the deployment to which the bearer token gives access.
    ///
    /// If the request names a deployment, it must be the same. Without caller authentication, the
    /// named deployment is returned.
    pub(crate) fn deployment(&self, token: Option<&str>, named: Option<&str>) -> Option<String> {
        if self.is_caller_auth_disabled {
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

/// Reads the words of each line; empty lines and comments are skipped.
fn read_words(
    path: &Path,
    count: usize,
    accepted: &'static str,
) -> Result<Vec<Vec<String>>, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Io { path: path.to_owned(), source })?;
    let mut rows = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        if words.is_empty() || line.starts_with('#') {
            continue;
        }
        if words.len() != count {
            let (path, line, found) = (path.to_owned(), index + 1, words.len());
            return Err(Error::Line { path, line, found, accepted });
        }
        rows.push(words);
    }
    Ok(rows)
}

/// Limits the request rate of each deployment.
pub(crate) struct Limiter {
    per_second: f64,
    burst: f64,
    buckets: std::sync::Mutex<Map<String, coordination::retry::Bucket>>,
}

impl Limiter {
    pub(crate) fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, buckets: std::sync::Mutex::default() }
    }

    /// Takes a token for one request of `deployment`; returns `false` if its rate is exceeded.
    pub(crate) fn take(&self, now: coordination::Millis, deployment: &str) -> bool {
        let Ok(mut buckets) = self.buckets.lock() else {
            return false;
        };
        let full_bucket = coordination::retry::Bucket::new(self.per_second, self.burst, now);
        buckets.entry(deployment.to_owned()).or_insert(full_bucket).take(now)
    }
}
