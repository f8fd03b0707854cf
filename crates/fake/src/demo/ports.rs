//! Loopback ports for processes that may be restarted on the same ports.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use super::DemoError;

/// First port of the first block.
///
/// All blocks lie below 32768, where the kernel's range of ports for outgoing
/// connections begins. A port in that range could be taken by an outgoing connection
/// between its release here and the start of the process that is to listen on it, which
/// would then fail to start.
const FIRST_PORT: u16 = 20_000;
const PORTS_EACH: u16 = 100;
const BLOCKS: u16 = 120;

/// Loopback addresses that one process listens on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Listeners {
    pub(super) caller: SocketAddr,
    pub(super) link: SocketAddr,
    pub(super) operator: SocketAddr,
}

/// A block of ports that no other deployment on this machine uses.
///
/// A port is free between its selection and the start of its process. Without the
/// block, two deployments started at the same time could select the same port, and a
/// process of one would fail to start. A file lock reserves the block; the kernel
/// releases it when the process exits, even if it is killed.
#[derive(Debug)]
pub(super) struct Block {
    first: u16,
    _lock: File,
}

impl Block {
    /// Reserves the first block that is not locked.
    pub(super) fn take() -> Result<Self, DemoError> {
        let error = |error| DemoError::Io("reserving a block of ports", error);
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

    /// Returns `count` sets of addresses from the block on which nothing listens.
    pub(super) fn listeners(&self, count: usize) -> Result<Vec<Listeners>, DemoError> {
        let error = |error| DemoError::Io("finding free ports", error);
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
