//! Tests of turn chains and token budgets.

use crate::util;
use state::history::{Files, Memory};
use state::machine::{Class, StateMachine};
use state::turn::{
    Assign, Assignment, Begin, Command, End, Need, Origin, Part, Query, Range, Record, Reply,
    Reservation, Start, Turns, UNRETAINED,
};

const RETENTION_MS: u64 = 60_000;

const BEGUN: Reply = Reply::Begun { server: None, stream: None };

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
fn no_turn_begins_while_too_many_bytes_are_retained_but_those_under_way_end() {
    let mut turns = turns().with_max_retained_bytes(10);
    let has_room = |turns: &Turns, command: &Command| {
        turns.has_room(&state::machine::encode(command).unwrap())
    };
    assert!(has_room(&turns, &begin("a", 1, 1)));
    retain(&mut turns, "root", None, 1_000);
    retain(&mut turns, "child", Some("root"), 2_000);
    assert!(!has_room(&turns, &begin("b", 1, 3_000)));
    assert!(has_room(&turns, &end("a", 1, 3_000)));
    let unretained = Command::Begin(Begin { turn: "c".into(), now_ms: 3_000, ..Begin::default() });
    assert!(has_room(&turns, &unretained));
    let mut copy = self::turns().with_max_retained_bytes(10);
    util::transfer_state(&turns, &mut copy, 1_000);
    assert!(!has_room(&copy, &begin("b", 1, 3_000)), "the limit holds after a transfer");
    retain(&mut turns, "late", None, 200_000);
    assert!(has_room(&turns, &begin("b", 1, 200_000)), "expired turns leave room");
}

/// Routes that retain no turns name a retention, too, on which budgets depend.
#[test]
fn turns_that_keep_nothing_are_accepted_while_the_room_is_full() {
    let mut turns = turns().with_max_retained_bytes(10);
    retain(&mut turns, "root", None, 1_000);
    retain(&mut turns, "child", Some("root"), 2_000);
    let mut command = state::machine::encode(&begin("b", 600, 3_000)).unwrap();
    assert!(!turns.has_room(&command));
    command.extend_from_slice(UNRETAINED);
    assert!(turns.has_room(&command));
    assert_eq!(turns.class(&command), Some(Class::Begin));
    let reply = state::machine::decode::<Reply>(&turns.apply(&command).unwrap()).unwrap();
    assert_eq!(reply, BEGUN);
    assert_eq!(turns.execute(begin("c", 600, 4_000)).unwrap(), Reply::Exhausted { remaining: 400 });
}

#[test]
fn full_room_is_freed_by_time_alone() {
    let mut turns = turns().with_max_retained_bytes(10);
    retain(&mut turns, "root", None, 1_000);
    retain(&mut turns, "child", Some("root"), 2_000);
    let next = state::machine::encode(&begin("b", 1, 3_000)).unwrap();
    assert!(!turns.has_room(&next));
    assert_eq!(turns.time_ms(), Some(2_000));
    assert_eq!(turns.expiry(76_999), None, "the turns are retained for 60 s, and 15 s are added");
    let command = turns.expiry(77_000).unwrap();
    let mut copy = self::turns().with_max_retained_bytes(10);
    util::transfer_state(&turns, &mut copy, 1_000);
    for replica in [&mut turns, &mut copy] {
        replica.apply(&command).unwrap();
        assert!(replica.has_room(&next));
        assert_eq!(replica.time_ms(), Some(77_000));
        assert_eq!(replica.expiry(200_000), None, "nothing is left");
    }
    assert_eq!(turns.save().unwrap(), copy.save().unwrap(), "the replicas agree");
}

#[test]
fn budgets_and_origins_of_streams_expire_by_time_alone() {
    let mut turns = turns();
    turns.execute(begin_stream("a", None, &["v1"], 1_000)).unwrap();
    assert_eq!(turns.expiry(18_000), None);
    let command = turns.expiry(19_000).unwrap();
    turns.apply(&command).unwrap();
    assert_eq!(turns.expiry(180_000), None);
    let command = turns.expiry(181_000).unwrap();
    turns.apply(&command).unwrap();
    let empty = "programs 0, turns in progress 0, turns retained 0, origins of streams 0";
    assert_eq!(turns.dump(), empty);
}

