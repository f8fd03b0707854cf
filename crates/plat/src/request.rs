//! Conversion of operations to HTTP requests.

use base::{PlatformOp, Precondition};
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Builder;
use hyper::{Method, Request, header};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::generation::number_of;
use crate::response::GENERATION_HEADER;

/// How long the platform may wait for changes before it responds to a watch.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(25);

/// The HTTP request of an operation that belongs to a generation of the platform, if
/// known; `None` if its path is not a valid URI.
pub(crate) fn build_request(
    address: SocketAddr,
    op: &PlatformOp,
    generation: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let (method, path) = method_and_path(op, generation);
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    if let Some(generation) = generation {
        builder = builder.header(GENERATION_HEADER, generation);
    }
    let (builder, body) = match op {
        PlatformOp::Write {
            precondition,
            value,
            ..
        } => (
            with_precondition(builder, *precondition, generation),
            Bytes::copy_from_slice(value),
        ),
        PlatformOp::Delete { precondition, .. } => (
            with_precondition(builder, *precondition, generation),
            Bytes::new(),
        ),
        _ => (builder, Bytes::new()),
    };
    builder.body(Full::new(body)).ok()
}

fn method_and_path(op: &PlatformOp, generation: Option<u64>) -> (Method, String) {
    match op {
        PlatformOp::Read { key } => (Method::GET, format!("/objects/{}", encoded(key))),
        PlatformOp::List { prefix } => {
            (Method::GET, format!("/objects?prefix={}", encoded(prefix)))
        }
        PlatformOp::Write { key, .. } => {
            (Method::PUT, format!("/objects/{}", encoded(key)))
        }
        PlatformOp::Delete { key, .. } => {
            (Method::DELETE, format!("/objects/{}", encoded(key)))
        }
        PlatformOp::Watch { prefix, after } => {
            let prefix = encoded(prefix);
            let wait_ms = WATCH_WAIT.as_millis();
            let after = number_of(generation, *after);
            let path =
                format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
            (Method::GET, path)
        }
    }
}

fn with_precondition(
    builder: Builder,
    precondition: Precondition,
    generation: Option<u64>,
) -> Builder {
    match precondition {
        Precondition::Any => builder,
        Precondition::Absent => builder.header(header::IF_NONE_MATCH, "*"),
        Precondition::Version(version) => {
            builder.header(header::IF_MATCH, number_of(generation, version))
        }
    }
}

/// Percent-encodes all bytes of a key that have a meaning in a path or a query.
fn encoded(key: &str) -> String {
    let mut text = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            text.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(text, "%{byte:02X}");
        }
    }
    text
}
