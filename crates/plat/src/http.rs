//! Small HTTP calls, as to operators' listeners.

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

/// Longest time for a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer taken.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The address can't be reached.
    #[snafu(display("{address} can't be reached"))]
    Unreachable {
        /// Address.
        address: SocketAddr,
    },
    /// The connection broke, or the answer is too large or not HTTP.
    #[snafu(display("{address} gave no whole answer"))]
    IncompleteResponse {
        /// Address.
        address: SocketAddr,
    },
    /// No answer came in time.
    #[snafu(display("{address} did not answer in time"))]
    TimedOut {
        /// Address.
        address: SocketAddr,
    },
    /// The path is not one.
    #[snafu(display("{path} is not a path"))]
    InvalidPath {
        /// Path.
        path: String,
    },
}

impl HttpError {
    /// Numbered code of the fault.
    pub const fn code(&self) -> ErrorCode {
        match self {
            Self::InvalidPath { .. } => ErrorCode::UnknownPath,
            _ => ErrorCode::Unreachable,
        }
    }
}

/// Gets a path.
///
/// # Errors
///
/// No whole answer of at most 64 MiB came within five seconds.
pub async fn get(address: SocketAddr, path: &str) -> Result<HttpResponse, HttpError> {
    call(address, Method::GET, path, Bytes::new()).await
}

/// Posts a JSON body to a path.
///
/// # Errors
///
/// No whole answer of at most 64 MiB came within five seconds.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<HttpResponse, HttpError> {
    call(address, Method::POST, path, body).await
}

async fn call(
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
    let broken = || HttpError::IncompleteResponse { address };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| HttpError::Unreachable { address })?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| broken())?;
    let answer = async {
        let response = sender.send_request(request).await.map_err(|_| broken())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(|_| broken())?;
        Ok(HttpResponse {
            status,
            body: body.to_bytes(),
        })
    };
    tokio::pin!(answer);
    // The connection does the reading and writing while the answer is awaited;
    // it lives no longer than this call.
    tokio::select! {
        biased;
        answered = &mut answer => answered,
        _ = connection => answer.await,
    }
}
