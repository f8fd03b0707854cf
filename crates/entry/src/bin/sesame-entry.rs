//! The entry's program: reads its settings and runs until it has drained.

use bpaf::Bpaf;
use oper::StartError;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Serves callers and routes their requests to upstreams.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Settings of this process, as JSON with comments
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    oper::exit_code(start(&arguments.settings))
}

fn start(file: &Path) -> Result<(), StartError> {
    let settings = oper::read_settings(file, conf::check_entry_settings)?;
    let log_level = settings.log_level.clone();
    let threads = settings.worker_threads;
    oper::run_process(
        &log_level,
        threads,
        entry::run(settings, oper::termination_signal()),
    )
}
