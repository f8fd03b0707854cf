//! Stand-in for a plain service as a program.

use bpaf::Bpaf;
use fake::service::{self, ServiceOptions};
use std::net::SocketAddr;

/// Stand-in for a plain service
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Where calls are served
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    listen: SocketAddr,
    /// Where faults are switched and counts are read
    #[bpaf(argument("IP:PORT"), fallback(fake::ANY_PORT))]
    control: SocketAddr,
    /// Time one call takes
    #[bpaf(argument("MS"), fallback(5))]
    work_ms: u64,
    /// What /healthz shows; a restarted service needs another
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
