//! Tests of what a replica that lacks entries is sent, and of what its leader keeps for it.

use crate::consensus::{deliver_messages, elect, persist_ready, replica};
use coordination::consensus::{Entry, Message, Refusal, Replica, Settings};
use std::collections::{BTreeSet, VecDeque};

/// One-way delay of the simulated link, in milliseconds.
const DELAY_MS: u64 = 5;

/// What was sent to the third replica.
#[derive(Debug, Default)]
struct Sent {
    entry_bytes: u64,
    chunk_bytes: u64,
    /// Largest size of the entries on their way at one time.
    in_flight_bytes: u64,
    /// Lanes on which chunks were sent.
    lanes: BTreeSet<usize>,
}

/// Messages between the first and the third replica that are on their way.
#[derive(Debug, Default)]
struct Link {
    messages: VecDeque<(u64, u64, Message)>,
    sent: Sent,
    /// Additional delay of each lane over the one before it, in milliseconds.
    lane_delay_ms: u64,
    /// Whether the third replica is of an earlier build, which takes chunks in order only and does
    /// not reply to the leader that it takes them in any order.
    is_earlier_build: bool,
    /// Offset up to which the third replica has passed on chunks.
    passed_on: u64,
}

fn entry_bytes(message: &Message) -> u64 {
    match message {
        Message::Append { entries, .. } => entries.iter().map(Entry::size).sum::<usize>() as u64,
        _ => 0,
    }
}

impl Link {
    /// Carries out the leader's work; its snapshots have `state_bytes`.
    fn step_leader(&mut self, now: u64, leader: &mut Replica, state_bytes: u64) {
        loop {
            let ready = persist_ready(leader);
            if ready.is_empty() {
                return;
            }
            for (to, message) in ready.messages.into_iter().chain(ready.persisted_messages) {
                if to == 3 {
                    self.sent.entry_bytes += entry_bytes(&message);
                    if let Message::Chunk { data, .. } = &message {
                        self.sent.chunk_bytes += data.len() as u64;
                    }
                    let lane = leader.lane(to, &message);
                    if matches!(message, Message::Chunk { .. }) {
                        self.sent.lanes.insert(lane);
                    }
                    let at = now + DELAY_MS + self.lane_delay_ms * lane as u64;
                    let next = self.messages.partition_point(|(due, ..)| *due <= at);
                    self.messages.insert(next, (at, to, message));
                }
            }
            for peer in ready.snapshot_targets {
                let meta = leader.meta_at(leader.commit());
                leader.start_snapshot(peer, meta, state_bytes);
            }
            for request in ready.chunk_requests {
                let len = state_bytes.saturating_sub(request.offset).min(request.len as u64);
                leader.send_chunk(&request, vec![0; usize::try_from(len).unwrap()]);
            }
            let on_their_way = self.messages.iter().map(|(_, _, message)| entry_bytes(message));
            self.sent.in_flight_bytes = self.sent.in_flight_bytes.max(on_their_way.sum());
        }
    }

    /// Delivers the messages that are due, and carries out the third replica's work.
    fn deliver(&mut self, now: u64, leader: &mut Replica, learner: &mut Replica) {
        while let Some((_, to, message)) = self.messages.pop_front_if(|(at, ..)| *at <= now) {
            if to == 1 {
                leader.receive(now, 3, message);
                continue;
            }
            learner.receive(now, 1, message);
            let ready = persist_ready(learner);
            for chunk in ready.chunks {
                assert_eq!(chunk.offset, self.passed_on, "chunks are passed on in order");
                self.passed_on += chunk.data.len() as u64;
            }
            for (to, reply) in ready.messages.into_iter().chain(ready.persisted_messages) {
                let is_unknown = |number: u64| self.is_earlier_build && number > u64::MAX / 2;
                if to == 1
                    && !matches!(reply, Message::ChunkReply { number, .. } if is_unknown(number))
                {
                    let next = self.messages.partition_point(|(due, ..)| *due <= now + DELAY_MS);
                    self.messages.insert(next, (now + DELAY_MS, to, reply));
                }
            }
        }
    }

