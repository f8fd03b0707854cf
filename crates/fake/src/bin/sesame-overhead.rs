//! The overhead benchmark as a program.

use bpaf::Bpaf;
use fake::overhead::{self, OverheadOptions, Sections};
use std::process::ExitCode;

/// Measures what an entry and an agent cost beside an engine alone
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Turns of each way
    #[bpaf(argument("N"), fallback(3))]
    turns: u32,
    /// Seconds of one turn
    #[bpaf(argument("N"), fallback(5))]
    seconds: u64,
    /// Seconds over which idle processes are looked at
    #[bpaf(argument("N"), fallback(10))]
    idle_seconds: u64,
    /// Only first token and whole time, direct and through
    delay: bool,
    /// Only requests per second through one entry
    throughput: bool,
    /// Only a deployment of today's size, idle
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
