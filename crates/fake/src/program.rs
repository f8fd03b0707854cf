//! What the stand-ins' programs have in common.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use tokio::signal::unix::{SignalKind, signal};

use crate::Handle;

/// Runs a stand-in until SIGTERM or SIGINT.
///
/// The first line on standard output is `listening <address>`, the second
/// `control <address>`, so that a caller who asked for port 0 learns the ports.
///
/// # Errors
///
/// An address can't be bound, or standard output is closed.
pub fn run<S, F>(start: F) -> io::Result<()>
where
    F: Future<Output = io::Result<Handle<S>>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let handle = start.await?;
        announce(handle.address, handle.control)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}

/// The stand-ins are small, and a test or the demo runs many of them.
const WORKER_THREADS: usize = 2;

fn announce(address: SocketAddr, control: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening {address}")?;
    writeln!(out, "control {control}")?;
    out.flush()
}
