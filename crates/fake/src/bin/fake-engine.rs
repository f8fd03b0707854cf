//! Runs the stand-in for a model engine.

use bpaf::Bpaf;
use fake::engine::{self, EngineOptions};
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;

/// Stand-in for a model engine
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address of the API listener
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    listen: SocketAddr,
    /// Address of the control listener, which sets faults and returns counters
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    control: SocketAddr,
    /// Memory of each accelerator in MiB, separated by commas
    #[bpaf(argument("MIB,…"), fallback(Sizes(vec![81_920])))]
    accelerators_mib: Sizes,
    /// Duration in microseconds of a step with one request in the batch
    #[bpaf(argument("US"), fallback(10_000))]
    step_us: u64,
    /// Maximum number of requests in one accelerator's batch
    #[bpaf(argument("N"), fallback(16))]
    slots: usize,
    /// Blocks of 16 prompt tokens that one accelerator's prefix cache holds
    #[bpaf(argument("N"), fallback(4_096))]
    prefix_blocks: usize,
    /// Refuse an order whose fencing epoch is lower than one already seen
    check_fencing: bool,
    /// Address of the weight store; without one, a load takes --load-ms
    #[bpaf(argument("IP:PORT"))]
    store: Option<SocketAddr>,
    /// Duration in milliseconds of a load without a weight store
    #[bpaf(argument("MS"), fallback(2_000))]
    load_ms: u64,
    /// Duration of an unload in milliseconds
    #[bpaf(argument("MS"), fallback(50))]
    unload_ms: u64,
    /// A prompt that contains this text crashes the engine
    #[bpaf(argument("TEXT"))]
    crash_text: Option<String>,
    /// Milliseconds from a crash to the next incarnation
    #[bpaf(argument("MS"), fallback(1_000))]
    restart_ms: u64,
    /// Incarnation at the start; a restarted program must be given another
    #[bpaf(argument("N"), fallback(1))]
    incarnation: u64,
}

/// Memory of each accelerator in MiB.
#[derive(Debug, Clone)]
struct Sizes(Vec<u32>);

impl FromStr for Sizes {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let sizes = text.split(',').map(|size| size.trim().parse());
        sizes.collect::<Result<_, _>>().map(Self)
    }
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    fake::program::run(engine::start(EngineOptions {
        listen: args.listen,
        control: args.control,
        accelerators_mib: args.accelerators_mib.0,
        step_us: args.step_us,
        slots: args.slots,
        prefix_blocks: args.prefix_blocks,
        check_fencing: args.check_fencing,
        store: args.store,
        load_ms: args.load_ms,
        unload_ms: args.unload_ms,
        crash_text: args.crash_text,
        restart_ms: args.restart_ms,
        incarnation: args.incarnation,
        ..EngineOptions::default()
    }))
}
