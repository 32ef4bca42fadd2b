//! The platform's list of backend servers.

use coordination::placement::Listing;
use std::future::Future;
use std::pin::Pin;

/// Why the list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ListError(pub String);

/// A list that is being read.
pub type ListFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Vec<Listing>, ListError>> + Send + 'a>>;

/// Reads the list.
pub trait List: Send + Sync {
    /// Reads all pages; entries that cannot be read are left out.
    fn read(&self) -> ListFuture<'_>;
}
