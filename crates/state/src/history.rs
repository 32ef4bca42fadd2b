//! Storage of conversation history on disk.
//!
//! A [`Store`] appends items and reads them back by [`Locator`]. [`Files`] stores them in
//! segment files, so that state machines keep only locators in memory. Items are durable after
//! [`Store::sync`], which is called before the log records that contain the items are dropped.

use crate::collections::Map;
use crate::disk::{Disk, Local};
use crate::error::Storage;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Segment size at which the next segment file is started, in bytes.
const SEGMENT_BYTES: u64 = 64 * 1024 * 1024;

/// Segment numbers left free between a store and its staging store, for the segments that the
/// store starts in the meantime; 1,000 segments hold 64 GB.
const STAGING_SEGMENT_GAP: u64 = 1_000;

/// Size at which [`Store::append_all`] writes its buffer, in bytes; limits its memory use.
const WRITE_BUFFER_BYTES: usize = 1024 * 1024;

/// Size of the blocks in which the checksum of an item is verified, in bytes.
const VERIFY_BLOCK_BYTES: usize = 64 * 1024;

/// Location and checksum of an item.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Locator {
    /// Segment number.
    pub segment: u64,
    /// Offset in the segment, in bytes.
    pub offset: u64,
    /// Length of the item, in bytes.
    pub len: u64,
    /// CRC-32 of the item.
    pub crc: u32,
}

/// End of the history at the time of a snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Number of the last segment.
    pub segment: u64,
    /// Length of the last segment, in bytes.
    pub offset: u64,
}

/// Reads history items independently of the [`Store`], for example on another thread.
pub trait Reader: Send {
    /// Reads `len` bytes of a segment at `offset`; the range may contain several items.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the range cannot be read.
    fn read_range(&self, segment: u64, offset: u64, len: usize) -> Result<Vec<u8>, Storage>;
}

/// Append-only storage of history items.
pub trait Store: Send {
    /// Appends one item.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails.
    fn append(&mut self, item: &[u8]) -> Result<Locator, Storage>;

    /// Reads one item back and verifies its checksum.
    ///
    /// # Errors
    ///
    /// Returns [`Storage::Corrupt`] if the item is missing or does not match its checksum.
    fn read(&self, locator: &Locator) -> Result<Vec<u8>, Storage>;

    /// Reads `len` bytes of an item from `offset` on. The checksum of the whole item is verified with its
    /// first bytes.
    ///
    /// # Errors
    ///
    /// As [`Store::read`].
    fn read_part(&self, locator: &Locator, offset: u64, len: usize) -> Result<Vec<u8>, Storage> {
        let start = usize::try_from(offset).map_err(|_| corrupt(locator))?;
        let mut item = self.read(locator)?;
        item.truncate(start.saturating_add(len));
        Ok(item.split_off(start.min(item.len())))
    }

    /// Appends items in order, combining them into few writes.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails.
    fn append_all(&mut self, items: &[&[u8]]) -> Result<Vec<Locator>, Storage> {
        items.iter().map(|item| self.append(item)).collect()
    }

    /// Creates a reader of the current items, which may be used on another thread.
    fn reader(&self) -> Box<dyn Reader>;

    /// Creates an empty staging store, for a state that is being received. Its items become part
    /// of this store with [`Store::commit_staging`].
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails.
    fn staging(&self) -> Result<Box<dyn Store>, Storage>;

    /// Adds the items of the staging store, which end at `position`, and continues after them.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails.
    fn commit_staging(&mut self, position: Position) -> Result<(), Storage>;

    /// Makes all appended items durable and returns the end of the history.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails.
    fn sync(&mut self) -> Result<Position, Storage>;

    /// Removes all items after `position`.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails.
    fn rewind(&mut self, position: Position) -> Result<(), Storage>;

    /// Deletes the segments for which `live` returns `false`, except the one being written.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails.
    fn retain(&mut self, live: &dyn Fn(u64) -> bool) -> Result<(), Storage>;
}

/// [`Store`] in memory, for tests.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Memory {
    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reader for Memory {
    fn read_range(&self, _segment: u64, offset: u64, len: usize) -> Result<Vec<u8>, Storage> {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let bytes = self.bytes();
        let range = bytes.get(start..start.saturating_add(len));
        range.map(<[u8]>::to_vec).ok_or(Storage::Stopped)
    }
}

impl Store for Memory {
    fn append(&mut self, item: &[u8]) -> Result<Locator, Storage> {
        let mut bytes = self.bytes();
        let offset = bytes.len() as u64;
        bytes.extend_from_slice(item);
        Ok(Locator { segment: 0, offset, len: item.len() as u64, crc: crc32fast::hash(item) })
    }

