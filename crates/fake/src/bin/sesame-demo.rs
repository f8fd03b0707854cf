//! Runs the demo.

use bpaf::Bpaf;
use fake::demo::{self, DemoOptions};
use std::process::ExitCode;

/// Runs a small deployment on this machine, sends it requests and prints a summary
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Duration of the load in seconds
    #[bpaf(argument("N"), fallback(20))]
    seconds: u64,
    /// Seed of the requests
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Keep the directory with settings and logs
    keep: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = args().run();
    let options = DemoOptions {
        seconds: args.seconds,
        seed: args.seed,
        keep_directory: args.keep,
    };
    match demo::run(options).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!(
                "sesame-demo: a response was wrong or a count that must be 0 is not, see above"
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("sesame-demo: {error}");
            ExitCode::FAILURE
        }
    }
}
