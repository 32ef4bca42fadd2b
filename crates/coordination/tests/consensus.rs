//! Tests of the consensus protocol: elections, replication, membership changes, snapshots.

use coordination::consensus::{
    Entry, Members, Message, Meta, Payload, Peer, Ready, Replacement, Replica, Restored, Settings,
    StartMode, initial_id,
};

pub(crate) fn members(ids: &[u64]) -> Members {
    Members { voters: ids.iter().map(|id| (*id, format!("h{id}"))).collect(), ..Members::default() }
}

pub(crate) fn replica(id: u64, ids: &[u64]) -> Replica {
    Replica::new(id, Settings::default(), id, 0, Restored::default(), &members(ids))
}

/// Takes the replica's pending work, marks its entries as persisted and returns it.
pub(crate) fn persist_ready(replica: &mut Replica) -> Ready {
    let ready = replica.ready();
    if let Some(last) = ready.entries.last() {
        replica.synced(last.index);
    }
    ready
}

/// Delivers messages until none remain; returns the indices that each replica committed.
pub(crate) fn deliver_messages(replicas: &mut [Replica], now: u64) -> Vec<Vec<u64>> {
    let mut committed = vec![Vec::new(); replicas.len()];
    loop {
        let mut messages = Vec::new();
        let mut is_idle = true;
        for (at, replica) in replicas.iter_mut().enumerate() {
            let from = replica.id();
            let ready = persist_ready(replica);
            is_idle &= ready.is_empty();
            committed[at].extend(ready.committed.iter().map(|(entry, _)| entry.index));
            messages.extend(
                ready
                    .messages
                    .into_iter()
                    .chain(ready.persisted_messages)
                    .map(|(to, m)| (from, to, m)),
            );
        }
        if is_idle {
            return committed;
        }
        for (from, to, message) in messages {
            if let Some(replica) = replicas.iter_mut().find(|replica| replica.id() == to) {
                replica.receive(now, from, message);
            }
        }
    }
}

pub(crate) fn elect(replicas: &mut [Replica], at: usize) {
    replicas[at].tick(2_000);
    deliver_messages(replicas, 2_000);
    assert!(replicas[at].is_established());
}

#[test]
fn a_single_voter_leads_without_other_votes() {
    let mut replicas = [replica(1, &[1])];
    elect(&mut replicas, 0);
    replicas[0].propose(2_000, 7, vec![1]).unwrap();
    assert_eq!(deliver_messages(&mut replicas, 2_000), [vec![2]]);
}

#[test]
fn nothing_commits_before_a_quorum_has_synced() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    replicas[0].propose(2_000, 1, vec![1]).unwrap();
    let ready = replicas[0].ready();
    assert!(ready.committed.is_empty() && !ready.messages.is_empty());
    replicas[0].synced(ready.entries.last().unwrap().index);
    assert!(replicas[0].ready().committed.is_empty(), "one of three replicas is not a quorum");
}

#[test]
fn a_partitioned_replica_does_not_raise_the_term() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    let term = replicas[0].term();
    for now in 0..50 {
        replicas[2].tick(3_000 + now * 1_000);
        drop(replicas[2].ready());
    }
    assert_eq!(replicas[2].term(), term, "a pre-vote casts no vote");
    replicas[0].tick(60_000);
    assert!(!replicas[0].is_leader(), "a leader without a quorum steps down");
}

#[test]
fn a_vote_request_does_not_disrupt_a_live_leader() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    let vote = Message::Vote {
        term: 99,
        is_pre_vote: false,
        is_transfer: false,
        last_index: 99,
        last_term: 99,
    };
    replicas[1].receive(2_001, 3, vote.clone());
    replicas[0].receive(2_001, 3, vote);
    assert!(replicas[0].is_leader());
    assert_ne!(replicas[1].term(), 99);
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
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    replicas[0].read(2_000, 5).unwrap();
    assert!(replicas[0].ready().reads.is_empty());
    replicas[0].read(2_000, 6).unwrap();
    let ready = replicas[0].ready();
    let (_, message) = ready.messages.into_iter().find(|(to, _)| *to == 2).unwrap();
    replicas[1].receive(2_000, 1, message);
    let (_, reply) = persist_ready(&mut replicas[1]).persisted_messages.remove(0);
    replicas[0].receive(2_000, 2, reply);
    let tokens: Vec<u64> = replicas[0].ready().reads.iter().map(|(token, _)| *token).collect();
    assert_eq!(tokens, [5, 6]);
    assert!(replicas[1].read(2_000, 7).is_err());
}

#[test]
fn leadership_is_transferred() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    replicas[0].transfer(2_000);
    deliver_messages(&mut replicas, 2_000);
    assert!(!replicas[0].is_leader());
    assert_eq!(replicas.iter().filter(|replica| replica.is_leader()).count(), 1);
}

