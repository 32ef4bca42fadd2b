//! Tests of turn chains and token budgets.

use crate::util;
use state::history::{Files, Memory};
use state::machine::StateMachine;
use state::turn::{Begin, Command, End, Record, Reply, Reservation, Turns};

const RETENTION_MS: u64 = 60_000;

const BEGUN: Reply = Reply::Begun { server: None };

fn turns() -> Turns {
    Turns::new(Box::new(Memory::default()))
}

fn begin(turn: &str, tokens: u64, now_ms: u64) -> Command {
    let reservation = Reservation { program: "p".into(), budget: 1_000, tokens };
    Command::Begin(Begin {
        turn: turn.into(),
        reservation: Some(reservation),
        retention_ms: RETENTION_MS,
        now_ms,
        ..Begin::default()
    })
}

fn end(turn: &str, tokens: u64, now_ms: u64) -> Command {
    let (turn, program) = (turn.into(), Some("p".into()));
    Command::End(End { turn, program, tokens, now_ms, ..End::default() })
}

fn retain(turns: &mut Turns, turn: &str, previous: Option<&str>, now_ms: u64) {
    let record = Record {
        previous: previous.map(str::to_owned),
        content: format!("<{turn}>").into_bytes(),
        retention_ms: RETENTION_MS,
    };
    let end = End { turn: turn.into(), record: Some(record), now_ms, ..End::default() };
    assert_eq!(turns.execute(Command::End(end)).unwrap(), Reply::Done);
}

fn continue_from(turns: &mut Turns, previous: &str, now_ms: u64) -> Reply {
    let begin = Begin {
        turn: "next".into(),
        previous: Some(previous.into()),
        retention_ms: RETENTION_MS,
        now_ms,
        ..Begin::default()
    };
    turns.execute(Command::Begin(begin)).unwrap()
}

#[test]
fn turns_in_progress_count_with_their_maximum() {
    let mut turns = turns();
    assert_eq!(turns.execute(begin("a", 600, 1)).unwrap(), BEGUN);
    assert_eq!(turns.execute(begin("b", 600, 2)).unwrap(), Reply::Exhausted { remaining: 400 });
    turns.execute(end("a", 100, 3)).unwrap();
    assert_eq!(turns.execute(begin("c", 600, 4)).unwrap(), BEGUN);
}

#[test]
fn a_repeated_begin_reserves_once() {
    let mut turns = turns();
    turns.execute(begin("a", 500, 1)).unwrap();
    assert_eq!(turns.execute(begin("a", 500, 2)).unwrap(), BEGUN);
    assert_eq!(turns.execute(begin("b", 500, 3)).unwrap(), BEGUN);
}

#[test]
fn a_begin_after_its_end_reserves_nothing() {
    let mut turns = turns();
    turns.execute(end("a", 0, 1)).unwrap();
    assert_eq!(turns.execute(begin("a", 900, 2)).unwrap(), Reply::Ended);
    assert_eq!(turns.execute(begin("b", 900, 3)).unwrap(), BEGUN);
}

#[test]
fn a_repeated_end_is_charged_once() {
    let mut turns = turns();
    turns.execute(begin("a", 500, 1)).unwrap();
    turns.execute(end("a", 400, 2)).unwrap();
    turns.execute(end("a", 400, 3)).unwrap();
    assert_eq!(turns.execute(begin("b", 600, 4)).unwrap(), BEGUN);
}

#[test]
fn several_turns_may_continue_from_one() {
    let mut turns = turns();
    retain(&mut turns, "root", None, 1);
    retain(&mut turns, "left", Some("root"), 2);
    retain(&mut turns, "right", Some("root"), 3);
    retain(&mut turns, "leaf", Some("left"), 4);
    assert_eq!(turns.chain("leaf").unwrap().unwrap(), b"<root><left><leaf>");
    assert_eq!(turns.chain("right").unwrap().unwrap(), b"<root><right>");
    assert_eq!(turns.chain("other").unwrap(), None);
}

#[test]
fn a_chain_is_retained_as_long_as_its_newest_turn() {
    let mut turns = turns();
    retain(&mut turns, "root", None, 1_000);
    retain(&mut turns, "child", Some("root"), 50_000);
    assert_eq!(continue_from(&mut turns, "child", 109_000), BEGUN);
    assert_eq!(turns.chain("child").unwrap().unwrap(), b"<root><child>");
    assert_eq!(continue_from(&mut turns, "child", 300_000), Reply::NoSuchTurn);
}

