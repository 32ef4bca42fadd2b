//! A control instance is cut off for long and returns.

use crate::util::Bed;
use serde_json::json;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

/// A relay for one direction of calls, which can be cut.
struct Relay {
    address: String,
    target: Arc<OnceLock<String>>,
    is_cut: Arc<AtomicBool>,
}

/// Starts a relay; its target comes later.
fn relay(is_cut: Arc<AtomicBool>) -> Relay {
    let target = Arc::new(OnceLock::<String>::new());
    let found = target.clone();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let cut = is_cut.clone();
    tokio::spawn(async move {
        let listener = TcpListener::from_std(listener).unwrap();
        while let Ok((inbound, _)) = listener.accept().await {
            let (target, cut) = (found.clone(), cut.clone());
            tokio::spawn(async move {
                if !cut.load(Ordering::SeqCst)
                    && let Some(target) = target.get()
                    && let Ok(outbound) = TcpStream::connect(target).await
                {
                    pass(inbound, outbound, &cut).await;
                }
            });
        }
    });
    Relay { address, target, is_cut }
}

/// Passes bytes until an end closes or the relay is cut.
async fn pass(mut inbound: TcpStream, mut outbound: TcpStream, cut: &AtomicBool) {
    let watch = async {
        while !cut.load(Ordering::SeqCst) {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
        () = watch => {}
    }
}

/// Cuts the victim's calls, the calls to it, or both; heals; nothing may be lost.
async fn run(seed: u64, inwards: bool, outwards: bool) {
    const VICTIM: usize = 1;
    let cuts = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let mut relays: HashMap<(usize, usize), Relay> = HashMap::new();
    for other in (0..5).filter(|other| *other != VICTIM) {
        for (pair, cut) in [((other, VICTIM), &cuts.0), ((VICTIM, other), &cuts.1)] {
            relays.insert(pair, relay(cut.clone()));
        }
    }
    let via = |from: usize, to: usize, address: &str| match relays.get(&(from, to)) {
        Some(relay) => {
            relay.target.set(address.to_owned()).unwrap();
            relay.address.clone()
        }
        None => address.to_owned(),
    };
    let bed = Bed::start_with(seed, &via).await;
    bed.reach(15).await;
    let set = |value: bool| {
        for ((_, to), relay) in &relays {
            if (*to == VICTIM && inwards) || (*to != VICTIM && outwards) {
                relay.is_cut.store(value, Ordering::SeqCst);
            }
        }
    };
    let term = async |at: usize| bed.journals(at).await[0]["term"].as_u64().unwrap();
    set(true);
    bed.reach(50).await;
    let calm = term(0).await.max(term(2).await);
    set(false);
    bed.until("the victim has everything", async || {
        let (own, leader) = (bed.journals(VICTIM).await, bed.leader(1).await);
        let leader = bed.journals(leader).await;
        own.len() == 3 && leader.len() == 3 && own[1]["applied"] == leader[1]["applied"]
    })
    .await;
    assert!(term(0).await <= calm + 1, "seed {seed}: the victim's return upset the journal");
    let rows = bed.cluster.status(&bed.http).await;
    assert!(rows.iter().all(|row| row["is_reachable"] == json!(true)), "seed {seed}: {rows:?}");
    bed.finish(&format!("seed {seed}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_both_ways() {
    run(21, true, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_inwards_only() {
    run(22, true, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_outwards_only() {
    run(23, false, true).await;
}
