//! Placement of requests on backend servers.
//!
//! Many instances decide independently, each for the callers of its failure domain, and a burst
//! fills some servers before others. The load of a server is the number of requests that this
//! instance has outstanding there plus the numbers that the other instances reported, which are
//! some hundred milliseconds old.
//!
//! A program's requests stay on the backend server that executed its last turn, because its cache
//! holds the conversation, until the wait there exceeds the time for computing the context again
//! elsewhere. Other requests of a session go to the less loaded of two servers that rendezvous
//! hashing of the session chooses. Choosing the least loaded of all servers would send the
//! requests of all instances to the same server until the next reports arrive; it is done only
//! if both of the two are crowded. Requests without a session go to the least loaded server.
//! Servers of the local failure domain are preferred until they are clearly more loaded than
//! remote ones.
//!
//! Requests about the same object go to the same server, which works faster once it has handled the
//! object. There are thousands of objects, each of them rare, and the requests about one arrive at
//! any instance. Rendezvous hashing gives each object an order of the servers that is the same on
//! all instances, whatever their failure domain, and that changes only for the objects of servers
//! that come or go. The first server of that order that isn't crowded is chosen, since waiting
//! costs more than the object saves.
//!
//! Two choices: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.

mod choice;
mod fleet;
mod listing;
mod preference;
mod server;
mod settings;

pub use choice::{Affinity, Query};
pub use fleet::Fleet;
pub use listing::{Change, Listing, split_duplicates};
pub use server::{Outcome, Server};
pub use settings::Settings;
