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
const PORTS_PER_BLOCK: u16 = 100;
const BLOCK_COUNT: u16 = 120;

/// Loopback addresses that one process listens on.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListenAddresses {
    pub(super) caller: SocketAddr,
    pub(super) link: SocketAddr,
    pub(super) operator: SocketAddr,
}

/// A block of ports that no other deployment on this machine uses.
///
/// A port is free between its selection and the start of its process. Without the
/// block, two deployments started at the same time could select the same port, and a
/// process of one would fail to start. A file lock reserves the block; the kernel
/// releases it with the last file handle, even if the process is killed.
#[derive(Debug)]
pub(super) struct PortBlock {
    first_port: u16,
    _lock: File,
}

impl PortBlock {
    /// Reserves the first block that is not locked.
    pub(super) fn acquire() -> Result<Self, DemoError> {
        let error = |error| DemoError::Io("reserving a block of ports", error);
        let directory = std::env::temp_dir().join("sesame-ports");
        fs::create_dir_all(&directory).map_err(error)?;
        for block in 0..BLOCK_COUNT {
            let name = directory.join(block.to_string());
            let lock = File::create(name).map_err(error)?;
            if lock.try_lock().is_ok() {
                return Ok(Self {
                    first_port: FIRST_PORT + block * PORTS_PER_BLOCK,
                    _lock: lock,
                });
            }
        }
        Err(error(io::Error::from(io::ErrorKind::AddrInUse)))
    }

    /// Returns `count` sets of addresses from the block on which nothing listens.
    pub(super) fn listen_addresses(
        &self,
        count: usize,
    ) -> Result<Vec<ListenAddresses>, DemoError> {
        let error = |error| DemoError::Io("finding free ports", error);
        let mut bound = Vec::new();
        for port in self.first_port..self.first_port + PORTS_PER_BLOCK {
            if bound.len() < count * 3 {
                bound.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
            }
        }
        let addresses: Result<Vec<_>, _> =
            bound.iter().map(TcpListener::local_addr).collect();
        let listen_addresses: Vec<_> = addresses
            .map_err(error)?
            .chunks_exact(3)
            .map(|triple| ListenAddresses {
                caller: triple[0],
                link: triple[1],
                operator: triple[2],
            })
            .collect();
        if listen_addresses.len() == count {
            return Ok(listen_addresses);
        }
        Err(error(io::Error::from(io::ErrorKind::AddrInUse)))
    }
}
