//! Planned stops of instances under load.

use crate::util::Harness;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

/// Stops and restarts each instance in turn under load; no connection may be cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_no_connection() {
    let mut harness = Harness::start(31).await;
    harness.wait_for_ended(10).await;
    for index in 0..5 {
        let address = harness.cluster.instances[index].caller_address.clone();
        *harness.context.stopping_address.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(address);
        harness.cluster.signal_instance(index, "TERM").unwrap();
        let start = std::time::Instant::now();
        while !harness.cluster.has_exited(index) {
            assert!(start.elapsed().as_secs() < 30, "instance {index} did not stop within 30 s");
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        harness.cluster.start_instance(index).unwrap();
        assert!(
            harness.cluster.wait_ready(&harness.http).await,
            "instance {index} did not become ready after its restart"
        );
    }
    assert_eq!(
        harness.context.cut_connections.load(Ordering::Relaxed),
        0,
        "connections were cut by a planned stop"
    );
    harness.finish("seed 31").await;
}
