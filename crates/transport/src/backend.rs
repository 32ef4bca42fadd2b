//! Calls to backend servers.

use crate::clock::Clock;
use coordination::entry::{Dispatch, Event, Failure, Input, Load, Lookup};
use futures_util::StreamExt;
use protocol::backend::{self, Chunk, Completion, Outcome, Position, Report};
use state::budget::Amount;
use state::control::Role;
use std::time::Duration;
use tokio::sync::mpsc;

/// Resumptions of one stream.
const RESUMES: u32 = 2;

/// Time for a load report, a cancel or a lookup.
const SHORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause between two lookups of the same key.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);

/// Response header with the life of the backend server.
const INCARNATION: &str = "x-incarnation";

/// Client of the backend servers.
#[derive(Clone)]
pub(crate) struct Client {
    pub(crate) http: reqwest::Client,
    pub(crate) clock: Clock,
}

/// A stream as far as it has arrived.
#[derive(Default)]
struct Received {
    text: String,
    tokens: u64,
    incarnation: u64,
    buffer: Vec<u8>,
}

/// How reading a stream ended.
enum Ended {
    Finished(backend::Usage),
    Broken,
}

impl Client {
    /// Runs a dispatch and reports its news.
    pub(crate) async fn run(self, dispatch: Dispatch, news: mpsc::Sender<Input>) {
        let event = match dispatch.role {
            Role::Engine => self.complete(&dispatch, &news).await,
            Role::Tool => self.execute(&dispatch).await,
        };
        drop(news.send(Input::DispatchEvent { id: dispatch.id, event }).await);
    }