    /// Runs until the third replica matches the leader; returns the time that it took.
    fn catch_up(&mut self, leader: &mut Replica, learner: &mut Replica, state_bytes: u64) -> u64 {
        let started = 2_000;
        for now in started..started + 20_000 {
            if now % 60 == 0 {
                // The second replica keeps the leader in contact with a quorum.
                let (term, index) = (leader.term(), leader.last_index());
                let reply = Message::AppendReply { term, is_ok: true, index, round: 0 };
                leader.receive(now, 2, reply);
            }
            leader.tick(now);
            self.step_leader(now, leader, state_bytes);
            self.deliver(now, leader, learner);
            if leader.matched(3) == Some(leader.last_index()) {
                return now - started;
            }
        }
        panic!("matched {:?} of {}; {:?}", leader.matched(3), leader.last_index(), self.sent);
    }
}

/// A leader with a committed log of `count` entries of `bytes` each, and a third replica that has
/// lost its disk.
fn leader_and_learner(count: u64, bytes: usize) -> (Replica, Replica) {
    let mut replicas = [1, 2].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    for token in 0..count {
        replicas[0].propose(2_000, token, vec![0; bytes]).unwrap();
        deliver_messages(&mut replicas, 2_000);
    }
    let [leader, _] = replicas;
    (leader, replica(3, &[1, 2, 3]))
}

#[test]
fn a_replica_that_lacks_more_bytes_of_entries_than_the_state_has_is_sent_the_state() {
    let (mut leader, mut learner) = leader_and_learner(40, 500_000);
    let mut link = Link::default();
    let state_bytes = 600_000;
    link.catch_up(&mut leader, &mut learner, state_bytes);
    assert_eq!(link.sent.chunk_bytes, state_bytes);
    assert!(link.sent.entry_bytes < 2_000_000, "{:?} of 20 MB", link.sent);
}

#[test]
fn a_replica_that_lacks_fewer_bytes_of_entries_than_the_state_has_is_sent_the_entries() {
    let (mut leader, mut learner) = leader_and_learner(40, 500_000);
    leader.set_state_bytes(50_000_000);
    let mut link = Link::default();
    link.catch_up(&mut leader, &mut learner, 50_000_000);
    assert_eq!(link.sent.chunk_bytes, 0);
    assert!((20_000_000..21_000_000).contains(&link.sent.entry_bytes), "{:?}", link.sent);
    let limit = Settings::default().window_bytes;
    assert!(link.sent.in_flight_bytes <= limit, "{:?}", link.sent);
}

#[test]
fn an_entry_larger_than_the_window_is_sent_alone() {
    let (mut leader, mut learner) = leader_and_learner(5, 3_000_000);
    leader.set_state_bytes(50_000_000);
    let mut link = Link::default();
    link.catch_up(&mut leader, &mut learner, 50_000_000);
    assert!(link.sent.in_flight_bytes < 3_100_000, "{:?}", link.sent);
}

#[test]
fn a_snapshot_fills_the_link_between_replies() {
    let (mut leader, mut learner) = leader_and_learner(40, 500_000);
    let (chunk, mut link) = (Settings::default().chunk_bytes as u64, Link::default());
    let time = link.catch_up(&mut leader, &mut learner, 48 * chunk);
    let rounds = time.div_ceil(2 * DELAY_MS);
    assert!(rounds <= 9, "48 chunks took {rounds} round trips, two of them for entries");
}

#[test]
fn chunks_that_overtake_each_other_on_several_connections_are_sent_once() {
    let (mut leader, mut learner) = leader_and_learner(40, 500_000);
    let state_bytes = 48 * Settings::default().chunk_bytes as u64 + 5;
    let mut link = Link { lane_delay_ms: 7, ..Link::default() };
    link.catch_up(&mut leader, &mut learner, state_bytes);
    assert_eq!((link.passed_on, link.sent.chunk_bytes), (state_bytes, state_bytes));
    assert!(link.sent.lanes.len() > 2, "{:?}", link.sent);
}

