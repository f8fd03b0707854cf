//! The sending half of a link, and the task that writes.

use bytes::Bytes;
use futures::SinkExt;
use prost::Message;
use schema::link::Frame;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::WireError;
use crate::link::codec;

/// Frames that may wait for the writer.
const QUEUE_FRAMES: usize = 1_024;

/// Bytes that may wait for the writer, or one frame of the largest size if that
/// is more.
const QUEUE_BYTES: u32 = 4 << 20;

/// Bytes of the queue that parts of answers may take.
///
/// The rest stays free for small frames, which their senders don't wait with: a
/// far end that reads slowly holds back answers, and still gets heartbeats.
const BULK_BYTES: u32 = 2 << 20;

/// Least share of a frame that was reserved for. It bounds the number of such
/// frames well below that of the queue.
const BULK_SHARE_MIN_BYTES: u32 = 4 << 10;

/// Frames written with one flush.
const BATCH_FRAMES: usize = 64;

/// Longest time in which the far end takes nothing.
///
/// A frozen process keeps its connections open and reads nothing; without this
/// bound the writer would hold its queue and every waiting sender for ever. The
/// link then ends, which its owner treats like any lost link.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The sending half of a link; clones share one queue.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<Queued>,
    room: Arc<Semaphore>,
    room_bytes: u32,
    bulk: Arc<Semaphore>,
    frame_max_bytes: u32,
    ended: CancellationToken,
}

/// Room in a link's queue, kept for one frame.
#[derive(Debug)]
pub struct SendPermit {
    sender: LinkSender,
    share: OwnedSemaphorePermit,
}

impl SendPermit {
    /// Queues the frame, without waiting.
    ///
    /// # Errors
    ///
    /// The frame is too large, or the link has ended.
    pub fn send(self, frame: &Frame) -> Result<(), WireError> {
        let (bytes, _) = self.sender.encode(frame)?;
        let share = self.share;
        self.sender.queue_now(Queued { bytes, share })
    }
}

/// An encoded frame and its share of the queue's bytes.
#[derive(Debug)]
struct Queued {
    bytes: Bytes,
    share: OwnedSemaphorePermit,
}

impl LinkSender {
    pub(crate) fn start(
        write: OwnedWriteHalf,
        frame_max_bytes: u32,
        ended: CancellationToken,
    ) -> Self {
        let (queue, queued) = mpsc::channel(QUEUE_FRAMES);
        let room_bytes = QUEUE_BYTES.max(frame_max_bytes);
        let frames = FramedWrite::new(write, codec(frame_max_bytes));
        tokio::spawn(write_all(frames, queued, ended.clone()));
        Self {
            queue,
            room: Arc::new(Semaphore::new(room_bytes as usize)),
            room_bytes,
            bulk: Arc::new(Semaphore::new(BULK_BYTES as usize)),
            frame_max_bytes,
            ended,
        }
    }

    /// Waits for room for a frame with a payload of some bytes.
    ///
    /// What may have to wait is waited for here, so that the frame itself can
    /// be queued under a lock and in the order of what is decided there.
    ///
    /// # Errors
    ///
    /// The link has ended.
    pub async fn reserve(&self, payload_bytes: usize) -> Result<SendPermit, WireError> {
        let bytes = u32::try_from(payload_bytes).unwrap_or(u32::MAX);
        let size = bytes.clamp(BULK_SHARE_MIN_BYTES, BULK_BYTES);
        let share = tokio::select! {
            biased;
            () = self.ended.cancelled() => return Err(WireError::Closed),
            share = self.bulk.clone().acquire_many_owned(size) => share,
        };
        Ok(SendPermit {
            sender: self.clone(),
            share: share.map_err(|_| WireError::Closed)?,
        })
    }

