//! Runs the overhead benchmark.

use bpaf::Bpaf;
use fake::overhead::{self, OverheadOptions, Sections};
use std::process::ExitCode;

/// Measures the overhead of an entry and an agent, compared to an engine alone
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Number of rounds, each of which measures both paths
    #[bpaf(argument("N"), fallback(3))]
    turns: u32,
    /// Duration in seconds of one measurement
    #[bpaf(argument("N"), fallback(5))]
    seconds: u64,
    /// Duration in seconds over which idle processes are measured
    #[bpaf(argument("N"), fallback(10))]
    idle_seconds: u64,
    /// Only time to first token and total time, directly and through entry and agent
    delay: bool,
    /// Only the throughput of one entry
    throughput: bool,
    /// Only the resource usage of an idle deployment of production size
    control: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = args().run();
    let all = !(args.delay || args.throughput || args.control);
    let options = OverheadOptions {
        rounds: args.turns.max(1),
        seconds: args.seconds,
        idle_seconds: args.idle_seconds,
        sections: Sections {
            latency: all || args.delay,
            throughput: all || args.throughput,
            idle_fleet: all || args.control,
        },
    };
    match overhead::run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sesame-overhead: {error}");
            ExitCode::FAILURE
        }
    }
}
