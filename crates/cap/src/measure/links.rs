//! Links between real processes: one entry before many agents, at rest.

use super::messages::{self, Fleet};
use super::processes::{Folder, Process, get, link_bytes, program, stop};
use schema::settings::{AgentSettings, EntrySettings};
use std::io;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Agents, one process each.
pub const AGENTS: [usize; 4] = [1, 8, 64, 256];
/// Entries, one process each, before 16 agents.
pub const ENTRIES: [usize; 4] = [1, 4, 16, 64];
const MESH_AGENTS: usize = 16;
/// Models of the document.
const MODELS: usize = 50;
/// After the start, until everything has settled.
const SETTLE: Duration = Duration::from_secs(6);
/// Time over which rates are taken.
const WINDOW: Duration = Duration::from_secs(10);

/// What one run showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rest {
    /// Agents, one process each.
    pub agents: usize,
    /// Entries, one process each; entry figures are those of the first.
    pub entries: usize,
    /// Resident memory of the entry.
    pub entry_bytes: u64,
    /// Resident memory of an agent, the mean.
    pub agent_bytes: u64,
    /// Processor time of the entry, in percent of a core.
    pub entry_percent: f64,
    /// Processor time of an agent, the mean, in percent of a core.
    pub agent_percent: f64,
    /// Bytes a second that the entry received over one link; 0 if not known.
    pub received_per_link: f64,
    /// Bytes a second that the entry sent over one link; 0 if not known.
    pub sent_per_link: f64,
    /// Calls a second that the platform began to serve.
    pub platform_calls_per_s: f64,
    /// From the publication of a change to its being in force in every process,
    /// by the word of the operators' tool.
    pub change_ms: f64,
    /// Duration of the operators' question to every process, by the same tool.
    pub status_ms: f64,
    /// Load of the machine over the last minute, at the end.
    pub machine_load: f64,
}

/// Runs each size in turn.
///
/// # Errors
///
/// When a program can't be started.
pub fn run() -> io::Result<Vec<Rest>> {
    AGENTS.iter().map(|agents| one(*agents, 1)).collect()
}

/// The same with a few agents and more and more entries.
///
/// # Errors
///
/// When a program can't be started.
pub fn mesh() -> io::Result<Vec<Rest>> {
    ENTRIES
        .iter()
        .map(|count| one(MESH_AGENTS, *count))
        .collect()
}

/// Entries before so many agents, all beside the same stand-in engine, with a
/// look at them at rest.
fn one(agents: usize, entries: usize) -> io::Result<Rest> {
    let running = deployment(agents, entries)?;
    let mut rest = look(&running);
    rest.status_ms = status_ms(&running.platform)?;
    let begin = Instant::now();
    let fleet = Fleet::of(MODELS + 1);
    publish(&running.folder, &running.platform, &fleet, true)?;
    rest.change_ms = begin.elapsed().as_secs_f64() * 1_000.0;
    running.stop();
    Ok(rest)
}

/// Processes on loopback that have settled; dropping it ends them.
#[derive(Debug)]
pub struct Deployment {
    /// The entries.
    pub entries: Vec<Process>,
    /// The agents.
    pub agents: Vec<Process>,
    /// Address of the stand-in platform.
    pub platform: String,
    control: String,
    fakes: Vec<Process>,
    folder: Folder,
}

impl Deployment {
    /// Operators' listeners of the entries.
    ///
    /// # Errors
    ///
    /// When they can't be found out.
    pub fn entry_addresses(&self) -> io::Result<Vec<String>> {
        let done = Command::new(program("sesamectl"))
            .args(["status", "--json", "--platform", &self.platform])
            .output()?;
        let lines: serde_json::Value = serde_json::from_slice(&done.stdout)?;
        let lines = lines.as_array().into_iter().flatten();
        let entries = lines.filter(|line| line["status"]["kind"] == "entry");
        let addresses = entries.filter_map(|line| line["address"].as_str());
        Ok(addresses.map(str::to_owned).collect())
    }

    /// Ends the processes in good order.
    pub fn stop(self) {
        stop(self.agents);
        stop(self.entries);
        stop(self.fakes);
    }
}

