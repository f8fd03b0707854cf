//! Error responses to requests that are refused or fail.

use crate::support::caller::{ReceivedResponse, fetch, post};
use crate::support::harness::{Harness, start_entry};
use crate::support::platform::MemoryPlatform;
use base::{ErrorCode, RequestError, RequestId, RunStatus};
use bytes::Bytes;
use entry::error_response;
use http_body_util::Full;
use hyper::{Method, Request};
use std::sync::Arc;

const PROMPT: &str = r#"{"prompt":"x"}"#;

/// Checks that an error response has the documented format.
fn assert_error(
    what: &str,
    response: &ReceivedResponse,
    code: ErrorCode,
    ran: RunStatus,
) {
    let json = response.json();
    let error = &json["error"];
    assert_eq!(error["code"], code.number(), "{what}: {json}");
    assert_eq!(error["name"], code.name(), "{what}");
    assert_eq!(error["ran"], ran.as_str(), "{what}");
    assert_eq!(response.status, code.http_status(), "{what}");
    assert_eq!(response.header("content-type"), Some("application/json"));
    assert_eq!(error["request"].as_str(), response.header("x-request-id"));
    assert!(
        error["message"]
            .as_str()
            .is_some_and(|text| !text.is_empty())
    );
    let seconds = error["retry_after_ms"]
        .as_u64()
        .map(|ms| ms.div_ceil(1_000).to_string());
    assert_eq!(response.header("retry-after"), seconds.as_deref(), "{what}");
}

/// A request that the entry rejects without an agent.
struct Rejected {
    what: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    code: ErrorCode,
}

impl Rejected {
    const fn post(
        what: &'static str,
        path: &'static str,
        body: &'static str,
        code: ErrorCode,
    ) -> Self {
        Self {
            what,
            method: Method::POST,
            path,
            headers: &[],
            body,
            code,
        }
    }

