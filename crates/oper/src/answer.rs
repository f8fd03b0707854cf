//! Answers to operators.

use base::ErrorCode;
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::HeaderValue;
use hyper::{Response, StatusCode, header};
use serde::Serialize;

/// An answer whose body is at hand.
pub(crate) type Answer = Response<Full<Bytes>>;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Why a call is refused, as operators read it.
#[derive(Debug, Serialize)]
struct Fault {
    code: u32,
    error: &'static str,
}

/// A text.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    with_type(status, TEXT, body.into())
}

/// A value as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => with_type(status, JSON, body.into()),
        Err(fault) => {
            log::warn!("an answer can't be written as JSON: {fault}");
            text(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

/// A numbered fault.
pub(crate) fn fault(code: ErrorCode) -> Answer {
    let status = StatusCode::from_u16(code.http_status());
    let body = Fault {
        code: code.number(),
        error: code.name(),
    };
    json(status.unwrap_or(StatusCode::BAD_REQUEST), &body)
}

fn with_type(status: StatusCode, kind: HeaderValue, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
