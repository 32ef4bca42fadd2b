//! Incremental parser that counts, and optionally collects, the events of a stream as its
//! bytes are relayed.

/// Maximum length of a line that spans several chunks, in bytes; further chunks of a longer line
/// are dropped. The events of engines are far shorter.
const LINE_BYTES: usize = 1024 * 1024;

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
}

impl Parser {
    /// Creates a parser, which collects the data of events if `collects_data` is set.
    pub(crate) fn new(collects_data: bool) -> Self {
        Self { collects_data, ..Self::default() }
    }

    /// Parses the next bytes of the stream.
    pub(crate) fn feed(&mut self, mut bytes: &[u8]) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            if self.line.is_empty() {
                self.parse_line(&bytes[..end]);
            } else {
                let mut line = std::mem::take(&mut self.line);
                line.extend_from_slice(&bytes[..end]);
                self.parse_line(&line);
            }
            bytes = &bytes[end + 1..];
        }
        if self.line.len() + bytes.len() <= LINE_BYTES {
            self.line.extend_from_slice(bytes);
        }
    }

    fn parse_line(&mut self, line: &[u8]) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if let Some(data) = self.data.take() {
                self.count += 1;
                if self.collects_data {
                    self.content.extend_from_slice(&data);
                    self.content.push(b'\n');
                }
            }
            return;
        }
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
