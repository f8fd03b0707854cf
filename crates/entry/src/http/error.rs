//! Error responses, and the headers and helpers common to all JSON responses.

use base::{ErrorCode, RequestError, RequestId};
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::rejection::{Rejection, error_json};
use super::response_body::ResponseBody;

/// Header with the request's id, by which the timeline names the request.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Content type of all JSON responses.
pub(crate) const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Retry time for callers when the process has no configuration yet, or no memory
/// left for request bodies.
const RETRY_AFTER_MS: u64 = 1_000;

/// The response to a request that this process rejects before the state machine
/// receives it.
pub(crate) fn rejection_response(
    request: RequestId,
    rejection: Rejection,
) -> Response<ResponseBody> {
    let mut error = RequestError::not_run(rejection.code);
    if matches!(rejection.code, ErrorCode::NotReady | ErrorCode::Overloaded) {
        error = error.retry_after_ms(RETRY_AFTER_MS);
    }
    error_response(request, &error, rejection.message).map(ResponseBody::buffered)
}

/// The response to a request that was refused or that failed.
pub(crate) fn failure_response(
    request: RequestId,
    error: &RequestError,
) -> Response<ResponseBody> {
    error_response(request, error, None).map(ResponseBody::buffered)
}

/// The response for an error of a request: status, headers and JSON body.
///
/// If `message` is `None`, the default message of the code is used.
pub fn error_response(
    request: RequestId,
    error: &RequestError,
    message: Option<&str>,
) -> Response<Bytes> {
    let body = Bytes::from(error_json(request, error, message));
    let mut response = json_response(request, body);
    *response.status_mut() = StatusCode::from_u16(error.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if let Some(ms) = error.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
    }
    // The load balancer in front keeps connections open. Without this header the
    // next request on the connection would reach the draining process again.
    if error.code == ErrorCode::Leaving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A response with status 200 and a JSON body.
pub(crate) fn json_response(request: RequestId, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    set_request_id(&mut response, request);
    response
}

/// Adds the request's id to a response.
pub(crate) fn set_request_id<T>(response: &mut Response<T>, request: RequestId) {
    let name = HeaderValue::try_from(request.to_string())
        .expect("hexadecimal digits and a dash are a header value");
    response.headers_mut().insert(REQUEST_ID, name);
}
