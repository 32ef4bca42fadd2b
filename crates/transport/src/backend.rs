//! HTTP client for backend servers: dispatches, lookups, cancellations, releases and loads.
//!
//! An interrupted stream of an engine is resumed at the position that was received.

use crate::bounded::{self, LINE_BYTES, REPORT_BYTES, RESPONSE_BYTES};
use crate::clock::Clock;
use crate::memory::{Budget, Grant, Kind};
use coordination::entry::{Dispatch, Event, Failure, Input, Load, Lookup};
use coordination::memory;
use futures_util::StreamExt;
use protocol::backend::{self, Chunk, Completion, Outcome, Position, Report};
use state::budget::Amount;
use state::control::Role;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of times that one stream is resumed.
const MAX_RESUMES: u32 = 2;

/// Timeout of a load query, a cancellation, a release or a lookup.
const SHORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause between two lookups of the same outcome.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);

/// Response header with the incarnation of the backend server.
const INCARNATION_HEADER: &str = "x-incarnation";

/// Client of the backend servers.
#[derive(Clone)]
pub(crate) struct Client {
    pub(crate) http: reqwest::Client,
    /// Opens a connection for each call. Responses don't name their call, so on a kept connection a
    /// refusal that a server writes once more would be taken for the answer to the next call.
    pub(crate) calls: reqwest::Client,
    pub(crate) clock: Clock,
    /// Memory for responses.
    pub(crate) budget: Arc<Budget>,
}

/// Received part of a stream.
struct Received {
    grant: Grant,
    text: String,
    /// Number of tokens in `text`.
    tokens: u64,
    /// Incarnation of the backend server; 0 if it sent none.
    incarnation: u64,
    /// Received bytes after the last complete line.
    buffer: Vec<u8>,
    /// Number of all received bytes.
    bytes: usize,
}

/// How the reading of a stream ended.
enum End {
    /// The stream is complete.
    Finished(backend::Usage),
    /// The connection was lost, or the stream is inconsistent; it may be resumed.
    Interrupted,
}

impl Client {
    /// Returns a grant of no bytes for a response.
    pub(crate) fn grant(&self) -> Grant {
        self.budget.grant(Kind::Response)
    }

    /// Executes a dispatch and sends its events to `inputs`.
    pub(crate) async fn run(self, dispatch: Dispatch, inputs: mpsc::Sender<Input>) {
        let event = match dispatch.role {
            Role::Engine => self.complete(&dispatch, &inputs).await,
            Role::Tool => self.execute(&dispatch).await,
        };
        drop(inputs.send(Input::DispatchEvent { id: dispatch.id, event }).await);
    }

    async fn complete(&self, dispatch: &Dispatch, inputs: &mpsc::Sender<Input>) -> Event {
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
        let request = self.calls.post(url).json(&completion);
        if self.clock.now() >= dispatch.send_before {
            return Event::Failed(Failure::NotSent);
        }
        let mut received = Received::new(self.grant());
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Event::Failed(Failure::NotSent),
            Err(_) => return Event::Failed(self.loss_cause(dispatch, 0).await),
        };
        if !response.status().is_success() {
            return Event::Failed(status_failure(response.status().as_u16()));
        }
        received.incarnation = incarnation(&response);
        for _ in 0..=MAX_RESUMES {
            if let End::Finished(usage) = received.read(response, dispatch, inputs).await {
                return finished_event(received.text, usage);
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
        Event::Failed(self.loss_cause(dispatch, received.incarnation).await)
    }

    /// Determines why a stream was lost: the backend server has crashed unless it still answers
    /// with the same incarnation, if that is known.
    async fn loss_cause(&self, dispatch: &Dispatch, incarnation: u64) -> Failure {
        match self.fetch_load(&dispatch.address).await {
            Some(load) if incarnation == 0 || load.incarnation == incarnation => Failure::Lost,
            _ => Failure::Crashed(incarnation),
        }
    }

    async fn execute(&self, dispatch: &Dispatch) -> Event {
        let url = format!("http://{}{}", dispatch.address, backend::EXECUTE);
        let request = self
            .calls
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
            return Event::Failed(status_failure(response.status().as_u16()));
        }
        match bounded::collect(response, RESPONSE_BYTES, &mut self.grant()).await {
            Ok(answer) => Event::Finished { answer, spent: Amount::default(), cached_tokens: 0 },
            Err(error) => {
                tracing::warn!(attempt = %dispatch.attempt, address = dispatch.address, %error, "answer lost");
                Event::Failed(Failure::Lost)
            }
        }
    }