/// Starts processes and waits until they have settled.
///
/// # Errors
///
/// When a program can't be started.
pub fn deployment(agents: usize, entries: usize) -> io::Result<Deployment> {
    let folder = Folder::new(&format!("{agents}-{entries}"))?;
    let (platform, listen, control) = Process::start_fake("fake-platform")?;
    let (engine, upstream, _) = Process::start_fake("fake-engine")?;
    let entries: io::Result<Vec<Process>> = (0..entries)
        .map(|nth| start_entry(nth, &folder, &listen))
        .collect();
    let entries = entries?;
    let agents: io::Result<Vec<Process>> = (0..agents)
        .map(|nth| start_agent(nth, &folder, &listen, &upstream))
        .collect();
    let agents = agents?;
    // Not all processes may be there yet: whether they have it is not asked.
    publish(&folder, &listen, &Fleet::of(MODELS), false)?;
    sleep(SETTLE);
    Ok(Deployment {
        entries,
        agents,
        platform: listen,
        control,
        fakes: vec![engine, platform],
        folder,
    })
}

fn look(running: &Deployment) -> Rest {
    let (entry, agents) = (&running.entries[0], &running.agents);
    let (listen, control) = (&running.platform, &running.control);
    let count = agents.len() as f64;
    let used = || agents.iter().map(Process::processor_us).sum::<u64>();
    let bytes = || link_bytes(&entry.id(), listen).unwrap_or((0, 0));
    let calls = || calls(control);
    let begin = Instant::now();
    let before = (entry.processor_us(), used(), bytes(), calls());
    sleep(WINDOW);
    let after = (entry.processor_us(), used(), bytes(), calls());
    let seconds = begin.elapsed().as_secs_f64();
    let percent = |us: u64| us as f64 / 1e4 / seconds;
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    let resident = agents.iter().map(Process::resident_bytes).sum::<u64>();
    Rest {
        agents: agents.len(),
        entries: running.entries.len(),
        entry_bytes: entry.resident_bytes(),
        agent_bytes: resident / agents.len().max(1) as u64,
        entry_percent: percent(after.0 - before.0),
        agent_percent: percent(after.1 - before.1) / count,
        sent_per_link: rate(after.2.0, before.2.0) / count,
        received_per_link: rate(after.2.1, before.2.1) / count,
        platform_calls_per_s: rate(after.3, before.3),
        change_ms: 0.0,
        status_ms: 0.0,
        machine_load: load(),
    }
}

/// Load of the machine over the last minute.
pub(super) fn load() -> f64 {
    let text = super::clock::machine_load();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}

/// Calls that the stand-in platform has served.
fn calls(control: &str) -> u64 {
    let text = get(control, "/control/counts").unwrap_or_default();
    let counts: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let kinds = ["reads", "writes", "watches", "lists"];
    kinds.iter().filter_map(|kind| counts[kind].as_u64()).sum()
}

/// The operators' question to every process.
fn status_ms(platform: &str) -> io::Result<f64> {
    let begin = Instant::now();
    Command::new(program("sesamectl"))
        .args(["status", "--platform", platform])
        .stdin(Stdio::null())
        .output()?;
    Ok(begin.elapsed().as_secs_f64() * 1_000.0)
}

fn start_entry(nth: usize, folder: &Folder, platform: &str) -> io::Result<Process> {
    let settings = EntrySettings {
        id: messages::entry(nth),
        failure_domain: messages::domain(nth),
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
    let file = folder.write(&format!("entry-{nth}.json"), &settings)?;
    Process::start("sesame-entry", &file, folder)
}

fn start_agent(
    nth: usize,
    folder: &Folder,
    platform: &str,
    upstream: &str,
) -> io::Result<Process> {
    let settings = AgentSettings {
        id: messages::agent(nth),
        failure_domain: messages::domain(nth),
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
    let file = folder.write(&format!("agent-{nth}.json"), &settings)?;
    Process::start("sesame-agent", &file, folder)
}

fn publish(
    folder: &Folder,
    platform: &str,
    fleet: &Fleet,
    wait: bool,
) -> io::Result<()> {
    let file = folder.write("fleet.json", &messages::document(fleet))?;
    let wait = wait.then_some("--wait");
    let done = Command::new(program("sesamectl"))
        .args(["publish", "--platform", platform])
        .args(wait)
        .arg(file)
        .stdin(Stdio::null())
        .output()?;
    if done.status.success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&done.stderr);
    Err(io::Error::other(format!(
        "the document is not taken: {text}"
    )))
}
