//! Conversion of attempts to HTTP requests for the upstream.

use base::AttemptId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use schema::link::Run;
use std::net::SocketAddr;

/// Content type of requests for which the caller gave none.
const DEFAULT_CONTENT_TYPE: &str = "application/json";

/// Builds the HTTP request of an attempt and takes the body out of `run`.
///
/// Returns `None` if HTTP can't represent the request, for example if its path contains
/// a space.
pub(super) fn build_request(
    address: SocketAddr,
    attempt: AttemptId,
    run: &mut Run,
) -> Option<Request<Full<Bytes>>> {
    let body = Bytes::from(std::mem::take(&mut run.body));
    let content_type = if run.content_type.is_empty() {
        DEFAULT_CONTENT_TYPE
    } else {
        &run.content_type
    };
    let mut builder = Request::builder()
        .method(method(run)?)
        .uri(path(run)?)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, content_type)
        .header("x-request-id", attempt.to_string());
    if run.service.is_empty() {
        builder = builder
            .header("x-priority", run.priority)
            .header("x-resume-offset", run.resume_offset)
            .header("x-model-version", run.version);
    }
    if !run.idempotency_key.is_empty() {
        builder = builder.header("idempotency-key", &run.idempotency_key);
    }
    builder.body(Full::new(body)).ok()
}

fn method(run: &Run) -> Option<Method> {
    if run.method.is_empty() {
        return Some(Method::POST);
    }
    Method::from_bytes(run.method.as_bytes()).ok()
}

/// Returns the path if it is relative to the upstream; an absolute URI could name
/// another host.
fn path(run: &Run) -> Option<&str> {
    run.path.starts_with('/').then_some(run.path.as_str())
}
