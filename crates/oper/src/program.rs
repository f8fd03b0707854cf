//! Startup and exit of the programs of the entry and the agent.

use conf::Diagnostic;
use std::future::Future;
use std::path::Path;
use std::process::ExitCode;

use crate::{StartError, init_log};

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`StartError::ReadSettings`] if it can't be read, or
/// [`StartError::InvalidSettings`] with all errors found in the text.
pub fn read_settings<T>(
    file: &Path,
    check: impl FnOnce(&str) -> Result<T, Vec<Diagnostic>>,
) -> Result<T, StartError> {
    let text =
        std::fs::read_to_string(file).map_err(|source| StartError::ReadSettings {
            path: file.to_owned(),
            source,
        })?;
    check(&text).map_err(|diagnostics| StartError::InvalidSettings { diagnostics })
}

/// Starts logging and the runtime, and runs a process's future to completion.
///
/// # Errors
///
/// The errors of the future.
///
/// # Panics
///
/// If the operating system can't provide the runtime's threads or descriptors.
pub fn run_process(
    log_level: &str,
    worker_threads: u32,
    process: impl Future<Output = Result<(), StartError>>,
) -> Result<(), StartError> {
    init_log(log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads.max(1) as usize)
        .enable_all()
        .build()
        .expect("the runtime needs only threads and descriptors");
    runtime.block_on(process)
}

/// Converts the result of a process to an exit code, and prints an error to
/// standard error.
pub fn exit_code(result: Result<(), StartError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