    const fn with(
        what: &'static str,
        headers: &'static [(&'static str, &'static str)],
        code: ErrorCode,
    ) -> Self {
        Self {
            what,
            method: Method::POST,
            path: "/v1/completions",
            headers,
            body: PROMPT,
            code,
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = post(self.path, self.body);
        *request.method_mut() = self.method.clone();
        for (name, value) in self.headers {
            let value = value.parse().expect("a header value");
            request.headers_mut().insert(*name, value);
        }
        request
    }
}

fn rejected_requests() -> Vec<Rejected> {
    let completions = "/v1/completions";
    let bad = ErrorCode::BadRequest;
    let path = ErrorCode::UnknownPath;
    vec![
        Rejected::post("no JSON", completions, "prompt", bad),
        Rejected::post("no object", completions, "[]", bad),
        Rejected::post("no prompt", completions, "{}", bad),
        Rejected::post("no messages", "/v1/chat/completions", PROMPT, bad),
        Rejected::post("twice", completions, r#"{"prompt":1,"prompt":2}"#, bad),
        Rejected::post("stream", completions, r#"{"prompt":1,"stream":1}"#, bad),
        Rejected::post("n", completions, r#"{"prompt":1,"n":2}"#, bad),
        Rejected::post("model", completions, r#"{"prompt":1,"model":7}"#, bad),
        Rejected::post("path", "/v1/nothing", "", path),
        Rejected::post("root", "/", "", path),
        Rejected::post("no service named", "/svc/", "", path),
        Rejected {
            method: Method::GET,
            ..Rejected::post("method", completions, "", path)
        },
        Rejected::post("service", "/svc/nothing/x", "", ErrorCode::UnknownService),
        Rejected::post(
            "model",
            completions,
            r#"{"prompt":1,"model":"nothing"}"#,
            ErrorCode::UnknownModel,
        ),
        Rejected::post(
            "model of another profile",
            completions,
            r#"{"prompt":1,"model":"other"}"#,
            ErrorCode::UnknownProfile,
        ),
        Rejected::with(
            "profile",
            &[("x-profile", "none")],
            ErrorCode::UnknownProfile,
        ),
        Rejected::with(
            "caller",
            &[("authorization", "Bearer none")],
            ErrorCode::UnknownCaller,
        ),
        Rejected::with(
            "scheme",
            &[("authorization", "Basic press-key")],
            ErrorCode::UnknownCaller,
        ),
        Rejected::with(
            "deadline",
            &[("x-deadline-ms", "soon")],
            ErrorCode::BadDeadline,
        ),
        Rejected::with(
            "deadline",
            &[("x-deadline-ms", "-1")],
            ErrorCode::BadDeadline,
        ),
        Rejected::with(
            "deadline",
            &[("x-deadline-ms", "0")],
            ErrorCode::BadDeadline,
        ),
        Rejected::with("key", &[("idempotency-key", "")], bad),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_the_entry_refuses_were_not_run() {
    let harness = Harness::start().await;
    for case in rejected_requests() {
        let response = fetch(harness.entry.caller_address, case.request()).await;
        assert_error(case.what, &response, case.code, RunStatus::NotRun);
    }
}

/// Two values of a header, of which different programs could use different ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_header_is_refused() {
    let harness = Harness::start().await;
    for name in [
        "x-deadline-ms",
        "x-profile",
        "idempotency-key",
        "authorization",
    ] {
        let mut request = post("/v1/completions", PROMPT);
        for _ in 0..2 {
            let value = "1000".parse().expect("a header value");
            request.headers_mut().append(name, value);
        }
        let response = fetch(harness.entry.caller_address, request).await;
        assert_error(name, &response, ErrorCode::BadRequest, RunStatus::NotRun);
    }
}

/// Checks the format for each code, run status and retry time.
#[test]
fn every_error_has_the_documented_format() {
    let request = RequestId {
        origin: 0xabc,
        sequence: 0x12,
    };
    for code in ErrorCode::ALL.iter().filter(|code| code.number() < 5_000) {
        for ran in [RunStatus::NotRun, RunStatus::Ran, RunStatus::Unknown] {
            for (retry_after_ms, seconds) in RETRIES {
                let error = RequestError {
                    code: *code,
                    ran,
                    retry_after_ms: *retry_after_ms,
                };
                let (head, body) = error_response(request, &error, None).into_parts();
                let response = ReceivedResponse {
                    status: head.status.as_u16(),
                    headers: head.headers,
                    body: String::from_utf8(body.to_vec()).expect("UTF-8"),
                };
                assert_error(code.name(), &response, *code, ran);
                assert_eq!(response.header("retry-after"), *seconds);
                assert_eq!(response.header("x-request-id"), Some("abc-12"));
                let message = &response.json()["error"]["message"];
                assert_ne!(message, code.name(), "a sentence for the caller");
            }
        }
    }
}

/// Retry times in milliseconds, and the `retry-after` header in seconds.
const RETRIES: &[(Option<u64>, Option<&str>)] = &[
    (None, None),
    (Some(0), Some("0")),
    (Some(1), Some("1")),
    (Some(1_000), Some("1")),
    (Some(1_001), Some("2")),
];

/// Codes with which an agent ends a request, whether the request ran, and the code
/// that the caller gets.
const ENDS: &[(ErrorCode, RunStatus, ErrorCode)] = &[
    (
        ErrorCode::KeyReused,
        RunStatus::NotRun,
        ErrorCode::KeyReused,
    ),
    (
        ErrorCode::KeyInProgress,
        RunStatus::NotRun,
        ErrorCode::KeyInProgress,
    ),
    (
        ErrorCode::KeyMissing,
        RunStatus::NotRun,
        ErrorCode::KeyMissing,
    ),
    (
        ErrorCode::PlatformAway,
        RunStatus::NotRun,
        ErrorCode::PlatformAway,
    ),
    (
        ErrorCode::DeadlineWhileRunning,
        RunStatus::Ran,
        ErrorCode::DeadlineWhileRunning,
    ),
    (
        ErrorCode::OutcomeUnknown,
        RunStatus::Unknown,
        ErrorCode::OutcomeUnknown,
    ),
    (
        ErrorCode::UpstreamLost,
        RunStatus::Unknown,
        ErrorCode::OutcomeUnknown,
    ),
    (
        ErrorCode::UpstreamFault,
        RunStatus::Ran,
        ErrorCode::OutcomeUnknown,
    ),
];

/// The agent ends a request that may not be retried, with or without having run
/// it. The caller gets the code, whether the request ran, and the agent's retry
/// time; the request is not sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agents_error_reaches_the_caller() {
    let harness = Harness::start().await;
    for (index, (agent_code, ran, reported_code)) in ENDS.iter().enumerate() {
        let mut request = post("/svc/orders/parts", "cylinder");
        let key = format!("key-{index}").parse().expect("a header value");
        request.headers_mut().insert("idempotency-key", key);
        let response_task = tokio::spawn(fetch(harness.entry.caller_address, request));
        let attempt = harness.service.next_attempt().await;
        match ran {
            RunStatus::NotRun => attempt.send_refused(*agent_code, 1_200).await,
            RunStatus::Ran | RunStatus::Unknown => {
                attempt.send_started().await;
                attempt.send_failed(*agent_code, *ran, 1_200).await;
            }
        }
        let response = response_task.await.expect("the task runs");
        assert_error(agent_code.name(), &response, *reported_code, *ran);
        if agent_code == reported_code {
            assert_eq!(
                response.header("retry-after"),
                Some("2"),
                "{}",
                agent_code.name()
            );
        }
    }
}

/// The platform is unreachable from the start and the entry has no peers, so it
/// has no configuration. Callers get status 503 and a retry time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_configuration_nothing_is_run() {
    let platform = Arc::new(MemoryPlatform::default());
    platform
        .unavailable
        .store(true, std::sync::atomic::Ordering::Relaxed);
    let entry = start_entry(&platform).await;
    let request = [
        post("/v1/completions", PROMPT),
        post("/svc/orders/x", "cylinder"),
    ];
    for request in request {
        let response = fetch(entry.caller_address, request).await;
        assert_error(
            "not ready",
            &response,
            ErrorCode::NotReady,
            RunStatus::NotRun,
        );
        assert!(response.header("retry-after").is_some());
    }
    assert!(!entry.is_ready());
}
