//! Responses to callers.

use base::prelude::*;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use snafu::Snafu;

use crate::PlatformProtocol;

/// A response that can't be completed. The connection is closed before the end
/// of the response, so that it doesn't look complete.
#[derive(Debug, Snafu)]
#[snafu(display("the response broke off"))]
pub(crate) struct ResponseAborted;

/// Body of a response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, ResponseAborted>;

/// A complete response of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BufferedResponse {
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Returns a body with known content.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    code: u32,
    name: &'a str,
    ran: &'a str,
    /// The part of the prompt for which the request is refused, as the caller names it.
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt_part: Option<String>,
}

/// Returns the response to a request that ended with an error of this entry.
pub(crate) fn error_response(
    protocol: &dyn PlatformProtocol,
    id: &str,
    error: &RequestError,
) -> Response<ResponseBody> {
    error_response_for_part(protocol, id, error, None)
}

/// Returns the response to a request that ended with an error of this entry, because of
/// a part of its prompt if one is given.
pub(crate) fn error_response_for_part(
    protocol: &dyn PlatformProtocol,
    id: &str,
    error: &RequestError,
    prompt_part: Option<u64>,
) -> Response<ResponseBody> {
    let body = ErrorBody {
        code: error.code.number(),
        name: error.code.name(),
        ran: error.ran.as_str(),
        prompt_part: prompt_part.map(|part| format!("{part:x}")),
    };
    // A struct of numbers and strings always serializes.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(error.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = error.retry_after_ms {
        let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    protocol.set_response_id(headers, id);
    response
}
