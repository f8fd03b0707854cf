//! What the programs of entry and agent do before and around their shell.

use conf::Diagnostic;
use std::future::Future;
use std::path::Path;
use std::process::ExitCode;

use crate::{StartError, init_log};

/// Reads a settings file and checks it.
///
/// # Errors
///
/// [`StartError::ReadSettings`] if it can't be read, or
/// [`StartError::InvalidSettings`] with all faults of the text.
pub fn read_settings<T>(
    file: &Path,
    check: impl FnOnce(&str) -> Result<T, Vec<Diagnostic>>,
) -> Result<T, StartError> {
    let text =
        std::fs::read_to_string(file).map_err(|source| StartError::ReadSettings {
            path: file.to_owned(),
            source,
        })?;
    check(&text).map_err(|faults| StartError::InvalidSettings { faults })
}

/// Starts the log and the runtime, and runs a shell to its end.
///
/// # Errors
///
/// Those of the shell.
///
/// # Panics
///
/// If the operating system gives neither threads nor descriptors.
pub fn run_process(
    log_level: &str,
    worker_threads: u32,
    shell: impl Future<Output = Result<(), StartError>>,
) -> Result<(), StartError> {
    init_log(log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads.max(1) as usize)
        .enable_all()
        .build()
        .expect("a runtime needs only threads and descriptors");
    runtime.block_on(shell)
}

/// Tells a failed start on standard error and turns it into an exit code.
pub fn exit_code(result: Result<(), StartError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
