//! Fixture of the process tests: a running deployment and helpers to query it.

use bytes::Bytes;
use fake::demo::{Deployment, DeploymentOptions, ProbeClient};
use fake::engine;
use fake::load::{self, LoadOptions, Report, Workload};
use fake::service;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

use super::fleet;

/// Result of a test; the error describes the failure.
pub(super) type TestResult<T = ()> = Result<T, String>;

/// Timeout for each awaited condition, far above the time needed by a passing
/// test.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of deployments that run at once. Each consists of a dozen
/// processes. If all tests ran together, the processes would get too little CPU
/// time to send their heartbeats.
const DEPLOYMENTS_MAX: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static DEPLOYMENT_ENDED: Condvar = Condvar::new();

/// Permit to run one deployment; dropping it releases the permit.
struct DeploymentPermit;

impl DeploymentPermit {
    fn acquire() -> Self {
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= DEPLOYMENTS_MAX {
            running = DEPLOYMENT_ENDED
                .wait(running)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for DeploymentPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        DEPLOYMENT_ENDED.notify_one();
    }
}

/// A deployment and a client for its listeners.
#[derive(Debug)]
pub(super) struct Fixture {
    pub(super) deployment: Deployment,
    pub(super) probe: ProbeClient,
}

/// Runs a test on a new deployment once it is ready. The logs of a failed test are
/// kept.
pub(super) fn run<F>(test: F) -> TestResult
where
    F: AsyncFnOnce(&mut Fixture) -> TestResult,
{
    let _permit = DeploymentPermit::acquire();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(error_text)?;
    runtime.block_on(async {
        let mut fixture = Fixture::start()?;
        let result = match fixture.ready().await {
            Ok(()) => test(&mut fixture).await,
            Err(message) => Err(message),
        };
        result.map_err(|message| {
            fixture.deployment.keep_directory();
            format!(
                "{message}\nlogs: {}",
                fixture.deployment.directory().display()
            )
        })
    })
}

/// Converts an error to the message of a failed test.
pub(super) fn error_text<E: Display>(error: E) -> String {
    error.to_string()
}

/// Fails with a message unless a condition holds.
pub(super) fn check(holds: bool, otherwise: impl FnOnce() -> String) -> TestResult {
    if holds { Ok(()) } else { Err(otherwise()) }
}

impl Fixture {
    fn start() -> TestResult<Self> {
        let options = DeploymentOptions {
            engines: 3,
            services: 2,
            ..DeploymentOptions::default()
        };
        Ok(Self {
            deployment: Deployment::start(options).map_err(error_text)?,
            probe: ProbeClient::new(),
        })
    }

    async fn ready(&self) -> TestResult {
        let document = fleet::document().to_string();
        // Processes fetch the configuration when they start, and none may be
        // running yet. So this does not wait for them as `--wait` would.
        let output = self
            .deployment
            .publish_with(&document, &[])
            .map_err(error_text)?;
        check(output.exit_code == 0, || output.text.clone())?;
        self.deployment.wait_ready().await.map_err(error_text)?;
        self.wait_for_agent_connections().await
    }

