//! The write-ahead log of one replica.
//!
//! Each record in the numbered segment files consists of a magic number, the length, the CRC-32,
//! the batch and the body, which is encoded as postcard. Nothing is acknowledged before
//! [`Journal::append`] has synced it.
//!
//! The records of one append form a batch, identified by the file offset at which it begins.
//! A power loss may leave any part of the last batch on disk, so its records from the first
//! corrupt one on are dropped. A corrupt record that is followed by a valid record of a later
//! batch had already been synced: the file is corrupt, and the journal refuses to open.

use crate::disk::{Disk, Local};
use crate::error::Storage;
use crate::machine;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Magic number: the first bytes of each record.
const MAGIC: [u8; 4] = *b"BKTH";

/// Size of the record header, in bytes: magic number, body length, checksum, batch offset.
const HEADER_BYTES: usize = 20;

/// Maximum size of a record body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Size at which the buffer of a batch is written, in bytes; limits its memory use.
const WRITE_BUFFER_BYTES: usize = 1024 * 1024;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Opaque metadata, such as term and vote; replaces the previous metadata.
    Meta(Vec<u8>),
    /// One log entry.
    Entry {
        /// Log index of the entry.
        index: u64,
        /// Encoded entry.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Removes the entries from this index on.
    Truncate(u64),
    /// Saved state of the state machine; replaces all entries up to `index`.
    Snapshot {
        /// Index of the last entry that the state includes.
        index: u64,
        /// Opaque metadata of the snapshot, such as its term and members.
        meta: Vec<u8>,
        /// Result of [`machine::StateMachine::save`].
        #[serde(with = "serde_bytes")]
        state: Vec<u8>,
    },
}

/// Contents of a journal, recovered when it is opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Latest metadata.
    pub meta: Option<Vec<u8>>,
    /// Latest snapshot: index, metadata and state.
    pub snapshot: Option<(u64, Vec<u8>, Vec<u8>)>,
    /// Entries after the snapshot: index and encoded entry, in ascending order.
    pub entries: Vec<(u64, Vec<u8>)>,
}

impl Recovery {
    /// Applies one record; records must be applied in the order in which they were written.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Meta(meta) => self.meta = Some(meta),
            Record::Entry { index, body } => self.entries.push((index, body)),
            Record::Truncate(from) => self.entries.retain(|(index, _)| *index < from),
            Record::Snapshot { index, meta, state } => {
                self.entries.retain(|(entry, _)| *entry > index);
                self.snapshot = Some((index, meta, state));
            }
        }
    }
}

/// Records to write, each of which is made when the one before it has been encoded.
pub type Records<'a> = &'a mut dyn Iterator<Item = Result<Record, Storage>>;

/// Append-only log with one sync per batch.
pub trait Log: Send {
    /// Appends `records` as one batch and returns after they are durable.
    ///
    /// # Errors
    ///
    /// Returns a storage error if the disk fails or a record cannot be made; every later call then
    /// returns [`Storage::Stopped`].
    fn extend(&mut self, records: Records<'_>) -> Result<(), Storage>;

    /// As [`Log::extend`], for a few small records.
    ///
    /// # Errors
    ///
    /// As [`Log::extend`].
    fn append(&mut self, records: &[Record]) -> Result<(), Storage> {
        self.extend(&mut records.iter().cloned().map(Ok))
    }

    /// Starts a new segment file with `records` and deletes the older files.
    ///
    /// # Errors
    ///
    /// As [`Log::extend`].
    fn replace(&mut self, records: Records<'_>) -> Result<(), Storage>;

    /// As [`Log::replace`], for a few small records.
    ///
    /// # Errors
    ///
    /// As [`Log::extend`].
    fn rewrite(&mut self, records: &[Record]) -> Result<(), Storage> {
        self.replace(&mut records.iter().cloned().map(Ok))
    }

    /// Size of the current segment file, in bytes; starts again with each [`Log::rewrite`].
    fn bytes(&self) -> u64;
}

/// [`Log`] in the segment files of one folder.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    disk: Arc<dyn Disk>,
    /// Current segment file.
    file: File,
    /// Number of the current segment file.
    number: u64,
    /// Size of the current segment file, in bytes.
    bytes: u64,
    /// Whether a write or sync failed, after which nothing more is written.
    stopped: bool,
}

impl Journal {
    /// Opens or creates the journal in `folder`.
    ///
    /// # Errors
    ///
    /// Returns [`Storage::Corrupt`] for a corrupt record that is not part of a torn write at the
    /// end.
    pub fn open(folder: &Path) -> Result<(Self, Recovery), Storage> {
        Self::open_on(Arc::new(Local), folder)
    }

    /// As [`Journal::open`], on the given disk.
    ///
    /// # Errors
    ///
    /// As [`Journal::open`].
    pub fn open_on(disk: Arc<dyn Disk>, folder: &Path) -> Result<(Self, Recovery), Storage> {
        std::fs::create_dir_all(folder)?;
        let numbers = segment_numbers(folder)?;
        let mut recovery = Recovery::default();
        let mut bytes = 0;
        for number in &numbers {
            let is_last = Some(number) == numbers.last();
            let path = segment_path(folder, *number);
            bytes = replay_segment(disk.as_ref(), &path, is_last, &mut recovery)?;
        }
        let number = numbers.last().copied().unwrap_or(0);
        let file =
            OpenOptions::new().create(true).append(true).open(segment_path(folder, number))?;
        disk.sync_all(&File::open(folder)?)?;
        let folder = folder.to_owned();
        let journal = Self { folder, disk, file, number, bytes, stopped: false };
        Ok((journal, recovery))
    }

