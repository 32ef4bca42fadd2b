//! Seeded programs.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use state::budget::Amount;

/// What programs look like.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Fewest turns.
    pub turns_least: u32,
    /// Most turns; lengths between are heavy-tailed.
    pub turns_most: u32,
    /// Longest pause between turns, in milliseconds.
    pub pause_ms: u64,
    /// Length of the prefix that all programs share, in bytes.
    pub prefix_bytes: usize,
    /// Most tokens of one answer.
    pub answer_tokens: u64,
    /// Whether some programs start a sub-agent.
    pub has_children: bool,
}

/// One program of the workload.
#[derive(Debug, Clone)]
pub struct Program {
    /// Its name.
    pub name: String,
    /// What it may draw.
    pub budget: Amount,
    /// What it does, in order.
    pub steps: Vec<Step>,
}

/// One step of a program.
#[derive(Debug, Clone)]
pub enum Step {
    /// A model call.
    Model {
        /// New user message.
        content: String,
        /// The most tokens to generate.
        max_tokens: u64,
    },
    /// A tool call that may not be repeated.
    Tool {
        /// What to do.
        op: &'static str,
        /// Time that it takes, in milliseconds.
        ms: u64,
        /// Money that it draws.
        cost: u64,
    },
    /// Time for a person or a tool outside.
    Pause(u64),
    /// A sub-agent, run to its end.
    Child(Box<Program>),
}

/// Moments at which programs arrive, in seconds, at a mean rate a second.
///
/// Gaps are exponential, so arrivals come in bursts.
pub fn arrivals(seed: u64, rate: f64, seconds: f64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut moments = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        at -= uniform.ln() / rate;
        if at >= seconds {
            return moments;
        }
        moments.push(at);
    }
}

/// The program number `at` of the workload with this seed.
pub fn program(shape: &Shape, seed: u64, at: u64, run: u64) -> Program {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(at));
    let name = format!("p{at}-{run}");
    let turns = heavy_tailed(shape, &mut rng);
    let mut steps = Vec::new();
    for turn in 0..turns {
        steps.push(model_step(shape, &mut rng, &name, turn));
        if rng.random_bool(0.4) {
            steps.push(tool_step(&mut rng));
        }
        if rng.random_bool(0.5) {
            steps.push(Step::Pause(rng.random_range(1..=shape.pause_ms.max(1))));
        }
        if shape.has_children && rng.random_bool(0.08) {
            steps.push(Step::Child(Box::new(child(shape, &mut rng, &name, turn))));
        }
    }
    Program { name, budget: budget(turns), steps }
}

/// What a sub-agent may draw of its parent's budget.
const CHILD_BUDGET: Amount = Amount { tokens: 20_000, calls: 4, cost: 100 };

fn child(shape: &Shape, rng: &mut StdRng, parent: &str, turn: u32) -> Program {
    let name = format!("{parent}.c{turn}");
    let steps = (0..2).map(|turn| model_step(shape, rng, &name, turn)).collect();
    Program { name, budget: CHILD_BUDGET, steps }
}

fn budget(turns: u32) -> Amount {
    let turns = u64::from(turns);
    Amount { tokens: 100_000 + turns * 50_000, calls: 20 + turns * 4, cost: 10_000 }
}

/// Length of a chain; the tail follows a Pareto law with exponent 1.5.
fn heavy_tailed(shape: &Shape, rng: &mut StdRng) -> u32 {
    let uniform: f64 = rng.random_range(0.001..1.0);
    let stretch = uniform.powf(-1.0 / 1.5);
    let turns = f64::from(shape.turns_least) * stretch;
    // The bound keeps the value well inside the range of the type.
    (turns.min(f64::from(shape.turns_most)).round() as u32).max(shape.turns_least)
}

fn model_step(shape: &Shape, rng: &mut StdRng, name: &str, turn: u32) -> Step {
    let tokens = rng.random_range(2..=shape.answer_tokens.max(2));
    let prefix =
        if turn == 0 { "board catalogue ".repeat(shape.prefix_bytes / 16) } else { String::new() };
    let content = format!("{prefix}{name} turn {turn} [[n={tokens}]]");
    Step::Model { content, max_tokens: shape.answer_tokens + 8 }
}

fn tool_step(rng: &mut StdRng) -> Step {
    let ops = ["order", "charge", "reserve", "page"];
    let op = ops[rng.random_range(0..ops.len())];
    Step::Tool { op, ms: rng.random_range(1..=10), cost: rng.random_range(1..=20) }
}
