//! Events of a stream, counted and collected as its bytes pass.

/// Longest line that is collected, in bytes; an engine's events are far shorter.
const LINE_BYTES: usize = 1024 * 1024;

/// Follows a `text/event-stream` body.
#[derive(Debug, Default)]
pub(crate) struct Events {
    line: Vec<u8>,
    /// Data of the event under way.
    data: Option<Vec<u8>>,
    /// Whole events so far.
    pub(crate) count: u64,
    /// Data of the whole events, a line feed after each; only if collected.
    pub(crate) content: Vec<u8>,
    collects: bool,
}

impl Events {
    /// A stream's start; `collects` says whether the data is wanted.
    pub(crate) fn new(collects: bool) -> Self {
        Self { collects, ..Self::default() }
    }

    /// Takes the next bytes.
    pub(crate) fn feed(&mut self, mut bytes: &[u8]) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            if self.line.is_empty() {
                self.take_line(&bytes[..end]);
            } else {
                let mut line = std::mem::take(&mut self.line);
                line.extend_from_slice(&bytes[..end]);
                self.take_line(&line);
            }
            bytes = &bytes[end + 1..];
        }
        if self.line.len() + bytes.len() <= LINE_BYTES {
            self.line.extend_from_slice(bytes);
        }
    }

    fn take_line(&mut self, line: &[u8]) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if let Some(data) = self.data.take() {
                self.count += 1;
                if self.collects {
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
            None => self.data = Some(if self.collects { value.to_vec() } else { Vec::new() }),
        }
    }
}
