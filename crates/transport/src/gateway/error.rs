//! Text of errors of connections, for the log.

use std::error::Error;

/// Returns the text of an error with those of its causes, since the first one alone doesn't tell a reset
/// from a timeout.
pub(super) fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}