#[test]
fn a_clock_that_jumps_back_expires_nothing() {
    let mut turns = turns();
    retain(&mut turns, "root", None, 1_000_000);
    assert_eq!(continue_from(&mut turns, "root", 990_000), BEGUN);
    assert_eq!(continue_from(&mut turns, "root", 1_059_000), BEGUN);
}

#[test]
fn an_import_restores_chains_and_budgets_on_another_disk() {
    let folder = tempfile::tempdir().unwrap();
    let mut first = turns();
    retain(&mut first, "root", None, 1);
    retain(&mut first, "child", Some("root"), 2);
    first.execute(begin("a", 600, 3)).unwrap();
    let files = Files::open(folder.path()).unwrap();
    let mut second = Turns::new(Box::new(files));
    util::transfer_state(&first, &mut second, 7);
    assert_eq!(second.chain("child").unwrap().unwrap(), b"<root><child>");
    assert_eq!(second.execute(begin("b", 600, 4)).unwrap(), Reply::Exhausted { remaining: 400 });
    let saved = second.save().unwrap();
    drop(second);
    let mut third = Turns::new(Box::new(Files::open(folder.path()).unwrap()));
    third.load(&saved).unwrap();
    assert_eq!(third.chain("child").unwrap().unwrap(), b"<root><child>");
}

#[test]
fn an_incomplete_import_leaves_the_local_state_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let open = || Turns::new(Box::new(Files::open(folder.path()).unwrap()));
    let mut other = turns();
    retain(&mut other, "other", None, 1);
    let mut local = open();
    retain(&mut local, "root", None, 1);
    let saved = local.save().unwrap();
    for _ in 0..2 {
        let export = other.export().unwrap();
        let mut import = local.importer().unwrap();
        import
            .receive(&export.read(0, usize::try_from(export.size() - 1).unwrap()).unwrap())
            .unwrap();
        assert!(import.finish().is_err(), "the last byte is missing");
    }
    assert_eq!(local.chain("root").unwrap().unwrap(), b"<root>");
    drop(local);
    let mut reopened = open();
    reopened.load(&saved).unwrap();
    assert_eq!(reopened.chain("root").unwrap().unwrap(), b"<root>");
    assert_eq!(reopened.chain("other").unwrap(), None);
}

#[test]
fn an_import_replaces_the_local_state_and_deletes_its_files() {
    let folder = tempfile::tempdir().unwrap();
    let open = || Turns::new(Box::new(Files::open(folder.path()).unwrap()));
    let mut local = open();
    retain(&mut local, "old", None, 1);
    let mut other = turns();
    retain(&mut other, "root", None, 1);
    util::transfer_state(&other, &mut local, 1_000);
    retain(&mut local, "child", Some("root"), 2);
    let saved = local.save().unwrap();
    local.prune().unwrap();
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 1);
    drop(local);
    let mut reopened = open();
    reopened.load(&saved).unwrap();
    assert_eq!(reopened.chain("child").unwrap().unwrap(), b"<root><child>");
    assert_eq!(reopened.chain("old").unwrap(), None);
}

#[test]
fn corrupt_content_is_not_imported() {
    let local = turns();
    let mut other = turns();
    retain(&mut other, "root", None, 1);
    let mut bytes = util::export_state(&other);
    *bytes.last_mut().unwrap() ^= 1;
    assert!(local.importer().unwrap().receive(&bytes).is_err());
    assert_eq!(local.chain("root").unwrap(), None);
}

#[test]
fn a_program_continues_on_the_server_of_its_last_turn() {
    let mut turns = turns();
    let end = |turn: &str, server: Option<&str>, now_ms| {
        Command::End(End {
            turn: turn.into(),
            program: Some("p".into()),
            server: server.map(str::to_owned),
            now_ms,
            ..End::default()
        })
    };
    let begun = |server: &str| Reply::Begun { server: Some(server.into()) };
    turns.execute(begin("a", 10, 1)).unwrap();
    turns.execute(end("a", Some("s1"), 2)).unwrap();
    assert_eq!(turns.execute(begin("b", 10, 3)).unwrap(), begun("s1"));
    turns.execute(end("b", None, 4)).unwrap();
    assert_eq!(
        turns.execute(begin("c", 10, 5)).unwrap(),
        begun("s1"),
        "turn b was not sent to a server"
    );
    turns.execute(end("c", Some("s2"), 6)).unwrap();
    turns.execute(end("a", Some("s3"), 7)).unwrap();
    assert_eq!(
        turns.execute(begin("d", 10, 8)).unwrap(),
        begun("s2"),
        "the repeated end of turn a is ignored"
    );
}
