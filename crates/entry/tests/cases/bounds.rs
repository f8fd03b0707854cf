//! Bounds on what callers send, and on how slowly they read.

use crate::support::caller::{KEY, call, post, raw, start};
use crate::support::rig::{Rig, metric};
use base::ErrorCode;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BODY_MAX_BYTES: usize = 4_096;
const HEADER_MAX_BYTES: usize = 2_048;
const WINDOW_PARTS: usize = 8;
const ERROR: &[u8] = b"event: error\ndata: {";

async fn rig() -> Rig {
    Rig::with_limits(json!({
        "body_max_bytes": BODY_MAX_BYTES,
        "header_max_bytes": HEADER_MAX_BYTES,
        "answer_window_frames": WINDOW_PARTS,
    }))
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_over_the_limit_is_refused() {
    let rig = rig().await;
    let prompt = "x".repeat(BODY_MAX_BYTES);
    let asked = post("/v1/completions", &format!(r#"{{"prompt":"{prompt}"}}"#));
    let whole = call(rig.entry.caller_address, asked).await;
    assert_eq!(whole.status, 413);
    assert_eq!(whole.code(), u64::from(ErrorCode::BodyTooLarge.number()));

    // The same without a length said before.
    let chunk = format!("{BODY_MAX_BYTES:x}\r\n{prompt}\r\n");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-profile: chat\r\ntransfer-encoding: chunked\r\n\r\n{chunk}{chunk}0\r\n\r\n"
    );
    let read = raw(rig.entry.caller_address, head.as_bytes()).await;
    assert!(read.starts_with("HTTP/1.1 413 "), "{read}");
    assert_eq!(rig.entry.in_progress(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_over_the_limit_are_refused() {
    let rig = rig().await;
    for (bytes, status) in [(HEADER_MAX_BYTES, 400), (64 << 10, 431)] {
        let mut asked = post("/v1/completions", r#"{"prompt":"x"}"#);
        let value = "x".repeat(bytes).parse().expect("a header value");
        asked.headers_mut().insert("x-more", value);
        let whole = call(rig.entry.caller_address, asked).await;
        assert_eq!(whole.status, status, "{bytes} bytes");
    }
    assert_eq!(rig.entry.in_progress(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotency_key_has_a_bound() {
    let rig = rig().await;
    let mut asked = post("/svc/orders/x", "cylinder");
    let key = "k".repeat(257).parse().expect("a header value");
    asked.headers_mut().insert("idempotency-key", key);
    let whole = call(rig.entry.caller_address, asked).await;
    assert_eq!(whole.code(), u64::from(ErrorCode::BadRequest.number()));
}

/// One caller stops reading while its answer goes on; another on the same link
/// is answered as ever. The first one's queue runs full, so its request is
/// cancelled at the agent, and what it reads later ends with an error event:
/// the tokens behind the bound are lost, and nothing says that it is whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_caller_is_broken_off_and_holds_up_nobody() {
    let rig = rig().await;
    let body = r#"{"prompt":"slow","stream":true}"#;
    let mut slow = TcpStream::connect(rig.entry.caller_address)
        .await
        .expect("it listens");
    let length = body.len();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-profile: chat\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    slow.write_all(request.as_bytes()).await.expect("it reads");
    let slow_job = rig.engine.job().await;
    slow_job.started().await;

    // Large tokens, so that the sockets' own buffers are soon full, and a pause
    // behind each, so that it is they that run full and not only the queue: what
    // follows must not hang on the caller's reading.
    let token = vec![b'x'; 64 << 10];
    let mut sent = 0;
    while metric(&rig.entry, "sesame_entry_slow_callers_total").await < 1.0 {
        slow_job.part(sent, 1, &token).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        sent += 1;
        assert!(sent < 4_096, "the queue never runs full");
    }
    rig.engine.cancelled(slow_job.attempt()).await;

    let asked = post("/v1/completions", r#"{"prompt":"quick","stream":true}"#);
    let (quick, _connection) = start(rig.entry.caller_address, asked).await;
    let quick_job = rig.engine.job().await;
    quick_job.started().await;
    quick_job.tokens(&["a"]).await;
    quick_job.whole(1).await;
    assert_eq!(quick.await.expect("the task runs").status(), 200);

    let mut read = Vec::new();
    while !read.windows(ERROR.len()).any(|bytes| bytes == ERROR) {
        let got = slow.read_buf(&mut read).await.expect("it is still open");
        assert_ne!(got, 0, "the answer ends without an error event");
    }
    let read = String::from_utf8_lossy(&read);
    assert!(
        !read.contains("[DONE]"),
        "a broken answer must not end cleanly"
    );
}

/// Callers announce large bodies and send nothing of them. Room for all bodies
/// together is bounded, so the caller behind them is told to come back, and is
/// served once they have left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_all_callers_have_a_bound() {
    const LARGE_BYTES: usize = 64 << 20;
    let rig = Rig::with_limits(json!({
        "body_max_bytes": LARGE_BYTES,
        "frame_max_bytes": LARGE_BYTES + (1 << 20),
    }))
    .await;
    let address = rig.entry.caller_address;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n\
         content-length: {LARGE_BYTES}\r\n\r\n"
    );
    let mut waiting = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        stream.write_all(head.as_bytes()).await.expect("it reads");
        // The entry asks for the body once it has made room for it.
        let mut asked = [0; 12];
        stream.read_exact(&mut asked).await.expect("it answers");
        assert_eq!(&asked, b"HTTP/1.1 100");
        waiting.push(stream);
    }
    let prompt = r#"{"prompt":1,"model":"nothing"}"#;
    let whole = call(address, post("/v1/completions", prompt)).await;
    assert_eq!(whole.code(), u64::from(ErrorCode::Overloaded.number()));
    assert_eq!(whole.header("retry-after"), Some("1"));

    drop(waiting);
    let served = async {
        while call(address, post("/v1/completions", prompt)).await.code()
            != u64::from(ErrorCode::UnknownModel.number())
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let patience = Duration::from_secs(20);
    tokio::time::timeout(patience, served)
        .await
        .expect("the room is given back");
}
