//! The agent's program: reads its settings and runs until it has drained.

use agent::AgentError;
use bpaf::Bpaf;
use schema::settings::AgentSettings;
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
    match start(&arguments.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start(file: &Path) -> Result<(), AgentError> {
    let settings = read(file)?;
    oper::init_log(&settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads.max(1) as usize)
        .enable_all()
        .build()
        .expect("a runtime needs only threads and descriptors");
    runtime.block_on(agent::run(settings, oper::terminated()))
}

fn read(file: &Path) -> Result<AgentSettings, AgentError> {
    let text = std::fs::read_to_string(file).map_err(|source| AgentError::File {
        path: file.to_owned(),
        source,
    })?;
    conf::check_agent_settings(&text).map_err(|faults| AgentError::Settings { faults })
}