    /// Queries a tool for the outcome of an earlier call, until it returns one or the task is
    /// aborted.
    pub(crate) async fn look_up(self, lookup: Lookup, inputs: mpsc::Sender<Input>) {
        let url = format!("http://{}{}", lookup.address, backend::OUTCOME);
        loop {
            let query = backend::Query { key: lookup.attempt.call.to_string() };
            let request = self.http.post(&url).json(&query).timeout(SHORT_TIMEOUT);
            let outcome = match request.send().await {
                Ok(response) => {
                    let mut grant = self.grant();
                    bounded::json::<Outcome>(response, RESPONSE_BYTES, &mut grant).await.ok()
                }
                Err(_) => None,
            };
            if let Some(Outcome { answer: Some(answer) }) = outcome {
                let event = Event::Found(Some(answer.into_bytes()));
                drop(inputs.send(Input::DispatchEvent { id: lookup.id, event }).await);
                return;
            }
            tokio::time::sleep(LOOKUP_PAUSE).await;
        }
    }

    /// Cancels a stream on its engine; a lost cancellation is not repeated.
    pub(crate) async fn cancel(self, address: String, stream_id: String) {
        let url = format!("http://{address}{}", backend::CANCEL);
        let request = self.http.post(url).json(&Position { stream_id, from: 0 });
        drop(request.timeout(SHORT_TIMEOUT).send().await);
    }

    /// Fetches the load of a backend server; `None` if it does not answer.
    pub(crate) async fn fetch_load(&self, address: &str) -> Option<Load> {
        let url = format!("http://{address}{}", backend::LOAD);
        let response = self.http.get(url).timeout(SHORT_TIMEOUT).send().await.ok()?;
        let mut grant = self.grant();
        Some(bounded::json::<Report>(response, REPORT_BYTES, &mut grant).await.ok()?.load)
    }

    /// Releases a program's memory on an engine; returns whether the engine acknowledged it.
    pub(crate) async fn release(&self, address: &str, session: String) -> bool {
        let url = format!("http://{address}{}", backend::RELEASE);
        let request = self.http.post(url).json(&backend::Release { session });
        let response = request.timeout(SHORT_TIMEOUT).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }
}

impl Received {
    fn new(grant: Grant) -> Self {
        let (text, buffer) = (String::new(), Vec::new());
        Self { grant, text, tokens: 0, incarnation: 0, buffer, bytes: 0 }
    }

    /// Reads events until the stream is complete or interrupted.
    async fn read(
        &mut self,
        response: reqwest::Response,
        dispatch: &Dispatch,
        inputs: &mpsc::Sender<Input>,
    ) -> End {
        let mut stream = response.bytes_stream();
        while let Some(Ok(bytes)) = stream.next().await {
            let held = self.text.len() + self.buffer.len() + bytes.len();
            if let Err(error) = self.grant.grow_response(memory::counted(held, 1)) {
                let (attempt, address) = (&dispatch.attempt, &dispatch.address);
                tracing::warn!(%attempt, address, %error, "stream given up");
                return End::Interrupted;
            }
            self.buffer.extend_from_slice(&bytes);
            self.bytes += bytes.len();
            if self.bytes > RESPONSE_BYTES {
                tracing::warn!(
                    attempt = %dispatch.attempt,
                    address = dispatch.address,
                    "stream given up: it has more than {RESPONSE_BYTES} bytes"
                );
                return End::Interrupted;
            }
            while let Some(line) = self.take_line() {
                let Some(chunk) = parse(&line) else {
                    continue;
                };
                match self.accept(&chunk, dispatch) {
                    Some(text) if !text.is_empty() => {
                        let event = Event::Chunk { text, tokens: 1 };
                        drop(inputs.send(Input::DispatchEvent { id: dispatch.id, event }).await);
                    }
                    Some(_) => {}
                    None => return End::Interrupted,
                }
                if let Some(usage) = chunk.usage {
                    let is_complete = usage.completion_tokens == self.tokens;
                    return if is_complete { End::Finished(usage) } else { End::Interrupted };
                }
            }
            if self.buffer.len() > LINE_BYTES {
                tracing::warn!(
                    attempt = %dispatch.attempt,
                    address = dispatch.address,
                    "stream given up: a line has more than {LINE_BYTES} bytes"
                );
                return End::Interrupted;
            }
        }
        End::Interrupted
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.drain(..=end).collect();
        Some(line)
    }

    /// Adds a chunk and returns its new text, which is empty for a chunk received before.
    ///
    /// Returns `None` if the chunk belongs to another stream or leaves a gap.
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
    let header = response.headers().get(INCARNATION_HEADER).and_then(|value| value.to_str().ok());
    header.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn finished_event(text: String, usage: backend::Usage) -> Event {
    let tokens = usage.prompt_tokens + usage.completion_tokens;
    Event::Finished {
        answer: text.into_bytes(),
        spent: Amount { tokens, ..Amount::default() },
        cached_tokens: usage.cached_tokens,
    }
}

/// Failure for an HTTP status; a client error or 503 means that nothing was executed.
fn status_failure(status: u16) -> Failure {
    match status {
        400..=499 | 503 => Failure::Rejected,
        _ => Failure::Lost,
    }
}
