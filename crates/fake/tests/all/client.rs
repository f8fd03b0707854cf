//! HTTP client that opens a new connection for each request.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// A complete response.
#[derive(Debug)]
pub struct CompleteResponse {
    pub status: u16,
    pub not_run: bool,
    pub version: Option<u64>,
    pub body: Bytes,
}

impl CompleteResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// Sends a request and returns the response with its body unread, or `None` if the
/// connection is closed before the headers.
pub async fn open_response(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Option<Response<Incoming>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    request = request.header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(body.into()))
        .expect("the request is valid");
    sender.send_request(request).await.ok()
}

/// Sends a request and reads the complete response. Returns `None` if the connection is
/// closed before its end.
pub async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Option<CompleteResponse> {
    let response = open_response(address, method, path, headers, body).await?;
    let version = response.headers().get("x-version");
    let version = version.and_then(|version| version.to_str().ok()?.parse().ok());
    Some(CompleteResponse {
        status: response.status().as_u16(),
        not_run: response.headers().contains_key("x-not-run"),
        version,
        body: response.into_body().collect().await.ok()?.to_bytes(),
    })
}

pub async fn get(address: SocketAddr, path: &str) -> Option<CompleteResponse> {
    send_request(address, "GET", path, &[], "").await
}

/// Polls until a condition holds. There is no time limit; the test runner enforces one.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
