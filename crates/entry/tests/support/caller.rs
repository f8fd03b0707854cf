//! A caller's HTTP client.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

pub(crate) const KEY: &str = "press-key";
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A completely received response.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl ReceivedResponse {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn code(&self) -> u64 {
        self.json()["error"]["code"].as_u64().unwrap_or_default()
    }
}

/// A response of which the head has been received.
#[derive(Debug)]
pub(crate) struct PartialResponse {
    pub(crate) response: Response<Incoming>,
    connection: AbortHandle,
}

impl PartialResponse {
    pub(crate) const fn new(
        response: Response<Incoming>,
        connection: AbortHandle,
    ) -> Self {
        Self {
            response,
            connection,
        }
    }

    /// Reads until `text` has been received, and returns all that was read.
    pub(crate) async fn read_until(&mut self, text: &str) -> String {
        let mut read = String::new();
        while !read.contains(text) {
            let frame = timeout(WAIT_TIMEOUT, self.response.frame()).await;
            let frame = frame
                .expect("more data arrives")
                .expect("the body has not ended");
            let data = frame.expect("the connection is open").into_data();
            read.push_str(std::str::from_utf8(&data.expect("data")).expect("UTF-8"));
        }
        read
    }

    pub(crate) async fn read_rest(self) -> ReceivedResponse {
        let (parts, body) = self.response.into_parts();
        let body = timeout(WAIT_TIMEOUT, body.collect())
            .await
            .expect("the body ends");
        let body = body.expect("the connection is open").to_bytes();
        ReceivedResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }

    /// Closes the connection.
    pub(crate) fn disconnect(self) {
        self.connection.abort();
    }
}

/// A POST request with the caller's key and the profile that matches the path.
pub(crate) fn post(path: &str, body: &str) -> Request<Full<Bytes>> {
    let profile = if path.starts_with("/svc/") {
        "orders"
    } else {
        "chat"
    };
    Request::post(path)
        .header("authorization", format!("Bearer {KEY}"))
        .header("x-profile", profile)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a valid request")
}

/// Sends a request and waits for the head of the response.
pub(crate) async fn send_until_head(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> PartialResponse {
    let (response, connection) = send(address, request).await;
    let response = timeout(WAIT_TIMEOUT, response)
        .await
        .expect("a response arrives");
    PartialResponse {
        response: response.expect("the task runs"),
        connection,
    }
}

/// Sends a request on a new connection. Returns the task that receives the
/// response's head, and a handle that closes the connection.
pub(crate) async fn send(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> (tokio::task::JoinHandle<Response<Incoming>>, AbortHandle) {
    let stream = TcpStream::connect(address)
        .await
        .expect("the entry listens");
    let io = TokioIo::new(stream);
    let (mut sender, connection) =
        http1::handshake(io).await.expect("the handshake succeeds");
    let connection = tokio::spawn(connection).abort_handle();
    let host = "loopback".parse().expect("a header value");
    request.headers_mut().insert("host", host);
    let response = tokio::spawn(async move {
        let response = sender.send_request(request).await;
        response.expect("the entry responds")
    });
    (response, connection)
}

/// Sends a request and waits for the complete response.
pub(crate) async fn fetch(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> ReceivedResponse {
    send_until_head(address, request).await.read_rest().await
}

/// Writes bytes, which need not be HTTP, and reads until the connection closes.
pub(crate) async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the entry listens");
    // The entry may close the connection before all is written; only its
    // response matters.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut read = Vec::new();
    let _ = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut read))
        .await
        .expect("the entry closes the connection");
    String::from_utf8_lossy(&read).into_owned()
}
