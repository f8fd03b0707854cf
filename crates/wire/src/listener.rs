//! Accepting links from other processes.

use snafu::ResultExt;
use std::net::SocketAddr;
use tokio::net::TcpListener;

use crate::error::{BindSnafu, IoSnafu};
use crate::{Link, WireError};

/// A listening socket that accepts links.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    frame_max_bytes: u32,
}

impl Listener {
    /// Listens on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        frame_max_bytes: u32,
    ) -> Result<Self, WireError> {
        let socket = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        Ok(Self {
            socket,
            frame_max_bytes,
        })
    }

    /// Returns the address on which the listener accepts links.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't determine the address.
    pub fn local_addr(&self) -> Result<SocketAddr, WireError> {
        self.socket.local_addr().context(IoSnafu)
    }

    /// Waits for the next link.
    ///
    /// # Errors
    ///
    /// Fails if the operating system has run out of file descriptors or memory. The
    /// listener stays usable; the caller should pause before it retries.
    pub async fn accept(&self) -> Result<Link, WireError> {
        let (stream, _) = self.socket.accept().await.context(IoSnafu)?;
        Link::new(stream, self.frame_max_bytes)
    }
}
