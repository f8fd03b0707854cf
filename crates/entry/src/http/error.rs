//! Error answers.

use base::{ErrorCode, RequestError, RequestId};
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::body::ReplyBody;
use super::fault::{Fault, error_json};

/// Header that names the request in answers and in the time line.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Content type of all JSON answers.
pub(crate) const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// When a caller should come back to a process that has no configuration yet or
/// no room for its body.
const RETRY_AFTER_MS: u64 = 1_000;

/// The answer to a request that this process refuses itself.
pub(crate) fn fault_answer(request: RequestId, fault: Fault) -> Response<ReplyBody> {
    let mut refusal = RequestError::not_run(fault.code);
    if matches!(fault.code, ErrorCode::NotReady | ErrorCode::Overloaded) {
        refusal = refusal.retry_after_ms(RETRY_AFTER_MS);
    }
    error_answer(request, &refusal, fault.message).map(ReplyBody::whole)
}

/// The answer to a request without a whole answer.
pub(crate) fn refusal_answer(
    request: RequestId,
    refusal: &RequestError,
) -> Response<ReplyBody> {
    error_answer(request, refusal, None).map(ReplyBody::whole)
}

/// An error as callers get it: status, headers and JSON body.
///
/// Without a message the code's own text is given.
pub fn error_answer(
    request: RequestId,
    refusal: &RequestError,
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
    if refusal.code == ErrorCode::Leaving {
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
