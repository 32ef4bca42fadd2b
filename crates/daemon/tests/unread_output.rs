//! Tests of a daemon whose standard error, to which it logs, is not read.

use std::io::{PipeReader, PipeWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time within which the daemon answers whatever becomes of its output.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which the daemon starts, or ends.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Returns a pipe that holds as much as it can, so that a write waits for its reader.
fn full_pipe() -> (PipeReader, PipeWriter) {
    let (reader, mut writer) = std::io::pipe().unwrap();
    writer.write_all(&vec![b'\n'; 64 * 1024]).unwrap();
    (reader, writer)
}

/// Returns an address on which nobody listens.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Requests the metrics; returns them if they come in time.
fn metrics(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    Some(response)
}

/// Waits until the metrics are served and contain `text`.
fn await_metrics(address: SocketAddr, text: &str) {
    let start = Instant::now();
    while !metrics(address).is_some_and(|metrics| metrics.contains(text)) {
        assert!(start.elapsed() < TIMEOUT, "the daemon does not serve the metric {text:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until the daemon ends.
fn await_end(child: &mut Child) -> Option<ExitStatus> {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if let Some(status) = child.try_wait().unwrap() {
            return Some(status);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    None
}

/// Runs the daemon with these settings and nobody who reads its errors, until `use_it` returns.
fn run(settings: &str, use_it: impl FnOnce(&mut Child)) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, settings).unwrap();
    let (_reader, writer) = full_pipe();
    let mut child = Command::new(env!("CARGO_BIN_EXE_buckthornshelfd"))
        .arg("--settings")
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(writer)
        .spawn()
        .unwrap();
    let used = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| use_it(&mut child)));
    let _ = child.kill();
    let _ = child.wait();
    used.unwrap();
}

/// Guards against a daemon that neither serves nor ends while nobody reads its log.
#[test]
fn daemon_stands_still_while_nobody_reads_its_log() {
    let [callers, operators, peers] = [free_address(), free_address(), free_address()];
    for format in ["text", "json"] {
        let settings = format!(
            "[listen]\ncallers = \"{callers}\"\noperators = \"{operators}\"\npeers = \"{peers}\"\n\
             [storage]\nfolder = \"data\"\n[log]\nformat = \"{format}\"\nfilter = \"debug\"\n"
        );
        run(&settings, |child| {
            await_metrics(operators, "buckthornshelf_answers_total");
            await_metrics(operators, "buckthornshelf_log_writing 1");
            let id = child.id().to_string();
            assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
            let status = await_end(child).expect("the daemon has not ended in time");
            assert!(status.success(), "{status}");
        });
    }
}

/// Guards against a daemon that doesn't end, since nobody reads why it can't start.
#[test]
fn daemon_that_cannot_start_does_not_end_while_nobody_reads_why() {
    let storage = "[storage]\nfolder = \"data\"\n";
    let filter = format!("{storage}[log]\nfilter = \"a=b=c\"\n");
    for invalid in [storage.replace("folder", "folders"), filter] {
        run(&invalid, |child| {
            let status = await_end(child).expect("the daemon has not ended in time");
            assert_eq!(status.code(), Some(2));
        });
    }
}
