//! Which call runs next, and where.
//!
//! A [`Policy`] is pure: it sees a [`Job`] and [`Candidate`]s and holds no clock. Engines
//! admit whatever arrives, so calls wait here until a backend server has room.

use crate::Millis;
use serde::{Deserialize, Serialize};
use state::control::Weights;

/// What a policy sees of a waiting call.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Order of arrival on this entry.
    pub arrival: u64,
    /// When it arrived.
    pub since: Millis,
    /// When its program was opened, in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// When its program must be done.
    pub deadline: Millis,
    /// Tokens that its program has drawn so far.
    pub attained_tokens: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Whether its service passes before others.
    pub is_urgent: bool,
    /// Relative prices of the deployment.
    pub weights: Weights,
}

/// What a policy sees of a backend server that may run the call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Calls of this entry there.
    pub outstanding: u32,
    /// Calls that it reported, of all entries.
    pub reported: u32,
    /// Calls that keep it busy.
    pub slots: u32,
    /// This entry's share of the slots.
    pub share: u32,
    /// Prompt tokens that its cache should hold.
    pub warm_tokens: u64,
}

impl Candidate {
    /// Whether it has room, by this entry's share or by the last report.
    ///
    /// A higher bound for a warm server lets a call wait there instead of running where
    /// its prompt must be computed again.
    fn has_room(&self) -> bool {
        let known = self.reported.max(self.outstanding);
        let depth = if self.warm_tokens > 0 { WARM_DEPTH } else { DEPTH };
        self.outstanding < self.share || known < self.slots * depth
    }

    fn utilisation(&self) -> f64 {
        f64::from(self.reported.max(self.outstanding)) / f64::from(self.slots.max(1))
    }
}

/// Order and placement.
pub trait Policy: Send {
    /// Sort key of a waiting call; the lowest runs first.
    fn rank(&self, now: Millis, job: &Job) -> (u8, u64);

    /// Index of the backend server to use; `None` lets the call wait.
    fn place(&mut self, job: &Job, candidates: &[Candidate]) -> Option<usize>;
}

/// Names of the policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Name {
    /// In turn, in order of arrival.
    RoundRobin,
    /// Fewest calls of this entry, in order of arrival.
    LeastOutstanding,
    /// [`LeastOutstanding`](Name::LeastOutstanding) with cache affinity only.
    Affinity,
    /// [`LeastOutstanding`](Name::LeastOutstanding) with bounded depth and the oldest
    /// program first.
    ProgramOrder,
    /// Bounded depth, cache affinity, and first the program that has drawn the least.
    LeastAttained,
    /// Bounded depth, cache affinity, and the oldest program first.
    #[default]
    Shelf,
}

impl Name {
    /// Builds the policy.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Name::RoundRobin => Box::new(RoundRobin::default()),
            Name::LeastOutstanding => Box::new(Weighted::default()),
            Name::Affinity => Box::new(Weighted { has_affinity: true, ..Weighted::default() }),
            Name::ProgramOrder => {
                let order = Order::Oldest;
                Box::new(Weighted { order, has_bounds: true, ..Weighted::default() })
            }
            Name::LeastAttained => {
                let order = Order::LeastAttained;
                Box::new(Weighted { has_affinity: true, order, has_bounds: true })
            }
            Name::Shelf => {
                let order = Order::Oldest;
                Box::new(Weighted { has_affinity: true, order, has_bounds: true })
            }
        }
    }
}

/// Backend servers in turn.
#[derive(Debug, Default)]
struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn rank(&self, _now: Millis, job: &Job) -> (u8, u64) {
        (0, job.arrival)
    }

    fn place(&mut self, _job: &Job, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.next = (self.next + 1) % candidates.len();
        Some(self.next)
    }
}

/// Waiting time that outweighs one attained token, in milliseconds.
const AGEING_MS_PER_TOKEN: u64 = 4;

/// Calls that a server may have, as a multiple of its slots.
const DEPTH: u32 = 2;

/// Calls that a server may have if its cache is warm, as a multiple of its slots.
const WARM_DEPTH: u32 = 4;

/// Load in calls that a fully warm cache outweighs, per unit of the cache weight's share.
const AFFINITY_LOAD: f64 = 2.0;

/// Order of waiting calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Order {
    /// By arrival of the call.
    #[default]
    Arrival,
    /// By what the program has drawn, with ageing.
    LeastAttained,
    /// By the opening of the program.
    Oldest,
}

/// Cost of load and cold cache, with each ingredient optional.
#[derive(Debug, Default)]
struct Weighted {
    has_affinity: bool,
    order: Order,
    has_bounds: bool,
}

impl Weighted {
    fn cost(&self, job: &Job, candidate: &Candidate) -> f64 {
        if !self.has_affinity {
            return f64::from(candidate.outstanding);
        }
        let warm = candidate.warm_tokens.min(job.prompt_tokens) as f64;
        let share = warm / (job.prompt_tokens.max(1) as f64);
        let weights = job.weights;
        let sum = f64::from(weights.latency + weights.cache).max(1.0);
        let price = AFFINITY_LOAD * (1.0 + f64::from(weights.cache) / sum);
        candidate.utilisation() + f64::from(candidate.outstanding) / f64::from(candidate.slots)
            - price * share
    }
}

impl Policy for Weighted {
    fn rank(&self, now: Millis, job: &Job) -> (u8, u64) {
        let class = if job.is_urgent {
            0
        } else if job.deadline < now {
            2
        } else {
            1
        };
        match self.order {
            Order::Arrival => (0, job.arrival),
            Order::Oldest => (class, job.opened_ms),
            Order::LeastAttained => {
                let waited = now.saturating_sub(job.since) / AGEING_MS_PER_TOKEN;
                // The offset keeps the key positive.
                (class, (1 << 40) + job.attained_tokens - waited.min(1 << 39))
            }
        }
    }

    fn place(&mut self, job: &Job, candidates: &[Candidate]) -> Option<usize> {
        let usable = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !self.has_bounds || candidate.has_room());
        let best = usable.min_by(|(_, a), (_, b)| self.cost(job, a).total_cmp(&self.cost(job, b)));
        best.map(|(index, _)| index)
    }
}
