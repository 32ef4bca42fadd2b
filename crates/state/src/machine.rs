//! The interface between a replicated journal and the state machine it drives.

use crate::error::Storage;

/// A consistent copy of a state, to be sent to another replica in chunks. Commands that are applied
/// after its creation do not change it.
pub trait Export: Send {
    /// Total size, in bytes.
    fn size(&self) -> u64;

    /// Reads `len` bytes at `offset`, or fewer at the end.
    ///
    /// # Errors
    ///
    /// Returns a storage error if a part of the state cannot be read.
    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, Storage>;
}

impl Export for Vec<u8> {
    fn size(&self) -> u64 {
        self.len() as u64
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, Storage> {
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.len());
        let end = start.saturating_add(len).min(self.len());
        Ok(self[start..end].to_vec())
    }
}

/// Receives the chunks of another replica's state, without changing the local state.
pub trait Import: Send {
    /// Receives the next chunk.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails or the received data is corrupt.
    fn receive(&mut self, chunk: &[u8]) -> Result<(), Storage>;

    /// Completes the import after the last chunk and returns the input of
    /// [`StateMachine::import`].
    ///
    /// # Errors
    ///
    /// As [`Import::receive`]; also if the received state is incomplete.
    fn finish(self: Box<Self>) -> Result<Vec<u8>, Storage>;
}

impl Import for Vec<u8> {
    fn receive(&mut self, chunk: &[u8]) -> Result<(), Storage> {
        self.extend_from_slice(chunk);
        Ok(())
    }

    fn finish(self: Box<Self>) -> Result<Vec<u8>, Storage> {
        Ok(*self)
    }
}

/// What a command is to the work that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Begins new work.
    Begin,
    /// Continues work under way, whose earlier steps would be wasted without it.
    Continue,
    /// Ends a step that has been carried out.
    End,
}

/// Deterministic state machine that applies committed commands.
///
/// Implementations must return the same replies for the same sequence of commands; the only
/// source of time is the commands.
pub trait StateMachine: Send {
    /// Applies the committed command `data` and returns the encoded reply.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn apply(&mut self, data: &[u8]) -> Result<Vec<u8>, Storage>;

    /// Whether the state has room for the effects of the command `data`. Only the leader asks, before
    /// it appends the command, so that the answer may differ between replicas.
    fn has_room(&self, _data: &[u8]) -> bool {
        true
    }

    /// Class of the command `data`, which may be refused while the journal is behind; `None` if it is
    /// never refused for that. Only the leader asks, as with [`StateMachine::has_room`].
    fn class(&self, _data: &[u8]) -> Option<Class> {
        None
    }

    /// Time of the state, in milliseconds since the Unix epoch: the latest that an applied command
    /// named. `None` for a state in which nothing expires.
    fn time_ms(&self) -> Option<u64> {
        None
    }

    /// Returns the command that moves the time of the state on to `time_ms` and changes nothing else;
    /// `None` if applying it would remove nothing that has expired. Only the leader asks, while no
    /// other command moves the time on.
    fn expiry(&self, _time_ms: u64) -> Option<Vec<u8>> {
        None
    }

    /// Reply to the command `data`, which the state has no room for; `None` if its sender knows no such
    /// reply. Only the leader asks, instead of appending the command.
    fn refusal(&self, _data: &[u8]) -> Option<Vec<u8>> {
        None
    }

    /// Upper bound of the answer to the encoded query `data`, in bytes; 0 for one of ordinary size.
    fn answer_bytes(&self, _data: &[u8]) -> usize {
        0
    }

    /// Answers the encoded query `data` from the applied state.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn query(&self, data: &[u8]) -> Result<Vec<u8>, Storage>;

    /// Resets to the empty state.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn reset(&mut self) -> Result<(), Storage>;

    /// Syncs bulk data to disk and returns the encoded state for [`StateMachine::load`] on the
    /// same disk. Bulk data, such as conversation histories, is stored in files of its own and
    /// is not part of the encoded state.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn save(&mut self) -> Result<Vec<u8>, Storage>;

    /// Size of the [`StateMachine::export`] of the state that was just saved as `saved`, in bytes.
    fn export_bytes(&self, saved: &[u8]) -> u64 {
        saved.len() as u64
    }

    /// Deletes bulk data that the state no longer refers to; called once the saved state is
    /// durable. Does nothing for a state machine without bulk data.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn prune(&mut self) -> Result<(), Storage> {
        Ok(())
    }

    /// Replaces the state with one that [`StateMachine::save`] returned on the same disk.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn load(&mut self, saved: &[u8]) -> Result<(), Storage>;

    /// Creates an export of the complete state, including bulk data, for another replica.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn export(&self) -> Result<Box<dyn Export>, Storage>;

    /// Starts to receive another replica's [`StateMachine::export`]; the local state does not
    /// change before [`StateMachine::import`].
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn importer(&self) -> Result<Box<dyn Import>, Storage> {
        Ok(Box::new(Vec::new()))
    }

    /// Replaces the complete state with the result of [`Import::finish`] of an importer of this
    /// state machine. The default suits state machines without bulk data, which export what they
    /// save.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn import(&mut self, received: &[u8]) -> Result<(), Storage> {
        self.load(received)
    }

    /// Summary of the state for operators, without customer content.
    fn dump(&self) -> String;
}

/// Decodes a postcard value.
///
/// # Errors
///
/// Returns [`Storage::Codec`] if the bytes do not encode a `T`.
pub fn decode<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Storage> {
    Ok(postcard::from_bytes(bytes)?)
}

/// Decodes a postcard value, and returns what follows it.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_first<'a, T: serde::Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), Storage> {
    Ok(postcard::take_from_bytes(bytes)?)
}

/// Encodes a value as postcard, into a buffer of its size.
///
/// # Errors
///
/// Returns [`Storage::Codec`] if the value cannot be encoded.
pub fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Storage> {
    let size = postcard::experimental::serialized_size(value)?;
    Ok(postcard::to_extend(value, Vec::with_capacity(size))?)
}

/// Appends a value, encoded as postcard, to `buffer`.
///
/// # Errors
///
/// As [`encode`].
pub fn encode_into<T: serde::Serialize>(value: &T, buffer: &mut Vec<u8>) -> Result<(), Storage> {
    buffer.reserve(postcard::experimental::serialized_size(value)?);
    *buffer = postcard::to_extend(value, std::mem::take(buffer))?;
    Ok(())
}
