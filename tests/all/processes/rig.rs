//! A deployment with what the tests ask it.

use bytes::Bytes;
use fake::demo::{Deployment, DeploymentOptions, Probe};
use fake::engine;
use fake::load::{self, LoadOptions, Mix, Report};
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

/// What a test finds.
pub(super) type TestResult<T = ()> = Result<T, String>;

/// Bound on waiting for a condition; it decides nothing on a sound run.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Deployments that run at once. Each is a dozen processes, which would get too
/// little of the machine for their heartbeats if all tests ran together.
const DEPLOYMENTS_MAX: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static DEPLOYMENT_ENDED: Condvar = Condvar::new();

/// Leave to run one deployment.
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

/// A deployment that is ready, and a client for its listeners.
#[derive(Debug)]
pub(super) struct Fixture {
    pub(super) deployment: Deployment,
    pub(super) probe: Probe,
}

/// Runs a test on a deployment of its own; the logs of a failed one are kept.
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
            fixture.deployment.keep_folder();
            format!("{message}\nlogs: {}", fixture.deployment.folder().display())
        })
    })
}

/// An error as a test's finding.
pub(super) fn error_text<E: Display>(error: E) -> String {
    error.to_string()
}

/// A finding unless a condition holds.
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
            probe: Probe::new(),
        })
    }

    async fn ready(&self) -> TestResult {
        let document = fleet::document().to_string();
        // The processes hear of the configuration as they start, so there may
        // be none to wait for yet.
        let output = self
            .deployment
            .publish_with(&document, &[])
            .map_err(error_text)?;
        check(output.code == 0, || output.text.clone())?;
        self.deployment.until_ready().await.map_err(error_text)?;
        self.wait_for_agent_connections().await
    }

    /// Waits until each entry hears each agent.
    async fn wait_for_agent_connections(&self) -> TestResult {
        for entry in ["entry-1", "entry-2"] {
            self.wait_until(&format!("{entry} hears 5 agents"), async || {
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

    /// Polls until something is there.
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
            check(Instant::now() < deadline, || format!("never: {what}"))?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// `/status` of a process; `None` if it does not answer.
    pub(super) async fn status(&self, id: &str) -> Option<Value> {
        let address = self.deployment.operators().get(id)?;
        self.probe.json(*address, "/status").await
    }

    /// Entries' listeners.
    pub(super) fn entry_address(&self, index: usize) -> SocketAddr {
        self.deployment.callers()[index]
    }

    /// Sends a call as the tests' caller; status and body.
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
        answer.ok_or_else(|| format!("no answer to {path}"))
    }

    /// Sends an order under a key.
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

    /// Makes calls last long enough that some are in progress whenever a fault
    /// comes.
    pub(super) async fn slow_down_services(&self) -> TestResult {
        let faults = service::Faults {
            slow_ms: 400,
            ..service::Faults::default()
        };
        for control in &self.deployment.controls().services {
            let done = self.probe.set_faults(*control, &faults).await;
            check(done, || "a service's control is silent".to_owned())?;
        }
        Ok(())
    }

    /// Runs of all services by key; keys are told apart by their last part.
    pub(super) async fn runs_by_key(&self) -> TestResult<BTreeMap<String, u64>> {
        let mut all = BTreeMap::new();
        for control in &self.deployment.controls().services {
            let counts = self.probe.json(*control, "/control/counts").await;
            let counts: service::Counts = counts.ok_or("a service is silent")?;
            for (key, runs) in counts.by_key {
                *all.entry(key).or_default() += runs;
            }
        }
        Ok(all)
    }

    /// Counts of all engines.
    pub(super) async fn engine_counts(&self) -> TestResult<Vec<engine::Counts>> {
        let mut all = Vec::new();
        for control in &self.deployment.controls().engines {
            let counts = self.probe.json(*control, "/control/counts").await;
            all.push(counts.ok_or("an engine is silent")?);
        }
        Ok(all)
    }

    /// No call ran twice, and no accelerator held more than its memory.
    pub(super) async fn check_invariants(&self) -> TestResult {
        for (key, runs) in self.runs_by_key().await? {
            check(runs <= 1, || format!("{key} ran {runs} times"))?;
        }
        for counts in self.engine_counts().await? {
            check(counts.overcommits == 0, || {
                format!("memory overcommitted {} times", counts.overcommits)
            })?;
        }
        Ok(())
    }

    /// Work of all kinds on all entries.
    pub(super) fn load_options(
        &self,
        rate_per_s: f64,
        count: u64,
        seed: u64,
    ) -> LoadOptions {
        LoadOptions {
            targets: self.deployment.callers(),
            direct: false,
            balanced: true,
            key: fleet::KEY.to_owned(),
            mixes: mixes(),
            concurrency: 0,
            rate_per_s: Some(rate_per_s),
            count,
            seed,
        }
    }

    /// Loads the models that the work asks for, so that a fault meets work that
    /// runs and not work that waits.
    pub(super) async fn warm_up(&self) -> TestResult {
        let report = load::run(self.load_options(20.0, 40, 1)).await;
        check(report.wrong_answers() == 0, || report.table())?;
        check(complete_answers(&report) > 0, || report.table())
    }
}

/// Whole answers of all profiles.
pub(super) fn complete_answers(report: &Report) -> u64 {
    report.profiles.values().map(|profile| profile.whole).sum()
}

/// The kinds of work: two hot models, an adapter and orders.
fn mixes() -> Vec<Mix> {
    vec![
        Mix {
            profile: "desk".to_owned(),
            models: ["diagnosis-01", "diagnosis-02", "diagnosis-01-kingston"]
                .map(str::to_owned)
                .to_vec(),
            weight: 3,
            max_tokens: 24,
            ..Mix::default()
        },
        Mix {
            profile: "parts".to_owned(),
            service: "deskapp".to_owned(),
            weight: 1,
            ..Mix::default()
        },
    ]
}
