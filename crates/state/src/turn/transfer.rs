//! A journal of turns on its way to another disk.
//!
//! It travels as the length of the index, the index, and the contents of all kept turns
//! in the order of their locators, which count from the start of the contents. Neither
//! side holds more than the index and one part in memory.

use crate::error::Storage;
use crate::history::{Locator, Reader, Store};
use crate::machine::{self, Export, Import};
use crate::turn::machine::{Kept, Saved};

/// Bytes of the length before the index.
const INDEX_LEN_BYTES: usize = 8;

/// Largest index, in bytes: half a million turns and programs.
const INDEX_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Neighbouring items of one segment, and where they stand in the export.
struct Span {
    start: u64,
    segment: u64,
    offset: u64,
    len: u64,
}

/// The sending side.
pub(crate) struct Outgoing {
    head: Vec<u8>,
    spans: Vec<Span>,
    size: u64,
    reader: Box<dyn Reader>,
}

impl Outgoing {
    /// An export of `saved`, whose items `reader` reads.
    pub(crate) fn new(mut saved: Saved, reader: Box<dyn Reader>) -> Result<Self, Storage> {
        let mut kept: Vec<&mut Kept> = saved.kept.values_mut().collect();
        kept.sort_unstable_by_key(|kept| (kept.item.segment, kept.item.offset));
        let mut spans: Vec<Span> = Vec::new();
        let mut size = 0;
        for kept in kept {
            let Locator { segment, offset, len, .. } = kept.item;
            kept.item = Locator { segment: 0, offset: size, ..kept.item };
            match spans.last_mut() {
                Some(span) if span.segment == segment && span.offset + span.len == offset => {
                    span.len += len;
                }
                _ => spans.push(Span { start: size, segment, offset, len }),
            }
            size += len;
        }
        let index = machine::encode(&saved)?;
        let mut head = (index.len() as u64).to_le_bytes().to_vec();
        head.extend_from_slice(&index);
        let before = head.len() as u64;
        spans.iter_mut().for_each(|span| span.start += before);
        Ok(Self { head, spans, size: before + size, reader })
    }
}

impl Export for Outgoing {
    fn size(&self) -> u64 {
        self.size
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, Storage> {
        let mut part = self.head.read(offset, len)?;
        let at = offset + part.len() as u64;
        let first = self.spans.partition_point(|span| span.start + span.len <= at);
        for span in &self.spans[first..] {
            let missing = len - part.len();
            if missing == 0 {
                break;
            }
            let skipped = (offset + part.len() as u64).saturating_sub(span.start);
            let rest = usize::try_from(span.len - skipped).unwrap_or(usize::MAX);
            let found = self.reader.span(span.segment, span.offset + skipped, rest.min(missing))?;
            part.extend_from_slice(&found);
        }
        Ok(part)
    }
}

/// Index that was received, with its kept turns in the order of their contents.
struct Index {
    saved: Saved,
    order: Vec<String>,
    located: usize,
}

/// The receiving side; it writes contents as they come.
pub(crate) struct Incoming {
    store: Box<dyn Store>,
    buffer: Vec<u8>,
    index: Option<Index>,
}

impl Incoming {
    /// An import that writes to `store`.
    pub(crate) fn new(store: Box<dyn Store>) -> Self {
        Self { store, buffer: Vec::new(), index: None }
    }

    fn read_index(&mut self) -> Result<(), Storage> {
        let Some((len, rest)) = self.buffer.split_first_chunk::<INDEX_LEN_BYTES>() else {
            return Ok(());
        };
        let len = usize::try_from(u64::from_le_bytes(*len)).unwrap_or(usize::MAX);
        if len > INDEX_LIMIT_BYTES {
            return Err(damaged(0));
        }
        let Some(index) = rest.get(..len) else {
            return Ok(());
        };
        let saved: Saved = machine::decode(index)?;
        let mut order: Vec<(u64, &String)> =
            saved.kept.iter().map(|(turn, kept)| (kept.item.offset, turn)).collect();
        order.sort_unstable();
        let order = order.into_iter().map(|(_, turn)| turn.clone()).collect();
        self.index = Some(Index { saved, order, located: 0 });
        self.buffer.drain(..INDEX_LEN_BYTES + len);
        Ok(())
    }

    /// Writes the items that are complete.
    fn write_items(&mut self) -> Result<(), Storage> {
        let Some(index) = &mut self.index else {
            return Ok(());
        };
        let mut items = Vec::new();
        let mut rest = self.buffer.as_slice();
        for turn in &index.order[index.located..] {
            let Some(kept) = index.saved.kept.get(turn) else {
                return Err(damaged(0));
            };
            let len = usize::try_from(kept.item.len).unwrap_or(usize::MAX);
            let Some((item, after)) = rest.split_at_checked(len) else {
                break;
            };
            if crc32fast::hash(item) != kept.item.crc {
                return Err(damaged(kept.item.offset));
            }
            items.push(item);
            rest = after;
        }
        let located = self.store.append_all(&items)?;
        for item in located {
            let turn = &index.order[index.located];
            if let Some(kept) = index.saved.kept.get_mut(turn) {
                kept.item = item;
            }
            index.located += 1;
        }
        let written = self.buffer.len() - rest.len();
        self.buffer.drain(..written);
        Ok(())
    }
}

impl Import for Incoming {
    fn take(&mut self, part: &[u8]) -> Result<(), Storage> {
        self.buffer.extend_from_slice(part);
        if self.index.is_none() {
            self.read_index()?;
        }
        self.write_items()
    }

    fn end(mut self: Box<Self>) -> Result<Vec<u8>, Storage> {
        let Some(mut index) = self.index.take().filter(|_| self.buffer.is_empty()) else {
            return Err(damaged(0));
        };
        if index.located < index.order.len() {
            return Err(damaged(0));
        }
        index.saved.history = self.store.sync()?;
        machine::encode(&index.saved)
    }
}

fn damaged(offset: u64) -> Storage {
    Storage::Damaged { file: "state of another replica".to_owned(), offset }
}