#[test]
fn membership_changes_one_replica_at_a_time() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    assert!(!replicas[0].change_members(2_000, members(&[1])), "the change concerns two replicas");
    assert!(replicas[0].change_members(2_000, members(&[1, 2])));
    assert!(
        !replicas[0].change_members(2_000, members(&[1])),
        "the previous change is not committed"
    );
    deliver_messages(&mut replicas, 2_000);
    assert!(replicas[0].change_members(2_000, members(&[1, 2, 4])));
}

#[test]
fn a_replacement_votes_only_when_caught_up_and_after_the_old_identity_is_removed() {
    let mut replicas = vec![replica(1, &[1, 2, 3]), replica(2, &[1, 2, 3]), replica(3, &[1, 2, 3])];
    elect(&mut replicas, 0);
    for token in 0..20 {
        replicas[0].propose(2_000, token, vec![0; 100]).unwrap();
    }
    deliver_messages(&mut replicas, 2_000);
    // Replica 3 lost its disk and returns with identity 4.
    replicas.pop();
    replicas.push(Replica::new(
        4,
        Settings::default(),
        4,
        0,
        Restored::default(),
        &Members::default(),
    ));
    let mut replacement = Replacement::new("h3", 4);
    let mut observed = Vec::new();
    for _ in 0..20 {
        let is_done = replacement.advance(2_000, &mut replicas[0]);
        deliver_messages(&mut replicas, 2_000);
        let members = replicas[0].members();
        observed.push((members.is_voter(3), members.contains(4), members.is_voter(4)));
        if members.is_voter(4) {
            assert!(
                replicas[2].last_index() >= 21,
                "voter with {} entries",
                replicas[2].last_index()
            );
        }
        if is_done {
            break;
        }
    }
    observed.dedup();
    let expected = [(false, false, false), (false, true, false), (false, true, true)];
    assert_eq!(observed, expected);
}

#[test]
fn an_unreachable_learner_does_not_become_a_voter() {
    let mut replicas = vec![replica(1, &[1, 2, 3]), replica(2, &[1, 2, 3]), replica(3, &[1, 2, 3])];
    elect(&mut replicas, 0);
    // Replica 3 lost its disk; identity 4 joins but receives no messages.
    replicas.pop();
    let mut replacement = Replacement::new("h3", 4);
    for _ in 0..20 {
        assert!(!replacement.advance(2_000, &mut replicas[0]));
        deliver_messages(&mut replicas, 2_000);
    }
    let members = replicas[0].members();
    assert!(members.contains(4) && !members.is_voter(4), "{members:?}");
}

#[test]
fn a_wiped_replica_starts_as_a_learner_and_bootstrap_waits_for_all_peers() {
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
fn a_snapshot_covered_by_the_log_removes_no_entries() {
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
fn a_snapshot_is_requested_once_despite_further_proposals() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas[..2], 0);
    for token in 0..5 {
        replicas[0].propose(2_000, token, vec![1]).unwrap();
        deliver_messages(&mut replicas[..2], 2_000);
    }
    let commit = replicas[0].commit();
    replicas[0].compact(commit);
    let mut requested = 0;
    for now in 0..20 {
        replicas[0].propose(2_000 + now, now, vec![1]).unwrap();
        replicas[0].tick(2_000 + now * 60);
        // The third replica reports an empty log.
        let term = replicas[0].term();
        let reply = Message::AppendReply { term, is_ok: false, index: 0, round: 0 };
        replicas[0].receive(2_000 + now * 60, 3, reply);
        requested += persist_ready(&mut replicas[0]).snapshot_targets.len();
    }
    assert_eq!(requested, 1);
}

#[test]
fn an_unreachable_replica_is_sent_only_heartbeats_until_it_replies() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    let mut bytes = 0;
    for step in 1..100 {
        let now = 2_000 + step * 60;
        replicas[0].propose(now, step, vec![0; 10_000]).unwrap();
        replicas[0].tick(now);
        let ready = persist_ready(&mut replicas[0]);
        for (to, message) in ready.messages.into_iter().chain(ready.persisted_messages) {
            match (to, &message) {
                (3, Message::Append { entries, .. }) => {
                    bytes += entries.iter().map(Entry::size).sum::<usize>();
                }
                (2, _) => {
                    replicas[1].receive(now, 1, message);
                    let replies = persist_ready(&mut replicas[1]);
                    for (_, reply) in replies.messages.into_iter().chain(replies.persisted_messages)
                    {
                        replicas[0].receive(now, 2, reply);
                    }
                }
                _ => {}
            }
        }
    }
    assert!(replicas[0].is_leader());
    assert!(bytes < 500_000, "{bytes} bytes of entries were sent to an unreachable replica");
    for step in 100..120 {
        replicas[0].tick(2_000 + step * 60);
        deliver_messages(&mut replicas, 2_000 + step * 60);
    }
    assert_eq!(replicas[0].matched(3), Some(replicas[0].last_index()));
}