    /// Waits until each entry is connected to all five agents.
    async fn wait_for_agent_connections(&self) -> TestResult {
        for entry in ["entry-1", "entry-2"] {
            self.wait_until(&format!("{entry} is connected to 5 agents"), async || {
                let status = self.status(entry).await?;
                let agents = status["agents"].as_array()?;
                let is_connected = |agent: &&Value| {
                    agent["connected"] == true && agent["state"] == "up"
                };
                (agents.iter().filter(is_connected).count() == 5).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Polls until a value is present.
    pub(super) async fn wait_until<T>(
        &self,
        what: &str,
        poll: impl AsyncFn() -> Option<T>,
    ) -> TestResult<T> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(found) = poll().await {
                return Ok(found);
            }
            check(Instant::now() < deadline, || {
                format!("timed out waiting for: {what}")
            })?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the `/status` document of a process, or `None` if it does not respond.
    pub(super) async fn status(&self, id: &str) -> Option<Value> {
        let address = self.deployment.operator_addresses().get(id)?;
        self.probe.get_json(*address, "/status").await
    }

    /// Returns the address at which an entry accepts entry_addresses' connections.
    pub(super) fn entry_address(&self, index: usize) -> SocketAddr {
        self.deployment.entry_addresses()[index]
    }

    /// Sends a request as the tests' caller; returns the status and body of the
    /// response.
    pub(super) async fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> TestResult<(u16, String)> {
        let mut request = Request::post(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", fleet::KEY))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        let request = request.body(body).map_err(error_text)?;
        let answer = self.probe.send(request).await;
        answer.ok_or_else(|| format!("no response to {path}"))
    }

    /// Sends an order to the plain service with an idempotency key; returns the status
    /// and JSON body of the response.
    pub(super) async fn post_order(
        &self,
        entry: SocketAddr,
        key: &str,
        part: &str,
    ) -> TestResult<(u16, Value)> {
        let headers = [("idempotency-key", key), ("x-profile", "parts")];
        let body = json!({"part": part});
        let path = "/svc/deskapp/orders";
        let (status, answer) = self.post(entry, path, &headers, &body).await?;
        Ok((status, serde_json::from_str(&answer).unwrap_or(Value::Null)))
    }

    /// Makes service calls take 400 ms, so that some are in progress when a fault
    /// is injected.
    pub(super) async fn slow_down_services(&self) -> TestResult {
        let faults = service::Faults {
            slow_ms: 400,
            ..service::Faults::default()
        };
        for control in &self.deployment.control_addresses().services {
            let done = self.probe.set_faults(*control, &faults).await;
            check(done, || {
                "the control endpoint of a service does not respond".to_owned()
            })?;
        }
        Ok(())
    }

    /// Number of runs by idempotency key, summed over all services.
    pub(super) async fn runs_by_key(&self) -> TestResult<BTreeMap<String, u64>> {
        let mut all = BTreeMap::new();
        for control in &self.deployment.control_addresses().services {
            let counts = self.probe.get_json(*control, "/control/counts").await;
            let counts: service::Counts = counts.ok_or("a service does not respond")?;
            for (key, runs) in counts.by_key {
                *all.entry(key).or_default() += runs;
            }
        }
        Ok(all)
    }

    /// Returns the counters of all engines.
    pub(super) async fn engine_counts(&self) -> TestResult<Vec<engine::Counts>> {
        let mut all = Vec::new();
        for control in &self.deployment.control_addresses().engines {
            let counts = self.probe.get_json(*control, "/control/counts").await;
            all.push(counts.ok_or("an engine does not respond")?);
        }
        Ok(all)
    }

    /// Checks that no call ran twice and no accelerator was overcommitted.
    pub(super) async fn check_invariants(&self) -> TestResult {
        for (key, runs) in self.runs_by_key().await? {
            check(runs <= 1, || {
                format!("idempotency key {key} ran {runs} times")
            })?;
        }
        for counts in self.engine_counts().await? {
            check(counts.overcommits == 0, || {
                format!("memory overcommitted {} times", counts.overcommits)
            })?;
        }
        Ok(())
    }

    /// Options for a load of all kinds of requests, spread over all entries.
    pub(super) fn load_options(
        &self,
        rate_per_s: f64,
        count: u64,
        seed: u64,
    ) -> LoadOptions {
        LoadOptions {
            targets: self.deployment.entry_addresses(),
            direct: false,
            exclude_unavailable_targets: true,
            caller_key: fleet::KEY.to_owned(),
            workloads: workloads(),
            concurrency: 0,
            rate_per_s: Some(rate_per_s),
            count,
            seed,
        }
    }

    /// Sends a small load first, so that its models are loaded and a later fault
    /// affects running requests and not waiting ones.
    pub(super) async fn warm_up(&self) -> TestResult {
        let report = load::run(self.load_options(20.0, 40, 1)).await;
        check(report.wrong_responses() == 0, || report.table())?;
        check(complete_answers(&report) > 0, || report.table())
    }
}

/// Number of complete answers, summed over all profiles.
pub(super) fn complete_answers(report: &Report) -> u64 {
    report.profiles.values().map(|profile| profile.whole).sum()
}

/// Kinds of requests: two busy models with an adapter, and orders to a service.
fn workloads() -> Vec<Workload> {
    vec![
        Workload {
            profile: "desk".to_owned(),
            models: ["diagnosis-01", "diagnosis-02", "diagnosis-01-kingston"]
                .map(str::to_owned)
                .to_vec(),
            weight: 3,
            max_tokens: 24,
            ..Workload::default()
        },
        Workload {
            profile: "parts".to_owned(),
            service: "deskapp".to_owned(),
            weight: 1,
            ..Workload::default()
        },
    ]
}
