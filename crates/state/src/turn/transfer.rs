//! Transfer of the turn state to another replica.
//!
//! The stream is the length of the index, the index, and the contents of all retained turns
//! in the order of their locators. In the index, a locator's offset counts from the start of
//! the contents. Neither side holds more than the index and a few chunks in memory.
//!
//! The receiver verifies contents as they arrive. A thread of its own writes and syncs them, so
//! that a disk which is slower than the link doesn't hold up the link, and that little is left to
//! sync after the last chunk.

use crate::error::Storage;
use crate::history::{Locator, Position, Reader, Store};
use crate::machine::{self, Export, Import};
use crate::turn::machine::{Snapshot, Turn};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;

/// Size of the length field before the index, in bytes.
const INDEX_LEN_BYTES: usize = 8;

/// Maximum size of the index, in bytes; enough for half a million turns and programs.
const MAX_INDEX_BYTES: usize = 64 * 1024 * 1024;

/// Bytes written between two syncs of the received contents; about 70 ms of a disk of 120 MB/s.
const SYNC_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum number of batches of received items that wait to be written; a batch has about the size
/// of a chunk.
const MAX_WAITING_BATCHES: usize = 16;

/// A run of adjacent items in one segment.
struct Extent {
    /// Offset in the exported stream, in bytes.
    start: u64,
    segment: u64,
    /// Offset in the segment, in bytes.
    offset: u64,
    /// Total length of the items, in bytes.
    len: u64,
}

/// Sending side: serves the stream of one snapshot.
pub(crate) struct Exporter {
    /// Length of the index, then the index.
    header: Vec<u8>,
    extents: Vec<Extent>,
    size: u64,
    reader: Box<dyn Reader>,
}

impl Exporter {
    /// Creates the export of `snapshot`, whose items are read through `reader`.
    pub(crate) fn new(mut snapshot: Snapshot, reader: Box<dyn Reader>) -> Result<Self, Storage> {
        let mut turns: Vec<&mut Turn> = snapshot.retained.values_mut().collect();
        turns.sort_unstable_by_key(|turn| (turn.item.segment, turn.item.offset));
        let mut extents: Vec<Extent> = Vec::new();
        let mut size = 0;
        for turn in turns {
            let Locator { segment, offset, len, .. } = turn.item;
            turn.item = Locator { segment: 0, offset: size, ..turn.item };
            match extents.last_mut() {
                Some(extent)
                    if extent.segment == segment && extent.offset + extent.len == offset =>
                {
                    extent.len += len;
                }
                _ => extents.push(Extent { start: size, segment, offset, len }),
            }
            size += len;
        }
        let index = machine::encode(&snapshot)?;
        let mut header = (index.len() as u64).to_le_bytes().to_vec();
        header.extend_from_slice(&index);
        let header_len = header.len() as u64;
        extents.iter_mut().for_each(|extent| extent.start += header_len);
        Ok(Self { header, extents, size: header_len + size, reader })
    }
}

impl Export for Exporter {
    fn size(&self) -> u64 {
        self.size
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, Storage> {
        let mut chunk = self.header.read(offset, len)?;
        let position = offset + chunk.len() as u64;
        let first = self.extents.partition_point(|extent| extent.start + extent.len <= position);
        for extent in &self.extents[first..] {
            let missing = len - chunk.len();
            if missing == 0 {
                break;
            }
            let skipped = (offset + chunk.len() as u64).saturating_sub(extent.start);
            let available = usize::try_from(extent.len - skipped).unwrap_or(usize::MAX);
            let found = self.reader.read_range(
                extent.segment,
                extent.offset + skipped,
                available.min(missing),
            )?;
            chunk.extend_from_slice(&found);
        }
        Ok(chunk)
    }
}

/// The received index.
struct Index {
    snapshot: Snapshot,
    /// Ids of the retained turns, in the order of their contents in the stream.
    turn_ids: Vec<String>,
    /// Number of turns whose content is verified and on its way to the store.
    received_count: usize,
}

/// Items as received, one after the other, with their lengths.
type Batch = (Vec<u8>, Vec<usize>);

/// A thread that appends items to a store. Dropping it waits for the thread to end.
struct Writer {
    /// `None` once the last item is sent.
    batches: Option<SyncSender<Batch>>,
    thread: Option<JoinHandle<Result<Written, Storage>>>,
}

/// Items that a [`Writer`] has made durable.
struct Written {
    locators: Vec<Locator>,
    end: Position,
}

impl Writer {
    fn start(store: Box<dyn Store>) -> Result<Self, Storage> {
        let (batches, inbox) = sync_channel(MAX_WAITING_BATCHES);
        let thread = std::thread::Builder::new().name("snapshot-import".to_owned());
        let thread = thread.spawn(move || write_batches(store, &inbox))?;
        Ok(Self { batches: Some(batches), thread: Some(thread) })
    }

    /// Queues a batch; waits while too many are queued.
    fn write(&mut self, batch: Batch) -> Result<(), Storage> {
        let is_sent = self.batches.as_ref().is_some_and(|batches| batches.send(batch).is_ok());
        if is_sent { Ok(()) } else { self.finish().and(Err(Storage::Stopped)) }
    }

