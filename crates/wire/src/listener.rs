//! Accepting links.

use snafu::ResultExt;
use std::net::SocketAddr;
use tokio::net::TcpListener;

use crate::error::{BindSnafu, IoSnafu};
use crate::{Link, WireError};

/// A listening socket for links.
#[derive(Debug)]
pub struct Listener {
    inner: TcpListener,
    frame_max_bytes: u32,
}

impl Listener {
    /// Listens on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        frame_max_bytes: u32,
    ) -> Result<Self, WireError> {
        let inner = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        Ok(Self {
            inner,
            frame_max_bytes,
        })
    }

    /// Address listened on.
    ///
    /// # Errors
    ///
    /// The operating system does not tell.
    pub fn local_addr(&self) -> Result<SocketAddr, WireError> {
        self.inner.local_addr().context(IoSnafu)
    }

    /// Waits for the next link.
    ///
    /// # Errors
    ///
    /// The operating system has no descriptor or memory left; the listener
    /// stays usable, and its caller waits a moment before it tries again.
    pub async fn accept(&self) -> Result<Link, WireError> {
        let (stream, _) = self.inner.accept().await.context(IoSnafu)?;
        Link::new(stream, self.frame_max_bytes)
    }
}
