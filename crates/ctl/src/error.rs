//! What can go wrong, and the exit code of each.

use protocol::answer::Refusal;
use std::fmt;

/// An error of the tool.
#[derive(Debug)]
pub(crate) enum Error {
    /// The system refused the request.
    Refused(Refusal),
    /// An argument or a file cannot be used.
    Usage(String),
    /// No instance answered.
    Silent(Vec<String>),
    /// The ticket is accepted but not in force.
    NotInForce(u64),
}

impl Error {
    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Error::Refused(_) => 1,
            Error::Usage(_) => 2,
            Error::Silent(_) => 3,
            Error::NotInForce(_) => 4,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(refusal) => {
                let ran = format!("{:?}", refusal.ran).to_lowercase();
                write!(f, "refused: {:?}: {} (ran: {ran})", refusal.error, refusal.detail)
            }
            Error::Usage(text) => write!(f, "{text}"),
            Error::Silent(tried) => {
                write!(f, "no instance answered; tried {tried:?}; name others with --operators")
            }
            Error::NotInForce(number) => write!(
                f,
                "ticket {number} is accepted but not yet in force; see `buckthornctl status` for \
                 the instance that lags, and `ticket show {number}`"
            ),
        }
    }
}
