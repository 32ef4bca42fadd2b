//! Encoded examples of what an instance sends and stores on the platform.
//!
//! Instances of two builds run side by side during an upgrade, and a build reads what another one
//! has stored. So each example must encode to, and decode from, the same bytes in all builds.

use bytes::Bytes;
use coordination::authority::Confirmation;
use coordination::consensus::{Entry, HardState, Members, Message, Meta, Payload, Peer};
use coordination::content::{self, Content};
use coordination::membership::Candidate;
use coordination::pace::Step;
use coordination::placement::Listing;
use coordination::quarantine;
use coordination::usage;
use coordination::versions::Settled;
use protocol::presence::{self, Heartbeat, RateLimit, Relay, Replica, Role, Roster, Update};
use protocol::transfer;
use protocol::wire::{Envelope, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use state::history::{Memory, Store};
use state::id::Digest;
use state::journal;
use state::machine::{self, StateMachine};
use state::registry::{self, Document, Registry, Voter};
use state::turn::{self, Assignment, Begin, End, Origin, Record, Reservation, Start, Turns};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

/// Returns the bytes of the example `name` in `encodings.txt`.
fn example(name: &str) -> Vec<u8> {
    let lines = include_str!("encodings.txt").lines();
    let line = lines.filter_map(|line| line.split_once(' ')).find(|(found, _)| *found == name);
    let (_, digits) = line.unwrap_or_else(|| panic!("no example {name}"));
    let pairs = digits.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// Checks that `value` encodes to the example `name`, and that the example decodes to it.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    assert_eq!(hex(&machine::encode(value).unwrap()), hex(&example(name)), "{name}");
    assert_eq!(&machine::decode::<T>(&example(name)).unwrap(), value, "{name}");
}

/// Checks that the example `name` of an earlier build decodes to `value`, and that this build appends
/// to it what that build doesn't read.
fn check_without_tail<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    assert_eq!(&machine::decode::<T>(&example(name)).unwrap(), value, "{name}");
    let encoded = machine::encode(value).unwrap();
    assert_eq!(hex(&encoded[..example(name).len()]), hex(&example(name)), "{name}");
    let extended = [example(name).as_slice(), b"any"].concat();
    assert!(machine::decode::<T>(&extended).is_ok(), "{name} with a tail");
}

fn usage_report() -> usage::Report {
    let used = usage::Use {
        organisation: 0xbeef_0000_0001,
        target: 312,
        admitted: 1_000,
        begun: 200,
        recent: 30,
        asked_new: 2,
        asked_more: 9,
    };
    usage::Report { incarnation: 77, uses: vec![used] }
}

fn usage_sums() -> usage::Sums {
    let sum = usage::Sum {
        organisation: 0xbeef_0000_0001,
        used: 300,
        leaving: 60,
        asked_new: 20,
        asked_more: 90,
        length: 96,
    };
    usage::Sums { covered_ms: 5_000, entries: 77, controls: 5, near: vec![sum] }
}

fn members() -> Members {
    let voters = BTreeMap::from([(1, "a:1".to_owned()), (2, "b:1".to_owned())]);
    Members { voters, learners: BTreeMap::from([(3, "c:1".to_owned())]) }
}

fn listing() -> Listing {
    Listing {
        id: "s1".into(),
        service: "model".into(),
        address: "10.0.0.1:80".into(),
        failure_domain: "a".into(),
        slots: 32,
        is_draining: true,
        software_version: "v1.1".into(),
    }
}

fn registry() -> Registry {
    Registry {
        revision: 3,
        document: Some(Document { version: 7, content: b"{}".to_vec() }),
        initial_members: BTreeMap::from([(1, vec![Voter { id: 5, address: "a:1".into() }])]),
        retiring: BTreeMap::from([("store-1".to_owned(), 2)]),
    }
}

fn rate_limit() -> RateLimit {
    RateLimit { server: "s1".into(), per_second: Some(2.5), age_ms: 40 }
}

