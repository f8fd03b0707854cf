//! Single HTTP requests, such as those to operators' listeners.

use base::ErrorCode;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a request, up to the end of its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest response body that is accepted.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response body.
    pub body: Bytes,
}

/// Why there is no response.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// No connection could be made.
    #[snafu(display("can't connect to {address}"))]
    Unreachable {
        /// Address of the request.
        address: SocketAddr,
    },
    /// The connection failed, or the response is too large or not HTTP.
    #[snafu(display("{address} sent no complete response"))]
    IncompleteResponse {
        /// Address of the request.
        address: SocketAddr,
    },
    /// The response was not complete in time.
    #[snafu(display("{address} did not respond in time"))]
    TimedOut {
        /// Address of the request.
        address: SocketAddr,
    },
    /// The path is invalid.
    #[snafu(display("{path} is not a valid path"))]
    InvalidPath {
        /// The path as given.
        path: String,
    },
}

impl HttpError {
    /// Code of the error.
    pub const fn code(&self) -> ErrorCode {
        match self {
            Self::InvalidPath { .. } => ErrorCode::UnknownPath,
            _ => ErrorCode::Unreachable,
        }
    }
}

/// Sends a GET request.
///
/// # Errors
///
/// The path is invalid, or there was no complete response of at most 64 MiB within
/// five seconds.
pub async fn get(address: SocketAddr, path: &str) -> Result<HttpResponse, HttpError> {
    send_request(address, Method::GET, path, Bytes::new()).await
}

/// Sends a POST request with a JSON body.
///
/// # Errors
///
/// The path is invalid, or there was no complete response of at most 64 MiB within
/// five seconds.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<HttpResponse, HttpError> {
    send_request(address, Method::POST, path, body).await
}

async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<HttpResponse, HttpError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|_| HttpError::InvalidPath {
            path: path.to_owned(),
        })?;
    timeout(CALL_TIMEOUT, exchange(address, request))
        .await
        .unwrap_or(Err(HttpError::TimedOut { address }))
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<HttpResponse, HttpError> {
    let incomplete = || HttpError::IncompleteResponse { address };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| HttpError::Unreachable { address })?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| incomplete())?;
    let response = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|_| incomplete())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES)
            .collect()
            .await
            .map_err(|_| incomplete())?;
        Ok(HttpResponse {
            status,
            body: body.to_bytes(),
        })
    };
    tokio::pin!(response);
    // The connection's future does the reading and writing, so it is polled along
    // with the response. It is dropped at the end of this request.
    tokio::select! {
        biased;
        result = &mut response => result,
        _ = connection => response.await,
    }
}
