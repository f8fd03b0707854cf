//! Responses to operators.

use base::ErrorCode;
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::HeaderValue;
use hyper::{Response, StatusCode, header};
use serde::Serialize;

/// A response of the operators' listener.
pub(crate) type OperatorResponse = Response<Full<Bytes>>;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody {
    code: u32,
    error: &'static str,
}

/// A response with a text body.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> OperatorResponse {
    with_content_type(status, TEXT, body.into())
}

/// A response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> OperatorResponse {
    match serde_json::to_vec(value) {
        Ok(body) => with_content_type(status, JSON, body.into()),
        Err(error) => {
            log::warn!("can't encode a response as JSON: {error}");
            text(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

/// An error response: the code's HTTP status, and its number and name as JSON.
pub(crate) fn error_response(code: ErrorCode) -> OperatorResponse {
    let status = StatusCode::from_u16(code.http_status());
    let body = ErrorBody {
        code: code.number(),
        error: code.name(),
    };
    json(status.unwrap_or(StatusCode::BAD_REQUEST), &body)
}

fn with_content_type(
    status: StatusCode,
    content_type: HeaderValue,
    body: Bytes,
) -> OperatorResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
