//! The platform's object API over HTTP.

use base::{PlatformOp, PlatformResult};
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

use crate::ObjectApi;
use crate::answer::{self, Answer};
use crate::request::{self, WATCH_WAIT};

/// Longest wait for a connection; shorter than the wait for an answer, so that
/// a platform that is not there is told from one that does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for an answer. The platform answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time over the held time that a watch's answer may take.
const WATCH_SLACK: Duration = Duration::from_secs(5);

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest answer taken. An object holds up to a megabyte; a listing of
/// thousands of processes stays far below.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// The platform's object API over HTTP; connections are kept and shared.
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpPlatform {
    /// A client of the platform at an address; it connects when first called.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { address, client }
    }

    async fn carry_out(&self, op: &PlatformOp) -> PlatformResult {
        let Some(request) = request::request(self.address, op) else {
            return PlatformResult::Unavailable;
        };
        let wait = match op {
            PlatformOp::Watch { .. } => WATCH_WAIT + WATCH_SLACK,
            _ => CALL_TIMEOUT,
        };
        match timeout(wait, self.exchange(request)).await {
            Ok(Ok(answer)) => answer::result(op, &answer),
            Ok(Err(Failure::NotSent)) => PlatformResult::Unavailable,
            Ok(Err(Failure::Broken)) | Err(_) => answer::unanswered(op),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Failure> {
        let response = self.client.request(request).await.map_err(|fault| {
            if fault.is_connect() {
                Failure::NotSent
            } else {
                Failure::Broken
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_MAX_BYTES).collect().await;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.map_err(|_| Failure::Broken)?.to_bytes(),
        })
    }
}

/// How an exchange failed.
#[derive(Debug)]
enum Failure {
    /// No connection: nothing was sent.
    NotSent,
    /// The connection broke after something may have been sent.
    Broken,
}

impl ObjectApi for HttpPlatform {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        self.carry_out(op).boxed()
    }
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}
