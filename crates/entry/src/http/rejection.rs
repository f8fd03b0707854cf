//! Rejected requests, and the JSON body of all error responses.

use base::{ErrorCode, RequestError, RequestId};
use serde::Serialize;

/// Why this process rejects a request before the state machine receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// Error code.
    pub(crate) code: ErrorCode,
    /// A message more specific than the default message of the code.
    pub(crate) message: Option<&'static str>,
}

impl Rejection {
    /// A rejection with the default message of its code.
    pub(crate) const fn new(code: ErrorCode) -> Self {
        Self {
            code,
            message: None,
        }
    }

    /// A rejection with the code `BadRequest` and a message.
    pub(crate) const fn bad_request(message: &'static str) -> Self {
        Self {
            code: ErrorCode::BadRequest,
            message: Some(message),
        }
    }
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorObject<'a>,
}

/// What the JSON body of an error response contains under `error`.
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
    error: &RequestError,
    message: Option<&str>,
) -> Vec<u8> {
    let body = ErrorBody {
        error: ErrorObject {
            code: error.code.number(),
            name: error.code.name(),
            ran: error.ran.as_str(),
            retry_after_ms: error.retry_after_ms,
            request: &request.to_string(),
            message: message.unwrap_or_else(|| default_message(error.code)),
        },
    };
    serde_json::to_vec(&body).expect("strings and numbers always serialise")
}

/// The message for callers when there is no more specific one.
fn default_message(code: ErrorCode) -> &'static str {
    match code {
        ErrorCode::BadRequest => "the request can't be read",
        ErrorCode::UnknownCaller => "no caller has this key",
        ErrorCode::UnknownProfile => {
            "no such profile, or it does not name the model or service"
        }
        ErrorCode::UnknownModel => "no such model or adapter",
        ErrorCode::UnknownService => "no such service",
        ErrorCode::BodyTooLarge => "the body is larger than the limit",
        ErrorCode::KeyReused => "the idempotency key was used before with another body",
        ErrorCode::UnknownPath => "no such path or method",
        ErrorCode::KeyMissing => "this call needs an idempotency-key header",
        ErrorCode::BadDeadline => "x-deadline-ms can't be read or has passed",
        ErrorCode::BodyTimeout => "the body did not come in time",
        ErrorCode::Overloaded => "the expectation can't be met under the present load",
        ErrorCode::QueueFull => "too many requests are waiting",
        ErrorCode::CallerLimit => "the caller has too many requests in progress",
        ErrorCode::Leaving => "the process is stopping",
        ErrorCode::ModelUnavailable => "the model is not loaded and can't be in time",
        ErrorCode::DeadlineBeforeRun => {
            "the deadline passed before the request was run"
        }
        ErrorCode::RequestCrashedUpstreams => {
            "the request crashed upstreams and is not run for now"
        }
        ErrorCode::KeyInProgress => "another request with this key is in progress",
        ErrorCode::WrongIncarnation
        | ErrorCode::GateFull
        | ErrorCode::Revoked
        | ErrorCode::NotHeld => "the upstream did not take the request",
        ErrorCode::NotReady => "the process has no configuration yet",
        ErrorCode::QuotaSpent => "the workspace has used what it may",
        ErrorCode::QuotaUnknown => {
            "nobody could say whether the workspace has something left"
        }
        ErrorCode::ResumeUnavailable => {
            "the software version that began the stream is not known or can't go on"
        }
        ErrorCode::PromptPartCrashedUpstreams => {
            "requests that share a part of the prompt crashed upstreams"
        }
        ErrorCode::UpstreamLost => "the upstream died with the request in flight",
        ErrorCode::UpstreamFault => "the upstream refused or broke its protocol",
        ErrorCode::DeadlineWhileRunning => "the deadline passed while the request ran",
        ErrorCode::AnswerBroken => "the answer broke off and could not be continued",
        ErrorCode::OutcomeUnknown => {
            "the call was handed on and whether it took effect is not known"
        }
        ErrorCode::PlatformAway => {
            "the platform can't be reached and the request needs it"
        }
        ErrorCode::Conflict => "the platform holds another version by now",
        ErrorCode::WriteUnanswered => {
            "whether a write to the platform took effect is not known"
        }
        other => other.name(),
    }
}
