//! Connections whose peer doesn't read.
//!
//! What was written to such a connection stays in the memory of the process. [`Unread`] fails a write
//! that makes no progress for some time, so that the connection ends and the memory is free again.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// A connection that ends when its peer takes no byte for some time.
pub(crate) struct Unread {
    stream: TcpStream,
    timeout: Duration,
    /// When the write that waits fails.
    expiry: Pin<Box<Sleep>>,
    is_waiting: bool,
}

impl Unread {
    /// Limits the time for which a write to `stream` may wait.
    pub(crate) fn new(stream: TcpStream, timeout: Duration) -> Self {
        Self { stream, timeout, expiry: Box::pin(tokio::time::sleep(timeout)), is_waiting: false }
    }

    /// Returns the result of a write, or its failure once it has waited for too long.
    fn limit(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if written.is_ready() {
            self.is_waiting = false;
            return written;
        }
        if !self.is_waiting {
            self.is_waiting = true;
            self.expiry.as_mut().reset(Instant::now() + self.timeout);
        }
        ready!(self.expiry.as_mut().poll(context));
        Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the peer does not read")))
    }
}

impl AsyncRead for Unread {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Unread {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