    async fn complete(&self, dispatch: &Dispatch, news: &mpsc::Sender<Input>) -> Event {
        let stream_id = dispatch.attempt.to_string();
        let completion = Completion {
            model: dispatch.service.clone(),
            stream_id: stream_id.clone(),
            session: dispatch.attempt.call.program.to_string(),
            messages: backend::messages(&dispatch.history, &dispatch.content),
            max_tokens: dispatch.max_tokens,
            stream: true,
        };
        let url = format!("http://{}{}", dispatch.address, backend::COMPLETIONS);
        let request = self.http.post(url).json(&completion);
        if self.clock.now() >= dispatch.send_before {
            return Event::Failed(Failure::NotSent);
        }
        let mut received = Received::default();
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Event::Failed(Failure::NotSent),
            Err(_) => return Event::Failed(self.cause(dispatch, 0).await),
        };
        if !response.status().is_success() {
            return Event::Failed(failure(response.status().as_u16()));
        }
        received.incarnation = incarnation(&response);
        for _ in 0..=RESUMES {
            if let Ended::Finished(usage) = received.read(response, dispatch, news).await {
                return finished(received.text, usage);
            }
            let resume = Position { stream_id: stream_id.clone(), from: received.tokens };
            let url = format!("http://{}{}", dispatch.address, backend::RESUME);
            match self.http.post(url).json(&resume).send().await {
                Ok(next)
                    if next.status().is_success() && incarnation(&next) == received.incarnation =>
                {
                    received.buffer.clear();
                    response = next;
                }
                _ => break,
            }
        }
        Event::Failed(self.cause(dispatch, received.incarnation).await)
    }

    /// Why a stream was lost.
    async fn cause(&self, dispatch: &Dispatch, incarnation: u64) -> Failure {
        match self.load(&dispatch.address).await {
            Some(load) if incarnation == 0 || load.incarnation == incarnation => Failure::Lost,
            _ => Failure::Crashed(incarnation),
        }
    }

    async fn execute(&self, dispatch: &Dispatch) -> Event {
        let url = format!("http://{}{}", dispatch.address, backend::EXECUTE);
        let request = self
            .http
            .post(url)
            .header(backend::IDEMPOTENCY_KEY, dispatch.attempt.call.to_string())
            .header("content-type", "application/json")
            .body(dispatch.content.to_vec());
        if self.clock.now() >= dispatch.send_before {
            return Event::Failed(Failure::NotSent);
        }
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Event::Failed(Failure::NotSent),
            Err(_) => return Event::Failed(Failure::Lost),
        };
        if !response.status().is_success() {
            return Event::Failed(failure(response.status().as_u16()));
        }
        match response.bytes().await {
            Ok(answer) => Event::Finished {
                answer: answer.to_vec(),
                spent: Amount::default(),
                cached_tokens: 0,
            },
            Err(_) => Event::Failed(Failure::Lost),
        }
    }

    /// Asks a tool for an outcome until it tells one or the asker gives up.
    pub(crate) async fn look_up(self, lookup: Lookup, news: mpsc::Sender<Input>) {
        let url = format!("http://{}{}", lookup.address, backend::OUTCOME);
        loop {
            let key = backend::Query { key: lookup.attempt.call.to_string() };
            let request = self.http.post(&url).json(&key).timeout(SHORT_TIMEOUT);
            let answer = match request.send().await {
                Ok(response) => response.json::<Outcome>().await.ok(),
                Err(_) => None,
            };
            if let Some(Outcome { answer: Some(answer) }) = answer {
                let event = Event::Found(Some(answer.into_bytes()));
                drop(news.send(Input::DispatchEvent { id: lookup.id, event }).await);
                return;
            }
            tokio::time::sleep(LOOKUP_PAUSE).await;
        }
    }

    /// Stops a stream on its engine.
    pub(crate) async fn cancel(self, address: String, stream_id: String) {
        let url = format!("http://{address}{}", backend::CANCEL);
        let request = self.http.post(url).json(&Position { stream_id, from: 0 });
        drop(request.timeout(SHORT_TIMEOUT).send().await);
    }

    /// Takes a load report.
    pub(crate) async fn load(&self, address: &str) -> Option<Load> {
        let url = format!("http://{address}{}", backend::LOAD);
        let response = self.http.get(url).timeout(SHORT_TIMEOUT).send().await.ok()?;
        Some(response.json::<Report>().await.ok()?.load)
    }

    /// Releases a program's memory; `true` once the engine has acknowledged.
    pub(crate) async fn release(&self, address: &str, session: String) -> bool {
        let url = format!("http://{address}{}", backend::RELEASE);
        let request = self.http.post(url).json(&backend::Release { session });
        let answer = request.timeout(SHORT_TIMEOUT).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

impl Received {
    /// Reads events until the stream ends.
    async fn read(
        &mut self,
        response: reqwest::Response,
        dispatch: &Dispatch,
        news: &mpsc::Sender<Input>,
    ) -> Ended {
        let mut bytes = response.bytes_stream();
        while let Some(Ok(part)) = bytes.next().await {
            self.buffer.extend_from_slice(&part);
            while let Some(line) = self.take_line() {
                let Some(chunk) = parse(&line) else {
                    continue;
                };
                match self.accept(&chunk, dispatch) {
                    Some(text) if !text.is_empty() => {
                        let event = Event::Chunk { text, tokens: 1 };
                        drop(news.send(Input::DispatchEvent { id: dispatch.id, event }).await);
                    }
                    Some(_) => {}
                    None => return Ended::Broken,
                }
                if let Some(usage) = chunk.usage {
                    let is_whole = usage.completion_tokens == self.tokens;
                    return if is_whole { Ended::Finished(usage) } else { Ended::Broken };
                }
            }
        }
        Ended::Broken
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.drain(..=end).collect();
        Some(line)
    }

    /// New text of a chunk; `None` if it is another stream's or leaves a gap.
    fn accept(&mut self, chunk: &Chunk, dispatch: &Dispatch) -> Option<String> {
        if chunk.stream_id != dispatch.attempt.to_string() || chunk.offset > self.tokens {
            return None;
        }
        let text = chunk.choices.first().map_or("", |choice| &choice.delta.content);
        if chunk.offset < self.tokens || text.is_empty() {
            return Some(String::new());
        }
        self.tokens += 1;
        self.text.push_str(text);
        Some(text.to_owned())
    }
}

fn parse(line: &[u8]) -> Option<Chunk> {
    let data = line.strip_prefix(b"data: ")?;
    serde_json::from_slice(data.trim_ascii()).ok()
}

fn incarnation(response: &reqwest::Response) -> u64 {
    let header = response.headers().get(INCARNATION).and_then(|value| value.to_str().ok());
    header.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn finished(text: String, usage: backend::Usage) -> Event {
    let tokens = usage.prompt_tokens + usage.completion_tokens;
    Event::Finished {
        answer: text.into_bytes(),
        spent: Amount { tokens, ..Amount::default() },
        cached_tokens: usage.cached_tokens,
    }
}

/// Client errors and 503 mean that nothing was executed.
fn failure(status: u16) -> Failure {
    match status {
        400..=499 | 503 => Failure::Rejected,
        _ => Failure::Lost,
    }
}
