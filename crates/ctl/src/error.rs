//! Errors of the tool and their exit codes.

use protocol::answer::Refusal;
use std::fmt;

/// Reason why a command failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// An instance refused the request.
    Refused(Refusal),
    /// An argument, a file or a response cannot be used.
    Usage(String),
    /// None of the listed instances responded.
    NoResponse(Vec<String>),
    /// The ticket with this number is accepted, but was not in force within the wait.
    NotInForce(u64),
}

impl Error {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Error::Refused(_) => 1,
            Error::Usage(_) => 2,
            Error::NoResponse(_) => 3,
            Error::NotInForce(_) => 4,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(refusal) => {
                let executed = format!("{:?}", refusal.ran).to_lowercase();
                write!(f, "refused: {:?}: {} (ran: {executed})", refusal.error, refusal.detail)
            }
            Error::Usage(text) => write!(f, "{text}"),
            Error::NoResponse(addresses) => {
                write!(f, "no instance answered at {addresses:?}; name others with --operators")
            }
            Error::NotInForce(number) => write!(
                f,
                "ticket {number} is accepted but not yet in force; see `buckthornctl status` for \
                 instances that lag behind, and `buckthornctl ticket show {number}`"
            ),
        }
    }
}