    /// Waits until all batches are durable.
    fn finish(&mut self) -> Result<Written, Storage> {
        self.batches = None;
        let thread = self.thread.take().ok_or(Storage::Stopped)?;
        thread.join().map_err(|_| Storage::Stopped)?
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        // What an abandoned import wrote is part of no state, so its error concerns nobody; a disk
        // that fails refuses the next write as well.
        if self.thread.is_some() {
            drop(self.finish());
        }
    }
}

/// Appends batches to the store until their channel is closed.
fn write_batches(mut store: Box<dyn Store>, inbox: &Receiver<Batch>) -> Result<Written, Storage> {
    let (mut locators, mut unsynced) = (Vec::new(), 0);
    for (bytes, lens) in inbox {
        let mut rest = bytes.as_slice();
        let mut items = Vec::with_capacity(lens.len());
        for len in lens {
            let (item, after) = rest.split_at_checked(len).ok_or(Storage::Stopped)?;
            items.push(item);
            rest = after;
        }
        locators.extend(store.append_all(&items)?);
        unsynced += bytes.len() as u64;
        if unsynced >= SYNC_BYTES {
            store.sync()?;
            unsynced = 0;
        }
    }
    Ok(Written { locators, end: store.sync()? })
}

/// Receiving side: writes contents to a store as they arrive.
pub(crate) struct Importer {
    writer: Writer,
    /// Received bytes that are not yet decoded or verified.
    buffer: Vec<u8>,
    /// The index; `None` until it is received completely.
    index: Option<Index>,
}

impl Importer {
    /// Creates an import that writes contents to `store`.
    pub(crate) fn new(store: Box<dyn Store>) -> Result<Self, Storage> {
        Ok(Self { writer: Writer::start(store)?, buffer: Vec::new(), index: None })
    }

    /// Decodes the index once it is received completely.
    fn read_index(&mut self) -> Result<(), Storage> {
        let Some((len, rest)) = self.buffer.split_first_chunk::<INDEX_LEN_BYTES>() else {
            return Ok(());
        };
        let len = usize::try_from(u64::from_le_bytes(*len)).unwrap_or(usize::MAX);
        if len > MAX_INDEX_BYTES {
            return Err(corrupt(0));
        }
        let Some(index) = rest.get(..len) else {
            return Ok(());
        };
        let snapshot: Snapshot = machine::decode(index)?;
        let mut turn_ids: Vec<(u64, &String)> =
            snapshot.retained.iter().map(|(id, turn)| (turn.item.offset, id)).collect();
        turn_ids.sort_unstable();
        let turn_ids = turn_ids.into_iter().map(|(_, id)| id.clone()).collect();
        self.index = Some(Index { snapshot, turn_ids, received_count: 0 });
        self.buffer.drain(..INDEX_LEN_BYTES + len);
        Ok(())
    }

    /// Verifies the items that are received completely, and passes them on to be written.
    fn write_complete_items(&mut self) -> Result<(), Storage> {
        let Some(index) = &mut self.index else {
            return Ok(());
        };
        let mut lens = Vec::new();
        let mut rest = self.buffer.as_slice();
        for id in &index.turn_ids[index.received_count..] {
            let Some(turn) = index.snapshot.retained.get(id) else {
                return Err(corrupt(0));
            };
            let len = usize::try_from(turn.item.len).unwrap_or(usize::MAX);
            let Some((item, after)) = rest.split_at_checked(len) else {
                break;
            };
            if crc32fast::hash(item) != turn.item.crc {
                return Err(corrupt(turn.item.offset));
            }
            lens.push(len);
            rest = after;
        }
        if lens.is_empty() {
            return Ok(());
        }
        index.received_count += lens.len();
        let rest = rest.to_vec();
        let mut complete = std::mem::replace(&mut self.buffer, rest);
        complete.truncate(complete.len() - self.buffer.len());
        self.writer.write((complete, lens))
    }
}

impl Import for Importer {
    fn receive(&mut self, chunk: &[u8]) -> Result<(), Storage> {
        self.buffer.extend_from_slice(chunk);
        if self.index.is_none() {
            self.read_index()?;
        }
        self.write_complete_items()
    }

    fn finish(mut self: Box<Self>) -> Result<Vec<u8>, Storage> {
        let Some(mut index) = self.index.take().filter(|_| self.buffer.is_empty()) else {
            return Err(corrupt(0));
        };
        let written = self.writer.finish()?;
        if written.locators.len() < index.turn_ids.len() {
            return Err(corrupt(0));
        }
        for (id, locator) in index.turn_ids.iter().zip(written.locators) {
            if let Some(turn) = index.snapshot.retained.get_mut(id) {
                turn.item = locator;
            }
        }
        index.snapshot.history = written.end;
        machine::encode(&index.snapshot)
    }
}

fn corrupt(offset: u64) -> Storage {
    Storage::Corrupt { file: "state of another replica".to_owned(), offset }
}
