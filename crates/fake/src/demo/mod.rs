//! The demo: a small deployment on loopback, work in bursts, and a summary.
//!
//! A tool for people: it starts the programs as its children and ends each by
//! its process id. No process of the system itself starts another.

mod children;
mod deployment;
mod folder;
mod ports;
mod probe;
mod summary;
mod work;

use std::fmt;
use std::io;
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

pub use deployment::{CommandOutput, ControlAddresses, Deployment, DeploymentOptions};
pub use probe::ProbeClient;

/// The demo's fleet configuration.
pub const FLEET: &str = include_str!("../../../../deploy/demo.jsonc");

/// How the demo is run.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Duration of the work.
    pub seconds: u64,
    /// Seed of the work.
    pub seed: u64,
    /// Keep the folder with settings and logs.
    pub keep_directory: bool,
}

/// Why the demo ended early.
#[derive(Debug)]
pub enum DemoError {
    /// Programs that are not beside the demo's own.
    MissingPrograms(Vec<PathBuf>),
    /// A file, a port or a child failed.
    Io(&'static str, io::Error),
    /// A child said something else than its address.
    AddressNotReported(String),
    /// A command of `sesamectl` failed; what it printed.
    CommandFailed(String),
    /// No process of the system has this name.
    UnknownProcess(String),
    /// A process did not end in time.
    ExitTimeout(String),
    /// A signal ended the demo.
    Interrupted,
    /// Processes that were not ready in time, and the folder with their logs.
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
                write!(f, "{name} did not tell its address")
            }
            Self::CommandFailed(text) => write!(f, "sesamectl failed: {text}"),
            Self::UnknownProcess(name) => write!(f, "there is no process {name}"),
            Self::ExitTimeout(name) => write!(f, "{name} did not end in time"),
            Self::Interrupted => f.write_str("interrupted"),
            Self::ReadyTimeout(names, logs) => write!(
                f,
                "not ready in time: {}; logs are in {}",
                names.join(", "),
                logs.display()
            ),
        }
    }
}

impl std::error::Error for DemoError {}

/// Runs the demo; true if every promise held.
///
/// # Errors
///
/// The deployment did not come up.
pub async fn run(options: DemoOptions) -> Result<bool, DemoError> {
    println!("starting 1 platform, 1 weight store, 6 engines, 3 services, ...");
    let mut deployment = Deployment::start(DeploymentOptions {
        keep_directory: options.keep_directory,
        ..DeploymentOptions::default()
    })?;
    // The children would outlive a demo that ended without stopping them.
    let done = tokio::select! {
        done = drive(&deployment, &options) => done,
        () = interrupted() => Err(DemoError::Interrupted),
    };
    if done.is_err() {
        // The logs are what the error is about.
        deployment.keep_directory();
    }
    deployment.stop();
    done
}

/// Waits for SIGINT or SIGTERM; for ever if they can't be listened to.
pub(crate) async fn interrupted() {
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

async fn drive(
    deployment: &Deployment,
    options: &DemoOptions,
) -> Result<bool, DemoError> {
    print!("{}", deployment.publish(FLEET)?);
    deployment.wait_ready().await?;
    println!(
        "9 agents and 2 entries are ready; settings, logs and the addresses for\n\
         faults (controls.json) are in {}\n\
         work for {} s, a burst in the middle; no model is loaded yet ...",
        deployment.directory().display(),
        options.seconds
    );
    let report = work::run(&deployment.entry_addresses(), options).await;
    let totals = summary::Totals::read(deployment).await;
    println!("\n{}", report.table());
    println!("{}", totals.table());
    if let Some(line) = deployment.timeline(&report.slowest_request) {
        println!(
            "time line of the slowest whole answer, {} ({} ms):\n{line}",
            report.slowest_request, report.slowest_ms
        );
    }
    Ok(report.wrong_answers() == 0 && totals.promises_held())
}