fn quarantine() -> quarantine::Report {
    let request = content::Request {
        method: "POST",
        host: "a.example",
        path: "/t/x",
        body: b"body",
        caller: Some("p1"),
    };
    let content = Content::of(&request);
    let crash = quarantine::Crash { content, digest: 300, is_before_output: true, age_ms: 40 };
    let quarantined = quarantine::Quarantined { content, remaining_ms: 599_000 };
    quarantine::Report { crashes: vec![crash], quarantined: vec![quarantined] }
}

#[test]
fn consensus_message_of_another_build_is_not_understood() {
    let entries = vec![
        Entry { term: 2, index: 8, payload: Payload::Empty },
        Entry { term: 2, index: 9, payload: Payload::Data(b"command".to_vec().into()) },
        Entry { term: 2, index: 10, payload: Payload::Members(members()) },
    ];
    let messages = [
        Message::Vote {
            term: 3,
            is_pre_vote: true,
            is_transfer: false,
            last_index: 9,
            last_term: 2,
        },
        Message::VoteReply { term: 3, is_pre_vote: false, is_granted: true },
        Message::Append { term: 2, prev_index: 7, prev_term: 1, entries, commit: 6, round: 300 },
        Message::AppendReply { term: 2, is_ok: true, index: 10, round: 300 },
        Message::Chunk {
            term: 2,
            meta: Meta { index: 9, term: 2, members: members() },
            number: 4,
            offset: 5,
            total: 6,
            digest: [9; 32],
            data: b"chunk".to_vec(),
        },
        Message::ChunkReply { term: 2, number: 4, offset: 10 },
        Message::Transfer { term: 2 },
    ];
    for (number, message) in messages.into_iter().enumerate() {
        let envelope = Envelope { group: 1, from: 1, to: 2, message };
        check(&format!("consensus-{number}"), &Request::Consensus(vec![envelope]));
    }
}

#[test]
fn request_of_another_build_is_not_understood() {
    let (command, query) = (Bytes::from_static(b"command"), b"query".to_vec());
    let heartbeat = Heartbeat {
        name: "front-1".into(),
        address: "10.0.0.1:7000".into(),
        failure_domain: "a".into(),
        role: Role::Entry,
        callers: Some("10.0.0.1:7001".into()),
        relay: Some("10.0.0.1:7015".into()),
        is_ready: true,
        is_partitioned: false,
        replica: Some(Replica {
            id: 5,
            is_leader: true,
            term: 2,
            members: vec!["a:1".into()],
            revision: 3,
        }),
        revision: 4,
        wants_relay: true,
        list_digest: 77,
        roster_digest: 78,
        in_flight: vec![("s1".into(), 12)],
        rate_limits: vec![rate_limit()],
        build: presence::Build::default(),
        quarantine: quarantine::Report::default(),
        fetches_registry: false,
        usage: None,
        paces: Vec::new(),
        suspicions: Vec::new(),
    };
    let build = presence::Build { version: (0, 2, 0), format: 1 };
    let announced = Heartbeat { build, ..heartbeat.clone() };
    let reported = Heartbeat { quarantine: quarantine(), ..announced.clone() };
    let fetching = Heartbeat { fetches_registry: true, ..reported.clone() };
    let used = Heartbeat { usage: Some(usage_report()), ..fetching.clone() };
    let paced = Heartbeat { paces: vec![("s1".into(), Step(42))], ..used.clone() };
    let suspicions = quarantine().crashes;
    let suspecting = Heartbeat { suspicions, ..paced.clone() };
    check("request-heartbeat-suspicions", &Request::Heartbeat(Box::new(suspecting)));
    check_without_tail("request-heartbeat-paces", &Request::Heartbeat(Box::new(paced)));
    check_without_tail("request-heartbeat-usage", &Request::Heartbeat(Box::new(used)));
    check_without_tail("request-heartbeat-fetches", &Request::Heartbeat(Box::new(fetching)));
    check_without_tail("request-heartbeat-quarantine", &Request::Heartbeat(Box::new(reported)));
    check_without_tail("request-heartbeat-build", &Request::Heartbeat(Box::new(announced)));
    check_without_tail("request-heartbeat", &Request::Heartbeat(Box::new(heartbeat)));
    let requests = [
        ("submit", Request::Submit { group: 1, command: command.clone() }),
        ("query", Request::Query { group: 1, query: query.clone() }),
        ("submit-then-query", Request::SubmitThenQuery { group: 1, command, query }),
        ("probe", Request::Probe),
        ("dump", Request::Dump { section: Some("journals".into()) }),
        ("join", Request::Join { group: 1, instance: "store-1".into(), id: 5 }),
        ("part", Request::RegistryPart(transfer::Request { revision: 3, offset: 300 })),
    ];
    for (name, request) in requests {
        check(&format!("request-{name}"), &request);
    }
}

