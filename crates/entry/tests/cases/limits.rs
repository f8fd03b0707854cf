//! Limits on what callers send, and on how slowly they read.

use crate::support::caller::{KEY, PartialResponse, fetch, post, send, send_raw};
use crate::support::harness::{Harness, metric, settings};
use base::ErrorCode;
use schema::settings::EntrySettings;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const BODY_MAX_BYTES: usize = 4_096;
const HEADER_MAX_BYTES: usize = 2_048;
const WINDOW_PARTS: usize = 8;
const ERROR: &[u8] = b"event: error\ndata: {";

async fn harness() -> Harness {
    Harness::with_limits(json!({
        "body_max_bytes": BODY_MAX_BYTES,
        "header_max_bytes": HEADER_MAX_BYTES,
        "answer_window_frames": WINDOW_PARTS,
    }))
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_over_the_limit_is_refused() {
    let harness = harness().await;
    let prompt = "x".repeat(BODY_MAX_BYTES);
    let request = post("/v1/completions", &format!(r#"{{"prompt":"{prompt}"}}"#));
    let response = fetch(harness.entry.caller_address, request).await;
    assert_eq!(response.status, 413);
    assert_eq!(response.code(), u64::from(ErrorCode::BodyTooLarge.number()));

    // The same with a chunked body, whose length is not announced.
    let chunk = format!("{BODY_MAX_BYTES:x}\r\n{prompt}\r\n");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-profile: chat\r\ntransfer-encoding: chunked\r\n\r\n{chunk}{chunk}0\r\n\r\n"
    );
    let read = send_raw(harness.entry.caller_address, head.as_bytes()).await;
    assert!(read.starts_with("HTTP/1.1 413 "), "{read}");
    assert_eq!(harness.entry.in_progress(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_over_the_limit_are_refused() {
    let harness = harness().await;
    for (bytes, status) in [(HEADER_MAX_BYTES, 400), (64 << 10, 431)] {
        let mut request = post("/v1/completions", r#"{"prompt":"x"}"#);
        let value = "x".repeat(bytes).parse().expect("a header value");
        request.headers_mut().insert("x-more", value);
        let response = fetch(harness.entry.caller_address, request).await;
        assert_eq!(response.status, status, "{bytes} bytes");
    }
    assert_eq!(harness.entry.in_progress(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_idempotency_key_is_refused() {
    let harness = harness().await;
    let mut request = post("/svc/orders/x", "cylinder");
    let key = "k".repeat(257).parse().expect("a header value");
    request.headers_mut().insert("idempotency-key", key);
    let response = fetch(harness.entry.caller_address, request).await;
    assert_eq!(response.code(), u64::from(ErrorCode::BadRequest.number()));
}

/// One caller stops reading while its answer is still being generated. Its queue
/// fills up, so its request is cancelled at the agent, and its response ends with
/// an error event and without `[DONE]`, as tokens were lost. A second caller whose
/// answer comes over the same link must still get its response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_caller_is_aborted_without_stalling_others() {
    let harness = harness().await;
    let body = r#"{"prompt":"slow","stream":true}"#;
    let mut slow = TcpStream::connect(harness.entry.caller_address)
        .await
        .expect("the entry listens");
    let length = body.len();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-profile: chat\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    slow.write_all(request.as_bytes())
        .await
        .expect("the entry reads");
    let slow_attempt = harness.engine.next_attempt().await;
    slow_attempt.send_started().await;

    // Large tokens fill the sockets' buffers soon. The pause after each token lets
    // the entry write it, so that these buffers fill up before the queue does, and
    // the checks below do not depend on what the caller has read.
    let token = vec![b'x'; 64 << 10];
    let mut sent = 0;
    while metric(&harness.entry, "sesame_entry_slow_callers_total").await < 1.0 {
        slow_attempt.send_part(sent, 1, &token).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        sent += 1;
        assert!(sent < 4_096, "the queue never fills up");
    }
    harness.engine.wait_cancelled(slow_attempt.id()).await;

    let request = post("/v1/completions", r#"{"prompt":"quick","stream":true}"#);
    let (quick, _connection) = send(harness.entry.caller_address, request).await;
    let quick_attempt = harness.engine.next_attempt().await;
    quick_attempt.send_started().await;
    quick_attempt.send_tokens(&["a"]).await;
    quick_attempt.send_complete(1).await;
    assert_eq!(quick.await.expect("the task runs").status(), 200);

    let mut read = Vec::new();
    while !read.windows(ERROR.len()).any(|bytes| bytes == ERROR) {
        let got = slow
            .read_buf(&mut read)
            .await
            .expect("the connection is open");
        assert_ne!(got, 0, "the response ends without an error event");
    }
    let read = String::from_utf8_lossy(&read);
    assert!(
        !read.contains("[DONE]"),
        "an aborted response must not end cleanly"
    );
}

/// Guards against a process that holds the body of every request in progress: once there
/// is no memory for another, its caller is refused with a retry time, and is served once
/// others have disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_for_all_request_bodies_is_limited() {
    const BODY_BYTES: usize = 900_000;
    let settings = EntrySettings {
        memory_mib: 64,
        ..settings()
    };
    let harness = Harness::with_settings(settings, json!({})).await;
    let address = harness.entry.caller_address;
    let request = || post("/svc/orders/x", &"x".repeat(BODY_BYTES));
    let mut running = Vec::new();
    let refused = loop {
        let (response, connection) = send(address, request()).await;
        tokio::select! {
            attempt = harness.service.next_attempt() => {
                assert_eq!(attempt.run.body.len(), BODY_BYTES);
                running.push(connection);
            }
            response = response => {
                let response = response.expect("the task runs");
                break PartialResponse::new(response, connection).read_rest().await;
            }
        }
        assert!(running.len() * BODY_BYTES < 64 << 20, "no body is refused");
    };
    assert_eq!(refused.status, 503);
    assert_eq!(refused.code(), u64::from(ErrorCode::Overloaded.number()));
    assert_eq!(refused.json()["error"]["ran"], "not_run");
    assert_eq!(refused.header("retry-after"), Some("1"));

    for connection in running {
        connection.abort();
    }
    let served = async {
        loop {
            let (_response, _connection) = send(address, request()).await;
            let attempt = harness.service.next_attempt();
            if timeout(Duration::from_secs(1), attempt).await.is_ok() {
                break;
            }
        }
    };
    timeout(Duration::from_secs(20), served)
        .await
        .expect("the memory is released");
}

/// Guards against callers that announce large bodies, send nothing, and take the memory
/// of those that do send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_are_only_announced_take_no_memory() {
    const ANNOUNCED_BYTES: usize = 1 << 20;
    const BODY_BYTES: usize = 900_000;
    let harness = Harness::start().await;
    let address = harness.entry.caller_address;
    let head = format!(
        "POST /svc/orders/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-profile: orders\r\nexpect: 100-continue\r\n\
         content-length: {ANNOUNCED_BYTES}\r\n\r\n"
    );
    let mut announcing = Vec::new();
    for _ in 0..300 {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the entry listens");
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the entry reads");
        // The entry asks for each body, as it takes memory only when it comes.
        let mut interim = [0; 12];
        stream
            .read_exact(&mut interim)
            .await
            .expect("the entry responds");
        assert_eq!(&interim, b"HTTP/1.1 100");
        announcing.push(stream);
    }
    let request = post("/svc/orders/x", &"x".repeat(BODY_BYTES));
    let (_response, _connection) = send(address, request).await;
    let attempt = harness.service.next_attempt().await;
    assert_eq!(attempt.run.body.len(), BODY_BYTES);
}

/// Guards against reading the body of a caller that is refused whatever it sends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_without_a_key_is_refused_before_its_body() {
    let harness = Harness::start().await;
    let mut stream = TcpStream::connect(harness.entry.caller_address)
        .await
        .expect("the entry listens");
    let head =
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("it reads");
    let mut first = [0; 13];
    let read =
        tokio::time::timeout(Duration::from_secs(10), stream.read_exact(&mut first));
    read.await.expect("a response").expect("a status line");
    assert_eq!(&first, b"HTTP/1.1 401 ");
}
