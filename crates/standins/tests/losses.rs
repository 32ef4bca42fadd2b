//! Kills, freezes and lost disks.

use crate::util::Bed;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_killed_and_returns() {
    let mut bed = Bed::start(11).await;
    bed.reach(20).await;
    bed.cluster.kill_instance(4);
    bed.reach(50).await;
    bed.cluster.start_instance(4).unwrap();
    bed.finish("seed 11").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_journal_leaders_are_killed_one_after_the_other() {
    let mut bed = Bed::start(12).await;
    bed.reach(15).await;
    let first = bed.leader(1).await;
    bed.cluster.kill_instance(first);
    let second = bed.leader(1).await;
    assert_ne!(first, second);
    bed.cluster.kill_instance(second);
    bed.cluster.start_instance(first).unwrap();
    bed.cluster.start_instance(second).unwrap();
    bed.finish("seed 12").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_instance_is_lost_right_after_a_wiped_disk_is_repaired() {
    let mut bed = Bed::start(13).await;
    bed.reach(15).await;
    let wiped = bed.leader(1).await;
    let old: Vec<_> = bed.journals(wiped).await;
    bed.cluster.kill_instance(wiped);
    bed.cluster.wipe_instance(wiped).unwrap();
    bed.cluster.start_instance(wiped).unwrap();
    bed.until("the repaired replica votes", async || {
        let journals = bed.journals(wiped).await;
        journals.len() == 3 && journals.iter().all(|journal| journal["is_voter"] == json!(true))
    })
    .await;
    let second = (wiped + 1) % 3;
    bed.cluster.kill_instance(second);
    bed.cluster.wipe_instance(second).unwrap();
    let new = bed.journals(wiped).await;
    assert_ne!(old[0]["members"], new[0]["members"], "the old identity is gone");
    bed.finish("seed 13").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_and_a_leader_freeze_for_longer_than_every_lease() {
    let bed = Bed::start(14).await;
    bed.reach(15).await;
    let leader = bed.leader(1).await;
    for frozen in [4, leader] {
        bed.cluster.signal_instance(frozen, "STOP").unwrap();
        let name = bed.cluster.instances[frozen].name.clone();
        // The instances that still run agree that the frozen one's lease is over.
        let asked = (0..5).find(|at| *at != frozen).unwrap();
        let url = format!("http://{}/v1/instances", bed.cluster.instances[asked].operators);
        bed.until("the frozen instance is expired", async || {
            let Ok(response) = bed.http.get(&url).send().await else {
                return false;
            };
            let rows: serde_json::Value = response.json().await.unwrap_or_default();
            rows[&name]["standing"] == json!("expired")
        })
        .await;
        bed.cluster.signal_instance(frozen, "CONT").unwrap();
    }
    bed.finish("seed 14").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_journal_is_set_aside_and_repaired_from_the_others() {
    let mut bed = Bed::start(15).await;
    bed.reach(20).await;
    let victim = bed.leader(1).await;
    bed.cluster.kill_instance(victim);
    let name = format!("data-{}", bed.cluster.instances[victim].name);
    let folder = bed.cluster.folder.join(name);
    let journal = std::fs::read_dir(folder.join("group-1"))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .find(|path| path.extension().is_some_and(|extension| extension == "journal"))
        .unwrap();
    let mut bytes = std::fs::read(&journal).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    std::fs::write(&journal, bytes).unwrap();
    bed.cluster.start_instance(victim).unwrap();
    bed.until("the replica votes again", async || {
        let journals = bed.journals(victim).await;
        journals.len() == 3 && journals.iter().all(|journal| journal["is_voter"] == json!(true))
    })
    .await;
    assert!(folder.join("damaged-0").exists());
    bed.finish("seed 15").await;
}
