//! Structured logging with bounded memory, which never delays the senders of lines.
//!
//! Lines are buffered and written by a thread of their own. If the output is read too slowly, or not
//! at all, lines are dropped; their number is logged once the output is read again. Nothing waits for
//! the output without a limit: not the senders, not a planned stop, and not the report of an error
//! that ends the process.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use protocol::settings::Format;
use std::backtrace::{Backtrace, BacktraceStatus};
use std::io::Write;
use std::panic::PanicHookInfo;
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::Duration;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Settings of logging.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Filter directives, such as `info` or `info,transport=debug`.
    pub filter: String,
    /// Form of the lines.
    pub format: Format,
    /// Maximum size of the buffered lines, in bytes; further lines are dropped.
    pub buffer_bytes: usize,
    /// Time for which lines are buffered before they are written.
    pub flush_interval: Duration,
    /// Time for which a stop waits until the buffered lines are written.
    pub stop_timeout: Duration,
}

impl Default for Settings {
    /// The buffer holds the lines of a burst of one second; the flush interval is too short for a
    /// reader of the log to notice.
    fn default() -> Self {
        Self {
            filter: "info".to_owned(),
            format: Format::Json,
            buffer_bytes: 512 * 1024,
            flush_interval: Duration::from_millis(100),
            stop_timeout: Duration::from_millis(200),
        }
    }
}

/// Time for which a process that ends waits until the reason is written to standard error.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why logging cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("log: {0}")]
pub struct Error(String);

/// Lines that have not been written yet.
#[derive(Default)]
struct Lines {
    bytes: Vec<u8>,
    /// Number of bytes that are being written.
    writing: usize,
    /// Number of lines dropped since the last write.
    dropped: u64,
    /// Whether the thread ends once everything is written.
    is_closed: bool,
}

impl Lines {
    /// Whether there is nothing to write.
    fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropped == 0
    }
}

/// Counts what happens to lines.
#[derive(Debug, Clone, Default)]
struct Metrics {
    held_bytes: Gauge,
    dropped_lines: Counter,
    is_writing: Gauge,
}

/// Buffer shared by the senders of lines and the writing thread.
struct Buffer {
    /// Lines held until the next write.
    held: Mutex<Lines>,
    /// Signalled when there is something to write, and when the log is closed.
    filled: Condvar,
    /// Signalled after each write.
    written: Condvar,
    /// Maximum size of the held lines, in bytes.
    limit: usize,
    format: Format,
    metrics: Metrics,
}

/// Creates writers that append to the buffer.
#[derive(Clone)]
pub struct Appender(Arc<Buffer>);

/// Appends one line to the buffer.
pub struct Writer<'a>(&'a Buffer);

