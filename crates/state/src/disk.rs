//! Interface to how written data is made durable.

use std::fmt;
use std::fs::File;
use std::io;

/// Makes written data durable.
pub trait Disk: fmt::Debug + Send + Sync {
    /// Returns once the content of `file` is durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk, after which the content may be lost.
    fn sync_data(&self, file: &File) -> io::Result<()>;

    /// Returns once the content and metadata of `file`, which may be a folder, are durable.
    ///
    /// # Errors
    ///
    /// As [`Disk::sync_data`].
    fn sync_all(&self, file: &File) -> io::Result<()>;
}

/// The disk of the instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Local;

impl Disk for Local {
    fn sync_data(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn sync_all(&self, file: &File) -> io::Result<()> {
        file.sync_all()
    }
}
