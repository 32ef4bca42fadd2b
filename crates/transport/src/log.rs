//! Structured logging to standard output, with bounded memory and without blocking.
//!
//! Lines are buffered and written by a separate thread. If standard output is read too slowly,
//! lines are dropped rather than delaying their senders; the number of dropped lines is logged.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Settings of logging.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Filter directives, such as `info` or `info,transport=debug`.
    pub filter: String,
    /// Maximum size of the buffered lines, in bytes; further lines are dropped.
    pub buffer_bytes: usize,
    /// Time for which lines are buffered before they are written.
    pub flush_interval: Duration,
}

impl Default for Settings {
    /// The buffer holds the lines of a burst of one second; the flush interval is too short for a
    /// reader of the log to notice.
    fn default() -> Self {
        Self {
            filter: "info".to_owned(),
            buffer_bytes: 512 * 1024,
            flush_interval: Duration::from_millis(100),
        }
    }
}

/// Reason why logging cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("log: {0}")]
pub struct Error(String);

/// Lines that have not been written yet.
#[derive(Default)]
struct Lines {
    bytes: Vec<u8>,
    /// Number of lines dropped since the last write.
    dropped: u64,
}

/// Buffer shared by the senders of lines and the writing thread.
struct Buffer {
    /// Lines held until the next write.
    held: Mutex<Lines>,
    /// Signalled when the first line is added to an empty buffer.
    filled: Condvar,
    /// Maximum size of the held lines, in bytes.
    limit: usize,
}

/// Creates writers that append to the buffer.
#[derive(Clone)]
struct Appender(Arc<Buffer>);

/// Appends one line to the buffer.
struct Writer<'a>(&'a Buffer);

impl Write for Writer<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if let Ok(mut lines) = self.0.held.lock() {
            if lines.bytes.len() + bytes.len() > self.0.limit {
                lines.dropped += 1;
            } else {
                if lines.bytes.is_empty() {
                    self.0.filled.notify_one();
                }
                lines.bytes.extend_from_slice(bytes);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Appender {
    type Writer = Writer<'a>;

    fn make_writer(&'a self) -> Writer<'a> {
        Writer(&self.0)
    }
}

/// Guard of the running log; writes the lines that remain in the buffer when it is dropped.
pub struct Log(Arc<Buffer>);

impl Drop for Log {
    fn drop(&mut self) {
        flush(&self.0);
    }
}

/// Starts logging for this process.
///
/// # Errors
///
/// Returns [`Error`] if the filter is invalid, if logging has already been started, or if the
/// writing thread cannot be started.
pub fn start(settings: &Settings) -> Result<Log, Error> {
    let filter = EnvFilter::try_new(&settings.filter);
    let filter = filter.map_err(|error| Error(format!("filter {:?}: {error}", settings.filter)))?;
    let buffer = Arc::new(Buffer {
        held: Mutex::default(),
        filled: Condvar::new(),
        limit: settings.buffer_bytes,
    });
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(Appender(buffer.clone()))
        .try_init()
        .map_err(|error| Error(error.to_string()))?;
    let (thread_buffer, flush_interval) = (buffer.clone(), settings.flush_interval);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            while wait(&thread_buffer) {
                std::thread::sleep(flush_interval);
                flush(&thread_buffer);
            }
        })
        .map_err(|error| Error(error.to_string()))?;
    Ok(Log(buffer))
}

/// Waits until the buffer holds a line; returns `false` if the lock is poisoned.
fn wait(buffer: &Buffer) -> bool {
    let Ok(lines) = buffer.held.lock() else {
        return false;
    };
    buffer.filled.wait_while(lines, |lines| lines.bytes.is_empty()).is_ok()
}

/// Writes the held lines to standard output, and the number of dropped lines if any were.
fn flush(buffer: &Buffer) {
    let Ok(mut lines) = buffer.held.lock() else {
        return;
    };
    let lines = std::mem::take(&mut *lines);
    let mut output = std::io::stdout().lock();
    // Errors are ignored: if standard output is closed, there is nowhere to report them.
    let _ = output.write_all(&lines.bytes);
    if lines.dropped > 0 {
        let _ = writeln!(output, "{{\"level\":\"WARN\",\"dropped_lines\":{}}}", lines.dropped);
    }
    let _ = output.flush();
}
