//! The write-ahead log of one replica.
//!
//! Records are length, CRC-32, batch and postcard body behind a magic word, in numbered
//! segment files. Nothing is acknowledged before [`Journal::append`] has synced it. The
//! records of one append are one batch, named by the offset at which it begins. A power
//! loss may tear the last batch in any way; what is left of it is dropped. A record that
//! fails its checksum before an intact record of a later batch had been synced: that is
//! damage, and the journal refuses to open.

use crate::error::Storage;
use crate::machine;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

/// First bytes of each record.
const MAGIC: [u8; 4] = *b"BKTH";

/// Bytes before the body: magic, length, checksum, offset of the batch.
const HEADER_BYTES: usize = 20;

/// Largest body, in bytes.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Opaque metadata that replaces the one before it, such as term and vote.
    Meta(Vec<u8>),
    /// One encoded log entry.
    Entry {
        /// Its index.
        index: u64,
        /// The encoded entry.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Entries from this index on are gone.
    Truncate(u64),
    /// Encoded machine state that replaces all entries up to `index`.
    Snapshot {
        /// Last index that the state includes.
        index: u64,
        /// Opaque metadata of the snapshot, such as its term and members.
        meta: Vec<u8>,
        /// What [`machine::StateMachine::save`] gave.
        #[serde(with = "serde_bytes")]
        state: Vec<u8>,
    },
}

/// What a journal held when it was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Last metadata.
    pub meta: Option<Vec<u8>>,
    /// Last snapshot: index, metadata, state.
    pub snapshot: Option<(u64, Vec<u8>, Vec<u8>)>,
    /// Entries after the snapshot, by index.
    pub entries: Vec<(u64, Vec<u8>)>,
}

impl Recovery {
    /// Takes one record in the order of writing.
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

/// Append-only log with one sync for each batch.
pub trait Log: Send {
    /// Appends `records` and returns after they are durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk; after one, every later call returns
    /// [`Storage::Stopped`].
    fn append(&mut self, records: &[Record]) -> Result<(), Storage>;

    /// Starts a new file with `records` and deletes the older ones.
    ///
    /// # Errors
    ///
    /// As [`Log::append`].
    fn rewrite(&mut self, records: &[Record]) -> Result<(), Storage>;

    /// Bytes written since the last [`Log::rewrite`].
    fn bytes(&self) -> u64;
}

/// [`Log`] in the files of one folder.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    file: File,
    number: u64,
    bytes: u64,
    stopped: bool,
}

impl Journal {
    /// Opens or creates the journal in `folder`.
    ///
    /// # Errors
    ///
    /// Returns [`Storage::Corrupt`] for a bad record that is not a torn write at the end.
    pub fn open(folder: &Path) -> Result<(Self, Recovery), Storage> {
        std::fs::create_dir_all(folder)?;
        let numbers = segment_numbers(folder)?;
        let mut recovered = Recovery::default();
        let mut bytes = 0;
        for number in &numbers {
            let is_last = Some(number) == numbers.last();
            bytes = replay_file(&path(folder, *number), is_last, &mut recovered)?;
        }
        let number = numbers.last().copied().unwrap_or(0);
        let file = OpenOptions::new().create(true).append(true).open(path(folder, number))?;
        File::open(folder)?.sync_all()?;
        let journal = Self { folder: folder.to_owned(), file, number, bytes, stopped: false };
        Ok((journal, recovered))
    }

    fn write(&mut self, records: &[Record]) -> Result<(), Storage> {
        let mut buffer = Vec::new();
        for record in records {
            encode(record, self.bytes, &mut buffer)?;
        }
        self.file.write_all(&buffer)?;
        self.file.sync_data()?;
        self.bytes += buffer.len() as u64;
        Ok(())
    }

    fn start_file(&mut self, records: &[Record]) -> Result<(), Storage> {
        let older = segment_numbers(&self.folder)?;
        let number = self.number + 1;
        let temporary = self.folder.join("next.tmp");
        self.file = File::create(&temporary)?;
        self.bytes = 0;
        // Older files may survive a crash here; their entries must not count twice.
        self.write(&[Record::Truncate(0)])?;
        self.write(records)?;
        std::fs::rename(&temporary, path(&self.folder, number))?;
        File::open(&self.folder)?.sync_all()?;
        self.number = number;
        for old in older {
            std::fs::remove_file(path(&self.folder, old))?;
        }
        Ok(())
    }

    fn guarded(&mut self, result: Result<(), Storage>) -> Result<(), Storage> {
        self.stopped |= result.is_err();
        result
    }
}

impl Log for Journal {
    fn append(&mut self, records: &[Record]) -> Result<(), Storage> {
        if self.stopped {
            return Err(Storage::Stopped);
        }
        let result = self.write(records);
        self.guarded(result)
    }

    fn rewrite(&mut self, records: &[Record]) -> Result<(), Storage> {
        if self.stopped {
            return Err(Storage::Stopped);
        }
        let result = self.start_file(records);
        self.guarded(result)
    }

    fn bytes(&self) -> u64 {
        self.bytes
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
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

fn encode(record: &Record, batch: u64, buffer: &mut Vec<u8>) -> Result<(), Storage> {
    let body = machine::encode(record)?;
    let len = u32::try_from(body.len()).map_err(|_| Storage::Stopped)?;
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&len.to_le_bytes());
    buffer.extend_from_slice(&checksum(batch, &body).to_le_bytes());
    buffer.extend_from_slice(&batch.to_le_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

fn checksum(batch: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&batch.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Replays one file and returns its length after a torn tail was cut off.
fn replay_file(path: &Path, is_last: bool, recovered: &mut Recovery) -> Result<u64, Storage> {
    let mut bytes = Vec::new();
    File::open(path)?.read_to_end(&mut bytes)?;
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let Some((_, body)) = intact(rest) else {
            if !is_last || has_later_batch(&rest[1..], offset as u64) {
                return Err(damage(path, offset));
            }
            let file = OpenOptions::new().write(true).open(path)?;
            file.set_len(offset as u64)?;
            file.sync_all()?;
            break;
        };
        recovered.replay(machine::decode(body)?);
        offset += HEADER_BYTES + body.len();
    }
    Ok(offset as u64)
}

fn damage(path: &Path, offset: usize) -> Storage {
    let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    Storage::Corrupt { file, offset: offset as u64 }
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let slice = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(slice.try_into().ok()?))
}

fn body_len(rest: &[u8]) -> Option<usize> {
    let len = usize::try_from(word(rest, 4)?).ok()?;
    (rest.starts_with(&MAGIC) && len <= BODY_LIMIT_BYTES).then_some(len)
}

/// Batch and body of the record that `rest` starts with, if its checksum holds.
fn intact(rest: &[u8]) -> Option<(u64, &[u8])> {
    let len = body_len(rest)?;
    let batch = u64::from_le_bytes(rest.get(12..HEADER_BYTES)?.try_into().ok()?);
    let body = rest.get(HEADER_BYTES..HEADER_BYTES + len)?;
    (word(rest, 8)? == checksum(batch, body)).then_some((batch, body))
}

/// Whether an intact record follows whose batch began after `offset`.
fn has_later_batch(bytes: &[u8], offset: u64) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
    starts.filter_map(|(at, _)| intact(&bytes[at..])).any(|(batch, _)| batch > offset)
}
