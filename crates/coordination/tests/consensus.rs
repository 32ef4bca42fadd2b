//! Tests of the replicated journal.

use coordination::consensus::{
    Entry, Members, Message, Meta, Payload, Peer, Ready, Replacement, Replica, Restored, Settings,
    StartMode, initial_id,
};

fn members(ids: &[u64]) -> Members {
    Members { voters: ids.iter().map(|id| (*id, format!("h{id}"))).collect(), ..Members::default() }
}

fn replica(id: u64, ids: &[u64]) -> Replica {
    Replica::new(id, Settings::default(), id, 0, Restored::default(), &members(ids))
}

/// Persists and returns what is ready.
fn settle(replica: &mut Replica) -> Ready {
    let ready = replica.ready();
    if let Some(last) = ready.entries.last() {
        replica.synced(last.index);
    }
    ready
}

/// Lets messages flow until none is left; returns the committed indices of each replica.
fn flow(replicas: &mut [Replica], now: u64) -> Vec<Vec<u64>> {
    let mut committed = vec![Vec::new(); replicas.len()];
    loop {
        let mut messages = Vec::new();
        let mut is_quiet = true;
        for (at, replica) in replicas.iter_mut().enumerate() {
            let from = replica.id();
            let ready = settle(replica);
            is_quiet &= ready.is_empty();
            committed[at].extend(ready.committed.iter().map(|(entry, _)| entry.index));
            messages.extend(
                ready
                    .messages
                    .into_iter()
                    .chain(ready.persisted_messages)
                    .map(|(to, m)| (from, to, m)),
            );
        }
        if is_quiet {
            return committed;
        }
        for (from, to, message) in messages {
            if let Some(replica) = replicas.iter_mut().find(|replica| replica.id() == to) {
                replica.receive(now, from, message);
            }
        }
    }
}

fn elect(replicas: &mut [Replica], at: usize) {
    replicas[at].tick(2_000);
    flow(replicas, 2_000);
    assert!(replicas[at].is_established());
}

#[test]
fn a_single_voter_leads_at_once() {
    let mut only = [replica(1, &[1])];
    elect(&mut only, 0);
    only[0].propose(2_000, 7, vec![1]).unwrap();
    assert_eq!(flow(&mut only, 2_000), [vec![2]]);
}

#[test]
fn nothing_commits_before_the_leader_has_synced_or_a_quorum_has() {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three, 0);
    three[0].propose(2_000, 1, vec![1]).unwrap();
    let ready = three[0].ready();
    assert!(ready.committed.is_empty() && !ready.messages.is_empty());
    three[0].synced(ready.entries.last().unwrap().index);
    assert!(three[0].ready().committed.is_empty(), "one of three is no quorum");
}

#[test]
fn a_replica_that_was_cut_off_does_not_raise_the_term() {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three, 0);
    let term = three[0].term();
    for now in 0..50 {
        three[2].tick(3_000 + now * 1_000);
        drop(three[2].ready());
    }
    assert_eq!(three[2].term(), term, "a pre-vote casts no vote");
    three[0].tick(60_000);
    assert!(!three[0].is_leader(), "a leader without a quorum steps down");
}

#[test]
fn a_leader_is_not_disturbed_by_an_election_that_it_has_outlived() {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three, 0);
    let vote = Message::Vote {
        term: 99,
        is_pre_vote: false,
        is_transfer: false,
        last_index: 99,
        last_term: 99,
    };
    three[1].receive(2_001, 3, vote.clone());
    three[0].receive(2_001, 3, vote);
    assert!(three[0].is_leader());
    assert_ne!(three[1].term(), 99);
}

