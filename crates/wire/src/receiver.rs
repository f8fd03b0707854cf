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
    ended: CancellationToken,
}

impl LinkReceiver {
    pub(crate) fn new(
        read: OwnedReadHalf,
        frame_max_bytes: u32,
        ended: CancellationToken,
    ) -> Self {
        Self {
            frames: FramedRead::new(read, codec(frame_max_bytes)),
            frame_max_bytes,
            ended,
        }
    }

    /// Waits for the next frame; `None` once the far end has closed the link in
    /// good order or this end has.
    ///
    /// Dropping the future before it is done loses nothing.
    ///
    /// # Errors
    ///
    /// A frame breaks the bound or can't be decoded, or the connection broke.
    /// The link has then ended, for its senders too.
    pub async fn recv(&mut self) -> Result<Option<Frame>, WireError> {
        let read = tokio::select! {
            biased;
            () = self.ended.cancelled() => return Ok(None),
            read = self.frames.next() => read,
        };
        let frame = self.decode(read);
        if !matches!(frame, Ok(Some(_))) {
            self.ended.cancel();
        }
        frame
    }

    fn decode(
        &self,
        read: Option<Result<BytesMut, io::Error>>,
    ) -> Result<Option<Frame>, WireError> {
        match read {
            None => Ok(None),
            Some(Ok(bytes)) => {
                let frame =
                    Frame::decode(Bytes::from(bytes)).context(MalformedFrameSnafu)?;
                Ok(Some(frame))
            }
            Some(Err(fault)) if fault.kind() == io::ErrorKind::InvalidData => {
                Err(WireError::FrameTooLarge {
                    max_bytes: self.frame_max_bytes,
                })
            }
            Some(Err(source)) => Err(WireError::Io { source }),
        }
    }
}
