//! CPU time and memory of the deployment's processes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::time::{Duration, Instant};

use super::OverheadOptions;
use crate::demo::{DemoError, Deployment, DeploymentOptions};

/// Fleet configuration of production size.
const PRODUCTION_FLEET: &str = include_str!("../../../../deploy/harbourline.jsonc");

/// Time after which a deployment that just became ready counts as idle.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// CPU time and memory of every process of a deployment at one point in time.
#[derive(Debug)]
pub(super) struct UsageSnapshot {
    taken_at: Instant,
    by_process: BTreeMap<String, ProcessSample>,
}

#[derive(Debug, Clone, Copy)]
struct ProcessSample {
    cpu_ns: u64,
    resident_kib: u64,
}

impl UsageSnapshot {
    /// Reads all processes, including the benchmark's own.
    pub(super) fn read(deployment: &Deployment) -> Self {
        let mut pids = deployment.pids();
        pids.insert("(benchmark)".to_owned(), std::process::id());
        let by_process = pids
            .into_iter()
            .map(|(name, pid)| (name, ProcessSample::read(pid)));
        Self {
            taken_at: Instant::now(),
            by_process: by_process.collect(),
        }
    }
}

impl ProcessSample {
    /// Reads one process; values that can't be read are 0.
    fn read(pid: u32) -> Self {
        let status = fs::read_to_string(format!("/proc/{pid}/status"));
        let status = status.unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next());
        Self {
            cpu_ns: cpu_ns(pid),
            resident_kib: resident.and_then(|kib| kib.parse().ok()).unwrap_or(0),
        }
    }
}

/// Returns the CPU time of all threads in nanoseconds. It is read from `schedstat`, since
/// `stat` counts in hundredths of a second, which is too coarse for an idle process.
fn cpu_ns(pid: u32) -> u64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return 0;
    };
    let thread_cpu_ns = |path: std::path::PathBuf| {
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    threads
        .flatten()
        .filter_map(|thread| thread_cpu_ns(thread.path()))
        .sum()
}

/// Measures the processes for some seconds while they are idle.
pub(super) async fn measure_idle(deployment: &Deployment, seconds: u64) -> String {
    tokio::time::sleep(SETTLE_TIME).await;
    let before = UsageSnapshot::read(deployment);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    usage_since(deployment, &before)
}

/// Formats the CPU usage of each process since `before`, and its memory now.
pub(super) fn usage_since(deployment: &Deployment, before: &UsageSnapshot) -> String {
    let after = UsageSnapshot::read(deployment);
    let elapsed_ns = (after.taken_at - before.taken_at).as_nanos().max(1) as f64;
    let mut text = String::new();
    for (name, sample) in &after.by_process {
        let earlier = before
            .by_process
            .get(name)
            .map_or(0, |sample| sample.cpu_ns);
        let cpu_ns = sample.cpu_ns.saturating_sub(earlier);
        let percent = cpu_ns as f64 * 100.0 / elapsed_ns;
        let mib = sample.resident_kib as f64 / 1_024.0;
        // Writing to a string can't fail.
        let _ = writeln!(text, "  {name:<20}{percent:>9.3}% of a core {mib:>7.1} MiB");
    }
    text
}

/// Formats the resident memory of each process.
pub(super) fn format_resident_memory(deployment: &Deployment) -> String {
    let now = UsageSnapshot::read(deployment);
    let lines = now.by_process.iter().map(|(name, sample)| {
        let mib = sample.resident_kib as f64 / 1_024.0;
        format!("  {name:<20}{mib:>7.1} MiB")
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Measures a deployment of production size without requests, which shows the cost of
/// the control plane alone.
pub(super) async fn measure_idle_fleet(
    options: &OverheadOptions,
) -> Result<(), DemoError> {
    let deployment = Deployment::start(DeploymentOptions {
        engines: 18,
        services: 3,
        entries: 3,
        ..DeploymentOptions::default()
    })?;
    let output = deployment.publish_with(PRODUCTION_FLEET, &[])?;
    if output.exit_code != 0 {
        return Err(DemoError::CommandFailed(output.text));
    }
    deployment.wait_ready().await?;
    println!("\nHarbourline's size, 21 agents and 3 entries, idle:");
    print!("{}", measure_idle(&deployment, options.idle_seconds).await);
    deployment.stop();
    Ok(())
}
