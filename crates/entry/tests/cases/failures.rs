//! Failures while a request is in progress.

use crate::support::agent::{RequestFrame, send_revoked};
use crate::support::caller::{fetch, post, send, send_until_head};
use crate::support::harness::Harness;
use base::{ErrorCode, RunStatus};

const STREAM: &str = r#"{"prompt":"x","stream":true}"#;
const WHOLE: &str = r#"{"prompt":"x"}"#;

/// The caller disconnects after the first token of a streamed response. The HTTP
/// library drops the response's body, the guard in it informs the state machine,
/// and the agent gets a `Cancel`. Otherwise the engine would go on generating, and
/// the request would keep its batch slot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_disconnects_mid_stream_cancels() {
    let harness = Harness::start().await;
    let request = post("/v1/completions", STREAM);
    let response_task =
        tokio::spawn(send_until_head(harness.entry.caller_address, request));
    let attempt = harness.engine.next_attempt().await;
    attempt.send_started().await;
    attempt.send_tokens(&["one"]).await;
    let mut partial = response_task.await.expect("the task runs");
    partial.read_until("one").await;
    partial.disconnect();
    harness.engine.wait_cancelled(attempt.id()).await;
    harness.wait_idle().await;
}

/// The caller disconnects before the first token, once with a streamed response
/// and once with one in a single piece. No head has been sent, so the HTTP library
/// drops the future that waits for the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_disconnects_before_the_first_part_cancels() {
    let harness = Harness::start().await;
    for body in [STREAM, WHOLE] {
        let request = post("/v1/completions", body);
        let (response, connection) = send(harness.entry.caller_address, request).await;
        let attempt = harness.engine.next_attempt().await;
        attempt.send_started().await;
        connection.abort();
        response.abort();
        harness.engine.wait_cancelled(attempt.id()).await;
        harness.wait_idle().await;
    }
}

/// What happens after the first token, so that the answer can't be completed.
#[derive(Debug, Clone, Copy)]
enum AnswerFailure {
    UpstreamFault,
    WrongLength,
    LinkLost,
}

/// The caller has one token when its answer is cut short: the engine fails, the
/// agent reports more tokens than it sent, or the link is lost and no other agent
/// holds the model. A streamed response ends with an error event and without
/// `[DONE]`; a response in one piece is an error with its own status.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_incomplete_response_never_ends_cleanly() {
    for failure in [
        AnswerFailure::UpstreamFault,
        AnswerFailure::WrongLength,
        AnswerFailure::LinkLost,
    ] {
        for stream in [true, false] {
            let harness = Harness::start().await;
            let body = if stream { STREAM } else { WHOLE };
            let mut request = post("/v1/completions", body);
            let deadline = "1000".parse().expect("a header value");
            request.headers_mut().insert("x-deadline-ms", deadline);
            let response_task =
                tokio::spawn(fetch(harness.entry.caller_address, request));
            let attempt = harness.engine.next_attempt().await;
            attempt.send_started().await;
            attempt.send_tokens(&["one"]).await;
            match failure {
                AnswerFailure::UpstreamFault => {
                    attempt
                        .send_failed(ErrorCode::UpstreamFault, RunStatus::Ran, 0)
                        .await;
                }
                AnswerFailure::WrongLength => attempt.send_complete(5).await,
                AnswerFailure::LinkLost => {
                    harness.wait_delivered(3).await;
                    attempt.cut_link();
                }
            }
            let response = response_task.await.expect("the task runs");
            let what = format!("{failure:?}, stream {stream}: {}", response.body);
            assert!(!response.body.contains("[DONE]"), "{what}");
            if stream {
                assert!(response.body.contains("event: error\ndata: {"), "{what}");
                assert!(response.body.contains(r#""ran":"ran""#), "{what}");
            } else {
                assert!(response.status >= 500, "{what}");
            }
            harness.wait_idle().await;
        }
    }
}

/// The agent sends the second token twice and then continues. The caller must get
/// each token once and in order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_part_is_delivered_once() {
    let harness = Harness::start().await;
    let request = post("/v1/completions", WHOLE);
    let response_task = tokio::spawn(fetch(harness.entry.caller_address, request));
    let attempt = harness.engine.next_attempt().await;
    attempt.send_started().await;
    attempt.send_part(0, 1, b"a").await;
    attempt.send_part(1, 1, b"b").await;
    attempt.send_part(1, 1, b"b").await;
    attempt.send_part(2, 1, b"c").await;
    attempt.send_complete(3).await;
    let response = response_task.await.expect("the task runs");
    assert_eq!(response.json()["choices"][0]["text"], "abc");
}

/// The link is lost after a request that may not be retried was sent to the agent,
/// and the agent can't say whether it ran. The caller must get an error that does
/// not claim that the request was not run. The request must not be sent again, as
/// that could execute an order twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_may_not_be_retried_is_sent_once() {
    let harness = Harness::start().await;
    let mut request = post("/svc/orders/parts", "cylinder");
    let key = "k1".parse().expect("a header value");
    request.headers_mut().insert("idempotency-key", key);
    let deadline = "3000".parse().expect("a header value");
    request.headers_mut().insert("x-deadline-ms", deadline);
    let response_task = tokio::spawn(fetch(harness.entry.caller_address, request));
    let attempt = harness.service.next_attempt().await;
    attempt.send_started().await;
    attempt.cut_link();
    let answering = async {
        loop {
            match harness.service.next_frame().await {
                (RequestFrame::Revoke(revoke), sender) => {
                    send_revoked(&sender, revoke, RunStatus::Unknown).await;
                }
                (RequestFrame::Run(run), _) => panic!("sent again: {run:?}"),
                (RequestFrame::Cancel(_), _) => {}
            }
        }
    };
    let response = tokio::select! {
        response = response_task => response.expect("the task runs"),
        () = answering => unreachable!("the loop does not end"),
    };
    assert_ne!(
        response.json()["error"]["ran"],
        "not_run",
        "{}",
        response.body
    );
    assert!(response.status >= 500, "{}", response.body);
}

/// The agent refuses a request for a streamed response before the first part. No
/// head has been sent, so the caller must get the refusal with its own status and
/// not as an event after status 200.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_refused_before_its_first_part_has_a_status() {
    let harness = Harness::start().await;
    let request = post("/v1/completions", STREAM);
    let response_task = tokio::spawn(fetch(harness.entry.caller_address, request));
    let attempt = harness.engine.next_attempt().await;
    attempt.send_refused(ErrorCode::BadRequest, 0).await;
    let response = response_task.await.expect("the task runs");
    assert_eq!(response.status, 400, "{}", response.body);
    assert_eq!(response.code(), u64::from(ErrorCode::BadRequest.number()));
}