#[test]
fn expiry_named_late_moves_no_time_back() {
    let mut turns = turns();
    retain(&mut turns, "root", None, 1_000);
    let command = turns.expiry(100_000).unwrap();
    retain(&mut turns, "other", None, 150_000);
    turns.apply(&command).unwrap();
    assert_eq!(turns.time_ms(), Some(150_000));
    assert_eq!(turns.chain("other").unwrap().unwrap(), b"<other>");
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
    let begun = |server: &str| Reply::Begun { server: Some(server.into()), stream: None };
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

fn origin(software_version: &str) -> Origin {
    Origin { service: "m".into(), software_version: software_version.into() }
}

/// Begins a stream of program `p`; `first` is the turn that began it.
fn begin_stream(turn: &str, first: Option<&str>, versions: &[&str], now_ms: u64) -> Command {
    let start = Start {
        first: first.map(str::to_owned),
        candidates: versions.iter().map(|version| origin(version)).collect(),
        kept_ms: 3_000,
    };
    let reservation = Reservation { program: "p".into(), budget: 1_000, tokens: 10 };
    Command::Begin(Begin {
        turn: turn.into(),
        reservation: Some(reservation),
        start: Some(start),
        now_ms,
        ..Begin::default()
    })
}

fn assign(turn: &str, version: &str, revision: u64, now_ms: u64) -> Command {
    let (turn, origin) = (turn.into(), origin(version));
    Command::Assign(Assign { turn, origin, revision, kept_ms: 3_000, now_ms })
}

/// Executes the begin of a stream and returns its recorded version.
fn version_of(turns: &mut Turns, command: Command) -> Option<String> {
    match turns.execute(command).unwrap() {
        Reply::Begun { stream, .. } => stream.map(|stream| stream.origin.software_version),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_stream_is_taken_up_at_the_version_that_began_it() {
    let mut turns = turns();
    let version = version_of(&mut turns, begin_stream("a", None, &["v2", "v1"], 1));
    assert_eq!(version.as_deref(), Some("v2"));
    for (turn, first) in [("b", "a"), ("c", "a"), ("d", "b")] {
        let version = version_of(&mut turns, begin_stream(turn, Some(first), &["v1"], 2));
        assert_eq!(version.as_deref(), Some("v2"), "{turn} takes up {first}");
    }
    let unknown = begin_stream("e", Some("x"), &["v1"], 3);
    assert_eq!(turns.execute(unknown).unwrap(), Reply::UnknownStream);
    let unexecuted = begin_stream("f", None, &[], 4);
    assert_eq!(version_of(&mut turns, unexecuted), None);
    let unknown = begin_stream("g", Some("f"), &["v1"], 5);
    assert_eq!(turns.execute(unknown).unwrap(), Reply::UnknownStream, "f has no origin yet");
}

#[test]
fn a_late_copy_of_a_change_of_origin_is_ignored() {
    let mut turns = turns();
    turns.execute(begin_stream("a", None, &["v1"], 1)).unwrap();
    let recorded =
        |version: &str, revision| Reply::Assigned(Assignment { origin: origin(version), revision });
    assert_eq!(turns.execute(assign("a", "v2", 0, 2)).unwrap(), recorded("v2", 1));
    assert_eq!(turns.execute(assign("a", "v2", 0, 3)).unwrap(), recorded("v2", 1), "a copy");
    assert_eq!(turns.execute(assign("a", "v1", 1, 4)).unwrap(), recorded("v1", 2));
    assert_eq!(turns.execute(assign("a", "v2", 0, 5)).unwrap(), recorded("v1", 2), "a late copy");
    let copy = begin_stream("a", None, &["v3"], 6);
    assert_eq!(version_of(&mut turns, copy).as_deref(), Some("v1"), "a late copy of the begin");
    let resumed = begin_stream("b", Some("a"), &[], 7);
    assert_eq!(version_of(&mut turns, resumed).as_deref(), Some("v1"));
}

#[test]
fn a_program_prefers_the_version_of_its_last_stream() {
    let mut turns = turns();
    turns.execute(begin_stream("a", None, &["v1"], 1)).unwrap();
    let (turn, server) = ("a".into(), Some("s1".into()));
    let end = End { turn, program: Some("p".into()), server, now_ms: 2, ..End::default() };
    turns.execute(Command::End(end)).unwrap();
    let version = version_of(&mut turns, begin_stream("b", None, &["v2", "v1"], 3));
    assert_eq!(version.as_deref(), Some("v1"));
    let version = version_of(&mut turns, begin_stream("c", None, &["v2"], 4));
    assert_eq!(version.as_deref(), Some("v2"), "no server has the version of the last stream");
}

#[test]
fn origins_of_streams_are_kept_as_long_as_they_may_be_taken_up() {
    let mut local = turns();
    local.execute(begin_stream("a", None, &["v1"], 1_000)).unwrap();
    let saved = local.save().unwrap();
    let mut reopened = turns();
    reopened.load(&saved).unwrap();
    let mut other = turns();
    util::transfer_state(&reopened, &mut other, 1_000);
    let version = version_of(&mut other, begin_stream("b", Some("a"), &[], 4_000));
    assert_eq!(version.as_deref(), Some("v1"));
    // 15 s are added for clocks that differ, and removal takes place each 5 s.
    let late = begin_stream("c", Some("a"), &[], 24_100);
    assert_eq!(other.execute(late).unwrap(), Reply::UnknownStream);
}

/// First turn of a program without a budget.
fn opening(turn: &str, now_ms: u64) -> Command {
    let (turn, retention_ms) = (turn.into(), RETENTION_MS);
    Command::Begin(Begin { turn, retention_ms, now_ms, ..Begin::default() })
}

/// Encodes a begin that names what it needs.
fn needing(command: &Command, bytes: u64) -> Vec<u8> {
    let need = Need::Retained(bytes).encode().unwrap();
    [state::machine::encode(command).unwrap(), need].concat()
}

/// Applies a whole turn of its own program, whose input has `bytes` bytes.
fn retain_input(turns: &mut Turns, id: &str, bytes: usize, now_ms: u64) {
    turns.apply(&needing(&opening(id, now_ms), bytes as u64)).unwrap();
    let record = Record { previous: None, content: vec![7; bytes], retention_ms: 60_000 };
    let end = End { turn: id.into(), record: Some(record), now_ms, ..End::default() };
    turns.apply(&state::machine::encode(&Command::End(end)).unwrap()).unwrap();
}

// Callers with large inputs filled the room, and ordinary turns were refused for a minute.
#[test]
fn large_turns_leave_no_room_to_ordinary_ones() {
    let mut turns = turns().with_max_retained_bytes(192_000_000);
    let mut number = 0;
    let mut now_ms = 1_000;
    while turns.has_room(&needing(&opening("large", now_ms), 4_000_000)) {
        number += 1;
        now_ms += 100;
        retain_input(&mut turns, &format!("large-{number}"), 4_000_000, now_ms);
    }
    assert!(number >= 20, "large turns are served while there is room: {number}");
    for ordinary in 0..1_000 {
        now_ms += 10;
        let id = format!("ordinary-{ordinary}");
        assert!(turns.has_room(&needing(&opening(&id, now_ms), 17_000)), "turn {ordinary}");
        retain_input(&mut turns, &id, 17_000, now_ms);
    }
    let refused = needing(&opening("large", now_ms), 4_000_000);
    let reply = state::machine::decode(&turns.refusal(&refused).unwrap()).unwrap();
    let Reply::NoRoom { retry_ms } = reply else { panic!("{reply:?}") };
    assert!((1_000..=76_000).contains(&retry_ms), "{retry_ms}");
    turns.apply(&needing(&opening("later", now_ms + retry_ms + 5_000), 1)).unwrap();
    assert!(turns.has_room(&refused), "there is room when a refused turn comes back");
}

// Turns that begin together were each told that there is room for all of them.
#[test]
fn turns_that_begin_together_share_the_room() {
    let mut turns = turns().with_max_retained_bytes(192_000_000);
    let mut begun = 0;
    while turns.has_room(&needing(&opening("next", 1_000), 4_000_000)) {
        begun += 1;
        turns.apply(&needing(&opening(&format!("t{begun}"), 1_000), 4_000_000)).unwrap();
        assert!(begun * 4_000_000 < 192_000_000, "more than the room was given out");
    }
    let end = End { turn: "t1".into(), now_ms: 1_000, ..End::default() };
    turns.apply(&state::machine::encode(&Command::End(end)).unwrap()).unwrap();
    assert!(turns.has_room(&needing(&opening("next", 1_000), 4_000_000)), "one was given up");
}

// Programs under way were refused as often as new ones while the room was full, so that most of
// them failed in their last turns.
#[test]
fn new_programs_leave_room_to_those_under_way() {
    let mut turns = turns().with_max_retained_bytes(10_000_000);
    retain_input(&mut turns, "first", 17_000, 1_000);
    let mut number = 0;
    while turns.has_room(&needing(&opening("new", 1_000), 17_000)) {
        number += 1;
        retain_input(&mut turns, &format!("t{number}"), 17_000, 1_000);
    }
    let (turn, previous) = ("next".into(), Some("first".into()));
    let next = Begin { turn, previous, retention_ms: 60_000, now_ms: 1_000, ..Begin::default() };
    for later in 0..50 {
        assert!(turns.has_room(&needing(&Command::Begin(next.clone()), 17_000)), "turn {later}");
        retain_input(&mut turns, &format!("later-{later}"), 17_000, 1_000);
    }
}

// The content of a line was read and copied in one piece for each turn that continued from it.
#[test]
fn content_of_a_line_is_read_in_parts() {
    let folder = tempfile::tempdir().unwrap();
    let files = state::history::Files::open(folder.path()).unwrap();
    let mut turns = Turns::new(Box::new(files));
    let mut whole = Vec::new();
    let mut previous = None;
    for (number, length) in [300_000, 0, 17, 200_000].into_iter().enumerate() {
        let content: Vec<u8> = (0..length).map(|byte| (byte * 7 + number) as u8).collect();
        whole.extend_from_slice(&content);
        let record = Record { previous: previous.clone(), content, retention_ms: 60_000 };
        let turn = format!("t{number}");
        previous = Some(turn.clone());
        turns
            .execute(Command::End(End {
                turn,
                record: Some(record),
                now_ms: 1_000,
                ..End::default()
            }))
            .unwrap();
    }
    let query = Query::Chain("t3".into());
    let (mut read, mut parts) = (Vec::new(), 0);
    while read.len() < whole.len() {
        let range = Range { offset: read.len() as u64, len: 65_536 };
        let query = query.encode_range(range).unwrap();
        assert!(turns.answer_bytes(&query) <= 65_536);
        let part = Part::decode(&turns.query(&query).unwrap(), range.offset).unwrap().unwrap();
        assert_eq!(part.total, whole.len() as u64);
        assert!(part.content.len() <= 65_536 && !part.content.is_empty());
        read.extend_from_slice(&part.content);
        parts += 1;
    }
    assert!(read == whole && parts == 8, "{parts} parts");
    // An earlier build answers with all of it, whatever the range.
    let earlier = turns.query(&state::machine::encode(&query).unwrap()).unwrap();
    let part = Part::decode(&earlier, 300_000).unwrap().unwrap();
    assert!(part.content == whole[300_000..] && part.total == whole.len() as u64);
    let unknown = Query::Chain("x".into()).encode_range(Range { offset: 0, len: 9 }).unwrap();
    assert_eq!(Part::decode(&turns.query(&unknown).unwrap(), 0).unwrap(), None);
}

#[test]
fn programs_under_way_and_ends_are_told_from_new_work() {
    let mut turns = turns();
    let class = |turns: &Turns, command: &Command| {
        turns.class(&state::machine::encode(command).unwrap()).unwrap()
    };
    assert_eq!(class(&turns, &begin("a", 1, 1)), Class::Begin);
    turns.execute(begin("a", 1, 1)).unwrap();
    assert_eq!(class(&turns, &begin("b", 1, 2)), Class::Continue, "of a known program");
    let previous = Some("a".into());
    let later = Command::Begin(Begin { turn: "c".into(), previous, ..Begin::default() });
    assert_eq!(class(&turns, &later), Class::Continue, "of a later turn");
    assert_eq!(class(&turns, &end("a", 1, 3)), Class::End);
}
