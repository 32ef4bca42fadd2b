//! Interface to the platform's backend server list.

use coordination::placement::Listing;
use std::future::Future;
use std::pin::Pin;

/// Reason why the list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ListError(pub String);

/// A read of the list in progress.
pub type ListFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Vec<Listing>, ListError>> + Send + 'a>>;

/// The platform's backend server list.
pub trait List: Send + Sync {
    /// Reads all pages of the list; entries that cannot be decoded are left out.
    fn read(&self) -> ListFuture<'_>;
}