    fn read(&self, locator: &Locator) -> Result<Vec<u8>, Storage> {
        let len = usize::try_from(locator.len).map_err(|_| corrupt(locator))?;
        self.read_range(0, locator.offset, len).map_err(|_| corrupt(locator))
    }

    fn reader(&self) -> Box<dyn Reader> {
        Box::new(self.clone())
    }

    fn staging(&self) -> Result<Box<dyn Store>, Storage> {
        Ok(Box::new(self.clone()))
    }

    fn commit_staging(&mut self, _position: Position) -> Result<(), Storage> {
        Ok(())
    }

    fn sync(&mut self) -> Result<Position, Storage> {
        Ok(Position { segment: 0, offset: self.bytes().len() as u64 })
    }

    fn rewind(&mut self, position: Position) -> Result<(), Storage> {
        self.bytes().truncate(usize::try_from(position.offset).unwrap_or(usize::MAX));
        Ok(())
    }

    fn retain(&mut self, _live: &dyn Fn(u64) -> bool) -> Result<(), Storage> {
        Ok(())
    }
}

/// [`Store`] in the segment files of one folder.
#[derive(Debug)]
pub struct Files {
    folder: PathBuf,
    disk: Arc<dyn Disk>,
    /// Open segment files by number; shared with readers.
    segments: Map<u64, Arc<File>>,
    /// Position at which the next item is appended.
    end: Position,
}

impl Files {
    /// Opens or creates the history in `folder`.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails.
    pub fn open(folder: &Path) -> Result<Self, Storage> {
        Self::open_on(Arc::new(Local), folder)
    }

    /// As [`Files::open`], on the given disk.
    ///
    /// # Errors
    ///
    /// As [`Files::open`].
    pub fn open_on(disk: Arc<dyn Disk>, folder: &Path) -> Result<Self, Storage> {
        std::fs::create_dir_all(folder)?;
        let (folder, end) = (folder.to_owned(), Position::default());
        let mut files = Self { folder, disk, segments: Map::default(), end };
        for number in files.segment_numbers()? {
            files.open_segment(number)?;
            files.end.segment = files.end.segment.max(number);
        }
        files.open_segment(files.end.segment)?;
        files.end.offset = files.active_segment()?.metadata()?.len();
        Ok(files)
    }

    fn segment_path(&self, segment: u64) -> PathBuf {
        self.folder.join(format!("{segment:08}.history"))
    }

    /// Numbers of the segment files in the folder.
    fn segment_numbers(&self) -> Result<Vec<u64>, Storage> {
        let mut numbers = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|name| name.strip_suffix(".history"));
            numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
        }
        Ok(numbers)
    }

    fn open_segment(&mut self, segment: u64) -> Result<(), Storage> {
        let path = self.segment_path(segment);
        let file =
            OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
        self.segments.insert(segment, Arc::new(file));
        Ok(())
    }

    fn active_segment(&self) -> Result<&File, Storage> {
        self.segments.get(&self.end.segment).map(Arc::as_ref).ok_or(Storage::Stopped)
    }

    /// Starts a new segment if the current one is full.
    fn roll_segment(&mut self) -> Result<(), Storage> {
        if self.end.offset >= SEGMENT_BYTES {
            self.disk.sync_data(self.active_segment()?)?;
            self.end = Position { segment: self.end.segment + 1, offset: 0 };
            self.open_segment(self.end.segment)?;
        }
        Ok(())
    }
}

impl Files {
    fn segment_of(&self, locator: &Locator) -> Result<&File, Storage> {
        self.segments.get(&locator.segment).map(Arc::as_ref).ok_or_else(|| corrupt(locator))
    }

    /// Verifies the checksum of an item, which need not fit into memory.
    fn verify(&self, locator: &Locator) -> Result<(), Storage> {
        let (file, mut hasher) = (self.segment_of(locator)?, crc32fast::Hasher::new());
        let (mut offset, mut left) = (locator.offset, locator.len);
        let mut block = vec![0; VERIFY_BLOCK_BYTES];
        while left > 0 {
            let len = usize::try_from(left).map_or(block.len(), |left| left.min(block.len()));
            file.read_exact_at(&mut block[..len], offset)?;
            hasher.update(&block[..len]);
            offset += len as u64;
            left -= len as u64;
        }
        if hasher.finalize() == locator.crc { Ok(()) } else { Err(corrupt(locator)) }
    }

    /// Writes the buffer to the current segment and clears it.
    fn flush(&mut self, buffer: &mut Vec<u8>) -> Result<(), Storage> {
        self.active_segment()?.write_all_at(buffer, self.end.offset)?;
        self.end.offset += buffer.len() as u64;
        buffer.clear();
        Ok(())
    }
}

/// [`Reader`] on open segment files, which stay readable after the store deletes them.
struct Segments(Map<u64, Arc<File>>);

