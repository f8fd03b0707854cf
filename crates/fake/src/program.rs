//! Runs a stand-in as a program.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use tokio::signal::unix::{SignalKind, signal};

use crate::Handle;

/// Runs a stand-in until SIGTERM or SIGINT.
///
/// Prints `listening <address>` and then `control <address>` to standard output, so
/// that the parent process learns the ports if it asked for port 0.
///
/// # Errors
///
/// Returns an error if an address can't be bound or standard output is closed.
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

/// Few threads, since a test or the demo runs many stand-ins at once.
const WORKER_THREADS: usize = 2;

fn announce(address: SocketAddr, control: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening {address}")?;
    writeln!(out, "control {control}")?;
    out.flush()
}
