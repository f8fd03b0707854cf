//! A deployment with what the tests ask it.

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

/// What a test finds.
pub(super) type TestResult<T = ()> = Result<T, String>;

/// Bound on waiting for a condition; it decides nothing on a sound run.
pub(super) const BOUND: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(50);

/// Deployments that run at once. Each is a dozen processes, which would get too
/// little of the machine for their heartbeats if all tests ran together.
const DEPLOYMENTS_MAX: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Leave to run one deployment.
struct Seat;

impl Seat {
    fn take() -> Self {
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= DEPLOYMENTS_MAX {
            running = ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// A deployment that is ready, and a client for its listeners.
#[derive(Debug)]
pub(super) struct Rig {
    pub(super) deployment: Deployment,
    pub(super) probe: ProbeClient,
}

/// Runs a test on a deployment of its own; the logs of a failed one are kept.
pub(super) fn run<F>(test: F) -> TestResult
where
    F: AsyncFnOnce(&mut Rig) -> TestResult,
{
    let _seat = Seat::take();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(text)?;
    runtime.block_on(async {
        let mut rig = Rig::start()?;
        let result = match rig.ready().await {
            Ok(()) => test(&mut rig).await,
            Err(fault) => Err(fault),
        };
        result.map_err(|fault| {
            rig.deployment.keep_directory();
            format!("{fault}\nlogs: {}", rig.deployment.directory().display())
        })
    })
}

/// An error as a test's finding.
pub(super) fn text<E: Display>(error: E) -> String {
    error.to_string()
}

/// A finding unless a condition holds.
pub(super) fn check(holds: bool, otherwise: impl FnOnce() -> String) -> TestResult {
    if holds { Ok(()) } else { Err(otherwise()) }
}

impl Rig {
    fn start() -> TestResult<Self> {
        let options = DeploymentOptions {
            engines: 3,
            services: 2,
            ..DeploymentOptions::default()
        };
        Ok(Self {
            deployment: Deployment::start(options).map_err(text)?,
            probe: ProbeClient::new(),
        })
    }

    async fn ready(&self) -> TestResult {
        let document = fleet::document().to_string();
        // The processes hear of the configuration as they start, so there may
        // be none to wait for yet.
        let said = self.deployment.publish_with(&document, &[]).map_err(text)?;
        check(said.exit_code == 0, || said.text.clone())?;
        self.deployment.wait_ready().await.map_err(text)?;
        self.links_stand().await
    }

    /// Waits until each entry hears each agent.
    async fn links_stand(&self) -> TestResult {
        for entry in ["entry-1", "entry-2"] {
            self.until(&format!("{entry} hears 5 agents"), async || {
                let status = self.status(entry).await?;
                let agents = status["agents"].as_array()?;
                let heard = |agent: &&Value| {
                    agent["connected"] == true && agent["state"] == "up"
                };
                (agents.iter().filter(heard).count() == 5).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Polls until something is there.
    pub(super) async fn until<T>(
        &self,
        what: &str,
        look: impl AsyncFn() -> Option<T>,
    ) -> TestResult<T> {
        let until = Instant::now() + BOUND;
        loop {
            if let Some(found) = look().await {
                return Ok(found);
            }
            check(Instant::now() < until, || format!("never: {what}"))?;
            tokio::time::sleep(POLL).await;
        }
    }

    /// `/status` of a process; `None` if it does not answer.
    pub(super) async fn status(&self, id: &str) -> Option<Value> {
        let address = self.deployment.operator_addresses().get(id)?;
        self.probe.get_json(*address, "/status").await
    }

    /// Entries' listeners.
    pub(super) fn entry(&self, place: usize) -> SocketAddr {
        self.deployment.entry_addresses()[place]
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
        let request = request.body(body).map_err(text)?;
        let answer = self.probe.send(request).await;
        answer.ok_or_else(|| format!("no answer to {path}"))
    }

    /// Sends an order under a key.
    pub(super) async fn order(
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
    pub(super) async fn slow_services(&self) -> TestResult {
        let faults = service::Faults {
            slow_ms: 400,
            ..service::Faults::default()
        };
        for control in &self.deployment.control_addresses().services {
            let done = self.probe.set_faults(*control, &faults).await;
            check(done, || "a service's control is silent".to_owned())?;
        }
        Ok(())
    }

    /// Runs of all services by key; keys are told apart by their last part.
    pub(super) async fn runs_by_key(&self) -> TestResult<BTreeMap<String, u64>> {
        let mut all = BTreeMap::new();
        for control in &self.deployment.control_addresses().services {
            let counts = self.probe.get_json(*control, "/control/counts").await;
            let counts: service::Counts = counts.ok_or("a service is silent")?;
            for (key, runs) in counts.by_key {
                *all.entry(key).or_default() += runs;
            }
        }
        Ok(all)
    }

    /// Counts of all engines.
    pub(super) async fn engines(&self) -> TestResult<Vec<engine::Counts>> {
        let mut all = Vec::new();
        for control in &self.deployment.control_addresses().engines {
            let counts = self.probe.get_json(*control, "/control/counts").await;
            all.push(counts.ok_or("an engine is silent")?);
        }
        Ok(all)
    }

    /// No call ran twice, and no accelerator held more than its memory.
    pub(super) async fn promises_held(&self) -> TestResult {
        for (key, runs) in self.runs_by_key().await? {
            check(runs <= 1, || format!("{key} ran {runs} times"))?;
        }
        for counts in self.engines().await? {
            check(counts.overcommits == 0, || {
                format!("memory overcommitted {} times", counts.overcommits)
            })?;
        }
        Ok(())
    }

    /// Work of all kinds on all entries.
    pub(super) fn load(&self, rate_per_s: f64, count: u64, seed: u64) -> LoadOptions {
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

    /// Loads the models that the work asks for, so that a fault meets work that
    /// runs and not work that waits.
    pub(super) async fn warm_up(&self) -> TestResult {
        let report = load::run(self.load(20.0, 40, 1)).await;
        check(report.wrong_responses() == 0, || report.table())?;
        check(whole(&report) > 0, || report.table())
    }
}

/// Whole answers of all profiles.
pub(super) fn whole(report: &Report) -> u64 {
    report.profiles.values().map(|profile| profile.whole).sum()
}

/// The kinds of work: two hot models, an adapter and orders.
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
