//! The border between a replicated journal and the state it drives.

use crate::error::Storage;

/// The rest of an export.
pub type Exporter = Box<dyn FnOnce() -> Result<Vec<u8>, Storage> + Send>;

/// Deterministic state driven by committed commands.
///
/// Implementations must give the same replies for the same commands in the same order;
/// they take time from the commands only.
pub trait Machine: Send {
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

    /// Syncs bulk data and returns the state that [`Machine::load`] reads on this disk.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn save(&mut self) -> Result<Vec<u8>, Storage>;

    /// Frees bulk data that the state no longer names, once the saved state is durable.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn prune(&mut self) -> Result<(), Storage>;

    /// Replaces the state by one that [`Machine::save`] gave on this disk.
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
    fn export(&self) -> Result<Vec<u8>, Storage>;

    /// The same as [`Machine::export`], to be finished on another thread while the machine
    /// goes on; the state is that of now.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn exporter(&self) -> Result<Exporter, Storage> {
        let exported = self.export()?;
        Ok(Box::new(move || Ok(exported)))
    }

    /// Replaces the whole state, bulk data included.
    ///
    /// # Errors
    ///
    /// Returns the storage error that stops the replica.
    fn import(&mut self, exported: &[u8]) -> Result<(), Storage>;

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
