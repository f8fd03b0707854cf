//! Runs the stand-in for a plain service.

use bpaf::Bpaf;
use fake::service::{self, ServiceOptions};
use std::net::SocketAddr;

/// Stand-in for a plain service
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address of the service's listener
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    listen: SocketAddr,
    /// Address of the control listener, which sets faults and returns counters
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    control: SocketAddr,
    /// Duration of one request in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    work_ms: u64,
    /// Incarnation that /healthz returns; a restarted service must be given another
    #[bpaf(argument("N"), fallback(1))]
    incarnation: u64,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    fake::program::run(service::start(ServiceOptions {
        listen: args.listen,
        control: args.control,
        work_ms: args.work_ms,
        incarnation: args.incarnation,
    }))
}
