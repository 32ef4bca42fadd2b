//! Planned stops.

use crate::util::Bed;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

/// Every instance is stopped and started again, one after the other, under load.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_nothing() {
    let mut bed = Bed::start(31).await;
    bed.reach(10).await;
    for at in 0..5 {
        let address = bed.cluster.instances[at].callers.clone();
        *bed.crowd.stopping.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
        bed.cluster.signal_instance(at, "TERM").unwrap();
        let start = std::time::Instant::now();
        while !bed.cluster.has_ended(at) {
            assert!(start.elapsed().as_secs() < 30, "instance {at} did not stop");
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        bed.cluster.start_instance(at).unwrap();
        assert!(bed.cluster.wait_ready(&bed.http).await, "instance {at} did not return");
    }
    assert_eq!(bed.crowd.cut.load(Ordering::Relaxed), 0, "requests were cut");
    bed.finish("seed 31").await;
}
