//! Stopping.

use crate::support::caller::{call, post};
use crate::support::rig::Rig;
use base::Code;

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
    assert_eq!(late.code(), u64::from(Code::Leaving.number()));
    assert_eq!(late.json()["error"]["ran"], "not_run");
    assert_eq!(late.header("connection"), Some("close"));
    assert!(late.header("retry-after").is_some());
    assert!(!rig.entry.is_ready());

    job.tokens(&["a"]).await;
    job.whole(1).await;
    assert_eq!(asking.await.expect("the task runs").status, 200);
    rig.entry.finished().await;
}
