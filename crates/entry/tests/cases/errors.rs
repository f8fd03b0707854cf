//! What callers are told when there is no whole answer.

use crate::support::caller::{Whole, call, post};
use crate::support::platform::MemoryPlatform;
use crate::support::rig::{Rig, start_entry};
use base::{ErrorCode, RequestError, RequestId, RunStatus};
use bytes::Bytes;
use entry::error_answer;
use http_body_util::Full;
use hyper::{Method, Request};
use std::sync::Arc;

const PROMPT: &str = r#"{"prompt":"x"}"#;

/// Holds an error answer to the documented shape.
fn assert_error(what: &str, whole: &Whole, code: ErrorCode, ran: RunStatus) {
    let json = whole.json();
    let error = &json["error"];
    assert_eq!(error["code"], code.number(), "{what}: {json}");
    assert_eq!(error["name"], code.name(), "{what}");
    assert_eq!(error["ran"], ran.as_str(), "{what}");
    assert_eq!(whole.status, code.http_status(), "{what}");
    assert_eq!(whole.header("content-type"), Some("application/json"));
    assert_eq!(error["request"].as_str(), whole.header("x-request-id"));
    assert!(
        error["message"]
            .as_str()
            .is_some_and(|text| !text.is_empty())
    );
    let seconds = error["retry_after_ms"]
        .as_u64()
        .map(|ms| ms.div_ceil(1_000).to_string());
    assert_eq!(whole.header("retry-after"), seconds.as_deref(), "{what}");
}

/// One request that the entry refuses by itself.
struct Refused {
    what: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    code: ErrorCode,
}

