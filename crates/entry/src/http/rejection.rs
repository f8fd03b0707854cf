//! Rejected requests, and the JSON body of all error responses.

use base::{Code, Refusal, RequestId};
use serde::Serialize;

/// Why this process rejects a request before the state machine receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// Error code.
    pub(crate) code: Code,
    /// A message more specific than the default message of the code.
    pub(crate) message: Option<&'static str>,
}

impl Rejection {
    /// A rejection with the default message of its code.
    pub(crate) const fn new(code: Code) -> Self {
        Self {
            code,
            message: None,
        }
    }

    /// A rejection with the code `BadRequest` and a message.
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

/// The JSON body of an error response.
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
            message: message.unwrap_or_else(|| default_message(refusal.code)),
        },
    };
    serde_json::to_vec(&body).expect("strings and numbers always serialise")
}

fn default_message(code: Code) -> &'static str {
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
        Code::QuotaSpent => "the workspace has used what it may",
        Code::QuotaUnknown => {
            "nobody could say whether the workspace has something left"
        }
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
