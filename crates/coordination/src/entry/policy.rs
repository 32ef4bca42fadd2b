//! Scheduling policies: the order of waiting calls and the choice of the backend server.
//!
//! A [`Policy`] depends only on the [`Job`] and the [`Candidate`]s that it is given; it has no
//! clock of its own. Engines admit every request that they receive, so calls wait on the entry
//! until a backend server has capacity.

use crate::Millis;
use serde::{Deserialize, Serialize};
use state::control::Weights;

/// Properties of a waiting call.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Sequence number of the arrival on this entry, from 1.
    pub arrival_order: u64,
    /// Time of arrival on this entry.
    pub arrived_at: Millis,
    /// Unix time at which its program was opened, in milliseconds.
    pub opened_ms: u64,
    /// Time after which no new call of its program begins.
    pub deadline: Millis,
    /// Tokens that its program has been charged so far.
    pub attained_tokens: u64,
    /// Estimated size of its prompt, in tokens.
    pub prompt_tokens: u64,
    /// Whether calls of its service precede calls of other services.
    pub is_urgent: bool,
    /// Weights of latency and cache reuse in its deployment.
    pub weights: Weights,
}

/// Properties of a backend server that may execute the call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Calls that this entry has outstanding there.
    pub outstanding: u32,
    /// Running and waiting calls of all entries, from its last load report.
    pub reported: u32,
    /// Calls that it executes at a time.
    pub slots: u32,
    /// This entry's share of the slots.
    pub share: u32,
    /// Prompt tokens that its cache is expected to hold.
    pub warm_tokens: u64,
}

impl Candidate {
    /// Whether it has capacity, by this entry's share or by the last load report.
    ///
    /// The limit is higher for a server with a warm cache, so that a call waits there instead
    /// of being sent to a server that must compute its prompt again.
    fn has_capacity(&self) -> bool {
        let load = self.reported.max(self.outstanding);
        let depth = if self.warm_tokens > 0 { WARM_QUEUE_DEPTH } else { QUEUE_DEPTH };
        self.outstanding < self.share || load < self.slots * depth
    }

    fn utilisation(&self) -> f64 {
        f64::from(self.reported.max(self.outstanding)) / f64::from(self.slots.max(1))
    }
}

/// Order of waiting calls and choice of their backend servers.
pub trait Policy: Send {
    /// Sort key of a waiting call; the call with the lowest key is placed first.
    fn rank(&self, now: Millis, job: &Job) -> (u8, u64);

    /// Index of the candidate to use, or `None` if the call must wait.
    fn place(&mut self, job: &Job, candidates: &[Candidate]) -> Option<usize>;
}

/// Names of the policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Name {
    /// Each backend server in turn; calls in order of arrival.
    RoundRobin,
    /// The backend server with the fewest outstanding calls of this entry; calls in order of
    /// arrival.
    LeastOutstanding,
    /// [`LeastOutstanding`](Name::LeastOutstanding) with cache affinity.
    Affinity,
    /// [`LeastOutstanding`](Name::LeastOutstanding) with a bounded queue per backend server and
    /// the oldest program first.
    ProgramOrder,
    /// Cache affinity, a bounded queue per backend server, and the program that has been charged
    /// the fewest tokens first.
    LeastAttained,
    /// Cache affinity, a bounded queue per backend server, and the oldest program first.
    #[default]
    Shelf,
}

impl Name {
    /// Creates the policy with this name.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Name::RoundRobin => Box::new(RoundRobin::default()),
            Name::LeastOutstanding => Box::new(CostBased::default()),
            Name::Affinity => Box::new(CostBased { has_affinity: true, ..CostBased::default() }),
            Name::ProgramOrder => {
                let order = Order::Oldest;
                Box::new(CostBased { order, is_bounded: true, ..CostBased::default() })
            }
            Name::LeastAttained => {
                let order = Order::LeastAttained;
                Box::new(CostBased { has_affinity: true, order, is_bounded: true })
            }
            Name::Shelf => {
                let order = Order::Oldest;
                Box::new(CostBased { has_affinity: true, order, is_bounded: true })
            }
        }
    }
}

/// Policy that uses each backend server in turn.
#[derive(Debug, Default)]
struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn rank(&self, _now: Millis, job: &Job) -> (u8, u64) {
        (0, job.arrival_order)
    }

    fn place(&mut self, _job: &Job, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.next = (self.next + 1) % candidates.len();
        Some(self.next)
    }
}

/// Waiting time that offsets one attained token, in milliseconds.
const AGEING_MS_PER_TOKEN: u64 = 4;

/// Maximum number of calls on a server, as a multiple of its slots.
const QUEUE_DEPTH: u32 = 2;

/// Maximum number of calls on a server with a warm cache, as a multiple of its slots.
const WARM_QUEUE_DEPTH: u32 = 4;

/// Load that a fully warm cache offsets, in multiples of the server's slots.
///
/// It is scaled by 1 plus the cache weight's share of both weights.
const AFFINITY_LOAD: f64 = 2.0;

/// Order of waiting calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Order {
    /// By arrival of the call.
    #[default]
    Arrival,
    /// By the tokens that the program has been charged, reduced by the waiting time.
    LeastAttained,
    /// By the time at which the program was opened.
    Oldest,
}

/// Policy that minimises a cost of load and cache misses, with each component optional.
#[derive(Debug, Default)]
struct CostBased {
    has_affinity: bool,
    order: Order,
    is_bounded: bool,
}

impl CostBased {
    fn cost(&self, job: &Job, candidate: &Candidate) -> f64 {
        if !self.has_affinity {
            return f64::from(candidate.outstanding);
        }
        let cached = candidate.warm_tokens.min(job.prompt_tokens) as f64;
        let share = cached / (job.prompt_tokens.max(1) as f64);
        let weights = job.weights;
        let total = f64::from(weights.latency + weights.cache).max(1.0);
        let affinity = AFFINITY_LOAD * (1.0 + f64::from(weights.cache) / total);
        candidate.utilisation() + f64::from(candidate.outstanding) / f64::from(candidate.slots)
            - affinity * share
    }
}

impl Policy for CostBased {
    fn rank(&self, now: Millis, job: &Job) -> (u8, u64) {
        let priority = if job.is_urgent {
            0
        } else if job.deadline < now {
            2
        } else {
            1
        };
        match self.order {
            Order::Arrival => (0, job.arrival_order),
            Order::Oldest => (priority, job.opened_ms),
            Order::LeastAttained => {
                let waited = now.saturating_sub(job.arrived_at) / AGEING_MS_PER_TOKEN;
                // The offset prevents underflow, as at most half of it is subtracted.
                (priority, (1 << 40) + job.attained_tokens - waited.min(1 << 39))
            }
        }
    }

    fn place(&mut self, job: &Job, candidates: &[Candidate]) -> Option<usize> {
        let usable = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !self.is_bounded || candidate.has_capacity());
        let best = usable.min_by(|(_, a), (_, b)| self.cost(job, a).total_cmp(&self.cost(job, b)));
        best.map(|(index, _)| index)
    }
}