impl Write for Writer<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if let Ok(mut lines) = self.0.held.lock() {
            if lines.bytes.len() + lines.writing + bytes.len() > self.0.limit {
                lines.dropped += 1;
                self.0.metrics.dropped_lines.inc();
                self.0.filled.notify_one();
            } else {
                if lines.bytes.is_empty() {
                    self.0.filled.notify_one();
                }
                lines.bytes.extend_from_slice(bytes);
                self.0.count_held(&lines);
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

impl Buffer {
    fn count_held(&self, lines: &Lines) {
        let held = lines.bytes.len() + lines.writing;
        self.metrics.held_bytes.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    /// Writes lines whenever there are any; returns once the log is closed and all are written.
    fn write_all(&self, output: &mut dyn Write, flush_interval: Duration) {
        while let Some(is_closed) = self.wait() {
            if !is_closed {
                std::thread::sleep(flush_interval);
            }
            self.flush(output);
        }
    }

    /// Waits until there is something to write, and returns whether the log is closed. Returns `None` if
    /// there will be no further line, or if the lock is poisoned.
    fn wait(&self) -> Option<bool> {
        let lines = self.held.lock().ok()?;
        let is_idle = |lines: &mut Lines| lines.is_empty() && !lines.is_closed;
        let lines = self.filled.wait_while(lines, is_idle).ok()?;
        (!lines.is_empty()).then_some(lines.is_closed)
    }

    /// Writes the held lines, and the number of dropped lines if any were.
    fn flush(&self, output: &mut dyn Write) {
        let (bytes, dropped) = {
            let Ok(mut lines) = self.held.lock() else {
                return;
            };
            lines.writing = lines.bytes.len();
            (std::mem::take(&mut lines.bytes), std::mem::take(&mut lines.dropped))
        };
        // The lock is free here: a write takes as long as the reader of the output.
        self.metrics.is_writing.set(1);
        // Errors are ignored: if the output is closed, there is nowhere to report them.
        let _ = output.write_all(&bytes);
        if dropped > 0 {
            let _ = match self.format {
                Format::Text => writeln!(output, "WARN dropped_lines={dropped}"),
                Format::Json => {
                    writeln!(output, "{{\"level\":\"WARN\",\"dropped_lines\":{dropped}}}")
                }
            };
        }
        let _ = output.flush();
        self.metrics.is_writing.set(0);
        if let Ok(mut lines) = self.held.lock() {
            lines.writing = 0;
            self.count_held(&lines);
        }
        self.written.notify_all();
    }

    /// Ends the thread once everything is written, and waits for that for at most `timeout`.
    fn close(&self, timeout: Duration) {
        let Ok(mut lines) = self.held.lock() else {
            return;
        };
        lines.is_closed = true;
        self.filled.notify_one();
        let is_busy = |lines: &mut Lines| !lines.is_empty() || lines.writing > 0;
        let _ = self.written.wait_timeout_while(lines, timeout, is_busy);
    }
}

/// A running log. Dropping it ends its thread, after the lines that remain in the buffer are written
/// or the time for that is over.
pub struct Log {
    buffer: Arc<Buffer>,
    stop_timeout: Duration,
}

impl Log {
    /// Starts the thread that writes lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the thread cannot be started.
    pub fn open(settings: &Settings, mut output: Box<dyn Write + Send>) -> Result<Self, Error> {
        let buffer = Arc::new(Buffer {
            held: Mutex::default(),
            filled: Condvar::new(),
            written: Condvar::new(),
            limit: settings.buffer_bytes,
            format: settings.format,
            metrics: Metrics::default(),
        });
        let (thread_buffer, flush_interval) = (buffer.clone(), settings.flush_interval);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || thread_buffer.write_all(&mut output, flush_interval))
            .map_err(|error| Error(error.to_string()))?;
        Ok(Self { buffer, stop_timeout: settings.stop_timeout })
    }

    /// Returns what the senders of lines write to.
    pub fn appender(&self) -> Appender {
        Appender(self.buffer.clone())
    }

    /// Number of bytes of the lines that are not written yet.
    pub fn held_bytes(&self) -> usize {
        self.buffer.held.lock().map_or(0, |lines| lines.bytes.len() + lines.writing)
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        self.buffer.close(self.stop_timeout);
    }
}

/// Writes the reason why the process ends to standard error, unless nobody reads that.
pub fn report(text: String) {
    let (done, written) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().name("report".to_owned()).spawn(move || {
        // A closed standard error leaves no way to report the failure.
        let _ = writeln!(std::io::stderr(), "{text}");
        let _ = done.send(());
    });
    if thread.is_ok() {
        let _ = written.recv_timeout(REPORT_TIMEOUT);
    }
}

/// Metrics of the log of this process.
static INSTALLED: OnceLock<Metrics> = OnceLock::new();

/// Starts logging for this process, of panics as well.
///
/// # Errors
///
/// Returns [`Error`] if the filter is invalid, if logging has already been started, or if the
/// writing thread cannot be started.
pub fn start(settings: &Settings, output: Box<dyn Write + Send>) -> Result<Log, Error> {
    let filter = EnvFilter::try_new(&settings.filter);
    let filter = filter.map_err(|error| Error(format!("filter {:?}: {error}", settings.filter)))?;
    let log = Log::open(settings, output)?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(log.appender());
    let installed = match settings.format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .try_init(),
    };
    installed.map_err(|error| Error(error.to_string()))?;
    let _ = INSTALLED.set(log.buffer.metrics.clone());
    std::panic::set_hook(Box::new(log_panic));
    Ok(log)
}

/// Logs a panic. The hook of the standard library writes it to standard error, which may not be read.
fn log_panic(panic: &PanicHookInfo<'_>) {
    let thread = std::thread::current();
    let backtrace = Backtrace::capture();
    let backtrace = (backtrace.status() == BacktraceStatus::Captured).then_some(backtrace);
    let backtrace = backtrace.map(tracing::field::display);
    tracing::error!(thread = thread.name(), %panic, backtrace, "a thread has panicked");
}

/// Adds the metrics of the log of this process, if it has one.
pub(crate) fn register(registry: &mut Registry) {
    let Some(metrics) = INSTALLED.get() else {
        return;
    };
    let help = "Bytes of log lines that are not written yet";
    registry.register("log_held_bytes", help, metrics.held_bytes.clone());
    let help = "Log lines dropped because the output was not read in time";
    registry.register("log_dropped_lines", help, metrics.dropped_lines.clone());
    let help = "Whether a write of log lines is in progress; 1 for long if nobody reads the output";
    registry.register("log_writing", help, metrics.is_writing.clone());
}
