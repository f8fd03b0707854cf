//! Tests of the weight store.

use fake::Handle;
use fake::store::{self, Faults, Store, StoreOptions};
use std::time::Duration;
use tokio::time::Instant;

use crate::client::get;

async fn start(loads_per_s: f64, full_speed_loads: u32) -> Handle<Store> {
    let started = store::start(StoreOptions {
        loads_per_s,
        full_speed_loads,
        load_time_ms: 1_000,
        ..StoreOptions::default()
    });
    started.await.expect("loopback has a free port")
}

async fn load(store: &Handle<Store>) -> Option<u16> {
    let response = get(store.address, "/weights/m1?size_mib=70000").await;
    response.map(|response| response.status)
}

/// Concurrent loads must take at least the time that the limits imply.
#[tokio::test(start_paused = true)]
async fn start_rate_and_bandwidth_limit_loads() {
    let cases = [
        // (loads per second, full-speed loads, loads, minimum milliseconds)
        (1_000_000.0, 4, 1, 1_000),
        (1_000_000.0, 4, 4, 1_000),
        (1_000_000.0, 2, 4, 2_000),
        (2.0, 4, 3, 2_000),
    ];
    for (rate, full_speed, loads, minimum_ms) in cases {
        let store = start(rate, full_speed).await;
        let started_at = Instant::now();
        let all = futures::future::join_all((0..loads).map(|_| load(&store))).await;
        assert!(all.iter().all(|status| *status == Some(200)));
        // Tolerance of 10 ms, since the steps of a shared load are rounded to 0.1 ms.
        let minimum = Duration::from_millis(minimum_ms - 10);
        assert!(
            started_at.elapsed() >= minimum,
            "{rate} {full_speed} {loads}"
        );
        let counts = store.counts();
        assert_eq!((counts.started, counts.done), (loads, loads));
        assert_eq!(counts.active, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn faults_refuse_and_slow_down_loads() {
    let store = start(1_000.0, 4).await;
    store.set_faults(Faults {
        fail_loads: 1,
        ..Faults::default()
    });
    assert_eq!(load(&store).await, Some(503));
    assert_eq!(load(&store).await, Some(200));
    store.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    assert_eq!(load(&store).await, Some(503));
    store.set_faults(Faults {
        slow_factor: 3,
        ..Faults::default()
    });
    let started_at = Instant::now();
    assert_eq!(load(&store).await, Some(200));
    assert!(started_at.elapsed() >= Duration::from_millis(2_990));
    let other = get(store.address, "/weights/").await;
    assert_eq!(other.expect("a response arrives").status, 404);
}
