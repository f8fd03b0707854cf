//! Measures idle real processes: one entry with many agents, and many entries
//! with 16 agents.

use super::messages::{self, Fleet};
use super::processes::{
    Process, TempDir, http_get, sibling_program, socket_bytes, stop_all,
};
use schema::settings::{AgentSettings, EntrySettings};
use std::io;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Numbers of agents, one process each, with one entry.
pub const AGENT_COUNTS: [usize; 4] = [1, 8, 64, 256];
/// Numbers of entries, one process each, with 16 agents.
pub const ENTRY_COUNTS: [usize; 4] = [1, 4, 16, 64];
const AGENTS_IN_ENTRY_SERIES: usize = 16;
/// Models in the document.
const DOCUMENT_MODELS: usize = 50;
/// Wait after the start, until the deployment has settled.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time over which rates are measured.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Measurements of one deployment at rest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IdleMeasurement {
    /// Number of agents, one process each.
    pub agents: usize,
    /// Number of entries, one process each; the values for an entry are those
    /// of the first.
    pub entries: usize,
    /// Resident memory of the entry, in bytes.
    pub entry_bytes: u64,
    /// Mean resident memory of an agent, in bytes.
    pub agent_bytes: u64,
    /// CPU time of the entry, in percent of a core.
    pub entry_percent: f64,
    /// Mean CPU time of an agent, in percent of a core.
    pub agent_percent: f64,
    /// Bytes per second that the entry received over one link; 0 if not known.
    pub received_per_link: f64,
    /// Bytes per second that the entry sent over one link; 0 if not known.
    pub sent_per_link: f64,
    /// Calls per second that the platform received.
    pub platform_calls_per_s: f64,
    /// Milliseconds from the start of the publication of a change until
    /// `sesamectl` reports it as in force in every process.
    pub change_ms: f64,
    /// Milliseconds that `sesamectl` takes to query the status of every
    /// process.
    pub status_ms: f64,
    /// Load average of the machine over the last minute, at the end.
    pub load_average: f64,
}

/// Measures one entry with each number of agents.
///
/// # Errors
///
/// When a program can't be started.
pub fn by_agents() -> io::Result<Vec<IdleMeasurement>> {
    AGENT_COUNTS
        .iter()
        .map(|agents| measure(*agents, 1))
        .collect()
}

/// Measures each number of entries with 16 agents.
///
/// # Errors
///
/// When a program can't be started.
pub fn by_entries() -> io::Result<Vec<IdleMeasurement>> {
    ENTRY_COUNTS
        .iter()
        .map(|count| measure(AGENTS_IN_ENTRY_SERIES, *count))
        .collect()
}

/// Starts entries and agents, all with the same fake engine, and measures them
/// at rest.
fn measure(agents: usize, entries: usize) -> io::Result<IdleMeasurement> {
    let deployment = start_deployment(agents, entries)?;
    let mut result = measure_idle(&deployment);
    result.status_ms = status_ms(&deployment.platform)?;
    let start = Instant::now();
    let fleet = Fleet::with_models(DOCUMENT_MODELS + 1);
    publish(&deployment.directory, &deployment.platform, &fleet, true)?;
    result.change_ms = start.elapsed().as_secs_f64() * 1_000.0;
    deployment.stop();
    Ok(result)
}

/// Processes on loopback that have settled; they are killed on drop.
#[derive(Debug)]
pub struct Deployment {
    /// The entries.
    pub entries: Vec<Process>,
    /// The agents.
    pub agents: Vec<Process>,
    /// Address of the fake platform.
    pub platform: String,
    control_address: String,
    fake_services: Vec<Process>,
    directory: TempDir,
}

impl Deployment {
    /// Addresses of the entries' operator listeners.
    ///
    /// # Errors
    ///
    /// `sesamectl` can't be started, or its output can't be parsed.
    pub fn entry_addresses(&self) -> io::Result<Vec<String>> {
        let output = Command::new(sibling_program("sesamectl"))
            .args(["status", "--json", "--platform", &self.platform])
            .output()?;
        let lines: serde_json::Value = serde_json::from_slice(&output.stdout)?;
        let lines = lines.as_array().into_iter().flatten();
        let entries = lines.filter(|line| line["status"]["kind"] == "entry");
        let addresses = entries.filter_map(|line| line["address"].as_str());
        Ok(addresses.map(str::to_owned).collect())
    }

    /// Terminates the processes: agents first, the fake services last.
    pub fn stop(self) {
        stop_all(self.agents);
        stop_all(self.entries);
        stop_all(self.fake_services);
    }
}

/// Starts the processes, publishes a document and waits until they have
/// settled.
///
/// # Errors
///
/// When a program can't be started.
pub fn start_deployment(agents: usize, entries: usize) -> io::Result<Deployment> {
    let directory = TempDir::new(&format!("{agents}-{entries}"))?;
    let (platform, platform_address, control_address) =
        Process::start_fake("fake-platform")?;
    let (engine, upstream, _) = Process::start_fake("fake-engine")?;
    let entries: io::Result<Vec<Process>> = (0..entries)
        .map(|index| start_entry(index, &directory, &platform_address))
        .collect();
    let entries = entries?;
    let agents: io::Result<Vec<Process>> = (0..agents)
        .map(|index| start_agent(index, &directory, &platform_address, &upstream))
        .collect();
    let agents = agents?;
    // The processes may not be registered yet, so this does not wait until the
    // document is in force.
    publish(
        &directory,
        &platform_address,
        &Fleet::with_models(DOCUMENT_MODELS),
        false,
    )?;
    sleep(SETTLE_TIME);
    Ok(Deployment {
        entries,
        agents,
        platform: platform_address,
        control_address,
        fake_services: vec![engine, platform],
        directory,
    })
}

