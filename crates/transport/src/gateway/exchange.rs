//! Connections of callers between two requests, when their limits can be replaced.
//!
//! The limits of a connection are fixed when its protocol handler is made, and a connection may be kept
//! for hours. Once the configuration changes them, the handler is replaced while the connection is
//! idle: no request is in progress, and all responses are written.

use crate::gateway::relay::{Abort, Body};
use bytes::{Buf, Bytes};
use http_body::{Frame, SizeHint};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What is in progress on a connection.
#[derive(Debug, Default)]
pub(super) struct Activity {
    requests: AtomicUsize,
    /// Whether a write waits for the caller.
    is_blocked: AtomicBool,
    changed: Notify,
}

impl Activity {
    /// Counts a request until the guard is dropped.
    pub(super) fn begin(self: &Arc<Self>) -> Guard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Guard(self.clone())
    }

    fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0 && !self.is_blocked.load(Ordering::Relaxed)
    }

    /// Completes once the connection is idle. Only the task of the connection may rely on that, until
    /// it polls the handler again.
    pub(super) async fn idle(&self) {
        while !self.is_idle() {
            self.changed.notified().await;
        }
    }

    fn set_blocked(&self, is_blocked: bool) {
        if self.is_blocked.swap(is_blocked, Ordering::Relaxed) != is_blocked {
            self.changed.notify_one();
        }
    }
}

/// A request in progress, until the end of its response is handed over for writing.
#[derive(Debug)]
pub(super) struct Guard(Arc<Activity>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
        self.0.changed.notify_one();
    }
}

/// Body of a response, with the guard of its request.
pub(super) struct Guarded {
    body: Body,
    _guard: Guard,
}

impl Guarded {
    /// Adds the guard to the body of a response.
    pub(super) fn new(body: Body, guard: Guard) -> Self {
        Self { body, _guard: guard }
    }
}

impl http_body::Body for Guarded {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Connection of a caller.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) socket: TcpStream,
    /// What an earlier protocol handler has received and not handled.
    pub(super) received: Bytes,
    pub(super) activity: Arc<Activity>,
}

impl Stream {
    /// Records whether a write waits for the caller.
    fn observe<T>(&self, written: Poll<T>) -> Poll<T> {
        self.activity.set_blocked(written.is_pending());
        written
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.received.is_empty() {
            return Pin::new(&mut self.socket).poll_read(context, buffer);
        }
        let count = self.received.len().min(buffer.remaining());
        buffer.put_slice(&self.received[..count]);
        self.received.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.observe(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, parts);
        self.observe(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
