//! Tests of the entry: for each sequence of inputs, the outputs.

use coordination::entry::{Entry, Event, Failure, Input, Load, Loaded, Output, Request, Settings};
use state::budget::{Amount, Budget};
use state::control::Snapshot;
use state::error::{Executed, Kind};
use state::id::{Call, Holder, Program};
use state::program::{Command, Outcome, Reply, Summary};

use crate::util::config;

const SEQ: u64 = 1;

fn holder() -> Holder {
    Holder { instance: "h".into(), epoch: 1 }
}

fn snapshot(version: u64, forbidden: &[&str]) -> Snapshot {
    let mut config = config();
    let rules = config.deployments.get_mut("dep").unwrap();
    rules.servers.retain(|name| !forbidden.contains(&name.as_str()));
    Snapshot { version, config, ..Snapshot::default() }
}

fn renewed(at: u64, snapshot: Snapshot) -> Input {
    Input::LeaseRenewed {
        holder: holder(),
        sent_at: at,
        length: 1_000,
        snapshot: Some(Box::new(snapshot)),
        in_force: 0,
    }
}

/// An entry with a lease from time 0 to 1,000.
fn entry(forbidden: &[&str]) -> Entry {
    let mut entry = Entry::new(Settings::default(), 0, 1);
    entry.step(0, renewed(0, snapshot(1, forbidden)));
    entry
}

fn call() -> Call {
    Call { program: Program::new("dep", "p"), seq: SEQ }
}

fn request(service: &str, is_idempotent: bool) -> Request {
    Request {
        request_id: 7,
        call: call(),
        service: service.into(),
        content: b"hello".to_vec().into(),
        is_idempotent,
        max_tokens: 2,
        cost: 0,
    }
}

fn loaded() -> Box<Loaded> {
    let summary = Summary {
        program: call().program,
        budget: Budget::new(Amount { tokens: 1_000, calls: 9, cost: 9 }),
        opened_ms: 1,
        deadline_ms: 1_000_000,
        next_seq: SEQ,
        current: None,
        labels: Vec::new(),
        is_closed: false,
        held: Vec::new(),
    };
    Box::new(Loaded { summary, cached_items: 0, history: Vec::new() })
}

fn op(outputs: &[Output]) -> u64 {
    let ops = outputs.iter().find_map(|output| match output {
        Output::LoadProgram { op, .. } | Output::Submit { op, .. } | Output::Control { op, .. } => {
            Some(*op)
        }
        _ => None,
    });
    ops.unwrap_or_else(|| panic!("no operation in {outputs:?}"))
}

fn command(outputs: &[Output]) -> &Command {
    let commands = outputs.iter().find_map(|output| match output {
        Output::Submit { command, .. } => Some(command.as_ref()),
        _ => None,
    });
    commands.unwrap_or_else(|| panic!("no command in {outputs:?}"))
}

/// Advances a call until its Begin is submitted; returns the operation and the chosen backend
/// server.
fn begin(entry: &mut Entry, request: Request) -> (u64, String) {
    let outputs = entry.step(10, Input::Call(request));
    let outputs =
        entry.step(11, Input::ProgramLoaded { op: op(&outputs), result: Ok(Ok(loaded())) });
    let Command::Begin(begin) = command(&outputs) else { panic!("{outputs:?}") };
    (op(&outputs), begin.server.clone())
}

/// Advances a call until it is dispatched; returns the dispatch and the backend server.
fn dispatch(entry: &mut Entry, request: Request) -> (u64, String) {
    let (op, _) = begin(entry, request);
    let outputs = entry.step(12, Input::Submitted { op, result: Ok(Reply::Begun) });
    let dispatch = outputs.iter().find_map(|output| match output {
        Output::Dispatch(dispatch) => Some((dispatch.id, dispatch.server.clone())),
        _ => None,
    });
    dispatch.unwrap_or_else(|| panic!("no dispatch in {outputs:?}"))
}