#[test]
fn a_candidate_that_lacks_entries_gets_no_vote() {
    let entries: Vec<Entry> =
        (1..=3).map(|index| Entry { term: 1, index, payload: Payload::Empty }).collect();
    let restored = Restored { entries, ..Restored::default() };
    let mut voter = Replica::new(2, Settings::default(), 2, 0, restored, &members(&[1, 2, 3]));
    for (last_index, last_term, expected) in [(2, 1, false), (9, 0, false), (3, 1, true)] {
        for is_pre_vote in [true, false] {
            let term = voter.term() + 1;
            let vote =
                Message::Vote { term, is_pre_vote, is_transfer: false, last_index, last_term };
            voter.receive(1, 1, vote);
            let (_, reply) = voter.ready().persisted_messages.remove(0);
            let Message::VoteReply { is_granted, .. } = reply else { panic!("{reply:?}") };
            assert_eq!(
                is_granted, expected,
                "last {last_index} of term {last_term}, {is_pre_vote}"
            );
        }
    }
}

#[test]
fn reads_wait_for_a_quorum() {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three, 0);
    three[0].read(2_000, 5).unwrap();
    assert!(three[0].ready().reads.is_empty());
    three[0].read(2_000, 6).unwrap();
    let ready = three[0].ready();
    let (_, message) = ready.messages.into_iter().find(|(to, _)| *to == 2).unwrap();
    three[1].receive(2_000, 1, message);
    let (_, reply) = settle(&mut three[1]).persisted_messages.remove(0);
    three[0].receive(2_000, 2, reply);
    let tokens: Vec<u64> = three[0].ready().reads.iter().map(|(token, _)| *token).collect();
    assert_eq!(tokens, [5, 6]);
    assert!(three[1].read(2_000, 7).is_err());
}

#[test]
fn leadership_is_handed_over() {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three, 0);
    three[0].transfer(2_000);
    flow(&mut three, 2_000);
    assert!(!three[0].is_leader());
    assert_eq!(three.iter().filter(|replica| replica.is_leader()).count(), 1);
}

#[test]
fn one_change_of_members_at_a_time() {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three, 0);
    assert!(!three[0].change_members(2_000, members(&[1])), "two replicas at once");
    assert!(three[0].change_members(2_000, members(&[1, 2])));
    assert!(!three[0].change_members(2_000, members(&[1])), "the first is not committed");
    flow(&mut three, 2_000);
    assert!(three[0].change_members(2_000, members(&[1, 2, 4])));
}

#[test]
fn a_replacement_votes_only_with_everything_and_after_the_old_identity_is_gone() {
    let mut three = vec![replica(1, &[1, 2, 3]), replica(2, &[1, 2, 3]), replica(3, &[1, 2, 3])];
    elect(&mut three, 0);
    for token in 0..20 {
        three[0].propose(2_000, token, vec![0; 100]).unwrap();
    }
    flow(&mut three, 2_000);
    // Replica 3 lost its disk and returns under identity 4.
    three.pop();
    three.push(Replica::new(
        4,
        Settings::default(),
        4,
        0,
        Restored::default(),
        &Members::default(),
    ));
    let mut plan = Replacement::new("h3", 4);
    let mut seen = Vec::new();
    for _ in 0..20 {
        let is_done = plan.advance(2_000, &mut three[0]);
        flow(&mut three, 2_000);
        let members = three[0].members();
        seen.push((members.is_voter(3), members.contains(4), members.is_voter(4)));
        if members.is_voter(4) {
            assert!(three[2].last_index() >= 21, "voted with {}", three[2].last_index());
        }
        if is_done {
            break;
        }
    }
    seen.dedup();
    let expected = [(false, false, false), (false, true, false), (false, true, true)];
    assert_eq!(seen, expected);
}

#[test]
fn a_learner_that_hears_nothing_does_not_vote() {
    let mut three = vec![replica(1, &[1, 2, 3]), replica(2, &[1, 2, 3]), replica(3, &[1, 2, 3])];
    elect(&mut three, 0);
    // Replica 3 lost its disk; identity 4 joins but no message reaches it.
    three.pop();
    let mut plan = Replacement::new("h3", 4);
    for _ in 0..20 {
        assert!(!plan.advance(2_000, &mut three[0]));
        flow(&mut three, 2_000);
    }
    let members = three[0].members();
    assert!(members.contains(4) && !members.is_voter(4), "{members:?}");
}