#[test]
fn response_of_another_build_is_not_understood() {
    let reply = presence::Reply {
        registry: Some(registry()),
        control: vec!["10.0.0.4:7000".into()],
        programs: vec!["10.0.0.5:7000".into()],
        has_leader: true,
        candidates: vec![Candidate {
            id: 5,
            address: "a:1".into(),
            failure_domain: "a".into(),
            is_leaving: true,
        }],
        revision: 3,
        list: Some(Relay { digest: 77, age_ms: 300, servers: Some(Update::Full(vec![listing()])) }),
        in_flight: vec![4],
        rate_limits: vec![rate_limit()],
        versions: Vec::new(),
        quarantine: quarantine::Report::default(),
        serves_parts: false,
        compares_roster: false,
        confirmation: None,
        usage: None,
        paces: Vec::new(),
        suspicions: Vec::new(),
        roster: Some(Roster {
            digest: 78,
            entries: vec![presence::Entry {
                failure_domain: "a".into(),
                address: "10.0.0.1:7001".into(),
                relay: Some("10.0.0.1:7015".into()),
                is_partitioned: false,
            }],
        }),
    };
    let delta = Update::Delta { base: 76, removed: vec!["s0".into()], upserted: vec![listing()] };
    let relay = Relay { digest: 77, age_ms: 300, servers: Some(delta) };
    let difference = presence::Reply { list: Some(relay), ..presence::Reply::default() };
    let peer = Peer { instance: "store-1".into(), is_fresh: true };
    let part = transfer::Part {
        revision: 3,
        size: 9,
        digest: Digest::of(b"package"),
        offset: 2,
        content: b"content".to_vec(),
    };
    let responses = [
        ("done", Response::Done),
        ("data", Response::Data(Bytes::from_static(b"reply"))),
        (
            "submit-then-query",
            Response::SubmitThenQuery(Bytes::from_static(b"reply"), Bytes::from_static(b"view")),
        ),
        ("not-leader", Response::NotLeader(Some("a:1".into()))),
        ("unknown", Response::Unknown),
        ("text", Response::Text("{}".into())),
        ("peer", Response::Peer { peer, has_identity: true }),
        ("part", Response::RegistryPart(part)),
    ];
    for (name, response) in responses {
        check(&format!("response-{name}"), &response);
    }
    let versions = vec![Settled {
        service: "model".into(),
        versions: vec!["v1".into(), "v1.1".into()],
        age_ms: 9_000,
    }];
    let extended = presence::Reply { versions, ..reply.clone() };
    let relayed = presence::Reply { quarantine: quarantine(), ..extended.clone() };
    let serving = presence::Reply { serves_parts: true, ..relayed.clone() };
    let comparing = presence::Reply { compares_roster: true, ..serving.clone() };
    let confirmation = Some(Confirmation { revision: 3, age_ms: 300 });
    let confirming = presence::Reply { confirmation, ..comparing.clone() };
    let used = presence::Reply { usage: Some(usage_sums()), ..confirming.clone() };
    let paced = presence::Reply { paces: vec![Step(42)], ..used.clone() };
    let suspicions = quarantine().crashes;
    let suspecting = presence::Reply { suspicions, ..paced.clone() };
    check("response-heartbeat-suspicions", &Response::HeartbeatReply(Box::new(suspecting)));
    check_without_tail("response-heartbeat-paces", &Response::HeartbeatReply(Box::new(paced)));
    check_without_tail("response-heartbeat-usage", &Response::HeartbeatReply(Box::new(used)));
    let confirming = Response::HeartbeatReply(Box::new(confirming));
    check_without_tail("response-heartbeat-confirmation", &confirming);
    check_without_tail(
        "response-heartbeat-compares-roster",
        &Response::HeartbeatReply(Box::new(comparing)),
    );
    check_without_tail(
        "response-heartbeat-serves-parts",
        &Response::HeartbeatReply(Box::new(serving)),
    );
    check_without_tail(
        "response-heartbeat-quarantine",
        &Response::HeartbeatReply(Box::new(relayed)),
    );
    check_without_tail(
        "response-heartbeat-versions",
        &Response::HeartbeatReply(Box::new(extended)),
    );
    check_without_tail("response-heartbeat", &Response::HeartbeatReply(Box::new(reply)));
    check_without_tail("response-heartbeat-delta", &Response::HeartbeatReply(Box::new(difference)));
}

