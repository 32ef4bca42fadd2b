//! Interface to how connections to backend servers are opened.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::TcpStream;

/// A connection attempt in progress.
pub type ConnectFuture<'a> = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send + 'a>>;

/// Opens connections.
pub trait Connector: fmt::Debug + Send + Sync {
    /// Opens a connection to `address`; the caller limits the time that it takes.
    fn connect(&self, address: SocketAddr) -> ConnectFuture<'_>;
}

/// Opens connections over the network of the instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Direct;

impl Connector for Direct {
    fn connect(&self, address: SocketAddr) -> ConnectFuture<'_> {
        Box::pin(TcpStream::connect(address))
    }
}
