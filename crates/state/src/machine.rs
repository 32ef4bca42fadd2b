//! The border between a replicated journal and the state it drives.

use crate::error::Storage;

/// A state on its way to another replica: that of the moment at which it was made, however
/// the machine goes on.
pub trait Export: Send {
    /// Size, in bytes.
    fn size(&self) -> u64;

    /// The `len` bytes at `offset`, fewer at the end.
    ///
    /// # Errors
    ///
    /// Returns the storage error of a part that cannot be read.
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

/// Takes the parts of another replica's state, beside the machine's own.
pub trait Import: Send {
    /// Takes the next part.
    ///
    /// # Errors
    ///
    /// Returns the storage error of the disk, or of a part that is not whole.
    fn receive(&mut self, part: &[u8]) -> Result<(), Storage>;

    /// Ends after the last part; the result is for [`StateMachine::import`].
    ///
    /// # Errors
    ///
    /// As [`Import::receive`].
    fn finish(self: Box<Self>) -> Result<Vec<u8>, Storage>;
}

impl Import for Vec<u8> {
    fn receive(&mut self, part: &[u8]) -> Result<(), Storage> {
        self.extend_from_slice(part);
        Ok(())
    }

    fn finish(self: Box<Self>) -> Result<Vec<u8>, Storage> {
        Ok(*self)
    }
}

/// Deterministic state driven by committed commands.
///
/// Implementations must give the same replies for the same commands in the same order;
/// they take time from the commands only.
pub trait StateMachine: Send {
    /// Applies the committed command `data` and returns the encoded reply.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn apply(&mut self, data: &[u8]) -> Result<Vec<u8>, Storage>;

    /// Answers the encoded query `data` from the applied state.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn query(&self, data: &[u8]) -> Result<Vec<u8>, Storage>;

    /// Returns to the empty state.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn reset(&mut self) -> Result<(), Storage>;

    /// Syncs bulk data and returns the state that [`StateMachine::load`] reads on this disk.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn save(&mut self) -> Result<Vec<u8>, Storage>;

    /// Frees bulk data that the state no longer names, once the saved state is durable;
    /// nothing for a machine without any.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn prune(&mut self) -> Result<(), Storage> {
        Ok(())
    }

    /// Replaces the state by one that [`StateMachine::save`] gave on this disk.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn load(&mut self, saved: &[u8]) -> Result<(), Storage>;

    /// The whole state, bulk data included, for another replica.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn export(&self) -> Result<Box<dyn Export>, Storage>;

    /// Starts to receive another replica's [`StateMachine::export`]; the own state stays.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn importer(&self) -> Result<Box<dyn Import>, Storage> {
        Ok(Box::new(Vec::new()))
    }

    /// Replaces the whole state by what an importer of this machine received; a machine
    /// without bulk data exports what it saves.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn import(&mut self, received: &[u8]) -> Result<(), Storage> {
        self.load(received)
    }

    /// State for an operator, without customer content.
    fn dump(&self) -> String;
}

/// Decodes a postcard value.
///
/// # Errors
///
/// Returns [`Storage::Codec`] for bytes of another shape.
pub fn decode<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Storage> {
    Ok(postcard::from_bytes(bytes)?)
}

/// Encodes a value as postcard.
///
/// # Errors
///
/// Returns [`Storage::Codec`] if the value has no encoding.
pub fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Storage> {
    Ok(postcard::to_stdvec(value)?)
}
