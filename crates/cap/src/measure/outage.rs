//! Measures the silence of many agents at once, and its end, between real
//! processes.
//!
//! When a failure domain fails, its peers keep open connections on which
//! nothing arrives any more. Agents paused by SIGSTOP look the same to their
//! peers; when they are resumed, the other processes see what they would see at
//! the end of a network partition.

use super::idle::{Deployment, start_deployment};
use super::processes::{Process, http_get, socket_bytes};
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Numbers of agents that are paused at once, out of 96.
const PAUSED_AGENTS: [usize; 4] = [1, 4, 16, 64];
const AGENTS: usize = 96;
const ENTRIES: usize = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time over which bytes are counted, after all paused agents count as lost.
const TRAFFIC_WINDOW: Duration = Duration::from_secs(4);
/// Longest wait for agents to reach a state.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Results of one outage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outage {
    /// Number of agents that were paused.
    pub paused_agents: usize,
    /// Milliseconds until no entry counts one of them as up.
    pub suspected_ms: f64,
    /// Milliseconds until every entry counts all of them as lost.
    pub lost_ms: f64,
    /// Milliseconds from the end of the pause until every entry counts all
    /// agents as up.
    pub recovered_ms: f64,
    /// Bytes per second that the first entry sent and received before the
    /// pause.
    pub bytes_per_s_before: f64,
    /// The same once all paused agents counted as lost.
    pub bytes_per_s_during: f64,
    /// Load average of the machine over the last minute, at the end.
    pub load_average: f64,
}

/// Measures each number of paused agents in turn, with the same processes.
///
/// # Errors
///
/// A program can't be started, or an entry can't be queried.
pub fn run() -> io::Result<Vec<Outage>> {
    let deployment = start_deployment(AGENTS, ENTRIES)?;
    let addresses = deployment.entry_addresses()?;
    wait_for_agents(&addresses, AGENTS, |state| state == "up")?;
    let outages: io::Result<Vec<Outage>> = PAUSED_AGENTS
        .iter()
        .map(|paused_agents| measure(&deployment, &addresses, *paused_agents))
        .collect();
    deployment.stop();
    outages
}

fn measure(
    deployment: &Deployment,
    addresses: &[String],
    paused_agents: usize,
) -> io::Result<Outage> {
    let bytes_per_s_before = bytes_per_s(deployment);
    let affected = &deployment.agents[..paused_agents];
    let begin = Instant::now();
    affected.iter().for_each(Process::freeze);
    wait_for_agents(addresses, paused_agents, |state| state != "up")?;
    let suspected_ms = begin.elapsed().as_secs_f64() * 1e3;
    wait_for_agents(addresses, paused_agents, |state| state == "lost")?;
    let lost_ms = begin.elapsed().as_secs_f64() * 1e3;
    let bytes_per_s_during = bytes_per_s(deployment);
    let begin = Instant::now();
    affected.iter().for_each(Process::resume);
    wait_for_agents(addresses, AGENTS, |state| state == "up")?;
    Ok(Outage {
        paused_agents,
        suspected_ms,
        lost_ms,
        recovered_ms: begin.elapsed().as_secs_f64() * 1e3,
        bytes_per_s_before,
        bytes_per_s_during,
        load_average: super::idle::load_average(),
    })
}

/// Waits until every entry reports this number of agents in a state.
fn wait_for_agents(
    addresses: &[String],
    count: usize,
    matches_state: fn(&str) -> bool,
) -> io::Result<()> {
    let deadline = Instant::now() + STATE_TIMEOUT;
    for address in addresses {
        while count_agents(address, matches_state)? < count {
            if Instant::now() > deadline {
                return Err(io::Error::other(
                    "the agents did not reach the expected state in time",
                ));
            }
            sleep(POLL_INTERVAL);
        }
    }
    Ok(())
}

fn count_agents(address: &str, matches_state: fn(&str) -> bool) -> io::Result<usize> {
    let status: serde_json::Value =
        serde_json::from_str(&http_get(address, "/status")?)?;
    let agents = status["agents"].as_array();
    let states = agents.into_iter().flatten();
    let states = states.filter_map(|agent| agent["state"].as_str());
    Ok(states.filter(|state| matches_state(state)).count())
}

fn bytes_per_s(deployment: &Deployment) -> f64 {
    let process_id = deployment.entries[0].id();
    let total_bytes = || {
        let (sent, received) =
            socket_bytes(&process_id, &deployment.platform).unwrap_or((0, 0));
        sent + received
    };
    let (begin, before) = (Instant::now(), total_bytes());
    sleep(TRAFFIC_WINDOW);
    total_bytes().saturating_sub(before) as f64 / begin.elapsed().as_secs_f64()
}
