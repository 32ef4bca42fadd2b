//! Faults of a settings file, and how they are printed.

use std::fmt;

/// A fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line in the file, counted from 1; 0 if the key is absent.
    pub line: usize,
    /// Key at fault, with its table, such as `journal.shards`.
    pub key: String,
    /// Description of what was found and what is accepted.
    pub detail: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.key, self.detail),
            line => write!(f, "line {line}: {}: {}", self.key, self.detail),
        }
    }
}

/// All faults of a settings file, printed one per line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        write!(f, "{}", lines.join("\n"))
    }
}
