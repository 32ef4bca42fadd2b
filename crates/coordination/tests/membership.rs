//! Tests of replica group membership.

use coordination::consensus::{Members, Replica, Restored, Settings};
use coordination::membership::{self, Candidate, Planner, Step, initial_members};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

fn candidate(id: u64) -> Candidate {
    Candidate {
        id,
        address: format!("h{}", id % 10),
        failure_domain: format!("d{}", id % 3),
        is_leaving: false,
    }
}

fn present(ids: &[u64]) -> Vec<Candidate> {
    ids.iter().map(|id| candidate(*id)).collect()
}

/// A group with the initial members 1, 2 and 3, led by replica 1.
struct Group {
    replicas: Vec<Replica>,
    planner: Planner,
    now: u64,
}

impl Group {
    fn new() -> Self {
        let voters = present(&[1, 2, 3]).into_iter().map(|c| (c.id, c.address)).collect();
        let members = Members { voters, ..Members::default() };
        let start =
            |id| Replica::new(id, Settings::default(), id, 0, Restored::default(), &members);
        let replicas = [1, 2, 3].map(start).into_iter().collect();
        let planner = Planner::new(membership::Settings::default());
        let mut group = Self { replicas, planner, now: 2_000 };
        group.replicas[0].tick(2_000);
        group.deliver_messages();
        assert!(group.replicas[0].is_established());
        group
    }

    fn start(&mut self, id: u64) {
        let restored = Restored::default();
        let members = Members::default();
        let settings = Settings::default();
        self.replicas.push(Replica::new(id, settings, id, self.now, restored, &members));
    }

    fn stop(&mut self, id: u64) {
        self.replicas.retain(|replica| replica.id() != id);
    }

    fn deliver_messages(&mut self) {
        loop {
            let mut messages = Vec::new();
            for replica in &mut self.replicas {
                let ready = replica.ready();
                if let Some(last) = ready.entries.last() {
                    replica.synced(last.index);
                }
                let from = replica.id();
                let sent = ready.messages.into_iter().chain(ready.persisted_messages);
                messages.extend(sent.map(|(to, message)| (from, to, message)));
            }
            if messages.is_empty() {
                return;
            }
            for (from, to, message) in messages {
                if let Some(replica) = self.replicas.iter_mut().find(|r| r.id() == to) {
                    replica.receive(self.now, from, message);
                }
            }
        }
    }

    /// Runs the planner for `ms` milliseconds; returns the voters afterwards.
    fn run(&mut self, ms: u64, present: &[Candidate]) -> Vec<u64> {
        for _ in 0..ms / 100 {
            self.now += 100;
            self.replicas[0].tick(self.now);
            if let Step::Change(members) = self.planner.next(self.now, &self.replicas[0], present) {
                self.replicas[0].change_members(self.now, members);
            }
            self.deliver_messages();
        }
        self.replicas[0].members().voters.keys().copied().collect()
    }
}

#[test]
fn nothing_changes_while_all_are_present() {
    let mut group = Group::new();
    assert_eq!(group.run(10_000, &present(&[1, 2, 3, 14])), [1, 2, 3]);
    assert!(group.replicas[0].members().learners.is_empty());
}

#[test]
fn a_wiped_instance_replaces_its_old_replica_at_once() {
    let mut group = Group::new();
    group.stop(3);
    group.start(13);
    assert_eq!(group.run(1_000, &present(&[1, 2, 13])), [1, 2, 13]);
}

#[test]
fn a_spare_replaces_a_lost_instance_only_after_the_timeout() {
    let mut group = Group::new();
    group.run(200, &present(&[1, 2, 3, 14]));
    group.stop(3);
    group.start(14);
    assert_eq!(group.run(1_500, &present(&[1, 2, 14])), [1, 2, 3]);
    assert_eq!(group.run(1_500, &present(&[1, 2, 14])), [1, 2, 14]);
}

#[test]
fn the_old_replica_stays_until_its_successor_has_caught_up() {
    let mut group = Group::new();
    group.run(200, &present(&[1, 2, 3]));
    // The spare is present but never replies, as if partitioned from the group.
    assert_eq!(group.run(10_000, &present(&[1, 2, 14])), [1, 2, 3]);
}

#[test]
fn two_consecutive_wipes_are_repaired() {
    let mut group = Group::new();
    group.stop(3);
    group.start(13);
    assert_eq!(group.run(1_000, &present(&[1, 2, 13])), [1, 2, 13]);
    group.stop(2);
    group.start(12);
    assert_eq!(group.run(1_000, &present(&[1, 12, 13])), [1, 12, 13]);
}

