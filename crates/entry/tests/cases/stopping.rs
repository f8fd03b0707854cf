//! Stopping.

use crate::support::caller::{call, post};
use crate::support::rig::Rig;
use base::ErrorCode;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The process drains with one request in progress. New requests are refused as
/// not run, with a time to come back and a closed connection; the one in
/// progress gets its whole answer, and only then the process ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_entry_refuses_and_finishes() {
    let rig = Rig::start().await;
    let address = rig.entry.caller_address;
    let asked = post("/v1/completions", r#"{"prompt":"x"}"#);
    let asking = tokio::spawn(call(address, asked));
    let job = rig.engine.job().await;
    job.started().await;
    rig.entry.drain();

    let late = call(address, post("/v1/completions", r#"{"prompt":"y"}"#)).await;
    assert_eq!(late.code(), u64::from(ErrorCode::Leaving.number()));
    assert_eq!(late.json()["error"]["ran"], "not_run");
    assert_eq!(late.header("connection"), Some("close"));
    assert!(late.header("retry-after").is_some());
    assert!(!rig.entry.is_ready());

    job.tokens(&["a"]).await;
    job.whole(1).await;
    assert_eq!(asking.await.expect("the task runs").status, 200);
    rig.entry.finished().await;
}

/// The process has drained and waits for a caller that has sent half of its request.
/// Another caller connected meanwhile: nobody took its connection, and it hung until
/// the process ended and reset it. It is turned away at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_entry_takes_no_connection_that_it_will_not_read() {
    const AT_ONCE: Duration = Duration::from_secs(2);
    let rig = Rig::start().await;
    let address = rig.entry.caller_address;
    let mut half = TcpStream::connect(address).await.expect("it listens");
    half.write_all(b"POST /v1/completions HTTP/1.1\r\n")
        .await
        .expect("it reads");
    // The half is read before the process drains.
    call(address, post("/v1/nothing", "{}")).await;
    rig.entry.drain();
    let ended = tokio::spawn(rig.entry.finished());
    let closed = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(AT_ONCE, closed)
        .await
        .expect("the listener closes while the half request is waited for");
    assert!(!ended.is_finished(), "it still waits");
    drop(half);
    ended.await.expect("the task runs");
}
