//! Tests of panics; in a process of their own, since the log is that of the process.

#![allow(clippy::unwrap_used, reason = "a failed unwrap is a failed test")]

use std::io::Write;
use std::sync::{Arc, Mutex};
use transport::log::{self, Settings};

/// An output that keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a thread that panics and waits until somebody reads standard error.
#[test]
fn panic_is_written_to_standard_error() {
    let kept = Kept::default();
    let log = log::start(&Settings::default(), Box::new(kept.clone())).unwrap();
    let panicking = std::thread::Builder::new().name("odd".into());
    let panicking = panicking.spawn(|| panic!("no such state")).unwrap();
    assert!(panicking.join().is_err());
    drop(log);
    let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
    let line: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert_eq!((&line["level"], &line["thread"]), (&"ERROR".into(), &"odd".into()), "{text}");
    assert!(line["panic"].as_str().unwrap().contains("no such state"), "{text}");
}