#[test]
fn a_leaving_instance_is_replaced_and_a_leaving_leader_transfers() {
    let mut group = Group::new();
    group.start(14);
    let mut all = present(&[1, 2, 3, 14]);
    all[1].is_leaving = true;
    assert_eq!(group.run(1_000, &all), [1, 3, 14]);
    let mut all = present(&[1, 3, 14, 25]);
    all[0].is_leaving = true;
    group.start(25);
    group.run(1_000, &all);
    let step = group.planner.next(group.now, &group.replicas[0], &all);
    assert_eq!(step, Step::Transfer);
}

#[test]
fn a_leaving_instance_without_a_spare_stays() {
    let mut group = Group::new();
    let mut all = present(&[1, 2, 3]);
    all[1].is_leaving = true;
    assert_eq!(group.run(5_000, &all), [1, 2, 3]);
}

#[test]
fn a_group_starts_with_fewer_replicas_if_few_instances_are_present() {
    let cases = [(5, 0, 1), (5, 1, 1), (5, 2, 1), (5, 3, 3), (5, 4, 3), (5, 7, 5), (3, 2, 1)];
    for (target, present, expected) in cases {
        assert_eq!(membership::initial_count(target, present), expected, "{target} of {present}");
    }
    assert_eq!(initial_members(membership::initial_count(5, 0), &[]), None);
    assert_eq!(
        initial_members(membership::initial_count(5, 4), &present(&[1, 2, 3, 4])).unwrap().len(),
        3
    );
}

#[test]
fn initial_members_are_spread_over_failure_domains() {
    let mut all = present(&[1, 4, 7, 2, 3]);
    assert_eq!(initial_members(6, &all), None);
    let chosen = initial_members(3, &all).unwrap();
    let mut domains: Vec<_> = chosen.iter().map(|c| c.failure_domain.as_str()).collect();
    domains.sort_unstable();
    assert_eq!(domains, ["d0", "d1", "d2"]);
    all[4].is_leaving = true;
    assert_eq!(initial_members(5, &all), None);
}

/// Guards against retirements that leave so few voters that the loss of one disk ends the group.
#[test]
fn two_retirements_and_a_loss_leave_too_few_voters() {
    for seed in 0..500 {
        check_two_retirements_and_a_loss(seed);
    }
}

/// Retires two of four instances and wipes another one, at times drawn by the seed, and checks after each
/// step that the group could lose one voter more, unless it has just lost one.
fn check_two_retirements_and_a_loss(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut group = Group::new();
    let mut present = present(&[1, 2, 3, 14, 25, 36]);
    [14, 25, 36].into_iter().for_each(|id| group.start(id));
    let mut order = [2, 3, 14];
    order.shuffle(&mut rng);
    let retired = &order[..2];
    let times: Vec<u64> = order.iter().map(|_| rng.random_range(0..30)).collect();
    let mut lost = None;
    for step in 0..100 {
        for candidate in &mut present {
            let index = retired.iter().position(|id| *id == candidate.id);
            candidate.is_leaving |= index.is_some_and(|index| step >= times[index]);
        }
        let members = group.replicas[0].members().clone();
        // What is no member any more is taken away with its disk.
        let is_done = |c: &Candidate| c.is_leaving && !members.contains(c.id);
        present.iter().filter(|c| is_done(c)).for_each(|c| group.stop(c.id));
        present.retain(|candidate| !is_done(candidate));
        if step == times[2] {
            let old = order[2];
            lost = members.is_voter(old).then_some(old);
            group.stop(old);
            group.start(old + 50);
            present.retain(|candidate| candidate.id != old);
            present.push(candidate(old + 50));
        }
        let voters = group.run(100, &present);
        // The loss lasts until another replica votes in its place.
        lost = lost.filter(|id| voters.contains(id) || voters.len() < 3);
        let live = voters.iter().filter(|id| group.replicas.iter().any(|r| r.id() == **id)).count();
        let needed = voters.len() / 2 + 1 + usize::from(lost.is_none());
        assert!(live >= needed, "seed {seed}, step {step}: {voters:?}, {lost:?} lost");
    }
    let voters = group.replicas[0].members().voters.len();
    assert_eq!(voters, 3, "seed {seed}: {:?}", group.replicas[0].members());
}
