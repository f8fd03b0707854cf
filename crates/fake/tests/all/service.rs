//! Tests of the plain service.

use fake::service::{self, Faults, ServiceOptions};

use crate::client::{CompleteResponse, get, send_request};

async fn send_order(
    address: std::net::SocketAddr,
    key: &str,
) -> Option<CompleteResponse> {
    let headers = [("idempotency-key", key), ("x-request-id", "r1")];
    send_request(address, "POST", "/svc/orders", &headers, "{}").await
}

#[tokio::test]
async fn requests_are_counted_by_key_and_id() {
    let service = service::start(ServiceOptions::default()).await;
    let service = service.expect("loopback has a free port");
    for (key, count) in [("k1", 1), ("k2", 1), ("k1", 2)] {
        let response = send_order(service.address, key)
            .await
            .expect("a response arrives");
        assert_eq!(response.json()["count"], count);
        assert_eq!(response.json()["key"], key);
    }
    let counts = service.counts();
    assert_eq!(counts.runs, 3);
    assert_eq!(counts.by_key.get("k1"), Some(&2));
    assert_eq!(counts.by_request.get("r1"), Some(&3));
    let health = get(service.address, "/healthz").await;
    assert_eq!(health.expect("a response arrives").json()["incarnation"], 1);
}

/// Checks the response to a request under each fault, and whether it ran.
#[tokio::test]
async fn each_fault_has_exactly_one_effect() {
    let none = Faults::default;
    let cases = [
        (none(), Some(200), 1),
        (
            Faults {
                break_after: 1,
                ..none()
            },
            None,
            1,
        ),
        (
            Faults {
                break_before: 1,
                ..none()
            },
            None,
            0,
        ),
        (Faults { fail: 1, ..none() }, Some(500), 1),
        (
            Faults {
                refuse: 1,
                ..none()
            },
            Some(503),
            0,
        ),
        (
            Faults {
                closed: true,
                ..none()
            },
            None,
            0,
        ),
    ];
    for (faults, status, runs) in cases {
        let service = service::start(ServiceOptions::default()).await;
        let service = service.expect("loopback has a free port");
        service.set_faults(faults.clone());
        let response = send_order(service.address, "k").await;
        let not_run = response.as_ref().is_some_and(|response| response.not_run);
        assert_eq!(not_run, faults.refuse > 0, "{faults:?}");
        assert_eq!(
            response.map(|response| response.status),
            status,
            "{faults:?}"
        );
        assert_eq!(service.counts().runs, runs, "{faults:?}");
        service.set_faults(none());
        let next = send_order(service.address, "k").await;
        assert_eq!(
            next.expect("the fault is no longer active").status,
            200,
            "{faults:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn requests_take_at_least_work_time_and_delay() {
    let service = service::start(ServiceOptions {
        work_ms: 300,
        ..ServiceOptions::default()
    })
    .await
    .expect("loopback has a free port");
    service.set_faults(Faults {
        slow_ms: 400,
        ..Faults::default()
    });
    let started_at = tokio::time::Instant::now();
    assert!(send_order(service.address, "k").await.is_some());
    assert!(started_at.elapsed() >= std::time::Duration::from_millis(700));
}
