//! What an entry and an agent cost: the same work straight to an engine and
//! through both, and what each process takes of the machine.
//!
//! A benchmark, not a test: it prints figures and judges none. Both ways are
//! measured in rounds, a few times each, so that a machine that is busier for a
//! while is so for both.

mod delay;
mod fleet;
mod processes;
mod throughput;

use std::fmt::Write as _;

use crate::demo::{DemoError, interrupted};

/// What to measure.
#[derive(Debug, Clone, Copy)]
pub struct OverheadOptions {
    /// Turns of each way.
    pub rounds: u32,
    /// Seconds of each turn.
    pub seconds: u64,
    /// Seconds over which idle processes are looked at.
    pub idle_seconds: u64,
    /// Which parts are measured.
    pub sections: Sections,
}

/// Sections of the benchmark.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sections {
    /// First token and whole time, direct and through.
    pub latency: bool,
    /// Requests per second through one entry.
    pub throughput: bool,
    /// A deployment of today's size, idle.
    pub idle_fleet: bool,
}

/// Measures and prints.
///
/// # Errors
///
/// A deployment did not come up, or a signal ended the benchmark.
pub async fn run(options: OverheadOptions) -> Result<(), DemoError> {
    // The children would outlive a benchmark that ended without dropping them.
    tokio::select! {
        done = measure(options) => done,
        () = interrupted() => Err(DemoError::Interrupted),
    }
}

async fn measure(options: OverheadOptions) -> Result<(), DemoError> {
    println!("{}", machine());
    if options.sections.latency {
        delay::run(&options).await?;
    }
    if options.sections.throughput {
        throughput::run(&options).await?;
    }
    if options.sections.idle_fleet {
        processes::control(&options).await?;
    }
    println!("{}", machine());
    Ok(())
}

/// The state of the machine, which the figures depend on.
fn machine() -> String {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write!(text, "machine: {cores} cores, load average {}", load.trim());
    text
}
