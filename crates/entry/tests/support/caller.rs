//! A caller's HTTP.

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
const PATIENCE: Duration = Duration::from_secs(20);

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Whole {
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

/// An answer whose head has come.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) response: Response<Incoming>,
    connection: AbortHandle,
}

impl Begun {
    /// Reads until the text has come, and gives all that was read.
    pub(crate) async fn read_until(&mut self, text: &str) -> String {
        let mut read = String::new();
        while !read.contains(text) {
            let frame = timeout(PATIENCE, self.response.frame()).await;
            let frame = frame.expect("more comes").expect("not the end");
            let data = frame.expect("the connection holds").into_data();
            read.push_str(std::str::from_utf8(&data.expect("data")).expect("UTF-8"));
        }
        read
    }

    pub(crate) async fn rest(self) -> Whole {
        let (parts, body) = self.response.into_parts();
        let body = timeout(PATIENCE, body.collect()).await.expect("it ends");
        let body = body.expect("the connection holds").to_bytes();
        Whole {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }

    /// Cuts the connection.
    pub(crate) fn leave(self) {
        self.connection.abort();
    }
}

/// A request with the caller's key and profile.
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

/// Sends a request and waits for the answer's head.
pub(crate) async fn begin(address: SocketAddr, request: Request<Full<Bytes>>) -> Begun {
    let (response, connection) = start(address, request).await;
    let response = timeout(PATIENCE, response).await.expect("an answer comes");
    Begun {
        response: response.expect("the task runs"),
        connection,
    }
}

/// Sends a request on a connection of its own; the answer comes by the task.
pub(crate) async fn start(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> (tokio::task::JoinHandle<Response<Incoming>>, AbortHandle) {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let io = TokioIo::new(stream);
    let (mut sender, connection) = http1::handshake(io).await.expect("a connection");
    let connection = tokio::spawn(connection).abort_handle();
    let host = "loopback".parse().expect("a header value");
    request.headers_mut().insert("host", host);
    let response = tokio::spawn(async move {
        let response = sender.send_request(request).await;
        response.expect("the entry answers")
    });
    (response, connection)
}

/// Sends a request and waits for the whole answer.
pub(crate) async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> Whole {
    begin(address, request).await.rest().await
}

/// Writes bytes that need not be HTTP and reads what comes until the end.
pub(crate) async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    // The entry may close before all is written; what it said counts.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut read = Vec::new();
    let _ = timeout(PATIENCE, stream.read_to_end(&mut read))
        .await
        .expect("the entry closes");
    String::from_utf8_lossy(&read).into_owned()
}
