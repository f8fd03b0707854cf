//! Bytes that no well-meant caller sends.

use crate::support::caller::{KEY, call, post, raw};
use crate::support::rig::Rig;
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use std::panic;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::runtime::Builder;

const CASES: u64 = 300;

/// Most bytes drawn for one case.
const SIZE_BYTES: u64 = 2_048;

/// Panics outside of test files. A panic in a connection's task ends that task
/// only, so that a test would not see it otherwise.
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

/// A request that is nearly right: its parts are known ones, each with drawn
/// bytes behind it.
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

/// Whatever comes on the callers' listener, the entry does not panic, holds
/// nothing back of it, and answers the next caller.
#[test]
fn garbage_does_no_harm() {
    count_panics();
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let rig = runtime.block_on(Rig::start());
    let address = rig.entry.caller_address;
    for case in 0..CASES {
        let size = (case + 1) * SIZE_BYTES / CASES;
        arbtest(|u| {
            let bytes = match u.ratio(1, 4)? {
                true => u.bytes(u.len())?.to_vec(),
                false => nearly_http(u)?,
            };
            runtime.block_on(raw(address, &bytes));
            Ok(())
        })
        .seed(case << 32 | size)
        .run();
    }
    runtime.block_on(async {
        rig.until_idle().await;
        let asked = post("/v1/completions", r#"{"prompt":"x"}"#);
        let asking = tokio::spawn(call(address, asked));
        // Orders of requests that happened to be right came before.
        loop {
            let job = rig.engine.job().await;
            if job.run.body == br#"{"stream":true,"prompt":"x"}"# {
                job.started().await;
                job.whole(0).await;
                break;
            }
        }
        assert_eq!(asking.await.expect("the task runs").status, 200);
    });
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
}
