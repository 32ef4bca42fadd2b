//! Bodies of requests, read within the memory of the process.
//!
//! A body is held once, in one buffer that is taken from the budget before it grows; the bytes stay
//! granted for as long as anything refers to them. A body of a known length takes all of it before
//! the first byte is read, so that one which has begun can be completed.

use crate::memory::{Budget, Full, Grant, Kind, Upload};
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Size by which the buffer of a body of unknown length grows at least, in bytes.
const MIN_GROWTH: usize = 16 * 1024;

/// The buffer of a body of unknown length grows by its own size divided by this, so that few of
/// the bytes that it takes are unused.
const GROWTH_DIVISOR: usize = 4;

/// Number of bytes of a body that are dropped before the request is refused: several ordinary ones.
const DROPPED_BYTES: usize = 128 * 1024;

/// Time for that. A body of ordinary size is on its way with its head.
const DROP_TIMEOUT: Duration = Duration::from_millis(50);

/// Reason why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is longer than allowed.
    #[error("the request body is larger than {0} bytes")]
    TooLarge(usize),
    /// The memory for bodies is used up.
    #[error("the memory for request bodies is used up")]
    Full,
    /// The body has fallen behind, and gives way to others.
    #[error("the request body arrives too slowly and gives way to others")]
    Behind,
    /// The body is not complete at the deadline.
    #[error("the request body did not arrive before the deadline")]
    Late,
    /// The sender broke off.
    #[error("the request body was broken off")]
    Lost,
}

impl Error {
    /// Name of the reason in metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::TooLarge(_) => "body too large",
            Self::Full => "body without memory",
            Self::Behind => "body behind",
            Self::Late => "body late",
            Self::Lost => "body broken off",
        }
    }
}

/// Bytes with the memory that they take.
pub(crate) struct Held<T> {
    content: T,
    _grant: Grant,
}

impl<T> Held<T> {
    pub(crate) fn new(content: T, grant: Grant) -> Self {
        Self { content, _grant: grant }
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns the reason why it was not read.
pub async fn read(
    budget: &Arc<Budget>,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Error> {
    let (body, _) = read_with(budget, body, limit, Extra::default(), deadline).await?;
    Ok(body)
}

/// Memory that is taken together with a body, so that who has read it can go on.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Extra {
    /// Number of copies of the body.
    pub(crate) copies: usize,
    /// Number of other bytes.
    pub(crate) bytes: usize,
}

impl Extra {
    /// Size with a body of `length` bytes.
    fn beside(self, length: usize) -> usize {
        length.saturating_mul(self.copies).saturating_add(self.bytes)
    }
}

/// As [`read`], but also takes the `extra` memory, which it returns.
pub(crate) async fn read_with(
    budget: &Arc<Budget>,
    body: Incoming,
    limit: usize,
    extra: Extra,
    deadline: Instant,
) -> Result<(Bytes, Grant), Error> {
    if body.is_end_stream() {
        let mut grant = budget.grant(Kind::Record);
        grant.resize(extra.bytes).await.map_err(|Full| Error::Full)?;
        return Ok((Bytes::new(), grant));
    }
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    let result = match announced {
        Some(length) if length > limit => Err(Error::TooLarge(limit)),
        _ => {
            let leave = Arc::new(Notify::new());
            let upload = budget.upload(Kind::Body, leave.clone());
            let reading = Reading { upload, leave, content: Vec::new(), limit, extra };
            tokio::time::timeout_at(deadline, reading.run(body, announced))
                .await
                .unwrap_or(Err(Error::Late))
        }
    };
    if let Err(error) = result {
        budget.metrics.give_up(error.reason());
    }
    result
}

/// Reads and drops a body of a request that is refused without it, so that the connection can be kept;
/// `false` if it has not ended after [`DROPPED_BYTES`] or [`DROP_TIMEOUT`].
pub(crate) async fn drop_rest(mut body: Incoming) -> bool {
    let rest = async {
        let mut dropped = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            dropped += frame.data_ref().map_or(0, Bytes::len);
            if dropped > DROPPED_BYTES {
                return false;
            }
        }
        true
    };
    tokio::time::timeout(DROP_TIMEOUT, rest).await.unwrap_or(false)
}

/// A body that is being read.
struct Reading {
    upload: Upload,
    /// Notified when the body has to give way to others.
    leave: Arc<Notify>,
    content: Vec<u8>,
    limit: usize,
    extra: Extra,
}

impl Reading {
    async fn run(
        mut self,
        mut body: Incoming,
        announced: Option<usize>,
    ) -> Result<(Bytes, Grant), Error> {
        if let Some(length) = announced {
            self.take(length, length).await?;
            self.content.reserve_exact(length);
        }
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.leave.notified() => return Err(Error::Behind),
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| Error::Lost)?;
            if let Some(data) = frame.data_ref() {
                self.push(data).await?;
            }
        }
        let Self { upload, content, extra, .. } = self;
        let mut grant = upload.complete();
        let extra = extra.beside(content.len());
        // A buffer never shrinks here, so that this returns what was taken for its growth only.
        if grant.try_resize(content.capacity() + extra).is_err() {
            return Err(Error::Full);
        }
        let extra = grant.split(extra, Kind::Record);
        Ok((Bytes::from_owner(Held::new(content, grant)), extra))
    }

    /// Takes memory for buffers of `buffered` bytes, and what is extra with a body of `length` bytes.
    async fn take(&mut self, buffered: usize, length: usize) -> Result<(), Error> {
        let bytes = buffered.saturating_add(self.extra.beside(length));
        self.upload.grant.resize(bytes).await.map_err(|Full| Error::Full)
    }

    async fn push(&mut self, data: &[u8]) -> Result<(), Error> {
        let length = self.content.len().saturating_add(data.len());
        if length > self.limit {
            return Err(Error::TooLarge(self.limit));
        }
        let capacity = self.content.capacity();
        if length > capacity {
            let growth = (capacity / GROWTH_DIVISOR).max(MIN_GROWTH);
            let wanted = capacity.saturating_add(growth).min(self.limit).max(length);
            // The old and the new buffer exist side by side while the content is copied.
            self.take(capacity.saturating_add(wanted), wanted).await?;
            self.content.reserve_exact(wanted - self.content.len());
            self.take(wanted, wanted).await?;
        }
        self.content.extend_from_slice(data);
        self.upload.advance(data.len());
        Ok(())
    }
}