#[test]
fn a_wiped_folder_is_a_learner_and_a_first_start_waits_for_all() {
    let names: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
    let peer = |name: &str, is_fresh| Peer { instance: name.into(), is_fresh };
    assert_eq!(StartMode::decide("a", &names, &[peer("b", true)]), StartMode::Wait);
    assert_eq!(StartMode::decide("a", &names, &[peer("b", false)]), StartMode::Learner);
    let StartMode::InitialMember(members) =
        StartMode::decide("a", &names, &[peer("b", true), peer("c", true)])
    else {
        panic!()
    };
    assert!(members.is_voter(initial_id("a")) && members.voters.len() == 3);
}

#[test]
fn a_snapshot_covered_by_the_log_drops_nothing() {
    let entries: Vec<Entry> =
        (1..=9).map(|index| Entry { term: 1, index, payload: Payload::Empty }).collect();
    let restored = Restored { entries, ..Restored::default() };
    let mut follower = Replica::new(2, Settings::default(), 2, 0, restored, &members(&[1, 2, 3]));
    let data = b"state".to_vec();
    let chunk = Message::Chunk {
        term: 1,
        meta: Meta { index: 5, term: 1, members: members(&[1, 2, 3]) },
        number: 1,
        offset: 0,
        total: data.len() as u64,
        digest: *blake3::hash(&data).as_bytes(),
        data,
    };
    follower.receive(1, 1, chunk);
    assert!(follower.ready().install.is_none());
    assert_eq!((follower.last_index(), follower.commit()), (9, 5));
}

#[test]
fn a_snapshot_with_a_wrong_digest_is_not_installed() {
    let mut follower = replica(2, &[1, 2, 3]);
    let chunk = Message::Chunk {
        term: 1,
        meta: Meta { index: 5, term: 1, members: members(&[1, 2, 3]) },
        number: 1,
        offset: 0,
        total: 5,
        digest: [0; 32],
        data: b"state".to_vec(),
    };
    follower.receive(1, 1, chunk);
    assert!(follower.ready().install.is_none());
    assert_eq!(follower.commit(), 0);
}

#[test]
fn a_snapshot_is_asked_for_once_whatever_is_proposed_meanwhile() {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three[..2], 0);
    for token in 0..5 {
        three[0].propose(2_000, token, vec![1]).unwrap();
        flow(&mut three[..2], 2_000);
    }
    let commit = three[0].commit();
    three[0].compact(commit);
    let mut asked = 0;
    for now in 0..20 {
        three[0].propose(2_000 + now, now, vec![1]).unwrap();
        three[0].tick(2_000 + now * 60);
        // The third replica lacks everything and says so.
        let term = three[0].term();
        let reply = Message::AppendReply { term, is_ok: false, index: 0, round: 0 };
        three[0].receive(2_000 + now * 60, 3, reply);
        asked += settle(&mut three[0]).snapshot_targets.len();
    }
    assert_eq!(asked, 1);
}

#[test]
fn a_silent_replica_gets_heartbeats_only_until_it_answers() {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three, 0);
    let mut bytes = 0;
    for step in 1..100 {
        let now = 2_000 + step * 60;
        three[0].propose(now, step, vec![0; 10_000]).unwrap();
        three[0].tick(now);
        let ready = settle(&mut three[0]);
        for (to, message) in ready.messages.into_iter().chain(ready.persisted_messages) {
            match (to, &message) {
                (3, Message::Append { entries, .. }) => {
                    bytes += entries.iter().map(Entry::size).sum::<usize>();
                }
                (2, _) => {
                    three[1].receive(now, 1, message);
                    let answers = settle(&mut three[1]);
                    for (_, answer) in
                        answers.messages.into_iter().chain(answers.persisted_messages)
                    {
                        three[0].receive(now, 2, answer);
                    }
                }
                _ => {}
            }
        }
    }
    assert!(three[0].is_leader());
    assert!(bytes < 500_000, "{bytes} bytes were sent to a replica that is gone");
    for step in 100..120 {
        three[0].tick(2_000 + step * 60);
        flow(&mut three, 2_000 + step * 60);
    }
    assert_eq!(three[0].matched(3), Some(three[0].last_index()));
}

