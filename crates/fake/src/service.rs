//! Stand-in for a plain service whose requests must not run twice.
//!
//! Every request that runs is counted by its idempotency key and by its request id, so
//! that a test can detect one that ran twice.

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use crate::Handle;
use crate::fault_count::consume;
use crate::handle::{self, ANY_PORT, StandIn, TaskSet, handle_methods};
use crate::http::{self, Body, ConnectionAborted, ResponseResult};

/// Options of the stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Address of the service's listener.
    pub listen: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Duration of one request.
    pub work_ms: u64,
    /// Incarnation that `/healthz` returns; a restarted service has another.
    pub incarnation: u64,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            control: ANY_PORT,
            work_ms: 5,
            incarnation: 1,
        }
    }
}

/// Active faults; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of following requests that run and whose connection is then closed
    /// without a response.
    pub break_after: u32,
    /// Number of following requests whose connection is closed before they run.
    pub break_before: u32,
    /// Number of following requests that run and get a 500 response.
    pub fail: u32,
    /// Number of following requests that are refused with 503 and `x-not-run: 1`.
    pub refuse: u32,
    /// Delay of each request before it runs.
    pub slow_ms: u64,
    /// Whether open connections are closed, and new ones as soon as accepted.
    pub closed: bool,
}

/// Counters of the requests that ran since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All requests.
    pub runs: u64,
    /// Requests by idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// Requests by `x-request-id`.
    pub by_request: BTreeMap<String, u64>,
    /// Size of the largest request body.
    pub body_max_bytes: u64,
}

/// Plain service behind a [`Handle`].
#[derive(Debug)]
pub struct Service {
    options: ServiceOptions,
    inner: Mutex<Inner>,
    connection_closer: http::ConnectionCloser,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    counts: Counts,
}

/// JSON response to a request that ran.
#[derive(Debug, Serialize)]
struct RunResponse {
    /// Number of runs so far with this key, or of all runs if there is no key.
    count: u64,
    key: String,
}

/// JSON response of `/healthz`.
#[derive(Debug, Serialize)]
struct HealthResponse {
    incarnation: u64,
}

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Starts the stand-in.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start(options: ServiceOptions) -> io::Result<Handle<Service>> {
    let connection_closer = http::ConnectionCloser::default();
    let (listen, control) = (options.listen, options.control);
    let service = Arc::new(Service {
        options,
        inner: Mutex::default(),
        connection_closer: connection_closer.clone(),
    });
    handle::start(
        service,
        listen,
        control,
        connection_closer,
        TaskSet::default(),
    )
    .await
}

handle_methods!(Service, Faults, Counts);

impl StandIn for Service {
    type Faults = Faults;
    type Counts = Counts;

    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = ResponseResult> + Send>> {
        Box::pin(async move { self.serve(request).await })
    }

    fn set_faults(&self, faults: Faults) {
        self.connection_closer.set_rejecting(faults.closed);
        self.inner.lock().faults = faults;
    }

    fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }
}

/// Effect of the faults on a request before it runs.
enum PreRunEffect {
    Run,
    Abort,
    Refuse,
}

impl Service {
    async fn serve(&self, request: Request<Incoming>) -> ResponseResult {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => {
                let incarnation = self.options.incarnation;
                Ok(http::json_response(
                    StatusCode::OK,
                    &HealthResponse { incarnation },
                ))
            }
            (&Method::POST, _) => self.run(request).await,
            _ => Ok(http::text_response(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn run(&self, request: Request<Incoming>) -> ResponseResult {
        let key = http::header_text(&request, "idempotency-key").map(str::to_owned);
        let id = http::header_text(&request, "x-request-id").map(str::to_owned);
        let body = match http::read_body(request, BODY_MAX_BYTES).await? {
            Ok(body) => body,
            Err(response) => return Ok(response),
        };
        let slow_ms = self.inner.lock().faults.slow_ms;
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        match self.take_pre_run_fault() {
            PreRunEffect::Run => {}
            PreRunEffect::Abort => return Err(ConnectionAborted),
            PreRunEffect::Refuse => return Ok(not_run()),
        }
        let result = self.count_run(key, id, body.len() as u64);
        tokio::time::sleep(Duration::from_millis(self.options.work_ms)).await;
        self.respond(&result)
    }

    fn take_pre_run_fault(&self) -> PreRunEffect {
        let faults = &mut self.inner.lock().faults;
        if consume(&mut faults.break_before) {
            return PreRunEffect::Abort;
        }
        if consume(&mut faults.refuse) {
            return PreRunEffect::Refuse;
        }
        PreRunEffect::Run
    }

    fn count_run(
        &self,
        key: Option<String>,
        id: Option<String>,
        bytes: u64,
    ) -> RunResponse {
        let counts = &mut self.inner.lock().counts;
        counts.runs += 1;
        counts.body_max_bytes = counts.body_max_bytes.max(bytes);
        if let Some(id) = id {
            *counts.by_request.entry(id).or_default() += 1;
        }
        let Some(key) = key else {
            return RunResponse {
                count: counts.runs,
                key: String::new(),
            };
        };
        let key_runs = counts.by_key.entry(key.clone()).or_default();
        *key_runs += 1;
        RunResponse {
            count: *key_runs,
            key,
        }
    }

    fn respond(&self, result: &RunResponse) -> ResponseResult {
        let faults = &mut self.inner.lock().faults;
        if consume(&mut faults.break_after) {
            return Err(ConnectionAborted);
        }
        if consume(&mut faults.fail) {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(http::text_response(status, "failed"));
        }
        Ok(http::json_response(StatusCode::OK, result))
    }
}

/// Returns a 503 response whose `x-not-run` header says that nothing ran.
pub(crate) fn not_run() -> Response<Body> {
    let mut response = http::text_response(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let marker = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-not-run", marker);
    response
}
