//! Frames between instances, received within the memory of the process.

use crate::memory::{Budget, Kind, Upload};
use bytes::BytesMut;
use std::io;
use std::sync::Arc;
use tokio::sync::Notify;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Size up to which a message that has not arrived in full is not counted, in bytes; so that the
/// messages of consensus do not depend on what others hold.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Reason why no further frame can be read.
#[derive(Debug)]
pub(crate) enum Broken {
    /// There is no memory for the frame.
    Full,
    /// The connection failed, or the frame is too long.
    Io(io::Error),
}

impl From<io::Error> for Broken {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Splits received bytes into frames; what has arrived of a frame is taken from the budget.
pub(crate) struct Metered {
    codec: LengthDelimitedCodec,
    budget: Arc<Budget>,
    /// Notified when the frame has to give way to others.
    leave: Arc<Notify>,
    /// The frame that is arriving, if it is counted.
    upload: Option<Upload>,
}

impl Metered {
    /// Creates the decoder of one connection. `leave` is notified when its frame has to give way.
    pub(crate) fn new(
        codec: LengthDelimitedCodec,
        budget: &Arc<Budget>,
        leave: &Arc<Notify>,
    ) -> Self {
        let (budget, leave) = (budget.clone(), leave.clone());
        Self { codec, budget, leave, upload: None }
    }
}

impl Decoder for Metered {
    type Item = BytesMut;
    type Error = Broken;

    fn decode(&mut self, received: &mut BytesMut) -> Result<Option<BytesMut>, Broken> {
        let frame = self.codec.decode(received)?;
        if frame.as_ref().is_some_and(|frame| frame.len() >= UNCOUNTED_BYTES) {
            // What follows shares the frame's buffer, which would stay with the connection.
            *received = BytesMut::from(&received[..]);
        }
        let held = received.len().saturating_sub(UNCOUNTED_BYTES);
        if held == 0 {
            self.upload = None;
            return Ok(frame);
        }
        let (budget, leave) = (&self.budget, &self.leave);
        let upload = self.upload.get_or_insert_with(|| budget.upload(Kind::Message, leave.clone()));
        upload.advance(held.saturating_sub(upload.grant.bytes()));
        if upload.grant.try_resize(held).is_err() {
            // The peer opens a new connection. There is room for its message by then if another
            // one gives way.
            budget.make_room();
            return Err(Broken::Full);
        }
        Ok(frame)
    }
}
