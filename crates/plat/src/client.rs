//! Implementation of the platform's object API over HTTP.

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
use crate::generation::LatestGeneration;
use crate::request::{self, WATCH_WAIT};
use crate::response::{self, ObjectApiResponse};

/// Timeout of connection attempts. It is shorter than [`CALL_TIMEOUT`], so that a
/// platform that can't be reached is distinguished from one that doesn't respond.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of an operation other than a watch. The platform responds within
/// milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time that the response to a watch may take in addition to [`WATCH_WAIT`].
const WATCH_MARGIN: Duration = Duration::from_secs(5);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest response that is accepted. An object has at most a megabyte; a list of
/// thousands of processes is far smaller than this limit.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// A client of the platform's object API over HTTP. Connections are pooled.
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    generation: LatestGeneration,
}

impl HttpPlatform {
    /// A client of the platform at `address`; it connects on the first operation.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            address,
            client,
            generation: LatestGeneration::default(),
        }
    }

    async fn execute(&self, op: &PlatformOp) -> PlatformResult {
        let latest = self.generation.get();
        let generation = self.generation.of_operation(op);
        if generation < latest
            && let Some(result) = response::result_in_later_generation(op)
        {
            return result;
        }
        let Some(request) = request::build_request(self.address, op, generation) else {
            return PlatformResult::Unavailable;
        };
        let timeout_after = match op {
            PlatformOp::Watch { .. } => WATCH_WAIT + WATCH_MARGIN,
            _ => CALL_TIMEOUT,
        };
        match timeout(timeout_after, self.exchange(request)).await {
            Ok(Ok(response)) => self.interpret(op, generation, &response),
            Ok(Err(ExchangeError::NotSent)) => PlatformResult::Unavailable,
            Ok(Err(ExchangeError::Incomplete)) | Err(_) => {
                response::result_without_response(op)
            }
        }
    }

    /// The result of an operation of this generation with a complete response.
    fn interpret(
        &self,
        op: &PlatformOp,
        generation: Option<u64>,
        response: &ObjectApiResponse,
    ) -> PlatformResult {
        // A state that a restore has replaced says nothing about the present one.
        if !self.generation.observe(response.generation()) {
            return response::result_without_response(op);
        }
        response::parse_result(op, generation, response)
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<ObjectApiResponse, ExchangeError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                ExchangeError::NotSent
            } else {
                ExchangeError::Incomplete
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, RESPONSE_MAX_BYTES).collect().await;
        Ok(ObjectApiResponse {
            status: head.status,
            headers: head.headers,
            body: body.map_err(|_| ExchangeError::Incomplete)?.to_bytes(),
        })
    }
}

/// Why there is no complete response.
#[derive(Debug)]
enum ExchangeError {
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The exchange failed after the request may have been sent.
    Incomplete,
}

impl ObjectApi for HttpPlatform {
    fn call<'a>(&'a self, op: &'a PlatformOp) -> BoxFuture<'a, PlatformResult> {
        self.execute(op).boxed()
    }

    fn generation(&self) -> u64 {
        self.generation.get().unwrap_or(0)
    }
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}
