//! Runs the stand-in for the platform's object API.

use bpaf::Bpaf;
use fake::platform::{self, PlatformOptions};
use std::net::SocketAddr;

/// Stand-in for the platform's object API
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address of the object API listener
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    listen: SocketAddr,
    /// Address of the control listener, which sets faults and returns counters
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    control: SocketAddr,
    /// Seed of the random faults
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    fake::program::run(platform::start(PlatformOptions {
        listen: args.listen,
        control: args.control,
        seed: args.seed,
    }))
}
