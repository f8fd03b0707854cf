//! Draining and shutdown.

use crate::support::caller::{fetch, post};
use crate::support::harness::Harness;
use base::ErrorCode;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The process drains with one request in progress. New requests are refused as
/// not run, with a retry time and `connection: close`. The request in progress
/// gets its complete response, and the process ends only after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_entry_refuses_and_finishes() {
    let harness = Harness::start().await;
    let address = harness.entry.caller_address;
    let request = post("/v1/completions", r#"{"prompt":"x"}"#);
    let response_task = tokio::spawn(fetch(address, request));
    let attempt = harness.engine.next_attempt().await;
    attempt.send_started().await;
    harness.entry.drain();

    let late = fetch(address, post("/v1/completions", r#"{"prompt":"y"}"#)).await;
    assert_eq!(late.code(), u64::from(ErrorCode::Leaving.number()));
    assert_eq!(late.json()["error"]["ran"], "not_run");
    assert_eq!(late.header("connection"), Some("close"));
    assert!(late.header("retry-after").is_some());
    assert!(!harness.entry.is_ready());

    attempt.send_tokens(&["a"]).await;
    attempt.send_complete(1).await;
    assert_eq!(response_task.await.expect("the task runs").status, 200);
    harness.entry.wait_drained().await;
}

/// The process has drained and waits for a caller that has sent half a request.
/// Connections attempted in that time must be refused at once. They used to be left
/// in the accept queue, and were reset when the process ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_entry_accepts_no_new_connections() {
    const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
    let harness = Harness::start().await;
    let address = harness.entry.caller_address;
    let mut half_request = TcpStream::connect(address)
        .await
        .expect("the entry listens");
    half_request
        .write_all(b"POST /v1/completions HTTP/1.1\r\n")
        .await
        .expect("the entry reads");
    // By the end of this request, the entry has read the half request.
    fetch(address, post("/v1/nothing", "{}")).await;
    harness.entry.drain();
    let entry_task = tokio::spawn(harness.entry.wait_drained());
    let closed = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(CLOSE_TIMEOUT, closed)
        .await
        .expect("the listener closes while the entry waits for the half request");
    assert!(!entry_task.is_finished(), "the entry still waits");
    drop(half_request);
    entry_task.await.expect("the task runs");
}
