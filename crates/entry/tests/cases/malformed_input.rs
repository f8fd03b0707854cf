//! Randomly generated input on the callers' listener.

use crate::support::caller::{KEY, fetch, post, send_raw};
use crate::support::harness::Harness;
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use std::panic;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::runtime::Builder;

const CASES: u64 = 300;

/// Largest number of random bytes for one case.
const SIZE_BYTES: u64 = 2_048;

/// Number of panics outside test files. A panic in a connection's task ends only
/// that task, so the test would not notice it otherwise.
static PANICS: AtomicUsize = AtomicUsize::new(0);

fn count_panics() {
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let in_test = info
            .location()
            .is_some_and(|place| place.file().contains("tests"));
        if !in_test {
            PANICS.fetch_add(1, Ordering::Relaxed);
        }
        before(info);
    }));
}

const METHODS: &[&str] = &["POST", "GET", "PUT", "BREW", ""];
const PATHS: &[&str] = &[
    "/v1/chat/completions",
    "/v1/completions",
    "/v1/models",
    "/svc/orders/%ff?\u{7f}",
    "/svc/lookup",
    "/svc//",
    "*",
];
const HEADERS: &[&str] = &[
    "authorization: Bearer ",
    "authorization: bearer\t",
    "x-profile: ",
    "x-deadline-ms: ",
    "idempotency-key: ",
    "content-length: ",
    "transfer-encoding: chunked",
    "expect: 100-continue",
];
const BODIES: &[&str] = &[
    r#"{"prompt":"x","stream":"#,
    r#"{"messages":[{"role":"user","content":"#,
    r#"{"prompt":{"a":[[[[[["#,
    r#"{"model":"\ud800","prompt":""#,
    r#"{"prompt":1,"max_tokens":1e400}"#,
    r#"{"prompt":1,"max_tokens":-1}"#,
];

/// Generates an almost valid request: known elements, each followed by random
/// bytes.
fn nearly_http(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let method = *u.choose(METHODS)?;
    let path = *u.choose(PATHS)?;
    bytes.extend_from_slice(format!("{method} {path}").as_bytes());
    let drawn = u.int_in_range(0..=4)?;
    bytes.extend_from_slice(u.bytes(drawn.min(u.len()))?);
    bytes.extend_from_slice(b" HTTP/1.1\r\nhost: x\r\n");
    bytes.extend_from_slice(format!("authorization: Bearer {KEY}\r\n").as_bytes());
    for _ in 0..u.int_in_range(0..=4)? {
        bytes.extend_from_slice(u.choose(HEADERS)?.as_bytes());
        let drawn = u.int_in_range(0..=8)?;
        bytes.extend_from_slice(u.bytes(drawn.min(u.len()))?);
        bytes.extend_from_slice(b"\r\n");
    }
    let mut body = u.choose(BODIES)?.as_bytes().to_vec();
    let drawn = u.int_in_range(0..=32)?;
    body.extend_from_slice(u.bytes(drawn.min(u.len()))?);
    bytes.extend_from_slice(
        format!("content-length: {}\r\n\r\n", body.len()).as_bytes(),
    );
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Whatever is sent to the callers' listener, the entry does not panic, keeps no
/// request in progress, and serves the next caller.
#[test]
fn random_input_neither_panics_nor_blocks_callers() {
    count_panics();
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let harness = runtime.block_on(Harness::start());
    let address = harness.entry.caller_address;
    for case in 0..CASES {
        let size = (case + 1) * SIZE_BYTES / CASES;
        arbtest(|u| {
            let bytes = match u.ratio(1, 4)? {
                true => u.bytes(u.len())?.to_vec(),
                false => nearly_http(u)?,
            };
            runtime.block_on(send_raw(address, &bytes));
            Ok(())
        })
        .seed(case << 32 | size)
        .run();
    }
    runtime.block_on(async {
        harness.wait_idle().await;
        let request = post("/v1/completions", r#"{"prompt":"x"}"#);
        let response_task = tokio::spawn(fetch(address, request));
        // Runs of generated requests that happened to be valid come first.
        loop {
            let attempt = harness.engine.next_attempt().await;
            if attempt.run.body == br#"{"stream":true,"prompt":"x"}"# {
                attempt.send_started().await;
                attempt.send_complete(0).await;
                break;
            }
        }
        assert_eq!(response_task.await.expect("the task runs").status, 200);
    });
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
}
