//! Loopback ports for processes that are started, stopped and started again.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use super::DemoError;

/// Ports are taken in blocks from here on.
///
/// The kernel gives ports from 32768 on to outgoing connections. A port of that
/// range, once let go here, would now and then be taken by a connection of a
/// process that was started before the one that is to listen on it, and that
/// one would not start. Ports below the range are taken only by listeners.
const FIRST_PORT: u16 = 20_000;
const PORTS_EACH: u16 = 100;
const BLOCKS: u16 = 120;

/// Loopback ports that one process listens on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Listeners {
    pub(super) caller: SocketAddr,
    pub(super) link: SocketAddr,
    pub(super) operator: SocketAddr,
}

/// A block of ports that no other deployment on this machine takes.
///
/// Between the choice of a port and the start of its process the port is free.
/// Two deployments that started at once would choose the same, and processes of
/// one would not start. A lock on a file stands for the block; the kernel frees
/// it with the last handle, also when the process is killed.
#[derive(Debug)]
pub(super) struct Block {
    first: u16,
    _lock: File,
}

impl Block {
    /// Takes the first block that nobody holds.
    pub(super) fn take() -> Result<Self, DemoError> {
        let error = |error| DemoError::Io("no block of ports", error);
        let folder = std::env::temp_dir().join("sesame-ports");
        fs::create_dir_all(&folder).map_err(error)?;
        for block in 0..BLOCKS {
            let name = folder.join(block.to_string());
            let lock = File::create(name).map_err(error)?;
            if lock.try_lock().is_ok() {
                return Ok(Self {
                    first: FIRST_PORT + block * PORTS_EACH,
                    _lock: lock,
                });
            }
        }
        Err(error(io::Error::from(io::ErrorKind::AddrInUse)))
    }

    /// Ports of the block on which nobody else listens.
    pub(super) fn listeners(&self, count: usize) -> Result<Vec<Listeners>, DemoError> {
        let error = |error| DemoError::Io("no free port", error);
        let mut held = Vec::new();
        for port in self.first..self.first + PORTS_EACH {
            if held.len() < count * 3 {
                held.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
            }
        }
        let addresses: Result<Vec<_>, _> =
            held.iter().map(TcpListener::local_addr).collect();
        let listeners: Vec<_> = addresses
            .map_err(error)?
            .chunks_exact(3)
            .map(|three| Listeners {
                caller: three[0],
                link: three[1],
                operator: three[2],
            })
            .collect();
        if listeners.len() == count {
            return Ok(listeners);
        }
        Err(error(io::Error::from(io::ErrorKind::AddrInUse)))
    }
}
