//! Killed and frozen instances, lost disks and corrupt journals.
//!
//! After each fault the programs must finish and the checks must find no violated guarantee.

use crate::util::Harness;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_killed_and_returns() {
    let mut harness = Harness::start(11).await;
    harness.wait_for_ended(20).await;
    harness.cluster.kill_instance(4);
    harness.wait_for_ended(50).await;
    harness.cluster.start_instance(4).unwrap();
    harness.finish("seed 11").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_journal_leaders_are_killed_one_after_the_other() {
    let mut harness = Harness::start(12).await;
    harness.wait_for_ended(15).await;
    let first = harness.leader(1).await;
    harness.cluster.kill_instance(first);
    let second = harness.leader(1).await;
    assert_ne!(first, second);
    harness.cluster.kill_instance(second);
    harness.cluster.start_instance(first).unwrap();
    harness.cluster.start_instance(second).unwrap();
    harness.finish("seed 12").await;
}

/// The repaired replica must vote under a new identity before the second loss: only two of
/// three replicas remain then, and both are needed for a quorum.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_instance_is_lost_right_after_a_wiped_disk_is_repaired() {
    let mut harness = Harness::start(13).await;
    harness.wait_for_ended(15).await;
    let wiped = harness.leader(1).await;
    let before: Vec<_> = harness.journals(wiped).await;
    harness.cluster.kill_instance(wiped);
    harness.cluster.delete_data(wiped).unwrap();
    harness.cluster.start_instance(wiped).unwrap();
    harness
        .wait_for("the repaired replica votes", async || {
            let journals = harness.journals(wiped).await;
            journals.len() == 3 && journals.iter().all(|journal| journal["is_voter"] == json!(true))
        })
        .await;
    let second = (wiped + 1) % 3;
    harness.cluster.kill_instance(second);
    harness.cluster.delete_data(second).unwrap();
    let after = harness.journals(wiped).await;
    assert_ne!(
        before[0]["members"], after[0]["members"],
        "the wiped replica returned under its old identity"
    );
    harness.finish("seed 13").await;
}

/// A frozen instance continues after its lease has expired; its late commands must be rejected.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_and_a_leader_freeze_for_longer_than_every_lease() {
    let harness = Harness::start(14).await;
    harness.wait_for_ended(15).await;
    let leader = harness.leader(1).await;
    for frozen in [4, leader] {
        harness.cluster.signal_instance(frozen, "STOP").unwrap();
        let name = harness.cluster.instances[frozen].name.clone();
        // The running instances must agree that the lease of the frozen one has expired.
        let observer = (0..5).find(|index| *index != frozen).unwrap();
        let url =
            format!("http://{}/v1/instances", harness.cluster.instances[observer].operator_address);
        harness
            .wait_for("the lease of the frozen instance has expired", async || {
                let Ok(response) = harness.http.get(&url).send().await else {
                    return false;
                };
                let rows: serde_json::Value = response.json().await.unwrap_or_default();
                rows[&name]["standing"] == json!("expired")
            })
            .await;
        harness.cluster.signal_instance(frozen, "CONT").unwrap();
    }
    harness.finish("seed 14").await;
}

/// A flipped byte in the middle of the journal must be detected at the start, not replayed.
#[tokio::test(flavor = "multi_thread")]
async fn a_corrupt_journal_is_set_aside_and_repaired_from_other_replicas() {
    let mut harness = Harness::start(15).await;
    harness.wait_for_ended(20).await;
    let restarted = harness.leader(1).await;
    harness.cluster.kill_instance(restarted);
    let name = format!("data-{}", harness.cluster.instances[restarted].name);
    let folder = harness.cluster.folder.join(name);
    let journal = std::fs::read_dir(folder.join("group-1"))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .find(|path| path.extension().is_some_and(|extension| extension == "journal"))
        .unwrap();
    let mut bytes = std::fs::read(&journal).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    std::fs::write(&journal, bytes).unwrap();
    harness.cluster.start_instance(restarted).unwrap();
    harness
        .wait_for("the replica votes again", async || {
            let journals = harness.journals(restarted).await;
            journals.len() == 3 && journals.iter().all(|journal| journal["is_voter"] == json!(true))
        })
        .await;
    assert!(folder.join("damaged-0").exists());
    harness.finish("seed 15").await;
}
