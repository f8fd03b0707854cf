//! Load generator that sends requests to entries or directly to engines and checks
//! every response.
//!
//! It computes the expected text of each response ([`crate::text`]). A response that
//! ends cleanly although it is incomplete, or that belongs to another request, is
//! detected and counted as wrong.

mod exchange;
mod report;
mod request;
mod workload;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use report::{ProfileReport, Quantiles, Report};
pub use workload::Workload;

use exchange::RequestOutcome;
use request::GeneratedRequest;

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Options of the load generator: what to send, where and how fast.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Addresses of entries, or of engines if `direct`; used round-robin.
    pub targets: Vec<SocketAddr>,
    /// Whether the targets are engines, which get neither a caller key nor a profile.
    pub direct: bool,
    /// Whether to stop sending to a target once it reports that it shuts down or
    /// refuses connections, as a load balancer in front of the entries does. If all
    /// targets are excluded, all are used again.
    pub exclude_unavailable_targets: bool,
    /// API key of the caller.
    pub caller_key: String,
    /// Kinds of requests to choose from.
    pub workloads: Vec<Workload>,
    /// Number of concurrent requests, if no rate is given.
    pub concurrency: usize,
    /// Requests started per second, regardless of whether earlier ones have ended.
    pub rate_per_s: Option<f64>,
    /// Number of requests to send.
    pub count: u64,
    /// Seed of the choice of workloads, models and prompts.
    pub seed: u64,
}

/// Maximum number of concurrent requests at a fixed rate; beyond it, the generator
/// falls behind the rate.
const IN_PROGRESS_MAX: usize = 20_000;

/// Sends all requests and waits for every response.
pub async fn run(options: LoadOptions) -> Report {
    let generator = Arc::new(LoadGenerator {
        client: Client::builder(TokioExecutor::new()).build(connector()),
        report: Mutex::new(Report::new(&options.workloads)),
        next_index: AtomicU64::new(0),
        excluded_targets: Mutex::default(),
        options,
    });
    let started_at = Instant::now();
    match generator.options.rate_per_s {
        Some(rate) if rate > 0.0 => open_loop(&generator, rate).await,
        _ => closed_loop(&generator).await,
    }
    let mut report = generator.report.lock().clone();
    report.elapsed_ms =
        u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    report.with_quantiles()
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}

struct LoadGenerator {
    client: HttpClient,
    report: Mutex<Report>,
    next_index: AtomicU64,
    /// Targets that are excluded as unavailable.
    excluded_targets: Mutex<BTreeSet<SocketAddr>>,
    options: LoadOptions,
}

async fn closed_loop(generator: &Arc<LoadGenerator>) {
    let mut workers = JoinSet::new();
    for _ in 0..generator.options.concurrency.max(1) {
        let generator = Arc::clone(generator);
        workers.spawn(async move { while generator.send_next().await {} });
    }
    while workers.join_next().await.is_some() {}
}

async fn open_loop(generator: &Arc<LoadGenerator>, rate: f64) {
    let started_at = Instant::now();
    let mut requests = JoinSet::new();
    for index in 0..generator.options.count {
        let start_at = started_at + Duration::from_secs_f64(index as f64 / rate);
        tokio::time::sleep_until(start_at).await;
        while requests.try_join_next().is_some() {}
        if requests.len() >= IN_PROGRESS_MAX {
            requests.join_next().await;
        }
        let generator = Arc::clone(generator);
        requests.spawn(async move { generator.send_next().await });
    }
    while requests.join_next().await.is_some() {}
}

impl LoadGenerator {
    /// Returns the target of the request at `index`, or `None` if there are no targets.
    fn target(&self, index: u64) -> Option<SocketAddr> {
        let targets = &self.options.targets;
        let excluded_targets = self.excluded_targets.lock();
        let available = targets
            .iter()
            .filter(|target| !excluded_targets.contains(target));
        let available: Vec<SocketAddr> = available.copied().collect();
        let candidates = if available.is_empty() {
            targets
        } else {
            &available
        };
        let position = index % u64::try_from(candidates.len()).ok()?.max(1);
        candidates.get(usize::try_from(position).ok()?).copied()
    }

    /// Sends the next request. Returns false if there is none left.
    async fn send_next(&self) -> bool {
        let index = self.next_index.fetch_add(1, Ordering::Relaxed);
        if index >= self.options.count {
            return false;
        }
        let Some(target) = self.target(index) else {
            return false;
        };
        let Some(generated) = GeneratedRequest::new(&self.options, index, target)
        else {
            return false;
        };
        let outcome: RequestOutcome = exchange::send(&self.client, &generated).await;
        if self.options.exclude_unavailable_targets
            && outcome.verdict.is_target_unavailable()
        {
            self.excluded_targets.lock().insert(target);
        }
        self.report.lock().add(&generated.workload, &outcome);
        true
    }
}