#[test]
fn a_call_forbidden_between_begin_and_dispatch_is_abandoned() {
    let mut entry = entry(&[]);
    let (op, server) = begin(&mut entry, request("model", true));
    entry.step(12, renewed(12, snapshot(2, &[&server])));
    let outputs = entry.step(13, Input::Submitted { op, result: Ok(Reply::Begun) });
    assert!(matches!(command(&outputs), Command::Abandon { .. }), "{outputs:?}");
}

#[test]
fn a_call_begun_before_the_lease_expired_is_abandoned_after() {
    let mut entry = entry(&[]);
    let (op, _) = begin(&mut entry, request("model", true));
    let outputs = entry.step(1_000, Input::Submitted { op, result: Ok(Reply::Begun) });
    assert!(matches!(command(&outputs), Command::Abandon { .. }), "{outputs:?}");
}

#[test]
fn a_model_call_on_a_server_now_forbidden_is_retried_elsewhere() {
    let mut entry = entry(&[]);
    let (id, server) = dispatch(&mut entry, request("model", true));
    let outputs = entry.step(20, renewed(20, snapshot(2, &[&server])));
    assert!(outputs.iter().any(|o| matches!(o, Output::Cancel(cancelled) if *cancelled == id)));
    let outputs = entry.step(500, Input::Tick);
    let Command::Begin(begin) = command(&outputs) else { panic!("{outputs:?}") };
    assert_ne!(begin.server, server);
    assert_eq!(begin.attempt.number, 2);
}

#[test]
fn a_tool_call_is_not_cancelled_by_a_ticket() {
    let mut entry = entry(&[]);
    let (_, server) = dispatch(&mut entry, request("tool", false));
    let outputs = entry.step(20, renewed(20, snapshot(2, &[&server])));
    assert!(outputs.is_empty(), "{outputs:?}");
}

#[test]
fn without_a_lease_streams_are_cancelled_and_nothing_starts() {
    let mut entry = entry(&[]);
    let (id, _) = dispatch(&mut entry, request("model", true));
    let outputs = entry.step(1_000, Input::Tick);
    assert!(matches!(outputs[..], [Output::Cancel(cancelled)] if cancelled == id), "{outputs:?}");
    let outputs = entry.step(1_900, Input::Tick);
    assert!(outputs.is_empty(), "{outputs:?}");
}

#[test]
fn a_leaving_server_gets_no_new_calls() {
    let mut entry = entry(&["m2", "m3"]);
    let load = Some(Load { is_leaving: true, ..Load::default() });
    entry.step(1, Input::LoadReport { server: "m1".into(), at: 1, load });
    let outputs = entry.step(10, Input::Call(request("model", true)));
    let outputs =
        entry.step(11, Input::ProgramLoaded { op: op(&outputs), result: Ok(Ok(loaded())) });
    assert!(outputs.is_empty(), "{outputs:?}");
    let load = Some(Load::default());
    let outputs = entry.step(20, Input::LoadReport { server: "m1".into(), at: 20, load });
    assert!(matches!(command(&outputs), Command::Begin(_)));
}

#[test]
fn servers_listed_as_leaving_get_no_new_calls() {
    let mut entry = entry(&["m2", "m3"]);
    entry.step(1, Input::LeavingServers(vec!["m1".into()]));
    let outputs = entry.step(10, Input::Call(request("model", true)));
    let outputs =
        entry.step(11, Input::ProgramLoaded { op: op(&outputs), result: Ok(Ok(loaded())) });
    assert!(outputs.is_empty(), "{outputs:?}");
}

#[test]
fn a_stream_is_cancelled_at_the_token_limit() {
    let mut entry = entry(&[]);
    let (id, _) = dispatch(&mut entry, request("model", true));
    let chunk = |text: &str| Event::Chunk { text: text.into(), tokens: 1 };
    entry.step(13, Input::DispatchEvent { id, event: chunk("a") });
    let outputs = entry.step(14, Input::DispatchEvent { id, event: chunk("b") });
    assert!(outputs.iter().any(|o| matches!(o, Output::Cancel(cancelled) if *cancelled == id)));
    let Command::End(end) = command(&outputs) else { panic!("{outputs:?}") };
    assert_eq!((end.outcome, end.answer.as_slice()), (Outcome::Answered, &b"ab"[..]));
}

