//! The demo as a program.

use bpaf::Bpaf;
use fake::demo::{self, DemoOptions};
use std::process::ExitCode;

/// Runs a small deployment on this machine, gives it work and sums up
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Duration of the work
    #[bpaf(argument("N"), fallback(20))]
    seconds: u64,
    /// Seed of the work
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Keep the folder with settings and logs
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
            eprintln!("sesame-demo: a promise was broken, see above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("sesame-demo: {error}");
            ExitCode::FAILURE
        }
    }
}
