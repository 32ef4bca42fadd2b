//! Network partitions of a control instance for the time in which many programs end.

use crate::util::Harness;
use serde_json::json;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

/// A TCP relay for the connections from one instance to another, which can be cut.
struct Relay {
    address: String,
    target: Arc<OnceLock<String>>,
    is_cut: Arc<AtomicBool>,
}

/// Starts a relay; its target is set once it is known.
fn relay(is_cut: Arc<AtomicBool>) -> Relay {
    let target = Arc::new(OnceLock::<String>::new());
    let target_cell = target.clone();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let cut = is_cut.clone();
    tokio::spawn(async move {
        let listener = TcpListener::from_std(listener).unwrap();
        while let Ok((inbound, _)) = listener.accept().await {
            let (target, cut) = (target_cell.clone(), cut.clone());
            tokio::spawn(async move {
                if !cut.load(Ordering::SeqCst)
                    && let Some(target) = target.get()
                    && let Ok(outbound) = TcpStream::connect(target).await
                {
                    forward(inbound, outbound, &cut).await;
                }
            });
        }
    });
    Relay { address, target, is_cut }
}

/// Forwards bytes in both directions until a connection closes or the relay is cut.
async fn forward(mut inbound: TcpStream, mut outbound: TcpStream, cut: &AtomicBool) {
    let wait_for_cut = async {
        while !cut.load(Ordering::SeqCst) {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
        () = wait_for_cut => {}
    }
}

/// Partitions one instance for connections to it, from it or both, and heals the partition.
///
/// The instance must catch up without raising the term by more than one: a candidate that
/// returns with a higher term would depose the leader.
async fn run(seed: u64, inbound_cut: bool, outbound_cut: bool) {
    const ISOLATED: usize = 1;
    let cuts = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let mut relays: HashMap<(usize, usize), Relay> = HashMap::new();
    for other in (0..5).filter(|other| *other != ISOLATED) {
        for (direction, cut) in [((other, ISOLATED), &cuts.0), ((ISOLATED, other), &cuts.1)] {
            relays.insert(direction, relay(cut.clone()));
        }
    }
    let peer_address = |from: usize, to: usize, address: &str| match relays.get(&(from, to)) {
        Some(relay) => {
            relay.target.set(address.to_owned()).unwrap();
            relay.address.clone()
        }
        None => address.to_owned(),
    };
    let harness = Harness::start_with(seed, &peer_address).await;
    harness.wait_for_ended(15).await;
    let set_cut = |value: bool| {
        for ((_, to), relay) in &relays {
            if (*to == ISOLATED && inbound_cut) || (*to != ISOLATED && outbound_cut) {
                relay.is_cut.store(value, Ordering::SeqCst);
            }
        }
    };
    let term = async |index: usize| harness.journals(index).await[0]["term"].as_u64().unwrap();
    set_cut(true);
    harness.wait_for_ended(50).await;
    let term_before = term(0).await.max(term(2).await);
    set_cut(false);
    harness
        .wait_for("the isolated instance has caught up", async || {
            let (isolated, leader) = (harness.journals(ISOLATED).await, harness.leader(1).await);
            let leader = harness.journals(leader).await;
            isolated.len() == 3
                && leader.len() == 3
                && isolated[1]["applied"] == leader[1]["applied"]
        })
        .await;
    assert!(
        term(0).await <= term_before + 1,
        "seed {seed}: the return of the isolated instance raised the term"
    );
    let rows = harness.cluster.status(&harness.http).await;
    assert!(rows.iter().all(|row| row["is_reachable"] == json!(true)), "seed {seed}: {rows:?}");
    harness.finish(&format!("seed {seed}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partition_in_both_directions_heals() {
    run(21, true, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partition_of_inbound_connections_heals() {
    run(22, true, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partition_of_outbound_connections_heals() {
    run(23, false, true).await;
}
