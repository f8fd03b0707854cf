//! Reading what refused callers still send.

use inbound::drain;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

/// Guards against a refusal that its caller doesn't get, as the connection is reset while
/// it still sends.
#[tokio::test(start_paused = true)]
async fn a_caller_that_ends_is_read_to_the_end() {
    let (mut caller, entry) = duplex(1_024);
    let drained = tokio::spawn(drain(entry));
    caller.write_all(&[0; 100_000]).await.expect("it is read");
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.expect("it is closed");
    drop(caller);
    assert!(drained.await.expect("the task runs"));
}

/// Guards against callers that are read for as long as they send.
#[tokio::test(start_paused = true)]
async fn a_caller_that_sends_without_end_is_cut_off() {
    let (mut caller, entry) = duplex(64 << 10);
    let drained = tokio::spawn(drain(entry));
    let mut sent = 0;
    while caller.write_all(&[0; 64 << 10]).await.is_ok() {
        sent += 64 << 10;
        assert!(sent < 64 << 20, "it is read without end");
    }
    assert!(!drained.await.expect("the task runs"));
}

/// Guards against callers that keep a connection by sending nothing.
#[tokio::test(start_paused = true)]
async fn a_caller_that_rests_is_cut_off() {
    let (_caller, entry) = duplex(1_024);
    let drained = tokio::time::timeout(Duration::from_secs(60), drain(entry));
    assert!(!drained.await.expect("it ends by itself"));
}
