//! Silence of many agents at once, and its end, between real processes.
//!
//! A failure domain that goes away leaves its far ends with open connections on
//! which nothing comes any more. Agents that are stopped by a signal look the
//! same; let go again, they look like the other side of a cut that has healed.

use super::links::{Deployment, deployment};
use super::processes::{Process, get, link_bytes};
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Agents that fall silent at once, out of 96.
const SILENT: [usize; 4] = [1, 4, 16, 64];
const AGENTS: usize = 96;
const ENTRIES: usize = 4;
const POLL: Duration = Duration::from_millis(20);
/// Time over which bytes are counted, after all are given up.
const WINDOW: Duration = Duration::from_secs(4);
/// Longest wait for any of the states.
const PATIENCE: Duration = Duration::from_secs(30);

/// What one outage showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outage {
    /// Agents that fell silent.
    pub silent: usize,
    /// Until no entry counts one of them as up.
    pub suspected_ms: f64,
    /// Until every entry has given all of them up.
    pub lost_ms: f64,
    /// From the end of the silence until every entry counts all as up.
    pub back_ms: f64,
    /// Bytes a second that the first entry sent and received before.
    pub bytes_before: f64,
    /// The same once all were given up.
    pub bytes_during: f64,
    /// Load of the machine over the last minute, at the end.
    pub machine_load: f64,
}

/// Each size in turn, all with the same processes.
///
/// # Errors
///
/// When a program can't be started or an entry can't be asked.
pub fn run() -> io::Result<Vec<Outage>> {
    let deployment = deployment(AGENTS, ENTRIES)?;
    let addresses = deployment.entry_addresses()?;
    until(&addresses, AGENTS, |state| state == "up")?;
    let outages: io::Result<Vec<Outage>> = SILENT
        .iter()
        .map(|silent| one(&deployment, &addresses, *silent))
        .collect();
    deployment.stop();
    outages
}

fn one(
    deployment: &Deployment,
    addresses: &[String],
    silent: usize,
) -> io::Result<Outage> {
    let bytes_before = bytes_per_s(deployment);
    let affected = &deployment.agents[..silent];
    let begin = Instant::now();
    affected.iter().for_each(Process::freeze);
    until(addresses, silent, |state| state != "up")?;
    let suspected_ms = begin.elapsed().as_secs_f64() * 1e3;
    until(addresses, silent, |state| state == "lost")?;
    let lost_ms = begin.elapsed().as_secs_f64() * 1e3;
    let bytes_during = bytes_per_s(deployment);
    let begin = Instant::now();
    affected.iter().for_each(Process::thaw);
    until(addresses, AGENTS, |state| state == "up")?;
    Ok(Outage {
        silent,
        suspected_ms,
        lost_ms,
        back_ms: begin.elapsed().as_secs_f64() * 1e3,
        bytes_before,
        bytes_during,
        machine_load: super::links::load(),
    })
}

/// Waits until every entry shows so many agents in a state.
fn until(addresses: &[String], count: usize, is: fn(&str) -> bool) -> io::Result<()> {
    let end = Instant::now() + PATIENCE;
    for address in addresses {
        while counted(address, is)? < count {
            if Instant::now() > end {
                return Err(io::Error::other("the agents' states don't settle"));
            }
            sleep(POLL);
        }
    }
    Ok(())
}

fn counted(address: &str, is: fn(&str) -> bool) -> io::Result<usize> {
    let status: serde_json::Value = serde_json::from_str(&get(address, "/status")?)?;
    let agents = status["agents"].as_array();
    let states = agents.into_iter().flatten();
    let states = states.filter_map(|agent| agent["state"].as_str());
    Ok(states.filter(|state| is(state)).count())
}

fn bytes_per_s(deployment: &Deployment) -> f64 {
    let first = deployment.entries[0].id();
    let sum = || {
        let (sent, received) =
            link_bytes(&first, &deployment.platform).unwrap_or((0, 0));
        sent + received
    };
    let (begin, before) = (Instant::now(), sum());
    sleep(WINDOW);
    sum().saturating_sub(before) as f64 / begin.elapsed().as_secs_f64()
}
