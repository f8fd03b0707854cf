//! The agent's program: reads its settings and runs until it has drained.

use bpaf::Bpaf;
use oper::StartError;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Stands beside one upstream and hands it work and orders.
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
    let settings = oper::read_settings(file, conf::check_agent_settings)?;
    let log_level = settings.log_level.clone();
    let threads = settings.worker_threads;
    oper::run_process(
        &log_level,
        threads,
        agent::run(settings, oper::termination_signal()),
    )
}
