//! HTTP/1.1 server and helpers that the stand-ins share.
//!
//! A [`Server`] owns its listener and all its connections and closes them when it is
//! dropped. [`ConnectionCloser::close_all`] closes the open connections without a
//! response; the stand-ins use it to simulate a crash.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};

/// Body of a response.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Result of handling a request: a response, or an order to close the connection
/// without one.
pub(crate) type ResponseResult = Result<Response<Body>, ConnectionAborted>;

/// Error that closes the connection without a response.
#[derive(Debug)]
pub(crate) struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for ConnectionAborted {}

/// Closes or rejects the connections of one server.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionCloser {
    close_signal: Arc<Notify>,
    rejecting: Arc<AtomicBool>,
}

impl ConnectionCloser {
    /// Closes every open connection.
    pub(crate) fn close_all(&self) {
        self.close_signal.notify_one();
    }

    /// While `rejecting` is set, new connections are closed as soon as they are accepted.
    /// Setting it also closes the open ones.
    pub(crate) fn set_rejecting(&self, rejecting: bool) {
        self.rejecting.store(rejecting, Ordering::SeqCst);
        if rejecting {
            self.close_all();
        }
    }

    fn is_rejecting(&self) -> bool {
        self.rejecting.load(Ordering::SeqCst)
    }
}

/// A listener and its connections, all closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    task: AbortHandle,
}

impl Server {
    /// Binds `listen` and passes each request to `handler`.
    pub(crate) async fn start<C, F>(
        listen: SocketAddr,
        connection_closer: ConnectionCloser,
        handler: C,
    ) -> io::Result<Self>
    where
        C: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = ResponseResult> + Send + 'static,
    {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let task =
            tokio::spawn(accept_connections(listener, connection_closer, handler))
                .abort_handle();
        Ok(Self { address, task })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections<C, F>(
    listener: TcpListener,
    connection_closer: ConnectionCloser,
    handler: C,
) where
    C: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = ResponseResult> + Send + 'static,
{
    // Aborting this task drops the set, which aborts every connection.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = connection_closer.close_signal.notified() => connections.abort_all(),
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if !connection_closer.is_rejecting() => {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
                Ok(_) => {}
                // Probably out of file descriptors; connections that end free some.
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
}

/// Delay before the next attempt after `accept` failed.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(10);

async fn serve_connection<C, F>(stream: TcpStream, handler: C)
where
    C: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = ResponseResult> + Send + 'static,
{
    // Each token is a small write, which Nagle's algorithm would delay.
    let _ = stream.set_nodelay(true);
    // Fails if the peer disconnects or the handler aborts the connection. The
    // connection ends in either case.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
}

/// Returns a body that holds all of `bytes`.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a plain-text response.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

/// Returns a JSON response.
pub(crate) fn json_response<T: Serialize>(
    status: StatusCode,
    value: &T,
) -> Response<Body> {
    // The stand-ins' types have only string keys and finite numbers.
    let bytes = serde_json::to_vec(value).expect("the type serializes to JSON");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Reads a complete body of at most `max` bytes.
///
/// # Errors
///
/// The inner error is the response to a larger body, 413. The outer error means that
/// the peer closed the connection before the end of the body.
pub(crate) async fn read_body(
    request: Request<Incoming>,
    max: usize,
) -> Result<Result<Bytes, Response<Body>>, ConnectionAborted> {
    match Limited::new(request.into_body(), max).collect().await {
        Ok(body) => Ok(Ok(body.to_bytes())),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Ok(Err(
            text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        )),
        Err(_) => Err(ConnectionAborted),
    }
}

/// Reads a JSON body. Besides the errors of [`read_body`], the inner error may be the
/// response to invalid JSON, 400.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    max: usize,
) -> Result<Result<T, Response<Body>>, ConnectionAborted> {
    let bytes = match read_body(request, max).await? {
        Ok(bytes) => bytes,
        Err(response) => return Ok(Err(response)),
    };
    Ok(serde_json::from_slice(&bytes).map_err(|error| {
        json_response(
            StatusCode::BAD_REQUEST,
            &ErrorBody {
                error: error.to_string(),
            },
        )
    }))
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    pub(crate) error: String,
}

/// Returns a query parameter, percent-decoded.
pub(crate) fn query_parameter(
    request: &Request<Incoming>,
    name: &str,
) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| percent_decode(value))
}

/// Decodes percent-encoding; invalid escapes are left as they are.
pub(crate) fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped = (first == b'%').then(|| parse_hex_pair(tail)).flatten();
        bytes.push(escaped.unwrap_or(first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn parse_hex_pair(tail: &[u8]) -> Option<u8> {
    let pair = std::str::from_utf8(tail.get(..2)?).ok()?;
    u8::from_str_radix(pair, 16).ok()
}

/// Returns a header's value if it is visible ASCII.
pub(crate) fn header_text<'a>(
    request: &'a Request<Incoming>,
    name: &str,
) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns a header's value if it is an unsigned integer.
pub(crate) fn header_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    header_text(request, name)?.trim().parse().ok()
}
