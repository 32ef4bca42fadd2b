//! HTTP gateway that forwards callers' requests to backend servers.
//!
//! An entry accepts a request, finds its route, chooses a backend server and relays the
//! response body unchanged as it arrives. A program's turn first reserves its tokens in the
//! program journal; on routes that retain turns, the turn is recorded there before the
//! response ends. An [`Adapter`] translates the headers of the platform.

mod attempt;
mod awaited;
mod connector;
mod content;
mod dialect;
mod entry;
mod error;
mod events;
mod exchange;
mod flow;
mod forward;
mod framing;
mod headers;
mod list;
mod loss;
mod metrics;
mod organisations;
mod origin;
mod peer;
pub(crate) mod pool;
mod probe;
mod prober;
mod relay;
mod sending;
mod server;
mod silence;
mod stories;
mod timeouts;
mod turns;
mod usage;
mod waiter;

pub use connector::{ConnectFuture, Connector, Direct};
pub use dialect::{Adapter, Budget, Dispatch, Identity, Metadata, Refusal, Resumption, Verdict};
pub use entry::{Entry, Settings};
pub use list::{List, ListError, ListFuture};
pub use stories::Record;
