//! The demo: runs a small deployment on loopback under varying load and prints a
//! summary.
//!
//! It starts the programs as child processes and signals each by its process id. No
//! process of the system itself starts another.

mod child_process;
mod deployment;
mod directory;
mod ports;
mod probe;
mod summary;
mod workload;

use std::fmt;
use std::io;
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

pub use deployment::{CommandOutput, ControlAddresses, Deployment, DeploymentOptions};
pub use probe::ProbeClient;

/// Fleet configuration of the demo.
pub const FLEET: &str = include_str!("../../../../deploy/demo.jsonc");

/// Options of the demo.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Duration of the load.
    pub seconds: u64,
    /// Seed of the requests.
    pub seed: u64,
    /// Whether to keep the directory with settings and logs.
    pub keep_directory: bool,
}

/// Error of the demo or of a [`Deployment`].
#[derive(Debug)]
pub enum DemoError {
    /// Programs that are missing in the directory of the running one.
    MissingPrograms(Vec<PathBuf>),
    /// An operation on a file, a port or a child process failed; says which.
    Io(&'static str, io::Error),
    /// A stand-in did not print its addresses.
    AddressNotReported(String),
    /// A command failed; holds its output.
    CommandFailed(String),
    /// There is no process of the system with this name.
    UnknownProcess(String),
    /// A process did not exit within the time limit.
    ExitTimeout(String),
    /// A signal ended the demo.
    Interrupted,
    /// Processes that were not ready within the time limit, and the directory of their
    /// logs.
    ReadyTimeout(Vec<String>, PathBuf),
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingPrograms(programs) => {
                writeln!(f, "programs are missing:")?;
                for program in programs {
                    writeln!(f, "  {}", program.display())?;
                }
                f.write_str("run `cargo build --release --workspace --bins` first")
            }
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::AddressNotReported(name) => {
                write!(f, "{name} did not print its address")
            }
            Self::CommandFailed(text) => write!(f, "sesamectl failed: {text}"),
            Self::UnknownProcess(name) => write!(f, "no process named {name}"),
            Self::ExitTimeout(name) => {
                write!(f, "{name} did not exit within the time limit")
            }
            Self::Interrupted => f.write_str("interrupted"),
            Self::ReadyTimeout(names, logs) => write!(
                f,
                "not ready within the time limit: {}; logs are in {}",
                names.join(", "),
                logs.display()
            ),
        }
    }
}

impl std::error::Error for DemoError {}

/// Runs the demo. Returns true if every response was correct and no counter shows a
/// violation.
///
/// # Errors
///
/// Returns an error if the deployment can't be started or a signal interrupts the demo.
pub async fn run(options: DemoOptions) -> Result<bool, DemoError> {
    println!("starting 1 platform, 1 weight store, 6 engines, 3 services, ...");
    let mut deployment = Deployment::start(DeploymentOptions {
        keep_directory: options.keep_directory,
        ..DeploymentOptions::default()
    })?;
    // SIGINT and SIGTERM are handled, since the children would outlive a demo that they
    // killed.
    let result = tokio::select! {
        result = run_load(&deployment, &options) => result,
        () = shutdown_signal() => Err(DemoError::Interrupted),
    };
    if result.is_err() {
        // The logs are needed to diagnose the error.
        deployment.keep_directory();
    }
    deployment.stop();
    result
}

/// Waits for SIGINT or SIGTERM, or forever if no handler can be installed.
pub(crate) async fn shutdown_signal() {
    let (Ok(mut interrupt), Ok(mut terminate)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

async fn run_load(
    deployment: &Deployment,
    options: &DemoOptions,
) -> Result<bool, DemoError> {
    print!("{}", deployment.publish(FLEET)?);
    deployment.wait_ready().await?;
    println!(
        "9 agents and 2 entries are ready; settings, logs and the addresses for\n\
         faults (controls.json) are in {}\n\
         load for {} s with a burst in the middle; no model is loaded yet ...",
        deployment.directory().display(),
        options.seconds
    );
    let report = workload::run(&deployment.entry_addresses(), options).await;
    let totals = summary::Totals::read(deployment).await;
    println!("\n{}", report.table());
    println!("{}", totals.table());
    if let Some(timeline) = deployment.timeline(&report.slowest_request) {
        println!(
            "timeline of the slowest whole answer, {} ({} ms):\n{timeline}",
            report.slowest_request, report.slowest_ms
        );
    }
    Ok(report.wrong_responses() == 0 && totals.no_violations())
}
