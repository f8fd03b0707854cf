//! The handshake: the first frame in each direction.

use schema::link::{Frame, Hello, frame};
use std::time::Duration;
use tokio::time::timeout;

use crate::{Link, LinkReceiver, LinkSender, WireError};

/// Maximum wait for the peer's `Hello`. Without it, a peer that sends nothing would
/// hold the connection's file descriptor forever.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the peer's `Hello`: names have 64 characters at most. Clients could
/// otherwise make the process hold a frame of the largest size on each connection.
const HELLO_MAX_BYTES: u32 = 1_024;

/// A link whose two ends have exchanged `Hello` frames.
#[derive(Debug)]
pub struct EstablishedLink {
    /// The peer's `Hello`.
    pub hello: Hello,
    /// The peer's clock when it sent its `Hello`, in microseconds since the Unix
    /// epoch.
    pub clock_us: u64,
    /// Configuration revision that the peer had in force.
    pub revision: u64,
    /// Sending half.
    pub sender: LinkSender,
    /// Receiving half.
    pub receiver: LinkReceiver,
}

impl Link {
    /// Sends `hello`, waits for the peer's `Hello` and splits the link.
    ///
    /// # Errors
    ///
    /// Fails if the peer sends another frame first, one over 1 KiB, or nothing within five
    /// seconds, or if the link closes.
    pub async fn handshake(self, hello: Frame) -> Result<EstablishedLink, WireError> {
        let frame_max_bytes = self.frame_max_bytes();
        let (sender, mut receiver) = self.split();
        receiver.set_frame_max_bytes(HELLO_MAX_BYTES.min(frame_max_bytes));
        sender.send(hello).await?;
        let frame = timeout(HANDSHAKE_TIMEOUT, receiver.recv())
            .await
            .map_err(|_| WireError::HandshakeFailed)??
            .ok_or(WireError::Closed)?;
        receiver.set_frame_max_bytes(frame_max_bytes);
        let Some(frame::Body::Hello(hello)) = frame.body else {
            return Err(WireError::HandshakeFailed);
        };
        Ok(EstablishedLink {
            hello,
            clock_us: frame.clock_us,
            revision: frame.revision,
            sender,
            receiver,
        })
    }
}