fn begin() -> Begin {
    Begin {
        turn: "t2".into(),
        reservation: Some(Reservation { program: "p1".into(), budget: 1_000, tokens: 300 }),
        previous: Some("t1".into()),
        retention_ms: 60_000,
        start: Some(Start {
            first: Some("t0".into()),
            candidates: vec![Origin { service: "model".into(), software_version: "v1".into() }],
            kept_ms: 4_000,
        }),
        now_ms: 1_000_000,
    }
}

#[test]
fn turn_command_of_another_build_is_not_understood() {
    let origin = Origin { service: "model".into(), software_version: "v1.1".into() };
    let record =
        Record { previous: Some("t1".into()), content: b"content".to_vec(), retention_ms: 60_000 };
    let end = End {
        turn: "t2".into(),
        program: Some("p1".into()),
        tokens: 50,
        server: Some("s1".into()),
        record: Some(record),
        now_ms: 1_000_100,
    };
    let assign = turn::Assign {
        turn: "t2".into(),
        origin: origin.clone(),
        revision: 1,
        kept_ms: 4_000,
        now_ms: 1_000_050,
    };
    check("turn-begin", &turn::Command::Begin(begin()));
    let unretained = [example("turn-begin").as_slice(), turn::UNRETAINED].concat();
    assert_eq!(hex(&unretained), hex(&example("turn-begin-unretained")));
    let decoded = machine::decode::<turn::Command>(&unretained).unwrap();
    assert_eq!(decoded, turn::Command::Begin(begin()));
    let need = turn::Need::Retained(17_000).encode().unwrap();
    let retained = [example("turn-begin").as_slice(), &need].concat();
    assert_eq!(hex(&retained), hex(&example("turn-begin-retained")));
    assert_eq!(machine::decode::<turn::Command>(&retained).unwrap(), turn::Command::Begin(begin()));
    let without_content = End {
        record: end.record.clone().map(|record| Record { content: Vec::new(), ..record }),
        ..end.clone()
    };
    let joined = without_content.encode_with(&[b"con", b"", b"tent"]).unwrap();
    assert_eq!(hex(&joined), hex(&example("turn-end")));
    check("turn-end", &turn::Command::End(end));
    check("turn-assign", &turn::Command::Assign(assign));
    let expiry = turn::Command::End(End { now_ms: 1_100_000, ..End::default() });
    check("turn-expiry", &expiry);
    let query = turn::Query::Chain("t2".into());
    check("turn-query", &query);
    let range = turn::Range { offset: 300, len: 262_144 };
    let ranged = query.encode_range(range).unwrap();
    assert_eq!(hex(&ranged), hex(&example("turn-query-range")));
    assert_eq!(machine::decode::<turn::Query>(&ranged).unwrap(), query);
    let assignment = Assignment { origin, revision: 2 };
    let replies = [
        turn::Reply::Done,
        turn::Reply::Begun { server: Some("s1".into()), stream: Some(assignment.clone()) },
        turn::Reply::Assigned(assignment),
        turn::Reply::UnknownStream,
        turn::Reply::Exhausted { remaining: 7 },
        turn::Reply::NoSuchTurn,
        turn::Reply::Ended,
        turn::Reply::NoRoom { retry_ms: 5_000 },
    ];
    for (number, reply) in replies.into_iter().enumerate() {
        check(&format!("turn-reply-{number}"), &reply);
    }
}