#[test]
fn late_events_of_a_cancelled_attempt_are_ignored() {
    let mut entry = entry(&[]);
    let (id, server) = dispatch(&mut entry, request("model", true));
    entry.step(20, renewed(20, snapshot(2, &[&server])));
    let finished =
        Event::Finished { answer: b"late".to_vec(), spent: Amount::default(), cached_tokens: 0 };
    assert!(entry.step(21, Input::DispatchEvent { id, event: finished }).is_empty());
}

#[test]
fn a_resend_with_different_content_conflicts_and_an_equal_one_waits() {
    let mut entry = entry(&[]);
    entry.step(10, Input::Call(request("model", true)));
    let other =
        Request { request_id: 8, content: b"other".to_vec().into(), ..request("model", true) };
    let outputs = entry.step(11, Input::Call(other));
    let [Output::Answer { request_id: 8, answer }] = &outputs[..] else { panic!("{outputs:?}") };
    assert_eq!(answer.error.as_ref().map(|e| e.kind), Some(Kind::Conflict));
    assert_eq!(answer.executed, Executed::No);
    let equal = Request { request_id: 9, ..request("model", true) };
    assert!(entry.step(12, Input::Call(equal)).is_empty());
}

#[test]
fn the_same_begin_is_resubmitted_after_an_unreachable_journal() {
    let mut entry = entry(&[]);
    let (op, server) = begin(&mut entry, request("model", true));
    let unreachable = Input::Submitted { op, result: Err(coordination::entry::Unreachable) };
    entry.step(20, unreachable);
    let outputs = entry.step(100, Input::Tick);
    let Command::Begin(resubmitted) = command(&outputs) else { panic!("{outputs:?}") };
    assert_eq!((resubmitted.attempt.number, &resubmitted.server), (1, &server));
}

#[test]
fn a_call_rejected_by_its_tool_is_answered_as_not_executed() {
    let mut entry = entry(&[]);
    let (id, _) = dispatch(&mut entry, request("tool", false));
    let event = Event::Failed(Failure::Rejected);
    let outputs = entry.step(20, Input::DispatchEvent { id, event });
    assert!(matches!(command(&outputs), Command::Abandon { .. }), "{outputs:?}");
    let settled = Reply::Settled {
        outcome: Outcome::NotExecuted(Kind::Rejected),
        spent: Amount::default(),
        answer: Vec::new(),
    };
    let outputs = entry.step(21, Input::Submitted { op: op(&outputs), result: Ok(settled) });
    let [Output::Answer { request_id: 7, answer }] = &outputs[..] else { panic!("{outputs:?}") };
    assert_eq!(answer.executed, Executed::No);
}

#[test]
fn a_long_queue_of_one_service_does_not_delay_another() {
    let mut entry = entry(&["m2", "m3"]);
    let full = Some(Load { running: 99, ..Load::default() });
    entry.step(1, Input::LoadReport { server: "m1".into(), at: 1, load: full });
    let program = |at: u64| Program::new("dep", &format!("p{at}"));
    for at in 0..100 {
        let call = Call { program: program(at), seq: SEQ };
        let outputs =
            entry.step(2, Input::Call(Request { request_id: at, call, ..request("model", true) }));
        let mut loaded = loaded();
        loaded.summary.program = program(at);
        entry.step(2, Input::ProgramLoaded { op: op(&outputs), result: Ok(Ok(loaded)) });
    }
    assert!(entry.queued() >= 90, "{}", entry.queued());
    let (_, server) = begin(&mut entry, request("tool", false));
    assert!(server.starts_with('t'));
}
