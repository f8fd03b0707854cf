//! Failures in the middle of a request.

use crate::support::agent::{Order, revoked};
use crate::support::caller::{begin, call, post, start};
use crate::support::rig::Rig;
use base::{ErrorCode, RunStatus};

const STREAM: &str = r#"{"prompt":"x","stream":true}"#;
const WHOLE: &str = r#"{"prompt":"x"}"#;

/// The caller cuts its connection after the first token of a stream. The
/// entry's HTTP library drops the answer's body, the guard inside tells the
/// machine, and the agent gets `Cancel` at once: the engine would otherwise go
/// on for nobody and keep a place in its batch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_gone_in_mid_stream_cancels() {
    let rig = Rig::start().await;
    let asked = post("/v1/completions", STREAM);
    let asking = tokio::spawn(begin(rig.entry.caller_address, asked));
    let job = rig.engine.job().await;
    job.started().await;
    job.tokens(&["one"]).await;
    let mut begun = asking.await.expect("the task runs");
    begun.read_until("one").await;
    begun.leave();
    rig.engine.cancelled(job.attempt()).await;
    rig.until_idle().await;
}

/// The caller cuts its connection before anything has come, once for a stream
/// and once for a whole answer. No head has been sent, so it is the waiting
/// future that the HTTP library drops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_gone_before_the_first_part_cancels() {
    let rig = Rig::start().await;
    for body in [STREAM, WHOLE] {
        let asked = post("/v1/completions", body);
        let (response, connection) = start(rig.entry.caller_address, asked).await;
        let job = rig.engine.job().await;
        job.started().await;
        connection.abort();
        response.abort();
        rig.engine.cancelled(job.attempt()).await;
        rig.until_idle().await;
    }
}

/// What an agent does after the first token, so that no whole answer can come.
#[derive(Debug, Clone, Copy)]
enum Break {
    Fails,
    EndsTooSoon,
    LinkCut,
}

/// The caller has read one token when the answer breaks: the engine fails, the
/// agent states another length than it sent, or the link is cut and nobody else
/// holds the model. The stream ends with an error event and without `[DONE]`;
/// asked for in one piece, the answer is an error with its status.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_answer_never_ends_cleanly() {
    for how in [Break::Fails, Break::EndsTooSoon, Break::LinkCut] {
        for stream in [true, false] {
            let rig = Rig::start().await;
            let body = if stream { STREAM } else { WHOLE };
            let mut asked = post("/v1/completions", body);
            let deadline = "1000".parse().expect("a header value");
            asked.headers_mut().insert("x-deadline-ms", deadline);
            let asking = tokio::spawn(call(rig.entry.caller_address, asked));
            let job = rig.engine.job().await;
            job.started().await;
            job.tokens(&["one"]).await;
            match how {
                Break::Fails => {
                    job.failed(ErrorCode::UpstreamFault, RunStatus::Ran, 0)
                        .await;
                }
                Break::EndsTooSoon => job.whole(5).await,
                Break::LinkCut => {
                    rig.until_delivered(3).await;
                    job.cut();
                }
            }
            let whole = asking.await.expect("the task runs");
            let what = format!("{how:?}, stream {stream}: {}", whole.body);
            assert!(!whole.body.contains("[DONE]"), "{what}");
            if stream {
                assert!(whole.body.contains("event: error\ndata: {"), "{what}");
                assert!(whole.body.contains(r#""ran":"ran""#), "{what}");
            } else {
                assert!(whole.status >= 500, "{what}");
            }
            rig.until_idle().await;
        }
    }
}

/// A part that repeats or skips tokens is not delivered: the caller reads each
/// token once, in order, or an error. The agent sends the second token twice
/// and then goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_doubled_part_is_delivered_once() {
    let rig = Rig::start().await;
    let asked = post("/v1/completions", WHOLE);
    let asking = tokio::spawn(call(rig.entry.caller_address, asked));
    let job = rig.engine.job().await;
    job.started().await;
    job.part(0, 1, b"a").await;
    job.part(1, 1, b"b").await;
    job.part(1, 1, b"b").await;
    job.part(2, 1, b"c").await;
    job.whole(3).await;
    let whole = asking.await.expect("the task runs");
    assert_eq!(whole.json()["choices"][0]["text"], "abc");
}

/// The link is cut after a call that may not be repeated was handed to the
/// agent, and the agent can't say whether it ran. The caller is told so, and
/// the call is not sent again: a doubled order would ship twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_may_not_be_repeated_is_sent_once() {
    let rig = Rig::start().await;
    let mut asked = post("/svc/orders/parts", "cylinder");
    let key = "k1".parse().expect("a header value");
    asked.headers_mut().insert("idempotency-key", key);
    let deadline = "3000".parse().expect("a header value");
    asked.headers_mut().insert("x-deadline-ms", deadline);
    let asking = tokio::spawn(call(rig.entry.caller_address, asked));
    let job = rig.shop.job().await;
    job.started().await;
    job.cut();
    let answering = async {
        loop {
            match rig.shop.order().await {
                (Order::Revoke(revoke), sender) => {
                    revoked(&sender, revoke, RunStatus::Unknown).await;
                }
                (Order::Run(run), _) => panic!("sent again: {run:?}"),
                (Order::Cancel(_), _) => {}
            }
        }
    };
    let whole = tokio::select! {
        whole = asking => whole.expect("the task runs"),
        () = answering => unreachable!("it answers for ever"),
    };
    assert_ne!(whole.json()["error"]["ran"], "not_run", "{}", whole.body);
    assert!(whole.status >= 500, "{}", whole.body);
}

/// An agent refuses a stream before its first part. The caller has seen nothing
/// yet, so it gets the refusal with its own status and not in a stream that
/// began with 200.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_refused_before_its_first_part_has_a_status() {
    let rig = Rig::start().await;
    let asked = post("/v1/completions", STREAM);
    let asking = tokio::spawn(call(rig.entry.caller_address, asked));
    let job = rig.engine.job().await;
    job.refused(ErrorCode::BadRequest, 0).await;
    let whole = asking.await.expect("the task runs");
    assert_eq!(whole.status, 400, "{}", whole.body);
    assert_eq!(whole.code(), u64::from(ErrorCode::BadRequest.number()));
}
