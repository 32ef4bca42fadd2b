//! Tests of programs: call order, budgets, sub-agents, takeover and outcomes.

use crate::util;
use state::budget::Amount;
use state::error::Kind;
use state::history::{Files, Memory};
use state::id::{Attempt, Call, Digest, Holder, Program};
use state::machine::StateMachine;
use state::program::{
    Begin, Close, Command, End, Open, Outcome, Query, Reply, Shard, Takeover, View,
};

const LIMIT: Amount = Amount { tokens: 1_000, calls: 10, cost: 100 };

fn shard() -> Shard {
    Shard::new(Box::new(Memory::default()))
}

fn program(name: &str) -> Program {
    Program::new("dep", name)
}

fn holder(instance: &str) -> Holder {
    Holder { instance: instance.into(), epoch: 1 }
}

fn open(shard: &mut Shard, name: &str, limit: Amount) -> Reply {
    let open = Open {
        program: program(name),
        limit,
        cap: Amount { tokens: u64::MAX, calls: u64::MAX, cost: u64::MAX },
        deadline_ms: 1_000,
        labels: Vec::new(),
        now_ms: 1,
    };
    shard.execute(Command::Open(open)).unwrap()
}

fn attempt(name: &str, seq: u64, number: u32) -> Attempt {
    Attempt { call: Call { program: program(name), seq }, number }
}

fn begin(name: &str, seq: u64, number: u32) -> Begin {
    Begin {
        attempt: attempt(name, seq, number),
        opened_ms: 1,
        digest: Digest::of(b"content"),
        holder: holder("a"),
        service: "model".into(),
        server: "m1".into(),
        is_idempotent: true,
        holds_memory: true,
        reservation: Amount { tokens: 400, calls: 1, cost: 0 },
        cap: LIMIT,
        revision: 1,
        messages: format!("question {seq}").into_bytes(),
        takeover: None,
        now_ms: 2,
    }
}

fn end(name: &str, seq: u64, number: u32, tokens: u64) -> Command {
    Command::End(End {
        attempt: attempt(name, seq, number),
        holder: holder("a"),
        outcome: Outcome::Answered,
        spent: Amount { tokens, calls: 1, cost: 0 },
        answer: format!("answer {seq}").into_bytes(),
        now_ms: 3,
    })
}

fn close(shard: &mut Shard, name: &str, force: bool) -> Reply {
    shard.execute(Command::Close(Close { program: program(name), force, now_ms: 4 })).unwrap()
}

fn kind(reply: &Reply) -> Option<Kind> {
    match reply {
        Reply::Refused(refusal) => Some(refusal.kind),
        Reply::Settled { outcome: Outcome::NotExecuted(kind), .. } => Some(*kind),
        _ => None,
    }
}

fn shard_with_program() -> Shard {
    let mut shard = shard();
    assert_eq!(open(&mut shard, "p", LIMIT), Reply::Done);
    shard
}

#[test]
fn a_call_that_is_not_the_next_one_is_refused() {
    let mut shard = shard_with_program();
    let reply = shard.execute(Command::Begin(begin("p", 2, 1))).unwrap();
    assert_eq!(kind(&reply), Some(Kind::OutOfOrder));
    assert_eq!(shard.execute(Command::Begin(begin("p", 1, 1))).unwrap(), Reply::Begun);
    let reply = shard.execute(Command::Begin(begin("p", 2, 1))).unwrap();
    assert_eq!(kind(&reply), Some(Kind::OutOfOrder));
}

#[test]
fn a_settled_call_always_returns_its_recorded_answer() {
    let mut shard = shard_with_program();
    shard.execute(Command::Begin(begin("p", 1, 1))).unwrap();
    let first = shard.execute(end("p", 1, 1, 10)).unwrap();
    assert_eq!(shard.execute(end("p", 1, 1, 10)).unwrap(), first);
    assert_eq!(shard.execute(Command::Begin(begin("p", 1, 1))).unwrap(), first);
    let other = Begin { digest: Digest::of(b"other"), ..begin("p", 1, 1) };
    assert_eq!(kind(&shard.execute(Command::Begin(other)).unwrap()), Some(Kind::Conflict));
}

#[test]
fn a_reservation_is_settled_with_the_amount_spent() {
    let mut shard = shard_with_program();
    shard.execute(Command::Begin(begin("p", 1, 1))).unwrap();
    assert_eq!(shard.program(&program("p")).unwrap().budget.reserved.tokens, 400);
    shard.execute(end("p", 1, 1, 10)).unwrap();
    let budget = shard.program(&program("p")).unwrap().budget;
    assert_eq!((budget.reserved.tokens, budget.spent.tokens), (0, 10));
}

