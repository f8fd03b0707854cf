//! Requests in flight while the service's health check fails.

use crate::support::AgentFixture;
use schema::link::frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How a service responds to health checks while a request is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// With status 503 at once.
    Refused,
    /// Not for this time.
    Silent(Duration),
}

/// Sends a request that takes 5 seconds; the health checks fail for 600 ms, or are
/// silent, meanwhile. Returns the code of the attempt's end and the time until it.
async fn end_beside(health: Health) -> (u32, bool, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let failing = Arc::new(AtomicBool::new(false));
    let is_failing = Arc::clone(&failing);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let failing = Arc::clone(&is_failing);
            tokio::spawn(async move {
                let mut bytes = vec![0; 4_096];
                let read = stream.read(&mut bytes).await.unwrap_or(0);
                let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
                let response = if text.starts_with("GET /healthz ") {
                    match health {
                        Health::Refused if failing.load(Ordering::Relaxed) => {
                            "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_owned()
                        }
                        Health::Silent(time) if failing.load(Ordering::Relaxed) => {
                            tokio::time::sleep(time).await;
                            return;
                        }
                        _ => "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"incarnation\":5}"
                            .to_owned(),
                    }
                } else {
                    tokio::time::sleep(Duration::from_secs(5)).await;
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello".to_owned()
                };
                let _ = stream.write_all(response.as_bytes()).await;
            });
        }
    });
    let mut fixture = AgentFixture::start("plain", address).await;
    let mut run = fixture.build_run(true);
    run.idempotency_key = "k1".to_owned();
    let began_at = Instant::now();
    fixture.send(frame::Body::Run(run)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    failing.store(true, Ordering::Relaxed);
    let restored = Arc::clone(&failing);
    tokio::spawn(async move {
        let time = match health {
            Health::Refused => Duration::from_millis(600),
            Health::Silent(time) => time,
        };
        tokio::time::sleep(time).await;
        restored.store(false, Ordering::Relaxed);
    });
    loop {
        if let frame::Body::End(end) = fixture.next_attempt_frame().await {
            return (end.code, end.upstream_crashed, began_at.elapsed());
        }
    }
}

/// Guards against ending the requests of a service whose health check answers that it is
/// overloaded, while it runs them.
#[tokio::test]
async fn a_refused_health_check_ends_no_request() {
    let end = end_beside(Health::Refused).await;
    assert_eq!((end.0, end.1), (0, false), "{end:?}");
}

/// Guards against ending the requests of a service that is silent for four seconds.
#[tokio::test]
async fn a_silent_health_check_ends_no_request() {
    let end = end_beside(Health::Silent(Duration::from_secs(4))).await;
    assert_eq!((end.0, end.1), (0, false), "{end:?}");
}
