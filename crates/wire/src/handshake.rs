//! The first frame in each direction.

use schema::link::{Frame, Hello, frame};
use std::time::Duration;
use tokio::time::timeout;

use crate::{Link, LinkReceiver, LinkSender, WireError};

/// Longest wait for the far end's `Hello`. Without it, a connection that says
/// nothing would hold its descriptor for ever.
const GREETING_TIMEOUT: Duration = Duration::from_secs(5);

/// A link whose two ends have said who they are.
#[derive(Debug)]
pub struct EstablishedLink {
    /// What the far end said.
    pub hello: Hello,
    /// The far end's clock, in microseconds since the Unix epoch.
    pub clock_us: u64,
    /// Configuration revision that the far end has in force.
    pub revision: u64,
    /// Sending half.
    pub sender: LinkSender,
    /// Receiving half.
    pub receiver: LinkReceiver,
}

impl Link {
    /// Sends `hello`, waits for the far end's and splits the link.
    ///
    /// # Errors
    ///
    /// The far end sends another frame first, or nothing within five seconds,
    /// or the link ends.
    pub async fn handshake(self, hello: Frame) -> Result<EstablishedLink, WireError> {
        let (sender, mut receiver) = self.split();
        sender.send(hello).await?;
        let frame = timeout(GREETING_TIMEOUT, receiver.recv())
            .await
            .map_err(|_| WireError::HandshakeFailed)??
            .ok_or(WireError::Closed)?;
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