#[test]
fn a_lost_attempt_is_charged_its_full_reservation() {
    let mut shard = shard_with_program();
    shard.execute(Command::Begin(begin("p", 1, 1))).unwrap();
    let again = Begin { takeover: Some(Takeover::SameHolder), ..begin("p", 1, 2) };
    assert_eq!(shard.execute(Command::Begin(again)).unwrap(), Reply::Begun);
    let budget = shard.program(&program("p")).unwrap().budget;
    assert_eq!((budget.reserved.tokens, budget.spent.tokens), (400, 400));
    let third = Begin { takeover: Some(Takeover::SameHolder), ..begin("p", 1, 3) };
    let reply = shard.execute(Command::Begin(third)).unwrap();
    let unknown = Outcome::Unknown(Kind::BudgetExhausted);
    assert!(matches!(reply, Reply::Settled { outcome, .. } if outcome == unknown), "{reply:?}");
    assert!(shard.program(&program("p")).unwrap().budget.spent.tokens <= 1_000);
}

#[test]
fn a_lowered_cap_applies_to_the_next_begin() {
    let mut shard = shard_with_program();
    let lower = Amount { tokens: 300, ..LIMIT };
    let reply = shard.execute(Command::Begin(Begin { cap: lower, ..begin("p", 1, 1) })).unwrap();
    assert_eq!(kind(&reply), Some(Kind::BudgetExhausted));
}

#[test]
fn another_entry_needs_evidence_to_take_over() {
    let mut shard = shard_with_program();
    shard.execute(Command::Begin(begin("p", 1, 1))).unwrap();
    let other = Begin { holder: holder("b"), ..begin("p", 1, 2) };
    assert!(matches!(shard.execute(Command::Begin(other.clone())).unwrap(), Reply::Busy { .. }));
    let wrong = Takeover::Expired(Holder { epoch: 9, ..holder("a") });
    let wrong = Begin { takeover: Some(wrong), ..other.clone() };
    assert!(matches!(shard.execute(Command::Begin(wrong)).unwrap(), Reply::Busy { .. }));
    let right = Begin { takeover: Some(Takeover::Expired(holder("a"))), ..other };
    assert_eq!(shard.execute(Command::Begin(right)).unwrap(), Reply::Begun);
    // The first holder's answer arrives after the takeover.
    let late = shard.execute(end("p", 1, 1, 10)).unwrap();
    assert_eq!(kind(&late), Some(Kind::Conflict));
}

#[test]
fn a_call_that_is_not_idempotent_is_begun_once() {
    let mut shard = shard_with_program();
    let once = Begin { is_idempotent: false, ..begin("p", 1, 1) };
    assert_eq!(shard.execute(Command::Begin(once.clone())).unwrap(), Reply::Begun);
    for takeover in [Takeover::SameHolder, Takeover::Expired(holder("a"))] {
        let attempt = attempt("p", 1, 2);
        let again = Begin { attempt, takeover: Some(takeover), ..once.clone() };
        assert!(matches!(shard.execute(Command::Begin(again)).unwrap(), Reply::Busy { .. }));
    }
    let settle = Command::SettleUnknown { attempt: attempt("p", 1, 1), holder: holder("a") };
    let unknown = shard.execute(settle).unwrap();
    assert!(matches!(unknown, Reply::Settled { outcome: Outcome::Unknown(_), .. }));
    assert_eq!(shard.execute(Command::Begin(once)).unwrap(), unknown);
}

#[test]
fn an_abandoned_call_that_is_not_idempotent_is_settled_as_not_executed() {
    let mut shard = shard_with_program();
    let once = Begin { is_idempotent: false, ..begin("p", 1, 1) };
    shard.execute(Command::Begin(once.clone())).unwrap();
    let abandon = Command::Abandon { attempt: attempt("p", 1, 1), holder: holder("a") };
    let reply = shard.execute(abandon.clone()).unwrap();
    assert_eq!(kind(&reply), Some(Kind::Rejected));
    assert_eq!(shard.execute(abandon).unwrap(), reply);
    assert_eq!(shard.execute(Command::Begin(once)).unwrap(), reply);
}

#[test]
fn a_call_in_progress_is_never_settled_as_not_executed() {
    let mut shard = shard_with_program();
    shard.execute(Command::Begin(begin("p", 1, 1))).unwrap();
    let call = Call { program: program("p"), seq: 1 };
    let digest = Digest::of(b"content");
    let refuse = Command::Refuse { call, digest, kind: Kind::Overloaded };
    assert!(matches!(shard.execute(refuse).unwrap(), Reply::Busy { .. }));
}

#[test]
fn sub_agents_draw_on_their_parents_budget() {
    let mut shard = shard_with_program();
    let half = Amount { tokens: 600, calls: 5, cost: 0 };
    assert_eq!(open(&mut shard, "p.c", half), Reply::Done);
    assert_eq!(kind(&open(&mut shard, "p.d", half)), Some(Kind::BudgetExhausted));
    shard.execute(Command::Begin(begin("p.c", 1, 1))).unwrap();
    shard.execute(end("p.c", 1, 1, 250)).unwrap();
    assert_eq!(close(&mut shard, "p.c", false), Reply::Done);
    let budget = shard.program(&program("p")).unwrap().budget;
    assert_eq!((budget.reserved.tokens, budget.spent.tokens), (0, 250));
}

