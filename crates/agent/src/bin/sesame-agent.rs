//! The agent's program: reads its settings and runs the agent until it has drained.

use bpaf::Bpaf;
use oper::StartError;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs the agent of one upstream, which passes requests and orders to it
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Settings of this process, as JSON with comments
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    oper::exit_code(run_agent(&arguments.settings))
}

fn run_agent(settings_file: &Path) -> Result<(), StartError> {
    let settings = oper::read_settings(settings_file, conf::check_agent_settings)?;
    let log_level = settings.log_level.clone();
    let worker_threads = settings.worker_threads;
    oper::run_process(
        &log_level,
        worker_threads,
        agent::run(settings, oper::termination_signal()),
    )
}