#[test]
fn registry_of_another_build_is_not_understood() {
    let document = Document { version: 7, content: b"{}".to_vec() };
    let initial_members = vec![Voter { id: 5, address: "a:1".into() }];
    check("registry-put", &registry::Command::Put(document));
    check("registry-bootstrap", &registry::Command::Bootstrap { group: 1, initial_members });
    check("registry-retire", &registry::Command::Retire { instance: "store-1".into() });
    check("registry-superseded", &registry::Reply::Superseded { version: 7 });
    check("registry-query", &registry::Query::All);
    check("registry", &registry());
}

#[test]
fn journal_record_of_another_build_is_not_understood() {
    let hard_state = machine::encode(&HardState { term: 2, vote: Some(1) }).unwrap();
    let entry = Entry { term: 2, index: 9, payload: Payload::Data(b"command".to_vec().into()) };
    let meta = machine::encode(&Meta { index: 9, term: 2, members: members() }).unwrap();
    check("journal-meta", &journal::Record::Meta(hard_state));
    let body = machine::encode(&entry).unwrap();
    check("journal-entry", &journal::Record::Entry { index: 9, body });
    check("journal-truncate", &journal::Record::Truncate(9));
    let state = b"state".to_vec();
    check("journal-snapshot", &journal::Record::Snapshot { index: 9, meta, state });
}

#[test]
fn snapshot_of_turns_of_another_build_is_not_understood() {
    let mut turns = Turns::new(Box::new(Memory::default()));
    let first = Begin { turn: "t1".into(), previous: None, start: None, ..begin() };
    let stream = Start { first: None, ..begin().start.unwrap() };
    let stream = Begin { turn: "t0".into(), previous: None, start: Some(stream), ..begin() };
    let record = Record { previous: None, content: b"content".to_vec(), retention_ms: 60_000 };
    let end = End { turn: "t1".into(), record: Some(record), ..End::default() };
    for command in [
        turn::Command::Begin(Begin { reservation: None, ..first }),
        turn::Command::End(end),
        turn::Command::Begin(stream),
    ] {
        turns.execute(command).unwrap();
    }
    assert_eq!(hex(&turns.save().unwrap()), hex(&example("turns")));
    let mut history = Memory::default();
    history.append(b"content").unwrap();
    let mut restored = Turns::new(Box::new(history));
    restored.load(&example("turns")).unwrap();
    assert_eq!(hex(&restored.save().unwrap()), hex(&example("turns")));
    assert_eq!(restored.dump(), turns.dump());
}

/// The command by which a leader moves the time on is the one of the example, which builds that know
/// of no such command decode as the end of a turn that nobody began.
#[test]
fn command_that_moves_the_time_on_is_not_understood_by_another_build() {
    let mut turns = Turns::new(Box::new(Memory::default()));
    turns.load(&example("turns")).unwrap();
    assert_eq!(hex(&turns.expiry(1_100_000).unwrap()), hex(&example("turn-expiry")));
    turns.apply(&example("turn-expiry")).unwrap();
    assert_eq!(turns.expiry(1_100_000), None);
}
