//! Structured logs on standard output, bounded and never blocking.
//!
//! Lines gather in a buffer that a thread writes out. A reader that falls behind costs
//! lines, not time; how many were dropped is said in the log itself.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What is logged, such as `info` or `info,transport=debug`.
    pub filter: String,
    /// Bytes that may wait to be written; more are dropped.
    pub buffer_bytes: usize,
    /// Time in which lines gather before they are written.
    pub gather: Duration,
}

impl Default for Settings {
    /// Room for about a second of lines under a burst; a delay that nobody notices.
    fn default() -> Self {
        Self {
            filter: "info".to_owned(),
            buffer_bytes: 512 * 1024,
            gather: Duration::from_millis(100),
        }
    }
}

/// Why the log cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("log: {0}")]
pub struct Error(String);

#[derive(Default)]
struct Held {
    bytes: Vec<u8>,
    dropped: u64,
}

struct Shared {
    held: Mutex<Held>,
    filled: Condvar,
    limit: usize,
}

/// Hands lines to the thread.
#[derive(Clone)]
struct Buffer(Arc<Shared>);

/// One line under way.
struct Line<'a>(&'a Shared);

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if let Ok(mut held) = self.0.held.lock() {
            if held.bytes.len() + bytes.len() > self.0.limit {
                held.dropped += 1;
            } else {
                if held.bytes.is_empty() {
                    self.0.filled.notify_one();
                }
                held.bytes.extend_from_slice(bytes);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Buffer {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line(&self.0)
    }
}

/// The running log; dropping it writes what is left.
pub struct Log(Arc<Shared>);

impl Drop for Log {
    fn drop(&mut self) {
        write_out(&self.0);
    }
}

/// Starts the log of this process.
///
/// # Errors
///
/// Returns [`Error`] for a filter that cannot be read, or if a log runs already.
pub fn start(settings: &Settings) -> Result<Log, Error> {
    let filter = EnvFilter::try_new(&settings.filter);
    let filter = filter.map_err(|error| Error(format!("filter {:?}: {error}", settings.filter)))?;
    let shared = Arc::new(Shared {
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
        .with_writer(Buffer(shared.clone()))
        .try_init()
        .map_err(|error| Error(error.to_string()))?;
    let (writer, gather) = (shared.clone(), settings.gather);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            while wait(&writer) {
                std::thread::sleep(gather);
                write_out(&writer);
            }
        })
        .map_err(|error| Error(error.to_string()))?;
    Ok(Log(shared))
}

/// Waits for the first line; `false` if the log cannot go on.
fn wait(shared: &Shared) -> bool {
    let Ok(held) = shared.held.lock() else {
        return false;
    };
    shared.filled.wait_while(held, |held| held.bytes.is_empty()).is_ok()
}

fn write_out(shared: &Shared) {
    let Ok(mut held) = shared.held.lock() else {
        return;
    };
    let held = std::mem::take(&mut *held);
    let mut output = std::io::stdout().lock();
    // A standard output that is closed takes no complaint either.
    let _ = output.write_all(&held.bytes);
    if held.dropped > 0 {
        let _ = writeln!(output, "{{\"level\":\"WARN\",\"dropped_lines\":{}}}", held.dropped);
    }
    let _ = output.flush();
}
