//! The receiving half of a link.

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use prost::Message;
use schema::link::Frame;
use snafu::ResultExt;
use std::io;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::WireError;
use crate::error::MalformedFrameSnafu;
use crate::link::codec;

/// The receiving half of a link.
#[derive(Debug)]
pub struct LinkReceiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    frame_max_bytes: u32,
    closed: CancellationToken,
}

impl LinkReceiver {
    pub(crate) fn new(
        read: OwnedReadHalf,
        frame_max_bytes: u32,
        closed: CancellationToken,
    ) -> Self {
        Self {
            frames: FramedRead::new(read, codec(frame_max_bytes)),
            frame_max_bytes,
            closed,
        }
    }

    /// Sets the maximum frame size, in bytes, from the next frame on.
    pub(crate) fn set_frame_max_bytes(&mut self, frame_max_bytes: u32) {
        let max = usize::try_from(frame_max_bytes).unwrap_or(usize::MAX);
        self.frames.decoder_mut().set_max_frame_length(max);
        self.frame_max_bytes = frame_max_bytes;
    }

    /// Waits for the next frame; returns `None` once the peer has closed the link
    /// between two frames or this process has closed it.
    ///
    /// The future is cancellation safe: dropping it loses no data.
    ///
    /// # Errors
    ///
    /// Fails if a frame is too large or can't be decoded, or if the connection was
    /// lost. The link is then closed, also for its senders.
    pub async fn recv(&mut self) -> Result<Option<Frame>, WireError> {
        let received = tokio::select! {
            biased;
            () = self.closed.cancelled() => return Ok(None),
            received = self.frames.next() => received,
        };
        let frame = self.decode(received);
        if !matches!(frame, Ok(Some(_))) {
            self.closed.cancel();
        }
        frame
    }

    fn decode(
        &self,
        received: Option<Result<BytesMut, io::Error>>,
    ) -> Result<Option<Frame>, WireError> {
        match received {
            None => Ok(None),
            Some(Ok(bytes)) => {
                let frame =
                    Frame::decode(Bytes::from(bytes)).context(MalformedFrameSnafu)?;
                Ok(Some(frame))
            }
            Some(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
                Err(WireError::FrameTooLarge {
                    max_bytes: self.frame_max_bytes,
                })
            }
            Some(Err(source)) => Err(WireError::Io { source }),
        }
    }
}