fn measure_idle(deployment: &Deployment) -> IdleMeasurement {
    let (entry, agents) = (&deployment.entries[0], &deployment.agents);
    let (platform_address, control_address) =
        (&deployment.platform, &deployment.control_address);
    let count = agents.len() as f64;
    let agents_cpu_us = || agents.iter().map(Process::cpu_time_us).sum::<u64>();
    let entry_socket_bytes =
        || socket_bytes(&entry.id(), platform_address).unwrap_or((0, 0));
    let calls = || platform_calls(control_address);
    let start = Instant::now();
    let before = (
        entry.cpu_time_us(),
        agents_cpu_us(),
        entry_socket_bytes(),
        calls(),
    );
    sleep(RATE_WINDOW);
    let after = (
        entry.cpu_time_us(),
        agents_cpu_us(),
        entry_socket_bytes(),
        calls(),
    );
    let seconds = start.elapsed().as_secs_f64();
    let percent = |us: u64| us as f64 / 1e4 / seconds;
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    let resident_bytes = agents.iter().map(Process::resident_bytes).sum::<u64>();
    IdleMeasurement {
        agents: agents.len(),
        entries: deployment.entries.len(),
        entry_bytes: entry.resident_bytes(),
        agent_bytes: resident_bytes / agents.len().max(1) as u64,
        entry_percent: percent(after.0 - before.0),
        agent_percent: percent(after.1 - before.1) / count,
        sent_per_link: rate(after.2.0, before.2.0) / count,
        received_per_link: rate(after.2.1, before.2.1) / count,
        platform_calls_per_s: rate(after.3, before.3),
        change_ms: 0.0,
        status_ms: 0.0,
        load_average: load_average(),
    }
}

/// Load average of the machine over the last minute.
pub(super) fn load_average() -> f64 {
    let text = super::sampling::load_averages();
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// Calls that the fake platform has received.
fn platform_calls(control_address: &str) -> u64 {
    let text = http_get(control_address, "/control/counts").unwrap_or_default();
    let counts: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let kinds = ["reads", "writes", "watches", "lists"];
    kinds.iter().filter_map(|kind| counts[kind].as_u64()).sum()
}

/// Milliseconds that `sesamectl` takes to query the status of every process.
fn status_ms(platform: &str) -> io::Result<f64> {
    let start = Instant::now();
    Command::new(sibling_program("sesamectl"))
        .args(["status", "--platform", platform])
        .stdin(Stdio::null())
        .output()?;
    Ok(start.elapsed().as_secs_f64() * 1_000.0)
}

fn start_entry(
    index: usize,
    directory: &TempDir,
    platform: &str,
) -> io::Result<Process> {
    let settings = EntrySettings {
        id: messages::entry(index),
        failure_domain: messages::failure_domain(index),
        caller_listen: "127.0.0.1:0".to_owned(),
        link_listen: "127.0.0.1:0".to_owned(),
        operator_listen: "127.0.0.1:0".to_owned(),
        platform: platform.to_owned(),
        request_shards: 8,
        worker_threads: 4,
        log_level: "error".to_owned(),
        timeline_events: 20_000,
        ..EntrySettings::default()
    };
    let file = directory.write(&format!("entry-{index}.json"), &settings)?;
    Process::start("sesame-entry", &file, directory)
}

fn start_agent(
    index: usize,
    directory: &TempDir,
    platform: &str,
    upstream: &str,
) -> io::Result<Process> {
    let settings = AgentSettings {
        id: messages::agent(index),
        failure_domain: messages::failure_domain(index),
        pool: messages::POOL.to_owned(),
        link_listen: "127.0.0.1:0".to_owned(),
        operator_listen: "127.0.0.1:0".to_owned(),
        platform: platform.to_owned(),
        upstream: upstream.to_owned(),
        worker_threads: 2,
        log_level: "error".to_owned(),
        timeline_events: 20_000,
        ..AgentSettings::default()
    };
    let file = directory.write(&format!("agent-{index}.json"), &settings)?;
    Process::start("sesame-agent", &file, directory)
}

fn publish(
    directory: &TempDir,
    platform: &str,
    fleet: &Fleet,
    wait: bool,
) -> io::Result<()> {
    let file = directory.write("fleet.json", &messages::document(fleet))?;
    let wait = wait.then_some("--wait");
    let output = Command::new(sibling_program("sesamectl"))
        .args(["publish", "--platform", platform])
        .args(wait)
        .arg(file)
        .stdin(Stdio::null())
        .output()?;
    if output.status.success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&output.stderr);
    Err(io::Error::other(format!(
        "the document was not accepted: {text}"
    )))
}
