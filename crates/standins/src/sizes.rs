//! Measures memory use and processing times of the state machines, for docs/CAPACITY.md.

use crate::probe::resident_kib;
use coordination::entry::{Entry, Input, Load, Loaded, Output, Request, Settings};
use serde_json::{Value, json};
use state::budget::{Amount, Budget};
use state::control::{Config, Deployment, Role, Server, Service, Snapshot, Weights};
use state::error::Storage;
use state::history::Files;
use state::id::{Attempt, Call, Digest, Holder, Program};
use state::machine::StateMachine;
use state::program::{Begin, Command, End, Open, Outcome, Reply, Shard, Summary};
use std::path::Path;
use std::time::Instant;

/// Number of operations from which a mean time is computed.
const OPERATIONS: u64 = 2_000;

/// Length of one history item, in bytes.
const ITEM_BYTES: usize = 400;

/// Amount large enough that no measured operation reaches a limit.
const UNLIMITED: Amount = Amount { tokens: u64::MAX / 4, calls: u64::MAX / 4, cost: u64::MAX / 4 };

/// Returns the lease holder of all commands.
fn lease_holder() -> Holder {
    Holder { instance: "entry-1".into(), epoch: 1 }
}

/// Returns the mean time of `count` operations since `start`, in microseconds.
fn mean_micros(start: Instant, count: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    resident_kib(std::process::id()).unwrap_or(0) as f64 * 1_024.0
}

fn open(index: u64) -> Command {
    Command::Open(Open {
        program: Program::new("dep", &format!("program-{index}")),
        limit: UNLIMITED,
        cap: UNLIMITED,
        deadline_ms: u64::MAX,
        labels: Vec::new(),
        now_ms: 1,
    })
}

fn attempt(index: u64, seq: u64) -> Attempt {
    let program = Program::new("dep", &format!("program-{index}"));
    Attempt { call: Call { program, seq }, number: 1 }
}

fn begin(index: u64, seq: u64) -> Command {
    Command::Begin(Begin {
        attempt: attempt(index, seq),
        opened_ms: 1,
        digest: Digest::of(b"content"),
        holder: lease_holder(),
        service: "model".into(),
        server: "model-1".into(),
        is_idempotent: true,
        holds_memory: true,
        reservation: Amount { tokens: 100, calls: 1, cost: 0 },
        cap: UNLIMITED,
        revision: 1,
        messages: vec![b'q'; ITEM_BYTES],
        takeover: None,
        now_ms: 1,
    })
}

fn end(index: u64, seq: u64) -> Command {
    Command::End(End {
        attempt: attempt(index, seq),
        holder: lease_holder(),
        outcome: Outcome::Answered,
        spent: Amount { tokens: 50, calls: 1, cost: 0 },
        answer: vec![b'a'; ITEM_BYTES],
        now_ms: 1,
    })
}

/// Measures a shard with `programs` programs of `turns` calls each, with its history in
/// `folder`.
///
/// # Errors
///
/// Returns an error if the history cannot be read or written.
pub fn measure_shard(programs: u64, turns: u64, folder: &Path) -> Result<Value, Storage> {
    let before = resident_bytes();
    let mut shard = Shard::new(Box::new(Files::open(folder)?));
    for index in 0..programs {
        shard.execute(open(index))?;
        for seq in 1..=turns {
            shard.execute(begin(index, seq))?;
            shard.execute(end(index, seq))?;
        }
    }
    let bytes = (resident_bytes() - before) / programs as f64;
    let start = Instant::now();
    for index in 0..OPERATIONS.min(programs) {
        let reply = shard.execute(begin(index, turns + 1))?;
        debug_assert_eq!(reply, Reply::Begun);
        shard.execute(end(index, turns + 1))?;
    }
    let call_us = mean_micros(start, OPERATIONS.min(programs));
    let start = Instant::now();
    let saved = shard.save()?;
    let save_ms = mean_micros(start, 1) / 1_000.0;
    let start = Instant::now();
    let mut restored = Shard::new(Box::new(Files::open(folder)?));
    restored.load(&saved)?;
    let load_ms = mean_micros(start, 1) / 1_000.0;
    Ok(json!({
        "programs": programs, "turns": turns, "bytes_per_program": bytes.round(),
        "call_us": call_us, "saved_bytes": saved.len(), "save_ms": save_ms, "load_ms": load_ms,
    }))
}

/// Returns a configuration with the given number of backend servers.
fn config(servers: u64) -> Config {
    let service = Service {
        role: Role::Engine,
        version: String::new(),
        is_urgent: false,
        can_look_up: false,
        timeout_ms: 1_000_000,
        prompt_bytes_per_token: 3,
    };
    let server = Server {
        service: "model".into(),
        address: "127.0.0.1:1".into(),
        failure_domain: "a".into(),
        slots: 8,
        checks_fencing: true,
    };
    let names: Vec<String> = (0..servers).map(|index| format!("model-{index}")).collect();
    let deployment = Deployment {
        servers: names.clone(),
        failure_domains: vec!["a".into()],
        labels: Default::default(),
        cap: UNLIMITED,
        weights: Weights { latency: 1, cache: 1 },
    };
    Config {
        deployments: [("dep".to_owned(), deployment)].into(),
        servers: names.into_iter().map(|name| (name, server.clone())).collect(),
        services: [("model".to_owned(), service)].into(),
    }
}

/// Returns a program without calls, as a shard returns it to an entry.
fn loaded_program(program: &Program) -> Box<Loaded> {
    let summary = Summary {
        program: program.clone(),
        budget: Budget::new(UNLIMITED),
        opened_ms: 1,
        deadline_ms: u64::MAX,
        next_seq: 1,
        current: None,
        labels: Vec::new(),
        is_closed: false,
        held: Vec::new(),
    };
    Box::new(Loaded { summary, cached_items: 0, history: Vec::new() })
}

/// Measures how long an entry takes to decide on a call, with `servers` backend servers.
pub fn measure_entry(servers: u64) -> Value {
    let before = resident_bytes();
    let mut entry = Entry::new(Settings::default(), 0, 1);
    let snapshot = Snapshot { version: 1, config: config(servers), ..Snapshot::default() };
    entry.step(
        0,
        Input::LeaseRenewed {
            holder: lease_holder(),
            sent_at: 0,
            length: 1_000_000,
            snapshot: Some(Box::new(snapshot)),
            in_force: 1,
        },
    );
    for index in 0..servers {
        let load = Some(Load { incarnation: 1, ..Load::default() });
        entry.step(1, Input::LoadReport { server: format!("model-{index}"), at: 1, load });
    }
    let bytes = (resident_bytes() - before) / servers as f64;
    let mut decided = 0;
    let start = Instant::now();
    for index in 0..OPERATIONS {
        let program = Program::new("dep", &format!("program-{index}"));
        let request = Request {
            request_id: index,
            call: Call { program: program.clone(), seq: 1 },
            service: "model".into(),
            content: b"hello".to_vec().into(),
            is_idempotent: true,
            max_tokens: 10,
            cost: 0,
        };
        let outputs = entry.step(2, Input::Call(request));
        let Some(Output::LoadProgram { op, .. }) = outputs.first() else {
            continue;
        };
        let outputs = entry
            .step(2, Input::ProgramLoaded { op: *op, result: Ok(Ok(loaded_program(&program))) });
        decided += u64::from(!outputs.is_empty());
    }
    json!({
        "servers": servers, "bytes_per_server": bytes.round(),
        "decision_us": mean_micros(start, OPERATIONS), "decided": decided,
    })
}