#[test]
fn a_program_ends_with_its_sub_agents_and_reports_held_memory() {
    let mut shard = shard_with_program();
    open(&mut shard, "p.c", Amount { tokens: 500, calls: 1, cost: 0 });
    shard.execute(Command::Begin(begin("p.c", 1, 1))).unwrap();
    assert_eq!(kind(&close(&mut shard, "p", false)), Some(Kind::Busy));
    assert_eq!(close(&mut shard, "p", true), Reply::Done);
    assert_eq!(kind(&open(&mut shard, "p.e", LIMIT)), Some(Kind::Closed));
    let backlog = View::Backlog(vec![(program("p.c"), "m1".into())]);
    assert_eq!(shard.view(&Query::Backlog { limit: 9 }).unwrap(), backlog);
    let release = Command::ConfirmRelease { program: program("p.c"), server: "m1".into() };
    shard.execute(release).unwrap();
    let empty = View::Backlog(Vec::new());
    assert_eq!(shard.view(&Query::Backlog { limit: 9 }).unwrap(), empty);
}

#[test]
fn a_program_of_the_same_name_does_not_see_the_earlier_one() {
    let mut shard = shard_with_program();
    shard.execute(Command::Begin(begin("p", 1, 1))).unwrap();
    shard.execute(end("p", 1, 1, 1)).unwrap();
    close(&mut shard, "p", false);
    let release = Command::ConfirmRelease { program: program("p"), server: "m1".into() };
    shard.execute(release).unwrap();
    let expire = Command::Expire { now_ms: 100, idle_ms: 50, keep_ms: 10 };
    shard.execute(expire).unwrap();
    assert!(shard.program(&program("p")).is_none());
    open(&mut shard, "p", LIMIT);
    assert_eq!(shard.view(&Query::History(program("p"))).unwrap(), View::History(Vec::new()));
    let stale = Begin { opened_ms: 0, ..begin("p", 1, 1) };
    assert_eq!(kind(&shard.execute(Command::Begin(stale)).unwrap()), Some(Kind::OutOfOrder));
}

#[test]
fn expiry_retains_programs_that_engines_still_hold() {
    let mut shard = shard_with_program();
    shard.execute(Command::Begin(begin("p", 1, 1))).unwrap();
    shard.execute(end("p", 1, 1, 1)).unwrap();
    shard.execute(Command::Expire { now_ms: 1_000, idle_ms: 1, keep_ms: 1 }).unwrap();
    shard.execute(Command::Expire { now_ms: 9_000, idle_ms: 1, keep_ms: 1 }).unwrap();
    assert!(shard.program(&program("p")).unwrap().is_closed);
}

#[test]
fn history_is_equal_after_save_and_load_and_after_export_and_import() {
    let folder = tempfile::tempdir().unwrap();
    let mut shard = Shard::new(Box::new(Files::open(folder.path()).unwrap()));
    open(&mut shard, "p", LIMIT);
    for seq in 1..=5 {
        shard.execute(Command::Begin(begin("p", seq, 1))).unwrap();
        shard.execute(end("p", seq, 1, 1)).unwrap();
    }
    let history = shard.view(&Query::History(program("p"))).unwrap();
    let saved = shard.save().unwrap();
    shard.prune().unwrap();
    let mut loaded = Shard::new(Box::new(Files::open(folder.path()).unwrap()));
    loaded.load(&saved).unwrap();
    assert_eq!(loaded.view(&Query::History(program("p"))).unwrap(), history);
    let exported = util::export_state(&loaded);
    let other = tempfile::tempdir().unwrap();
    let mut imported = Shard::new(Box::new(Files::open(other.path()).unwrap()));
    imported.import(&exported).unwrap();
    assert_eq!(imported.view(&Query::History(program("p"))).unwrap(), history);
    assert_eq!(util::export_state(&imported), exported);
}

/// After each command of random sequences, the reserved and spent amounts are within the limit.
#[test]
fn random_commands_never_exceed_a_budget() {
    let run = |u: &mut arbtest::arbitrary::Unstructured<'_>| {
        let mut shard = shard_with_program();
        while !u.is_empty() {
            let name = if u.arbitrary()? { "p" } else { "p.c" };
            let (seq, number) = (u.int_in_range(1..=3)?, u.int_in_range(1..=3)?);
            let takeover = u.arbitrary::<bool>()?.then_some(Takeover::SameHolder);
            let command = match u.int_in_range(0..=4)? {
                0 => Command::Begin(Begin { takeover, ..begin(name, seq, number) }),
                1 => end(name, seq, number, u.int_in_range(0..=900)?),
                2 => Command::Abandon { attempt: attempt(name, seq, number), holder: holder("a") },
                3 => {
                    open(&mut shard, "p.c", Amount { tokens: 500, calls: 3, cost: 0 });
                    continue;
                }
                _ => Command::Close(Close { program: program("p.c"), force: true, now_ms: 5 }),
            };
            shard.execute(command).unwrap();
            let budget = shard.program(&program("p")).unwrap().budget;
            assert!(budget.limit.covers(budget.reserved.plus(budget.spent)), "{budget:?}");
        }
        Ok(())
    };
    for seed in 1..=200u64 {
        arbtest::arbtest(run).seed(seed << 32 | 256).run();
    }
}
