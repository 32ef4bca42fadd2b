//! A stand-in for a runner: sound, and as the pages describe it. Answers are streams of events on
//! paths of turns and short bodies elsewhere.

use crate::http::{read_body, read_head};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Events of a turn's answer; of one with the largest lengths of the sheet; the pause before each.
pub const EVENTS: usize = 4;
const LONG_EVENTS: usize = 23;
const LONG_EVENT_BYTES: usize = 930;
const EVENT_GAP: Duration = Duration::from_millis(15);

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: String,
    pub slots: usize,
    running: AtomicUsize,
    /// Length of the body of each request that it ran, by id, and how often.
    pub runs: Mutex<HashMap<String, (usize, usize)>>,
}

/// What each event of a turn holds, in the order of the events.
pub fn event(number: usize) -> String {
    format!("w{number}")
}

impl Runner {
    pub fn start(id: &str, service: &str, ip: &str, slots: usize) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?.to_string(),
            slots,
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
        });
        let accepting = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = accepting.clone();
                std::thread::spawn(move || {
                    // The other side may close the connection at any time.
                    let _ = runner.serve(stream);
                });
            }
        });
        Ok(runner)
    }

    pub fn load(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head, false, |_| {})?;
            let id = head.get("x-request-id").unwrap_or_default().to_owned();
            let path = head.first.split(' ').nth(1).unwrap_or_default().to_owned();
            if path == "/health" {
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            let refusal = match head.get("x-expect-instance") {
                Some(expected) if expected != self.id => Some("421 Misdirected Request"),
                _ if id.is_empty() => Some("400 Bad Request"),
                _ if self.load() >= 2 * self.slots => Some("503 Service Unavailable"),
                _ => None,
            };
            if let Some(status) = refusal {
                write!(
                    writer,
                    "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            {
                let mut runs = self.runs.lock().unwrap();
                let run = runs.entry(id.clone()).or_insert((0, 0));
                *run = (body.len(), run.1 + 1);
            }
            let answered = self.answer(&mut writer, &id, &path);
            self.running.fetch_sub(1, Ordering::SeqCst);
            answered?;
        }
        Ok(())
    }

    fn answer(&self, writer: &mut TcpStream, id: &str, path: &str) -> std::io::Result<()> {
        let stamp = format!(
            "X-Request-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\nKeep-Alive: timeout=5\r\n",
            self.id
        );
        if !path.starts_with("/turn/") {
            std::thread::sleep(Duration::from_millis(20));
            let body = "b".repeat(800);
            return write!(
                writer,
                "HTTP/1.1 200 OK\r\n{stamp}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
        write!(
            writer,
            "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        let is_long = path.starts_with("/turn/kept/long");
        for number in 1..=if is_long { LONG_EVENTS } else { EVENTS } {
            std::thread::sleep(EVENT_GAP);
            let data = if is_long { "y".repeat(LONG_EVENT_BYTES) } else { event(number) };
            let event = format!("id: {number}\ndata: {data}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
        }
        write!(writer, "0\r\n\r\n")
    }
}
