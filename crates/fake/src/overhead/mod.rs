//! Benchmark of the overhead of an entry and an agent. It sends the same requests
//! directly to an engine and through entry and agent, and measures the resource usage of
//! each process.
//!
//! It prints figures and checks no limits. Each round measures both paths, one after the
//! other, so that other load on the machine affects both alike.

mod fleet;
mod latency;
mod processes;
mod throughput;

use std::fmt::Write as _;

use crate::demo::{DemoError, shutdown_signal};

/// Options of the benchmark.
#[derive(Debug, Clone, Copy)]
pub struct OverheadOptions {
    /// Number of rounds, each of which measures both paths.
    pub rounds: u32,
    /// Duration in seconds of one measurement.
    pub seconds: u64,
    /// Duration in seconds over which idle processes are measured.
    pub idle_seconds: u64,
    /// Sections to run.
    pub sections: Sections,
}

/// Sections of the benchmark that can be selected.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sections {
    /// Time to first token and total time, directly and through entry and agent.
    pub latency: bool,
    /// Throughput of one entry.
    pub throughput: bool,
    /// Resource usage of an idle deployment of production size.
    pub idle_fleet: bool,
}

/// Runs the selected sections and prints the results.
///
/// # Errors
///
/// Returns an error if a deployment can't be started or a signal interrupts the
/// benchmark.
pub async fn run(options: OverheadOptions) -> Result<(), DemoError> {
    // SIGINT and SIGTERM are handled, since the children would outlive a benchmark that
    // they killed.
    tokio::select! {
        result = measure(options) => result,
        () = shutdown_signal() => Err(DemoError::Interrupted),
    }
}

async fn measure(options: OverheadOptions) -> Result<(), DemoError> {
    println!("{}", machine_state());
    if options.sections.latency {
        latency::run(&options).await?;
    }
    if options.sections.throughput {
        throughput::run(&options).await?;
    }
    if options.sections.idle_fleet {
        processes::measure_idle_fleet(&options).await?;
    }
    println!("{}", machine_state());
    Ok(())
}

/// Returns number of cores and load average, which affect the figures.
fn machine_state() -> String {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write!(text, "machine: {cores} cores, load average {}", load.trim());
    text
}
