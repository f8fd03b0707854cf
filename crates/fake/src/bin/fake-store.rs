//! Runs the stand-in for the weight store.

use bpaf::Bpaf;
use fake::store::{self, StoreOptions};
use std::net::SocketAddr;

/// Stand-in for the weight store
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address of the listener that serves weights
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    listen: SocketAddr,
    /// Address of the control listener, which sets faults and returns counters
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    control: SocketAddr,
    /// Maximum number of loads started per second
    #[bpaf(argument("N"), fallback(2.0))]
    loads_per_s: f64,
    /// Maximum number of concurrent loads at full speed; more share the bandwidth
    #[bpaf(argument("N"), fallback(6))]
    full_speed_loads: u32,
    /// Duration in milliseconds of a load at full speed
    #[bpaf(argument("MS"), fallback(2_000))]
    load_time_ms: u64,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    fake::program::run(store::start(StoreOptions {
        listen: args.listen,
        control: args.control,
        loads_per_s: args.loads_per_s,
        full_speed_loads: args.full_speed_loads,
        load_time_ms: args.load_time_ms,
    }))
}
