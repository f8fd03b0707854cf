//! Error answers.

use base::{Code, Refusal, RequestId};
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::body::ReplyBody;

/// Header that names the request in answers and in the time line.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Content type of all JSON answers.
pub(crate) const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// A request that this process refuses before its machine sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Code.
    pub(crate) code: Code,
    /// What is wrong, where the code's own text says too little.
    pub(crate) message: Option<&'static str>,
}

impl Fault {
    /// A fault that the code's own text explains.
    pub(crate) const fn new(code: Code) -> Self {
        Self {
            code,
            message: None,
        }
    }

    /// A request that can't be read.
    pub(crate) const fn bad_request(message: &'static str) -> Self {
        Self {
            code: Code::BadRequest,
            message: Some(message),
        }
    }
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorObject<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorObject<'a> {
    code: u32,
    name: &'static str,
    ran: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request: &'a str,
    message: &'a str,
}

/// The JSON text of an error.
pub(crate) fn error_json(
    request: RequestId,
    refusal: &Refusal,
    message: Option<&str>,
) -> Vec<u8> {
    let body = ErrorBody {
        error: ErrorObject {
            code: refusal.code.number(),
            name: refusal.code.name(),
            ran: refusal.ran.as_str(),
            retry_after_ms: refusal.retry_after_ms,
            request: &request.to_string(),
            message: message.unwrap_or_else(|| text(refusal.code)),
        },
    };
    serde_json::to_vec(&body).expect("strings and numbers always serialise")
}

/// When a caller should come back to a process that has no configuration yet or
/// no room for its body.
const RETRY_AFTER_MS: u64 = 1_000;

/// The answer to a request that this process refuses itself.
pub(crate) fn fault_answer(request: RequestId, fault: Fault) -> Response<ReplyBody> {
    let mut refusal = Refusal::not_run(fault.code);
    if matches!(fault.code, Code::NotReady | Code::Overloaded) {
        refusal = refusal.retry_after_ms(RETRY_AFTER_MS);
    }
    error_answer(request, &refusal, fault.message).map(ReplyBody::whole)
}

/// The answer to a request without a whole answer.
pub(crate) fn refusal_answer(
    request: RequestId,
    refusal: &Refusal,
) -> Response<ReplyBody> {
    error_answer(request, refusal, None).map(ReplyBody::whole)
}

/// An error as callers get it: status, headers and JSON body.
///
/// Without a message the code's own text is given.
pub fn error_answer(
    request: RequestId,
    refusal: &Refusal,
    message: Option<&str>,
) -> Response<Bytes> {
    let body = Bytes::from(error_json(request, refusal, message));
    let mut response = json_answer(request, body);
    *response.status_mut() = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if let Some(ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
    }
    // The balancer in front keeps connections open. Without this a caller would
    // send its next request to the leaving process again.
    if refusal.code == Code::Leaving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// An answer with status 200 and a JSON body.
pub(crate) fn json_answer(request: RequestId, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    name_request(&mut response, request);
    response
}

/// Adds the request's name to an answer.
pub(crate) fn name_request<T>(response: &mut Response<T>, request: RequestId) {
    let name = HeaderValue::try_from(request.to_string())
        .expect("hexadecimal digits and a dash are a header value");
    response.headers_mut().insert(REQUEST_ID, name);
}

fn text(code: Code) -> &'static str {
    match code {
        Code::BadRequest => "the request can't be read",
        Code::UnknownCaller => "no caller has this key",
        Code::UnknownProfile => {
            "no such profile, or it does not name the model or service"
        }
        Code::UnknownModel => "no such model or adapter",
        Code::UnknownService => "no such service",
        Code::BodyTooLarge => "the body is larger than the limit",
        Code::KeyReused => "the idempotency key was used before with another body",
        Code::UnknownPath => "no such path or method",
        Code::KeyMissing => "this call needs an idempotency-key header",
        Code::BadDeadline => "x-deadline-ms can't be read or has passed",
        Code::Overloaded => "the expectation can't be met under the present load",
        Code::QueueFull => "too many requests are waiting",
        Code::CallerLimit => "the caller has too many requests in progress",
        Code::Leaving => "the process is stopping",
        Code::ModelUnavailable => "the model is not loaded and can't be in time",
        Code::DeadlineBeforeRun => "the deadline passed before the request was run",
        Code::Convicted => "the request crashed upstreams and is not run for now",
        Code::KeyInProgress => "another request with this key is in progress",
        Code::WrongIncarnation | Code::GateFull | Code::Revoked | Code::NotHeld => {
            "the upstream did not take the request"
        }
        Code::NotReady => "the process has no configuration yet",
        Code::UpstreamLost => "the upstream died with the request in flight",
        Code::UpstreamFault => "the upstream refused or broke its protocol",
        Code::DeadlineWhileRunning => "the deadline passed while the request ran",
        Code::AnswerBroken => "the answer broke off and could not be continued",
        Code::OutcomeUnknown => {
            "the call was handed on and whether it took effect is not known"
        }
        Code::PlatformAway => "the platform can't be reached and the request needs it",
        Code::Conflict => "the platform holds another version by now",
        Code::WriteUnanswered => {
            "whether a write to the platform took effect is not known"
        }
        other => other.name(),
    }
}
