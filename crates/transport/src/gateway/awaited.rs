//! Attempts whose response is awaited, also while the request is sent elsewhere.
//!
//! A request that may be repeated leaves a slow backend server for another one. Whether that takes it is
//! known only later, so the first attempt goes on until another one is answered: what comes first is
//! relayed, and the rest is closed.

use crate::gateway::attempt::Attempt;
use crate::gateway::dialect::{Dispatch, Identity, Verdict};
use crate::gateway::entry::Entry;
use crate::gateway::pool::{Connection, SendError};
use bytes::Bytes;
use coordination::placement::Outcome;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The head of a response that answers the request, and its attempt.
pub(super) type Answer = (Response<Incoming>, Attempt);

/// Result of sending a request, and the connection that it was sent on.
type Sent = (Result<Response<Incoming>, SendError>, Connection);

/// An attempt that waits for the head of its response. Its connection is closed when it is dropped.
pub(super) struct Awaited {
    pub(super) attempt: Attempt,
    sending: Pin<Box<dyn Future<Output = Sent> + Send>>,
}

impl Awaited {
    /// Sends a request on the connection of an attempt.
    pub(super) fn new(
        attempt: Attempt,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Self {
        let sending = Box::pin(async move {
            let sent = connection.send(request).await;
            (sent, connection)
        });
        Self { attempt, sending }
    }

    /// Waits for the head of the response, and returns the connection to the attempt.
    pub(super) async fn response(&mut self) -> Result<Response<Incoming>, SendError> {
        let (sent, connection) = (&mut self.sending).await;
        self.attempt.connection = Some(connection);
        sent
    }

    /// Waits for a response that answers the request `id`; `None` if another one or none comes.
    async fn answer(mut self, entry: Arc<Entry>, id: String, is_stream: bool) -> Option<Answer> {
        let response = match self.response().await {
            Ok(response) => response,
            Err(_) => {
                if let Some(loss) = self.attempt.lose(&id, is_stream) {
                    entry.report_loss(loss);
                }
                return None;
            }
        };
        let mut attempt = self.attempt;
        let server = attempt.server.id.clone();
        let identity = Identity::Unchecked;
        let dispatch = Dispatch { id: &id, server: &server, remaining: Duration::ZERO, identity };
        let (head, body) = response.into_parts();
        let verdict = entry.adapter.verdict(&head, &dispatch);
        if matches!(verdict, Verdict::Answer | Verdict::Full) {
            entry.observe_rate_limit(&dispatch, &head);
            entry.observe_leaving(&id, &server, &head);
        }
        if verdict == Verdict::Answer {
            attempt.is_before_stream = false;
            return Some((Response::from_parts(head, body), attempt));
        }
        tracing::info!(request = id, server, ?verdict, "not answered");
        attempt.end(match verdict {
            Verdict::Full => Outcome::Full,
            Verdict::Gone => Outcome::Gone,
            Verdict::Answer | Verdict::Foreign => Outcome::Failed,
        });
        None
    }
}

/// Attempts that the request has left for another server or entry.
#[derive(Default)]
pub(super) struct Earlier {
    answers: FuturesUnordered<Pin<Box<dyn Future<Output = Option<Answer>> + Send>>>,
}

impl Earlier {
    /// Adds an attempt of the request `id`.
    pub(super) fn push(&mut self, awaited: Awaited, entry: &Arc<Entry>, id: &str, is_stream: bool) {
        self.answers.push(Box::pin(awaited.answer(entry.clone(), id.to_owned(), is_stream)));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Waits for the first answer; `None` if there is none to come.
    async fn answer(&mut self) -> Option<Answer> {
        while let Some(answer) = self.answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Waits for the first answer until `deadline`, since the request was not taken elsewhere.
    pub(super) async fn answer_until(&mut self, deadline: Instant) -> Option<Answer> {
        tokio::time::timeout_at(deadline, self.answer()).await.ok().flatten()
    }

    /// Runs `other` until it is done, or returns an answer that comes before that.
    pub(super) async fn beside<T>(&mut self, other: impl Future<Output = T>) -> Result<T, Answer> {
        let answer = async {
            match self.answer().await {
                Some(answer) => answer,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            other = other => Ok(other),
            answer = answer => Err(answer),
        }
    }
}
