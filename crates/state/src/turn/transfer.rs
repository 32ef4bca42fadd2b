//! Transfer of the turn state to another replica.
//!
//! The stream is the length of the index, the index, and the contents of all retained turns
//! in the order of their locators. In the index, a locator's offset counts from the start of
//! the contents. Neither side holds more than the index and one chunk in memory.

use crate::error::Storage;
use crate::history::{Locator, Reader, Store};
use crate::machine::{self, Export, Import};
use crate::turn::machine::{Snapshot, Turn};

/// Size of the length field before the index, in bytes.
const INDEX_LEN_BYTES: usize = 8;

/// Maximum size of the index, in bytes; enough for half a million turns and programs.
const MAX_INDEX_BYTES: usize = 64 * 1024 * 1024;

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
    /// Number of turns whose content is written to the store.
    written_count: usize,
}

/// Receiving side: writes contents to a store as they arrive.
pub(crate) struct Importer {
    store: Box<dyn Store>,
    /// Received bytes that are not yet decoded or written.
    buffer: Vec<u8>,
    /// The index; `None` until it is received completely.
    index: Option<Index>,
}

impl Importer {
    /// Creates an import that writes contents to `store`.
    pub(crate) fn new(store: Box<dyn Store>) -> Self {
        Self { store, buffer: Vec::new(), index: None }
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
        self.index = Some(Index { snapshot, turn_ids, written_count: 0 });
        self.buffer.drain(..INDEX_LEN_BYTES + len);
        Ok(())
    }

    /// Verifies and writes the items that are received completely.
    fn write_complete_items(&mut self) -> Result<(), Storage> {
        let Some(index) = &mut self.index else {
            return Ok(());
        };
        let mut items = Vec::new();
        let mut rest = self.buffer.as_slice();
        for id in &index.turn_ids[index.written_count..] {
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
            items.push(item);
            rest = after;
        }
        let locators = self.store.append_all(&items)?;
        for locator in locators {
            let id = &index.turn_ids[index.written_count];
            if let Some(turn) = index.snapshot.retained.get_mut(id) {
                turn.item = locator;
            }
            index.written_count += 1;
        }
        let written = self.buffer.len() - rest.len();
        self.buffer.drain(..written);
        Ok(())
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
        if index.written_count < index.turn_ids.len() {
            return Err(corrupt(0));
        }
        index.snapshot.history = self.store.sync()?;
        machine::encode(&index.snapshot)
    }
}

fn corrupt(offset: u64) -> Storage {
    Storage::Corrupt { file: "state of another replica".to_owned(), offset }
}
