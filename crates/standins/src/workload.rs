//! Generator of agent programs and their arrival times.
//!
//! Both are pseudorandom and depend only on the seed and the given parameters, so a run can be
//! repeated.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use state::budget::Amount;

/// Parameters of the generated programs.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Minimum number of turns of a program.
    pub min_turns: u32,
    /// Maximum number of turns of a program; the distribution is heavy-tailed.
    pub max_turns: u32,
    /// Maximum pause between turns, in milliseconds.
    pub max_pause_ms: u64,
    /// Length of the prompt prefix that all programs share, in bytes.
    pub shared_prefix_bytes: usize,
    /// Maximum number of tokens that a prompt requests for its answer.
    pub max_answer_tokens: u64,
    /// Whether some programs start sub-agents.
    pub has_children: bool,
}

/// A generated program.
#[derive(Debug, Clone)]
pub struct Program {
    /// Name of the program, unique within the deployment.
    pub name: String,
    /// Budget with which the program is opened.
    pub budget: Amount,
    /// Steps of the program, in the order of execution.
    pub steps: Vec<Step>,
}

/// One step of a program.
#[derive(Debug, Clone)]
pub enum Step {
    /// A model call.
    Model {
        /// Content of the new user message.
        content: String,
        /// Maximum number of tokens to generate.
        max_tokens: u64,
    },
    /// A tool call that is not idempotent.
    Tool {
        /// Name of the operation.
        op: &'static str,
        /// Duration of the execution, in milliseconds.
        duration_ms: u64,
        /// Money that the call spends, in the unit of [`Amount::cost`].
        cost: u64,
    },
    /// Wait for a person or an external tool, in milliseconds.
    Pause(u64),
    /// A sub-agent, which runs to its end before the next step.
    Child(Box<Program>),
}

/// Returns the arrival times of programs within a period, in seconds from its start.
///
/// Arrivals form a Poisson process of `rate` programs per second: the gaps are exponentially
/// distributed, so arrivals come in bursts.
pub fn arrivals(seed: u64, rate: f64, seconds: f64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrival_times = Vec::new();
    let mut elapsed = 0.0;
    loop {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        elapsed -= uniform.ln() / rate;
        if elapsed >= seconds {
            return arrival_times;
        }
        arrival_times.push(elapsed);
    }
}

/// Generates the program with the given index of the workload with this seed.
///
/// `run` distinguishes the program names of runs on the same deployment.
pub fn program(profile: &Profile, seed: u64, index: u64, run: u64) -> Program {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(index));
    let name = format!("p{index}-{run}");
    let turns = heavy_tailed(profile, &mut rng);
    let mut steps = Vec::new();
    for turn in 0..turns {
        steps.push(model_step(profile, &mut rng, &name, turn));
        if rng.random_bool(0.4) {
            steps.push(tool_step(&mut rng));
        }
        if rng.random_bool(0.5) {
            steps.push(Step::Pause(rng.random_range(1..=profile.max_pause_ms.max(1))));
        }
        if profile.has_children && rng.random_bool(0.08) {
            steps.push(Step::Child(Box::new(child(profile, &mut rng, &name, turn))));
        }
    }
    Program { name, budget: budget(turns), steps }
}

/// Budget of a sub-agent.
const CHILD_BUDGET: Amount = Amount { tokens: 20_000, calls: 4, cost: 100 };

/// Generates a sub-agent of two model calls.
fn child(profile: &Profile, rng: &mut StdRng, parent: &str, turn: u32) -> Program {
    let name = format!("{parent}.c{turn}");
    let steps = (0..2).map(|turn| model_step(profile, rng, &name, turn)).collect();
    Program { name, budget: CHILD_BUDGET, steps }
}

/// Returns a budget that is large enough for a program with the given number of turns.
fn budget(turns: u32) -> Amount {
    let turns = u64::from(turns);
    Amount { tokens: 100_000 + turns * 50_000, calls: 20 + turns * 4, cost: 10_000 }
}

/// Returns a number of turns from a Pareto distribution with exponent 1.5, cut off at the
/// maximum.
fn heavy_tailed(profile: &Profile, rng: &mut StdRng) -> u32 {
    let uniform: f64 = rng.random_range(0.001..1.0);
    let factor = uniform.powf(-1.0 / 1.5);
    let turns = f64::from(profile.min_turns) * factor;
    // The value is at most `max_turns`, so the conversion does not truncate.
    (turns.min(f64::from(profile.max_turns)).round() as u32).max(profile.min_turns)
}

/// Generates a model call; the first turn starts with the shared prefix.
fn model_step(profile: &Profile, rng: &mut StdRng, name: &str, turn: u32) -> Step {
    let tokens = rng.random_range(2..=profile.max_answer_tokens.max(2));
    let prefix = if turn == 0 {
        "board catalogue ".repeat(profile.shared_prefix_bytes / 16)
    } else {
        String::new()
    };
    let content = format!("{prefix}{name} turn {turn} [[n={tokens}]]");
    Step::Model { content, max_tokens: profile.max_answer_tokens + 8 }
}

/// Generates a tool call.
fn tool_step(rng: &mut StdRng) -> Step {
    let ops = ["order", "charge", "reserve", "page"];
    let op = ops[rng.random_range(0..ops.len())];
    Step::Tool { op, duration_ms: rng.random_range(1..=10), cost: rng.random_range(1..=20) }
}
