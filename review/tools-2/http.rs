//! HTTP/1.1 as far as the stand-ins speak it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Default, Clone)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.first.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or chunks. A body of a response may also end with its connection.
/// Calls `seen` with each part as it arrives.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    is_response: bool,
    mut seen: impl FnMut(&[u8]),
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head
        .get("transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            seen(&chunk);
            body.extend_from_slice(&chunk);
            let mut end = String::new();
            if reader.read_line(&mut end)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.get("content-length").and_then(|value| value.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
            seen(&body);
        }
        None if is_response => {
            reader.read_to_end(&mut body)?;
            seen(&body);
        }
        None => {}
    }
    Ok(body)
}

/// What a consumer saw of one attempt.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Head,
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub is_whole: bool,
    /// Why there is no whole answer.
    pub error: String,
    pub took: Duration,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_whole && self.headers.get("x-server-stamp").is_some()
    }

    pub fn summary(&self) -> String {
        let whole = if self.is_whole { "whole" } else { "broken off" };
        format!(
            "{} {whole} {} bytes after {} ms {}",
            self.status,
            self.body.len(),
            self.took.as_millis(),
            self.error
        )
    }
}

/// Sends one request on a new connection.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    let mut attempt = || -> io::Result<()> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut writer = stream.try_clone()?;
        let written = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(body));
        let mut reader = BufReader::new(stream);
        let read = read_head(&mut reader);
        let head = match (read, written) {
            (Ok(Some(head)), _) => head,
            (_, Err(error)) | (Err(error), _) => return Err(error),
            (Ok(None), _) => return Err(io::Error::other("closed without an answer")),
        };
        answer.status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        answer.headers = head.clone();
        let mut partial = Vec::new();
        let result = read_body(&mut reader, &head, true, |part| partial.extend_from_slice(part));
        answer.body = partial;
        result?;
        answer.is_whole = true;
        Ok(())
    };
    if let Err(error) = attempt() {
        answer.error = error.to_string();
    }
    answer.took = started.elapsed();
    answer
}