    /// Queues a frame, waiting for room.
    ///
    /// # Errors
    ///
    /// The frame is too large, or the link has ended.
    pub async fn send(&self, frame: Frame) -> Result<(), WireError> {
        let (bytes, size) = self.encode(&frame)?;
        let share = tokio::select! {
            biased;
            () = self.ended.cancelled() => return Err(WireError::Closed),
            share = self.room.clone().acquire_many_owned(size) => share,
        };
        let share = share.map_err(|_| WireError::Closed)?;
        self.queue
            .send(Queued { bytes, share })
            .await
            .map_err(|_| WireError::Closed)
    }

    /// Queues a frame if there is room.
    ///
    /// # Errors
    ///
    /// The queue is full, the frame is too large, or the link has ended.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "taken like in `send`, so that callers may change between the two"
    )]
    pub fn try_send(&self, frame: Frame) -> Result<(), WireError> {
        if self.is_closed() {
            return Err(WireError::Closed);
        }
        let (bytes, size) = self.encode(&frame)?;
        let share = self
            .room
            .clone()
            .try_acquire_many_owned(size)
            .map_err(|_| WireError::QueueFull)?;
        self.queue_now(Queued { bytes, share })
    }

    /// Waits until everything queued so far is with the operating system, or
    /// the link has ended.
    pub async fn flushed(&self) {
        tokio::select! {
            () = self.ended.cancelled() => {}
            _ = self.emptied() => {}
        }
    }

    /// Ends the link at once; what is queued is lost.
    pub fn close(&self) {
        self.ended.cancel();
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Waits until the link has ended.
    pub async fn closed(&self) {
        self.ended.cancelled().await;
    }

    async fn emptied(&self) -> Result<(), AcquireError> {
        drop(self.room.acquire_many(self.room_bytes).await?);
        drop(self.bulk.acquire_many(BULK_BYTES).await?);
        Ok(())
    }

    fn queue_now(&self, queued: Queued) -> Result<(), WireError> {
        self.queue.try_send(queued).map_err(|fault| match fault {
            mpsc::error::TrySendError::Full(_) => WireError::QueueFull,
            mpsc::error::TrySendError::Closed(_) => WireError::Closed,
        })
    }

    fn encode(&self, frame: &Frame) -> Result<(Bytes, u32), WireError> {
        let too_large = WireError::FrameTooLarge {
            max_bytes: self.frame_max_bytes,
        };
        match u32::try_from(frame.encoded_len()) {
            Ok(size) if size <= self.frame_max_bytes => {
                Ok((Bytes::from(frame.encode_to_vec()), size.max(1)))
            }
            _ => Err(too_large),
        }
    }
}

/// Writes until every sender is gone or the link has ended.
async fn write_all(
    mut frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut queued: mpsc::Receiver<Queued>,
    ended: CancellationToken,
) {
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    loop {
        let taken = tokio::select! {
            biased;
            () = ended.cancelled() => return,
            taken = queued.recv_many(&mut batch, BATCH_FRAMES) => taken,
        };
        if taken == 0 {
            // The receiver may still listen: only when both halves are gone is
            // the connection closed.
            frames.into_inner().forget();
            return;
        }
        let written = tokio::select! {
            biased;
            () = ended.cancelled() => return,
            written = write_batch(&mut frames, &mut batch) => written,
        };
        if let Err(fault) = written {
            log::debug!("link ended: {fault}");
            ended.cancel();
            return;
        }
    }
}

async fn write_batch(
    frames: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    batch: &mut Vec<Queued>,
) -> Result<(), io::Error> {
    let mut shares = Vec::with_capacity(batch.len());
    for queued in batch.drain(..) {
        in_time(frames.feed(queued.bytes)).await?;
        shares.push(queued.share);
    }
    in_time(SinkExt::<Bytes>::flush(frames)).await
}

async fn in_time(
    write: impl Future<Output = Result<(), io::Error>>,
) -> Result<(), io::Error> {
    timeout(WRITE_TIMEOUT, write)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