/// A leader with a compacted log, and an empty third replica that has said so.
fn leader_with_a_laggard() -> [Replica; 3] {
    let mut three = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut three[..2], 0);
    three[0].propose(2_000, 1, vec![1]).unwrap();
    flow(&mut three[..2], 2_000);
    let commit = three[0].commit();
    three[0].compact(commit);
    let term = three[0].term();
    three[0].receive(2_000, 3, Message::AppendReply { term, is_ok: false, index: 0, round: 0 });
    three
}

/// Hands over the wanted parts of a snapshot whose byte at an offset is that offset; returns
/// their number and the messages to the third replica.
fn send_parts(leader: &mut Replica, total: u64) -> (usize, Vec<Message>) {
    let mut ready = settle(leader);
    for peer in std::mem::take(&mut ready.snapshot_targets) {
        let meta = leader.meta_at(leader.commit());
        leader.start_snapshot(peer, meta, total);
    }
    ready.chunk_requests.extend(settle(leader).chunk_requests);
    let wanted = std::mem::take(&mut ready.chunk_requests);
    for part in &wanted {
        let end = total.min(part.offset + part.len as u64);
        leader.send_chunk(part, (part.offset..end).map(|at| at as u8).collect());
    }
    let sent = ready.messages.into_iter().chain(settle(leader).messages);
    (wanted.len(), sent.filter(|(to, _)| *to == 3).map(|(_, message)| message).collect())
}

#[test]
fn a_snapshot_of_any_size_is_read_a_few_parts_at_a_time() {
    let mut three = leader_with_a_laggard();
    let settings = Settings::default();
    let total = settings.chunk_bytes as u64 * 40 + 5;
    let mut received = 0;
    for now in 2_001..2_100 {
        let (wanted, messages) = send_parts(&mut three[0], total);
        assert!(wanted <= settings.chunk_window, "{wanted} parts at once");
        for message in messages {
            three[2].receive(now, 1, message);
            let ready = settle(&mut three[2]);
            for part in ready.chunks {
                assert_eq!(part.offset, received);
                assert!(
                    part.data
                        .iter()
                        .enumerate()
                        .all(|(at, byte)| { *byte == (received + at as u64) as u8 })
                );
                received += part.data.len() as u64;
            }
            for (_, answer) in ready.messages.into_iter().chain(ready.persisted_messages) {
                three[0].receive(now, 3, answer);
            }
            if let Some(meta) = ready.install {
                assert_eq!((received, meta.index), (total, three[0].commit()));
                return;
            }
        }
    }
    panic!("{received} of {total} bytes came");
}

#[test]
fn a_snapshot_goes_on_after_lost_parts_and_anew_after_a_restart() {
    let mut three = leader_with_a_laggard();
    let total = Settings::default().chunk_bytes as u64 * 12;
    let (mut offsets, mut is_done) = (Vec::new(), false);
    for step in 0..40 {
        let now = 2_001 + step * 100;
        three[0].tick(now);
        let term = three[0].term();
        // The second replica keeps the leader in office.
        let alive = Message::AppendReply { term, is_ok: true, index: 1, round: 0 };
        three[0].receive(now, 2, alive);
        let (_, messages) = send_parts(&mut three[0], total);
        if step == 1 {
            continue;
        }
        if step == 8 {
            three[2] = replica(3, &[1, 2, 3]);
        }
        for message in messages {
            three[2].receive(now, 1, message);
            let ready = settle(&mut three[2]);
            offsets.extend(ready.chunks.iter().map(|part| part.offset));
            is_done |= ready.install.is_some();
            for (_, answer) in ready.messages.into_iter().chain(ready.persisted_messages) {
                three[0].receive(now, 3, answer);
            }
        }
    }
    assert!(is_done, "parts {offsets:?}");
    let starts = offsets.iter().filter(|offset| **offset == 0).count();
    assert!(starts <= 2, "parts {offsets:?}");
}