#[test]
fn replica_of_an_earlier_build_is_sent_chunks_in_order() {
    let (mut leader, mut learner) = leader_and_learner(40, 500_000);
    let state_bytes = 48 * Settings::default().chunk_bytes as u64;
    let mut link = Link { lane_delay_ms: 7, is_earlier_build: true, ..Link::default() };
    link.catch_up(&mut leader, &mut learner, state_bytes);
    assert_eq!((link.passed_on, link.sent.chunk_bytes), (state_bytes, state_bytes));
    assert_eq!(link.sent.lanes, BTreeSet::from([0]));
}

#[test]
fn the_log_is_kept_by_bytes_and_by_count() {
    let (mut leader, _) = leader_and_learner(40, 1_000_000);
    leader.set_state_bytes(5_000_000);
    let commit = leader.commit();
    leader.compact(leader.compactable(commit));
    assert!(leader.log_bytes() <= 5_000_000, "{} bytes", leader.log_bytes());
    assert!(leader.log_bytes() > 3_900_000, "{} bytes", leader.log_bytes());
    let settings = Settings::default();
    let (mut leader, _) = leader_and_learner(40, 1_000_000);
    leader.set_state_bytes(u64::MAX);
    leader.compact(leader.compactable(commit));
    assert!(leader.log_bytes() <= settings.trailing_bytes, "{} bytes", leader.log_bytes());
    let (mut leader, _) = leader_and_learner(2_100, 10);
    let commit = leader.commit();
    leader.compact(leader.compactable(commit));
    assert_eq!(leader.base_index(), commit - settings.trailing_entries);
}

#[test]
fn entries_after_a_snapshot_that_is_being_sent_are_kept_up_to_a_limit() {
    let (mut leader, _) = leader_and_learner(20, 1_000_000);
    let term = leader.term();
    leader.receive(2_000, 3, Message::AppendReply { term, is_ok: false, index: 0, round: 0 });
    assert_eq!(persist_ready(&mut leader).snapshot_targets, [3]);
    let sent = leader.commit();
    leader.start_snapshot(3, leader.meta_at(sent), 100_000_000);
    leader.set_state_bytes(2_000_000);
    let mut replicas = [leader, replica(2, &[1, 2, 3])];
    for token in 0..50 {
        replicas[0].propose(2_000, token, vec![0; 1_000_000]).unwrap();
        let (term, index) = (replicas[0].term(), replicas[0].last_index());
        persist_ready(&mut replicas[0]);
        replicas[0].receive(2_000, 2, Message::AppendReply { term, is_ok: true, index, round: 0 });
        let commit = replicas[0].commit();
        assert_eq!(commit, index);
        let (compactable, limit) =
            (replicas[0].compactable(commit), Settings::default().pinned_bytes);
        replicas[0].compact(compactable);
        assert!(replicas[0].log_bytes() <= limit, "{} bytes", replicas[0].log_bytes());
        if token < 30 {
            assert!(replicas[0].base_index() <= sent, "entry {token}");
        }
    }
}

#[test]
fn proposals_are_refused_while_too_many_bytes_wait_for_a_quorum() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, &[1, 2, 3]));
    elect(&mut replicas, 0);
    let limit = Settings::default().uncommitted_bytes;
    let mut accepted = 0;
    while replicas[0].propose(2_000, accepted, vec![0; 1_000_000]).is_ok() {
        accepted += 1;
        assert!(accepted * 1_000_000 <= limit);
    }
    assert_eq!(replicas[0].propose(2_000, 99, vec![0; 1_000_000]), Err(Refusal::Full));
    deliver_messages(&mut replicas, 2_000);
    assert_eq!(replicas[0].commit(), replicas[0].last_index());
    assert_eq!(replicas[0].propose(2_000, 100, vec![0; 1_000_000]), Ok(()));
    let huge = vec![0; usize::try_from(limit).unwrap() + 1];
    deliver_messages(&mut replicas, 2_000);
    assert_eq!(replicas[0].propose(2_000, 101, huge), Ok(()), "a single entry is always accepted");
}