impl Reader for Segments {
    fn read_range(&self, segment: u64, offset: u64, len: usize) -> Result<Vec<u8>, Storage> {
        let file = self.0.get(&segment).ok_or(Storage::Stopped)?;
        let mut bytes = vec![0; len];
        file.read_exact_at(&mut bytes, offset)?;
        Ok(bytes)
    }
}

impl Store for Files {
    fn append(&mut self, item: &[u8]) -> Result<Locator, Storage> {
        self.roll_segment()?;
        self.active_segment()?.write_all_at(item, self.end.offset)?;
        let locator = Locator {
            segment: self.end.segment,
            offset: self.end.offset,
            len: item.len() as u64,
            crc: crc32fast::hash(item),
        };
        self.end.offset += locator.len;
        Ok(locator)
    }

    fn read(&self, locator: &Locator) -> Result<Vec<u8>, Storage> {
        let file = self.segment_of(locator)?;
        let mut item = vec![0; usize::try_from(locator.len).map_err(|_| corrupt(locator))?];
        file.read_exact_at(&mut item, locator.offset)?;
        if crc32fast::hash(&item) != locator.crc {
            return Err(corrupt(locator));
        }
        Ok(item)
    }

    fn read_part(&self, locator: &Locator, offset: u64, len: usize) -> Result<Vec<u8>, Storage> {
        if offset == 0 {
            self.verify(locator)?;
        }
        let left = locator.len.saturating_sub(offset);
        let len = usize::try_from(left).map_or(len, |left| left.min(len));
        let mut part = vec![0; len];
        self.segment_of(locator)?.read_exact_at(&mut part, locator.offset + offset)?;
        Ok(part)
    }

    fn append_all(&mut self, items: &[&[u8]]) -> Result<Vec<Locator>, Storage> {
        let mut locators = Vec::with_capacity(items.len());
        let mut buffer = Vec::new();
        self.roll_segment()?;
        for item in items {
            let offset = self.end.offset + buffer.len() as u64;
            let (segment, len, crc) = (self.end.segment, item.len() as u64, crc32fast::hash(item));
            locators.push(Locator { segment, offset, len, crc });
            buffer.extend_from_slice(item);
            if buffer.len() >= WRITE_BUFFER_BYTES {
                self.flush(&mut buffer)?;
                self.roll_segment()?;
            }
        }
        self.flush(&mut buffer)?;
        Ok(locators)
    }

    fn reader(&self) -> Box<dyn Reader> {
        Box::new(Segments(self.segments.clone()))
    }

    fn staging(&self) -> Result<Box<dyn Store>, Storage> {
        // Later segments belong to an earlier import that was not completed.
        for number in
            self.segment_numbers()?.into_iter().filter(|number| *number > self.end.segment)
        {
            std::fs::remove_file(self.segment_path(number))?;
        }
        let end = Position { segment: self.end.segment + STAGING_SEGMENT_GAP, offset: 0 };
        let (folder, disk) = (self.folder.clone(), self.disk.clone());
        let mut files = Self { folder, disk, segments: Map::default(), end };
        files.open_segment(end.segment)?;
        Ok(Box::new(files))
    }

    fn commit_staging(&mut self, position: Position) -> Result<(), Storage> {
        for number in self.segment_numbers()? {
            if number > self.end.segment && number <= position.segment {
                self.open_segment(number)?;
            }
        }
        self.end = position;
        Ok(())
    }

    fn sync(&mut self) -> Result<Position, Storage> {
        self.disk.sync_data(self.active_segment()?)?;
        self.disk.sync_all(&File::open(&self.folder)?)?;
        Ok(self.end)
    }

    fn rewind(&mut self, position: Position) -> Result<(), Storage> {
        let later: Vec<u64> =
            self.segments.keys().copied().filter(|number| *number > position.segment).collect();
        for number in later {
            self.segments.remove(&number);
            std::fs::remove_file(self.segment_path(number))?;
        }
        if !self.segments.contains_key(&position.segment) {
            self.open_segment(position.segment)?;
        }
        self.end = position;
        self.active_segment()?.set_len(position.offset)?;
        Ok(())
    }

    fn retain(&mut self, live: &dyn Fn(u64) -> bool) -> Result<(), Storage> {
        let last = self.end.segment;
        let unused: Vec<u64> =
            self.segments.keys().copied().filter(|n| *n != last && !live(*n)).collect();
        for number in unused {
            self.segments.remove(&number);
            std::fs::remove_file(self.segment_path(number))?;
        }
        Ok(())
    }
}

fn corrupt(locator: &Locator) -> Storage {
    Storage::Corrupt { file: format!("{:08}.history", locator.segment), offset: locator.offset }
}
