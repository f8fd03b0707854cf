//! Links that have not been split yet.

use snafu::ResultExt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::error::{ConnectSnafu, IoSnafu};
use crate::{LinkReceiver, LinkSender, WireError};

/// Maximum time to establish a connection. A host that is down does not respond, and
/// the operating system would retry for minutes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that carries frames in both directions.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    peer: SocketAddr,
    frame_max_bytes: u32,
}

/// Connects to the listener of another process.
///
/// # Errors
///
/// Fails if the connection is refused or not established within two seconds.
pub async fn connect(
    address: SocketAddr,
    frame_max_bytes: u32,
) -> Result<Link, WireError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .context(ConnectSnafu { address })?;
    Link::new(stream, frame_max_bytes)
}

impl Link {
    pub(crate) fn new(
        stream: TcpStream,
        frame_max_bytes: u32,
    ) -> Result<Self, WireError> {
        // The writer task batches frames itself. Nagle's algorithm would delay each
        // token of a stream until the previous one is acknowledged.
        stream.set_nodelay(true).context(IoSnafu)?;
        let peer = stream.peer_addr().context(IoSnafu)?;
        Ok(Self {
            stream,
            peer,
            frame_max_bytes,
        })
    }

    /// Returns the peer's address.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the maximum frame size, in bytes.
    pub(crate) const fn frame_max_bytes(&self) -> u32 {
        self.frame_max_bytes
    }

    /// Sets the maximum frame size, in bytes. It may differ from the listener's if a
    /// configuration has come into force since the listener was bound.
    #[must_use]
    pub const fn with_frame_max_bytes(mut self, frame_max_bytes: u32) -> Self {
        self.frame_max_bytes = frame_max_bytes;
        self
    }

    /// Splits the link and starts its writer task.
    pub fn split(self) -> (LinkSender, LinkReceiver) {
        let (read, write) = self.stream.into_split();
        let closed = CancellationToken::new();
        let sender = LinkSender::spawn(write, self.frame_max_bytes, closed.clone());
        let receiver = LinkReceiver::new(read, self.frame_max_bytes, closed);
        (sender, receiver)
    }
}

/// Creates the codec for the length prefix of frames.
pub(crate) fn codec(frame_max_bytes: u32) -> LengthDelimitedCodec {
    let max = usize::try_from(frame_max_bytes).unwrap_or(usize::MAX);
    LengthDelimitedCodec::builder()
        .max_frame_length(max)
        .new_codec()
}
