//! Load generator that sends requests to entries or directly to engines and checks
//! every response.
//!
//! It computes the expected text of each response ([`crate::text`]). A response that
//! ends cleanly although it is incomplete, or that belongs to another request, is
//! detected and counted as wrong.

mod answer;
mod mix;
mod report;
mod request;

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

pub use mix::Workload;
pub use report::{ProfileReport, Quantiles, Report};

use answer::Outcome;
use request::Job;

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
    let driver = Arc::new(Driver {
        client: Client::builder(TokioExecutor::new()).build(connector()),
        report: Mutex::new(Report::new(&options.workloads)),
        next: AtomicU64::new(0),
        out: Mutex::default(),
        options,
    });
    let begun = Instant::now();
    match driver.options.rate_per_s {
        Some(rate) if rate > 0.0 => open_loop(&driver, rate).await,
        _ => closed_loop(&driver).await,
    }
    let mut report = driver.report.lock().clone();
    report.elapsed_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
    report.finished()
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}

struct Driver {
    client: HttpClient,
    report: Mutex<Report>,
    next: AtomicU64,
    /// Targets that are excluded as unavailable.
    out: Mutex<BTreeSet<SocketAddr>>,
    options: LoadOptions,
}

async fn closed_loop(driver: &Arc<Driver>) {
    let mut workers = JoinSet::new();
    for _ in 0..driver.options.concurrency.max(1) {
        let driver = Arc::clone(driver);
        workers.spawn(async move { while driver.send_next().await {} });
    }
    while workers.join_next().await.is_some() {}
}

async fn open_loop(driver: &Arc<Driver>, rate: f64) {
    let begun = Instant::now();
    let mut requests = JoinSet::new();
    for index in 0..driver.options.count {
        let due = begun + Duration::from_secs_f64(index as f64 / rate);
        tokio::time::sleep_until(due).await;
        while requests.try_join_next().is_some() {}
        if requests.len() >= IN_PROGRESS_MAX {
            requests.join_next().await;
        }
        let driver = Arc::clone(driver);
        requests.spawn(async move { driver.send_next().await });
    }
    while requests.join_next().await.is_some() {}
}

impl Driver {
    /// Returns the target of the request at `index`, or `None` if there are no targets.
    fn target(&self, index: u64) -> Option<SocketAddr> {
        let all = &self.options.targets;
        let out = self.out.lock();
        let ready = all.iter().filter(|target| !out.contains(target));
        let ready: Vec<SocketAddr> = ready.copied().collect();
        let from = if ready.is_empty() { all } else { &ready };
        let place = index % u64::try_from(from.len()).ok()?.max(1);
        from.get(usize::try_from(place).ok()?).copied()
    }

    /// Sends the next request. Returns false if there is none left.
    async fn send_next(&self) -> bool {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        if index >= self.options.count {
            return false;
        }
        let Some(target) = self.target(index) else {
            return false;
        };
        let Some(job) = Job::new(&self.options, index, target) else {
            return false;
        };
        let outcome: Outcome = answer::exchange(&self.client, &job).await;
        if self.options.exclude_unavailable_targets && outcome.verdict.is_away() {
            self.out.lock().insert(target);
        }
        self.report.lock().add(&job.mix, &outcome);
        true
    }
}
