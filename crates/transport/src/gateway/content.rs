//! Content of a turn with those before it, held once within the memory of the process.

use crate::body::Held;
use crate::gateway::dialect::Refusal;
use crate::gateway::flow::{Error, Handler, JOURNAL_RETRY_AFTER, JOURNAL_SHARE, RETRY_AFTER};
use crate::gateway::sending::PLACEMENT_SHARE;
use crate::gateway::turns::{Prior, read_content};
use crate::memory::{Grant, Kind as Purpose};
use bytes::Bytes;
use state::error::Kind;
use tokio::time::Instant;

impl Handler {
    /// Takes memory for the content of a turn, for which the request waits as long as for a server.
    async fn reserve(&self, bytes: usize, deadline: Instant) -> Result<Grant, Error> {
        let budget = &self.entry.member.budget;
        let mut grant = budget.grant(Purpose::Body);
        let now = Instant::now();
        let until = now + deadline.saturating_duration_since(now).mul_f64(PLACEMENT_SHARE);
        if grant.resize_until(bytes, until).await.is_err() {
            budget.metrics.give_up("turn without memory");
            let detail = "there is no memory for the content of the turn";
            return Err(Refusal::retryable(Kind::Overloaded, RETRY_AFTER, detail).into());
        }
        Ok(grant)
    }

    /// Returns the content of the turns up to `previous`, followed by the body. It is held once, in memory
    /// that is taken before it is read.
    pub(super) async fn content(
        &self,
        previous: &str,
        prior: Prior,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Option<Bytes>, Error> {
        let member = &self.entry.member;
        let read = async |offset: u64| {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let part = read_content(member, previous, offset, remaining.mul_f64(JOURNAL_SHARE));
            part.await.map_err(|error| {
                Refusal::retryable(Kind::Unavailable, JOURNAL_RETRY_AFTER, error.to_string())
            })
        };
        let first = match prior {
            Prior::Nothing => return Ok(None),
            Prior::First(part) => part,
            Prior::Later => read(0).await?,
        };
        let total = usize::try_from(first.total).unwrap_or(usize::MAX);
        let bytes = total.saturating_add(body.len());
        let grant = self.reserve(bytes, deadline).await?;
        let mut content = Vec::with_capacity(bytes);
        content.extend_from_slice(&first.content);
        drop(first);
        while content.len() < total {
            let part = read(content.len() as u64).await?;
            if part.content.is_empty() || part.content.len() > total - content.len() {
                let detail = "the content of the turns before changed while it was read";
                let pause = JOURNAL_RETRY_AFTER;
                return Err(Refusal::retryable(Kind::Unavailable, pause, detail).into());
            }
            content.extend_from_slice(&part.content);
        }
        content.extend_from_slice(body);
        Ok(Some(Bytes::from_owner(Held::new(content, grant))))
    }
}
