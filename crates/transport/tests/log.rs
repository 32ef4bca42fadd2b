//! Tests of the log while its output is not read.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;
use transport::log::{Log, Settings};

/// Time within which a sender of lines goes on: the shortest deadline of a request on the users'
/// deployments.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// What was written to an output.
type Written = Arc<Mutex<Vec<u8>>>;

/// An output whose writes wait until its reader goes on.
struct Unread {
    written: Written,
    begun: Sender<()>,
    go_on: Receiver<()>,
}

impl Write for Unread {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.begun.send(());
        // Ends with an error once the reader reads for good.
        let _ = self.go_on.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A log whose output is not read.
struct Fixture {
    /// Dropped when the output is read again; first of all, so that a failed test ends.
    reader: Sender<()>,
    log: Log,
    written: Written,
}

impl Fixture {
    /// Starts a log, and waits until it writes the first line.
    fn start() -> Self {
        let (begun_sender, begun) = channel();
        let (reader, go_on) = channel();
        let written = Written::default();
        let output = Unread { written: written.clone(), begun: begun_sender, go_on };
        let settings = Settings { flush_interval: Duration::from_millis(1), ..Settings::default() };
        let log = Log::open(&settings, Box::new(output)).unwrap();
        log.appender().make_writer().write_all(b"first\n").unwrap();
        begun.recv_timeout(Duration::from_secs(10)).unwrap();
        Self { log, written, reader }
    }

    /// Sends lines of 1,000 bytes from a thread of its own; returns how long that took.
    fn send(&self, count: usize) -> Duration {
        let appender = self.log.appender();
        let (done, ended) = channel();
        let start = Instant::now();
        std::thread::spawn(move || {
            let line = [vec![b'x'; 999], vec![b'\n']].concat();
            for _ in 0..count {
                appender.make_writer().write_all(&line).unwrap();
            }
            done.send(()).unwrap();
        });
        let sent = ended.recv_timeout(Duration::from_secs(5));
        assert!(sent.is_ok(), "the sender of lines waits for the reader of the output");
        start.elapsed()
    }
}

/// Guards against a process that stands still since nobody reads its log: its threads waited for the
/// lock that the writing thread held.
#[test]
fn senders_of_lines_wait_for_the_reader_of_the_output() {
    let fixture = Fixture::start();
    assert!(fixture.send(10) < MAX_DELAY);
    // The thread has not taken these lines, and the first one is still being written.
    assert!(fixture.log.held_bytes() >= 10_000);
}

/// Guards against lines that are held without a limit, or dropped without a trace.
#[test]
fn lines_beyond_the_buffer_are_held_or_dropped_without_a_trace() {
    let fixture = Fixture::start();
    fixture.send(2_000);
    let limit = Settings::default().buffer_bytes;
    let held = fixture.log.held_bytes();
    assert!(held <= limit && held > limit - 1_000, "{held}");
    let Fixture { log, written, reader } = fixture;
    drop(reader);
    let start = Instant::now();
    while !String::from_utf8_lossy(&written.lock().unwrap()).contains("dropped_lines") {
        assert!(start.elapsed() < Duration::from_secs(10), "the dropped lines were not logged");
        std::thread::sleep(Duration::from_millis(5));
    }
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let lines = text.lines().filter(|line| line.starts_with('x')).count();
    let report = format!("{{\"level\":\"WARN\",\"dropped_lines\":{}}}", 2_000 - lines);
    assert!(lines > 500 && text.lines().any(|line| line == report), "{lines} lines");
    // Lines are taken again once the earlier ones are written.
    log.appender().make_writer().write_all(b"last\n").unwrap();
    drop(log);
    assert!(String::from_utf8_lossy(&written.lock().unwrap()).ends_with("last\n"));
}

/// Guards against a process that doesn't end, since nobody reads its last lines.
#[test]
fn stop_waits_for_the_reader_of_the_output() {
    let fixture = Fixture::start();
    fixture.send(10);
    let (done, ended) = channel();
    let Fixture { log, reader, .. } = fixture;
    let start = Instant::now();
    std::thread::spawn(move || {
        drop(log);
        done.send(()).unwrap();
    });
    let ended = ended.recv_timeout(Duration::from_secs(5));
    assert!(ended.is_ok(), "the stop waits for the reader of the output");
    assert!(start.elapsed() < Settings::default().stop_timeout + MAX_DELAY);
    drop(reader);
}

/// Guards against the loss of the last lines of a process whose output is read.
#[test]
fn stop_loses_the_last_lines_of_an_output_that_is_read() {
    let fixture = Fixture::start();
    fixture.send(10);
    let Fixture { log, written, reader } = fixture;
    drop(reader);
    drop(log);
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), 11);
}