impl Refused {
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

fn refused() -> Vec<Refused> {
    let completions = "/v1/completions";
    let bad = ErrorCode::BadRequest;
    let path = ErrorCode::UnknownPath;
    vec![
        Refused::post("no JSON", completions, "prompt", bad),
        Refused::post("no object", completions, "[]", bad),
        Refused::post("no prompt", completions, "{}", bad),
        Refused::post("no messages", "/v1/chat/completions", PROMPT, bad),
        Refused::post("twice", completions, r#"{"prompt":1,"prompt":2}"#, bad),
        Refused::post("stream", completions, r#"{"prompt":1,"stream":1}"#, bad),
        Refused::post("n", completions, r#"{"prompt":1,"n":2}"#, bad),
        Refused::post("model", completions, r#"{"prompt":1,"model":7}"#, bad),
        Refused::post("path", "/v1/nothing", "", path),
        Refused::post("root", "/", "", path),
        Refused::post("no service named", "/svc/", "", path),
        Refused {
            method: Method::GET,
            ..Refused::post("method", completions, "", path)
        },
        Refused::post("service", "/svc/nothing/x", "", ErrorCode::UnknownService),
        Refused::post(
            "model",
            completions,
            r#"{"prompt":1,"model":"nothing"}"#,
            ErrorCode::UnknownModel,
        ),
        Refused::post(
            "model of another profile",
            completions,
            r#"{"prompt":1,"model":"other"}"#,
            ErrorCode::UnknownProfile,
        ),
        Refused::with(
            "profile",
            &[("x-profile", "none")],
            ErrorCode::UnknownProfile,
        ),
        Refused::with(
            "caller",
            &[("authorization", "Bearer none")],
            ErrorCode::UnknownCaller,
        ),
        Refused::with(
            "scheme",
            &[("authorization", "Basic press-key")],
            ErrorCode::UnknownCaller,
        ),
        Refused::with(
            "deadline",
            &[("x-deadline-ms", "soon")],
            ErrorCode::BadDeadline,
        ),
        Refused::with(
            "deadline",
            &[("x-deadline-ms", "-1")],
            ErrorCode::BadDeadline,
        ),
        Refused::with(
            "deadline",
            &[("x-deadline-ms", "0")],
            ErrorCode::BadDeadline,
        ),
        Refused::with("key", &[("idempotency-key", "")], bad),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_the_entry_refuses_were_not_run() {
    let rig = Rig::start().await;
    for case in refused() {
        let whole = call(rig.entry.caller_address, case.request()).await;
        assert_error(case.what, &whole, case.code, RunStatus::NotRun);
    }
}

/// Two deadlines, of which each reader could take another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_header_that_stands_twice_is_refused() {
    let rig = Rig::start().await;
    for name in [
        "x-deadline-ms",
        "x-profile",
        "idempotency-key",
        "authorization",
    ] {
        let mut asked = post("/v1/completions", PROMPT);
        for _ in 0..2 {
            let value = "1000".parse().expect("a header value");
            asked.headers_mut().append(name, value);
        }
        let whole = call(rig.entry.caller_address, asked).await;
        assert_error(name, &whole, ErrorCode::BadRequest, RunStatus::NotRun);
    }
}

/// Every code, every state of knowledge, with and without a time to come back.
#[test]
fn every_error_has_the_documented_shape() {
    let request = RequestId {
        origin: 0xabc,
        sequence: 0x12,
    };
    for code in ErrorCode::ALL.iter().filter(|code| code.number() < 5_000) {
        for ran in [RunStatus::NotRun, RunStatus::Ran, RunStatus::Unknown] {
            for (retry_after_ms, seconds) in RETRIES {
                let refusal = RequestError {
                    code: *code,
                    ran,
                    retry_after_ms: *retry_after_ms,
                };
                let (head, body) = error_answer(request, &refusal, None).into_parts();
                let whole = Whole {
                    status: head.status.as_u16(),
                    headers: head.headers,
                    body: String::from_utf8(body.to_vec()).expect("UTF-8"),
                };
                assert_error(code.name(), &whole, *code, ran);
                assert_eq!(whole.header("retry-after"), *seconds);
                assert_eq!(whole.header("x-request-id"), Some("abc-12"));
                let message = &whole.json()["error"]["message"];
                assert_ne!(message, code.name(), "a sentence for the caller");
            }
        }
    }
}

/// Milliseconds to come back after, and the header that says so.
const RETRIES: &[(Option<u64>, Option<&str>)] = &[
    (None, None),
    (Some(0), Some("0")),
    (Some(1), Some("1")),
    (Some(1_000), Some("1")),
    (Some(1_001), Some("2")),
];

/// Codes with which an agent ends a call, and what its caller is told.
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

/// The agent ends a call that may not be repeated, with or without having run
/// it. The caller gets the code, whether the call ran, and the agent's time to
/// come back; nothing is sent a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_an_agent_says_reaches_the_caller() {
    let rig = Rig::start().await;
    for (index, (said, ran, told)) in ENDS.iter().enumerate() {
        let mut asked = post("/svc/orders/parts", "cylinder");
        let key = format!("key-{index}").parse().expect("a header value");
        asked.headers_mut().insert("idempotency-key", key);
        let asking = tokio::spawn(call(rig.entry.caller_address, asked));
        let job = rig.shop.job().await;
        match ran {
            RunStatus::NotRun => job.refused(*said, 1_200).await,
            RunStatus::Ran | RunStatus::Unknown => {
                job.started().await;
                job.failed(*said, *ran, 1_200).await;
            }
        }
        let whole = asking.await.expect("the task runs");
        assert_error(said.name(), &whole, *told, *ran);
        if said == told {
            assert_eq!(whole.header("retry-after"), Some("2"), "{}", said.name());
        }
    }
}

/// The caller gets 503 and a time to come back while the process has no
/// configuration: the platform is away from its start on, and it has no peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_configuration_nothing_is_run() {
    let platform = Arc::new(MemoryPlatform::default());
    platform
        .away
        .store(true, std::sync::atomic::Ordering::Relaxed);
    let entry = start_entry(&platform).await;
    let asked = [
        post("/v1/completions", PROMPT),
        post("/svc/orders/x", "cylinder"),
    ];
    for asked in asked {
        let whole = call(entry.caller_address, asked).await;
        assert_error("not ready", &whole, ErrorCode::NotReady, RunStatus::NotRun);
        assert!(whole.header("retry-after").is_some());
    }
    assert!(!entry.is_ready());
}
