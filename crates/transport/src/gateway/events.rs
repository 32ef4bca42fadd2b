//! Incremental parser that counts, and optionally collects, the events of a stream as its
//! bytes are relayed. It bounds what it holds, since a faulty server may send lines or events
//! without end.

use crate::bounded::LINE_BYTES;

/// Maximum length of an event, in bytes, with all its lines.
const EVENT_BYTES: usize = LINE_BYTES;

/// Reason why a stream is not relayed further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Excess {
    /// An event is too long.
    #[error("an event has more than {EVENT_BYTES} bytes")]
    Event,
    /// There are more events than the request may generate.
    #[error("the stream has more than {0} events")]
    Count(u64),
}

/// Parser of a `text/event-stream` body.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    line: Vec<u8>,
    /// Data of the event that is being parsed.
    data: Option<Vec<u8>>,
    /// Number of complete events so far.
    pub(crate) count: u64,
    /// Data of the complete events, each followed by a line feed; empty unless collected.
    pub(crate) content: Vec<u8>,
    collects_data: bool,
    max_count: u64,
    /// Length of the current event up to its last complete line, in bytes.
    event_bytes: usize,
    /// Whether the current event has a complete line that is not a comment.
    has_field: bool,
    /// Whether the last byte was a carriage return, so that a line feed belongs to the same line end.
    ends_with_return: bool,
}

impl Parser {
    /// Creates a parser for at most `max_count` events, which collects their data if
    /// `collects_data` is set.
    pub(crate) fn new(max_count: u64, collects_data: bool) -> Self {
        Self { max_count, collects_data, ..Self::default() }
    }

    /// Parses the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns the limit that the stream exceeds; then it must not be parsed further.
    pub(crate) fn feed(&mut self, mut bytes: &[u8]) -> Result<(), Excess> {
        if self.ends_with_return && !bytes.is_empty() {
            self.ends_with_return = false;
            bytes = bytes.strip_prefix(b"\n").unwrap_or(bytes);
        }
        while let Some(end) = bytes.iter().position(|byte| matches!(byte, b'\n' | b'\r')) {
            self.event_bytes += self.line.len() + end;
            if self.event_bytes > EVENT_BYTES {
                return Err(Excess::Event);
            }
            if self.line.is_empty() {
                self.parse_line(&bytes[..end]);
            } else {
                let mut line = std::mem::take(&mut self.line);
                line.extend_from_slice(&bytes[..end]);
                self.parse_line(&line);
            }
            let is_return = bytes[end] == b'\r';
            bytes = &bytes[end + 1..];
            self.ends_with_return = is_return && bytes.is_empty();
            if is_return {
                bytes = bytes.strip_prefix(b"\n").unwrap_or(bytes);
            }
            if self.count > self.max_count {
                return Err(Excess::Count(self.max_count));
            }
        }
        if self.event_bytes + self.line.len() + bytes.len() > EVENT_BYTES {
            return Err(Excess::Event);
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    /// Number of bytes that the parser holds.
    pub(crate) fn held_bytes(&self) -> usize {
        self.line.len() + self.data.as_ref().map_or(0, Vec::len) + self.content.len()
    }

    /// Whether the bytes so far end within an event or a line.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.has_field || !self.line.is_empty()
    }

    fn parse_line(&mut self, line: &[u8]) {
        if line.is_empty() {
            self.event_bytes = 0;
            self.has_field = false;
            if let Some(data) = self.data.take() {
                self.count += 1;
                if self.collects_data {
                    self.content.extend_from_slice(&data);
                    self.content.push(b'\n');
                }
            }
            return;
        }
        self.has_field |= !line.starts_with(b":");
        let Some(value) = line.strip_prefix(b"data:") else {
            return;
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &mut self.data {
            Some(data) => {
                data.push(b'\n');
                data.extend_from_slice(value);
            }
            None => self.data = Some(if self.collects_data { value.to_vec() } else { Vec::new() }),
        }
    }
}
