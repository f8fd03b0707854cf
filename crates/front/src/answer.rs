//! Answers to callers.

use base::prelude::*;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use snafu::Snafu;

use crate::PlatformProtocol;

/// An answer that can't be completed. The connection ends without the answer's
/// end, so that it does not look complete.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(crate) struct BrokenOff;

/// Body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// A whole answer of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Whole {
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(whole_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// A body that is all there.
pub(crate) fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

#[derive(Debug, Serialize)]
struct Fault<'a> {
    code: u32,
    name: &'a str,
    ran: &'a str,
}

/// An answer of this system's own.
pub(crate) fn refusal(
    dialect: &dyn PlatformProtocol,
    id: &str,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    let fault = Fault {
        code: refusal.code.number(),
        name: refusal.code.name(),
        ran: refusal.ran.as_str(),
    };
    // A structure of numbers and literals always serialises.
    let body = serde_json::to_vec(&fault).unwrap_or_default();
    let mut response = Response::new(whole_body(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    dialect.set_response_id(headers, id);
    response
}
