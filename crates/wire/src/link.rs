//! One connection, before it is split.

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

/// Longest wait for a connection. A host that is gone answers nothing, and the
/// operating system would try for minutes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// One connection that carries frames both ways.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    peer: SocketAddr,
    frame_max_bytes: u32,
}

/// Connects to a listener.
///
/// # Errors
///
/// The address refuses, or does not answer within two seconds.
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
        // Batches are made by the writer task; the kernel's own would hold each
        // token of a stream back until the one before it is acknowledged.
        stream.set_nodelay(true).context(IoSnafu)?;
        let peer = stream.peer_addr().context(IoSnafu)?;
        Ok(Self {
            stream,
            peer,
            frame_max_bytes,
        })
    }

    /// Address of the far end.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.peer
    }

    /// The same link with another bound on frames, as when a configuration has
    /// come into force since the listener was bound.
    #[must_use]
    pub const fn with_frame_max_bytes(mut self, frame_max_bytes: u32) -> Self {
        self.frame_max_bytes = frame_max_bytes;
        self
    }

    /// Splits the link and starts its writer task.
    pub fn split(self) -> (LinkSender, LinkReceiver) {
        let (read, write) = self.stream.into_split();
        let ended = CancellationToken::new();
        let sender = LinkSender::start(write, self.frame_max_bytes, ended.clone());
        let receiver = LinkReceiver::new(read, self.frame_max_bytes, ended);
        (sender, receiver)
    }
}

/// The framing of both directions.
pub(crate) fn codec(frame_max_bytes: u32) -> LengthDelimitedCodec {
    let max = usize::try_from(frame_max_bytes).unwrap_or(usize::MAX);
    LengthDelimitedCodec::builder()
        .max_frame_length(max)
        .new_codec()
}
