//! Stand-in for the platform's object API as a program.

use bpaf::Bpaf;
use fake::platform::{self, PlatformOptions};
use std::net::SocketAddr;

/// Stand-in for the platform's object API
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Where the object API is served
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    listen: SocketAddr,
    /// Where faults are switched and counts are read
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    control: SocketAddr,
    /// Seed of the faults that come with a probability
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