/// A leader with a compacted log, and a third replica that has reported an empty log.
fn leader_with_lagging_replica() -> [Replica; 3] {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas[..2], 0);
    replicas[0].propose(2_000, 1, vec![1]).unwrap();
    deliver_messages(&mut replicas[..2], 2_000);
    let commit = replicas[0].commit();
    replicas[0].compact(commit);
    let term = replicas[0].term();
    replicas[0].receive(2_000, 3, Message::AppendReply { term, is_ok: false, index: 0, round: 0 });
    replicas
}

/// Passes the requested chunks of a snapshot to the leader; each byte of the snapshot is its
/// offset modulo 256. Returns the number of chunks and the messages to the third replica.
fn send_chunks(leader: &mut Replica, total: u64) -> (usize, Vec<Message>) {
    let mut ready = persist_ready(leader);
    for peer in std::mem::take(&mut ready.snapshot_targets) {
        let meta = leader.meta_at(leader.commit());
        leader.start_snapshot(peer, meta, total);
    }
    ready.chunk_requests.extend(persist_ready(leader).chunk_requests);
    let requests = std::mem::take(&mut ready.chunk_requests);
    for request in &requests {
        let end = total.min(request.offset + request.len as u64);
        leader.send_chunk(request, (request.offset..end).map(|at| at as u8).collect());
    }
    let sent = ready.messages.into_iter().chain(persist_ready(leader).messages);
    (requests.len(), sent.filter(|(to, _)| *to == 3).map(|(_, message)| message).collect())
}

#[test]
fn a_large_snapshot_is_read_in_chunks_within_the_window() {
    let mut replicas = leader_with_lagging_replica();
    let settings = Settings::default();
    let total = settings.chunk_bytes as u64 * 40 + 5;
    let mut received = 0;
    for now in 2_001..2_100 {
        let (requests, messages) = send_chunks(&mut replicas[0], total);
        assert!(requests <= settings.chunk_window, "{requests} chunks in flight");
        for message in messages {
            replicas[2].receive(now, 1, message);
            let ready = persist_ready(&mut replicas[2]);
            for chunk in ready.chunks {
                assert_eq!(chunk.offset, received);
                assert!(
                    chunk
                        .data
                        .iter()
                        .enumerate()
                        .all(|(at, byte)| { *byte == (received + at as u64) as u8 })
                );
                received += chunk.data.len() as u64;
            }
            for (_, reply) in ready.messages.into_iter().chain(ready.persisted_messages) {
                replicas[0].receive(now, 3, reply);
            }
            if let Some(meta) = ready.install {
                assert_eq!((received, meta.index), (total, replicas[0].commit()));
                return;
            }
        }
    }
    panic!("received {received} of {total} bytes");
}

#[test]
fn a_snapshot_resumes_after_lost_chunks_and_restarts_with_its_receiver() {
    let mut replicas = leader_with_lagging_replica();
    let total = Settings::default().chunk_bytes as u64 * 12;
    let (mut offsets, mut is_done) = (Vec::new(), false);
    for step in 0..40 {
        let now = 2_001 + step * 100;
        replicas[0].tick(now);
        let term = replicas[0].term();
        // A reply of the second replica keeps the leader in contact with a quorum.
        let heartbeat_reply = Message::AppendReply { term, is_ok: true, index: 1, round: 0 };
        replicas[0].receive(now, 2, heartbeat_reply);
        let (_, messages) = send_chunks(&mut replicas[0], total);
        if step == 1 {
            continue;
        }
        if step == 8 {
            replicas[2] = replica(3, &[1, 2, 3]);
        }
        for message in messages {
            replicas[2].receive(now, 1, message);
            let ready = persist_ready(&mut replicas[2]);
            offsets.extend(ready.chunks.iter().map(|chunk| chunk.offset));
            is_done |= ready.install.is_some();
            for (_, reply) in ready.messages.into_iter().chain(ready.persisted_messages) {
                replicas[0].receive(now, 3, reply);
            }
        }
    }
    assert!(is_done, "chunk offsets {offsets:?}");
    let starts = offsets.iter().filter(|offset| **offset == 0).count();
    assert!(starts <= 2, "chunk offsets {offsets:?}");
}

#[test]
fn each_command_is_sent_to_each_replica_in_a_message_of_its_own() {
    let mut replicas = [1, 2, 3, 4, 5].map(|id| replica(id, &[1, 2, 3, 4, 5]));
    elect(&mut replicas, 0);
    for token in 0..100 {
        replicas[0].propose(2_000, token, vec![7; 200]).unwrap();
    }
    let messages = persist_ready(&mut replicas[0]).messages;
    let counts: Vec<usize> = messages.iter().map(|(_, message)| entry_count(message)).collect();
    assert_eq!(counts, [100; 4], "entries of each message");
}

fn entry_count(message: &Message) -> usize {
    match message {
        Message::Append { entries, .. } => entries.len(),
        _ => 0,
    }
}
