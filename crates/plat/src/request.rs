//! Calls as HTTP requests.

use base::{ObjectVersion, PlatformOp, Precondition};
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Builder;
use hyper::{Method, Request, header};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the platform may hold a watch open.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(25);

/// The HTTP request of a call; `None` if its key can't be put in a path.
pub(crate) fn request(
    address: SocketAddr,
    op: &PlatformOp,
) -> Option<Request<Full<Bytes>>> {
    let (method, path) = line(op);
    let builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    let (builder, body) = match op {
        PlatformOp::Write {
            precondition,
            value,
            ..
        } => (
            condition(builder, *precondition),
            Bytes::copy_from_slice(value),
        ),
        PlatformOp::Delete { precondition, .. } => {
            (condition(builder, *precondition), Bytes::new())
        }
        _ => (builder, Bytes::new()),
    };
    builder.body(Full::new(body)).ok()
}

fn line(op: &PlatformOp) -> (Method, String) {
    match op {
        PlatformOp::Read { key } => (Method::GET, format!("/objects/{}", escaped(key))),
        PlatformOp::List { prefix } => {
            (Method::GET, format!("/objects?prefix={}", escaped(prefix)))
        }
        PlatformOp::Write { key, .. } => {
            (Method::PUT, format!("/objects/{}", escaped(key)))
        }
        PlatformOp::Delete { key, .. } => {
            (Method::DELETE, format!("/objects/{}", escaped(key)))
        }
        PlatformOp::Watch { prefix, after } => {
            let prefix = escaped(prefix);
            let wait_ms = WATCH_WAIT.as_millis();
            let path =
                format!("/watch?prefix={prefix}&after={}&wait_ms={wait_ms}", after.0);
            (Method::GET, path)
        }
    }
}

fn condition(builder: Builder, precondition: Precondition) -> Builder {
    match precondition {
        Precondition::Any => builder,
        Precondition::Absent => builder.header(header::IF_NONE_MATCH, "*"),
        Precondition::Version(ObjectVersion(version)) => {
            builder.header(header::IF_MATCH, version)
        }
    }
}

/// A key with everything escaped that has a meaning in a path or a query.
fn escaped(key: &str) -> String {
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