    fn write(&mut self, records: Records<'_>) -> Result<(), Storage> {
        let (batch, mut buffer) = (self.bytes, Vec::new());
        for record in records {
            encode(&record?, batch, &mut buffer)?;
            if buffer.len() >= WRITE_BUFFER_BYTES {
                self.flush(&mut buffer)?;
            }
        }
        self.flush(&mut buffer)?;
        self.disk.sync_data(&self.file)?;
        Ok(())
    }

    /// Writes the buffer to the current file and clears it.
    fn flush(&mut self, buffer: &mut Vec<u8>) -> Result<(), Storage> {
        self.file.write_all(buffer)?;
        self.bytes += buffer.len() as u64;
        buffer.clear();
        Ok(())
    }

    fn start_segment(&mut self, records: Records<'_>) -> Result<(), Storage> {
        let older = segment_numbers(&self.folder)?;
        let number = self.number + 1;
        let temporary = self.folder.join("next.tmp");
        self.file = File::create(&temporary)?;
        self.bytes = 0;
        // The older files remain after a crash before they are deleted, and are replayed before
        // this file; without the truncation their entries would be replayed twice.
        self.write(&mut std::iter::once(Ok(Record::Truncate(0))))?;
        self.write(records)?;
        std::fs::rename(&temporary, segment_path(&self.folder, number))?;
        self.disk.sync_all(&File::open(&self.folder)?)?;
        self.number = number;
        for old in older {
            std::fs::remove_file(segment_path(&self.folder, old))?;
        }
        Ok(())
    }

    /// Stops the journal if `result` is an error.
    fn stop_on_error(&mut self, result: Result<(), Storage>) -> Result<(), Storage> {
        self.stopped |= result.is_err();
        result
    }
}

impl Log for Journal {
    fn extend(&mut self, records: Records<'_>) -> Result<(), Storage> {
        if self.stopped {
            return Err(Storage::Stopped);
        }
        let result = self.write(records);
        self.stop_on_error(result)
    }

    fn replace(&mut self, records: Records<'_>) -> Result<(), Storage> {
        if self.stopped {
            return Err(Storage::Stopped);
        }
        let result = self.start_segment(records);
        self.stop_on_error(result)
    }

    fn bytes(&self) -> u64 {
        self.bytes
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:08}.journal"))
}

fn segment_numbers(folder: &Path) -> Result<Vec<u64>, Storage> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_suffix(".journal"));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Appends the encoded record to `buffer`.
fn encode(record: &Record, batch: u64, buffer: &mut Vec<u8>) -> Result<(), Storage> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    machine::encode_into(record, buffer)?;
    let (header, body) = buffer[start..].split_at_mut(HEADER_BYTES);
    let len = u32::try_from(body.len()).map_err(|_| Storage::Stopped)?;
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&len.to_le_bytes());
    header[8..12].copy_from_slice(&checksum(batch, body).to_le_bytes());
    header[12..].copy_from_slice(&batch.to_le_bytes());
    Ok(())
}

fn checksum(batch: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&batch.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Replays one segment file and returns its length after a torn write at the end was truncated.
fn replay_segment(
    disk: &dyn Disk,
    path: &Path,
    is_last: bool,
    recovery: &mut Recovery,
) -> Result<u64, Storage> {
    let mut bytes = Vec::new();
    File::open(path)?.read_to_end(&mut bytes)?;
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let Some((_, body)) = parse_record(rest) else {
            if !is_last || has_later_batch(&rest[1..], offset as u64) {
                return Err(corrupt(path, offset));
            }
            let file = OpenOptions::new().write(true).open(path)?;
            file.set_len(offset as u64)?;
            disk.sync_all(&file)?;
            break;
        };
        recovery.replay(machine::decode(body)?);
        offset += HEADER_BYTES + body.len();
    }
    Ok(offset as u64)
}

fn corrupt(path: &Path, offset: usize) -> Storage {
    let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    Storage::Corrupt { file, offset: offset as u64 }
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let slice = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(slice.try_into().ok()?))
}

/// Body length of the record at the start of `rest`; `None` if its header is not valid.
fn body_len(rest: &[u8]) -> Option<usize> {
    let len = usize::try_from(read_u32(rest, 4)?).ok()?;
    (rest.starts_with(&MAGIC) && len <= MAX_BODY_BYTES).then_some(len)
}

/// Batch and body of the record at the start of `rest`; `None` if it is incomplete or does not
/// match its checksum.
fn parse_record(rest: &[u8]) -> Option<(u64, &[u8])> {
    let len = body_len(rest)?;
    let batch = u64::from_le_bytes(rest.get(12..HEADER_BYTES)?.try_into().ok()?);
    let body = rest.get(HEADER_BYTES..HEADER_BYTES + len)?;
    (read_u32(rest, 8)? == checksum(batch, body)).then_some((batch, body))
}

/// Whether `bytes` contain a valid record whose batch began after `offset`.
fn has_later_batch(bytes: &[u8], offset: u64) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
    starts.filter_map(|(start, _)| parse_record(&bytes[start..])).any(|(batch, _)| batch > offset)
}
