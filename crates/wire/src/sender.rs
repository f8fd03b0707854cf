//! The sending half of a link and its writer task.

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

/// Maximum number of frames in the send queue.
const QUEUE_MAX_FRAMES: usize = 1_024;

/// Maximum bytes of queued frames that were sent without a permit, or the maximum
/// size of a frame if that is larger.
const QUEUE_MAX_BYTES: u32 = 4 << 20;

/// Maximum bytes of queued frames that were sent with a permit, such as parts of
/// answers.
///
/// They have their own budget because small frames are sent without waiting: a peer
/// that reads slowly delays answers but still receives heartbeats.
const RESERVED_MAX_BYTES: u32 = 2 << 20;

/// Minimum bytes reserved by a permit. It limits the number of frames with a permit
/// to half of the queue.
const RESERVATION_MIN_BYTES: u32 = 4 << 10;

/// Maximum number of frames written between two flushes.
const BATCH_MAX_FRAMES: usize = 64;

/// Maximum duration of one write to the connection; then the link is closed.
///
/// A frozen process keeps its connections open but reads nothing. Without this limit
/// the writer would keep its queue and block all waiting senders forever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The sending half of a link; clones share one send queue.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<QueuedFrame>,
    /// Free bytes for frames without a permit.
    queue_budget: Arc<Semaphore>,
    /// Size of `queue_budget` while the queue is empty.
    queue_max_bytes: u32,
    /// Free bytes for frames with a permit.
    reserved_budget: Arc<Semaphore>,
    frame_max_bytes: u32,
    closed: CancellationToken,
}

/// Reserved capacity of a link's send queue for one frame.
#[derive(Debug)]
pub struct SendPermit {
    sender: LinkSender,
    budget: OwnedSemaphorePermit,
}

impl SendPermit {
    /// Enqueues the frame without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too large or the link is closed.
    pub fn send(self, frame: &Frame) -> Result<(), WireError> {
        let (bytes, _) = self.sender.encode(frame)?;
        let budget = self.budget;
        self.sender.try_enqueue(QueuedFrame { bytes, budget })
    }
}

/// An encoded frame and the part of a byte budget that it occupies.
#[derive(Debug)]
struct QueuedFrame {
    bytes: Bytes,
    budget: OwnedSemaphorePermit,
}

impl LinkSender {
    /// Creates the sending half and spawns its writer task.
    pub(crate) fn spawn(
        write: OwnedWriteHalf,
        frame_max_bytes: u32,
        closed: CancellationToken,
    ) -> Self {
        let (queue, queued_frames) = mpsc::channel(QUEUE_MAX_FRAMES);
        let queue_max_bytes = QUEUE_MAX_BYTES.max(frame_max_bytes);
        let frames = FramedWrite::new(write, codec(frame_max_bytes));
        tokio::spawn(run_writer(frames, queued_frames, closed.clone()));
        Self {
            queue,
            queue_budget: Arc::new(Semaphore::new(queue_max_bytes as usize)),
            queue_max_bytes,
            reserved_budget: Arc::new(Semaphore::new(RESERVED_MAX_BYTES as usize)),
            frame_max_bytes,
            closed,
        }
    }

    /// Waits until the queue has capacity for a frame with a payload of this size.
    ///
    /// All waiting happens here, so that the caller can enqueue the frame while it
    /// holds a lock, in the order of the decisions made under that lock.
    ///
    /// # Errors
    ///
    /// Fails if the link is closed.
    pub async fn reserve(&self, payload_bytes: usize) -> Result<SendPermit, WireError> {
        let bytes = u32::try_from(payload_bytes).unwrap_or(u32::MAX);
        let size = bytes.clamp(RESERVATION_MIN_BYTES, RESERVED_MAX_BYTES);
        let budget = tokio::select! {
            biased;
            () = self.closed.cancelled() => return Err(WireError::Closed),
            budget = self.reserved_budget.clone().acquire_many_owned(size) => budget,
        };
        Ok(SendPermit {
            sender: self.clone(),
            budget: budget.map_err(|_| WireError::Closed)?,
        })
    }

    /// Waits until the queue has capacity for a frame, then enqueues it.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too large or the link is closed.
    pub async fn send(&self, frame: Frame) -> Result<(), WireError> {
        let (bytes, size) = self.encode(&frame)?;
        let budget = tokio::select! {
            biased;
            () = self.closed.cancelled() => return Err(WireError::Closed),
            budget = self.queue_budget.clone().acquire_many_owned(size) => budget,
        };
        let budget = budget.map_err(|_| WireError::Closed)?;
        self.queue
            .send(QueuedFrame { bytes, budget })
            .await
            .map_err(|_| WireError::Closed)
    }

    /// Enqueues a frame if the queue has capacity for it.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full, the frame is too large or the link is closed.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "same signature as `send`, so that callers can switch between the two"
    )]
    pub fn try_send(&self, frame: Frame) -> Result<(), WireError> {
        if self.is_closed() {
            return Err(WireError::Closed);
        }
        let (bytes, size) = self.encode(&frame)?;
        let budget = self
            .queue_budget
            .clone()
            .try_acquire_many_owned(size)
            .map_err(|_| WireError::QueueFull)?;
        self.try_enqueue(QueuedFrame { bytes, budget })
    }

    /// Waits until all frames enqueued so far have been passed to the operating
    /// system, or the link is closed.
    pub async fn flushed(&self) {
        tokio::select! {
            () = self.closed.cancelled() => {}
            _ = self.all_written() => {}
        }
    }

    /// Closes the link immediately; queued frames are lost.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Waits until both budgets are entirely free: no permit is outstanding and all
    /// enqueued frames have been written.
    async fn all_written(&self) -> Result<(), AcquireError> {
        drop(self.queue_budget.acquire_many(self.queue_max_bytes).await?);
        drop(
            self.reserved_budget
                .acquire_many(RESERVED_MAX_BYTES)
                .await?,
        );
        Ok(())
    }

    fn try_enqueue(&self, frame: QueuedFrame) -> Result<(), WireError> {
        self.queue.try_send(frame).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => WireError::QueueFull,
            mpsc::error::TrySendError::Closed(_) => WireError::Closed,
        })
    }

    /// Encodes a frame; returns its bytes and the budget that it needs.
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

/// Writes queued frames until all senders are dropped or the link is closed.
async fn run_writer(
    mut frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut queued_frames: mpsc::Receiver<QueuedFrame>,
    closed: CancellationToken,
) {
    let mut batch = Vec::with_capacity(BATCH_MAX_FRAMES);
    loop {
        let received = tokio::select! {
            biased;
            () = closed.cancelled() => return,
            received = queued_frames.recv_many(&mut batch, BATCH_MAX_FRAMES) => received,
        };
        if received == 0 {
            // The receiving half may still be in use, so the write half must not shut
            // the connection down when it is dropped.
            frames.into_inner().forget();
            return;
        }
        let written = tokio::select! {
            biased;
            () = closed.cancelled() => return,
            written = write_batch(&mut frames, &mut batch) => written,
        };
        if let Err(error) = written {
            log::debug!("link closed, write failed: {error}");
            closed.cancel();
            return;
        }
    }
}

async fn write_batch(
    frames: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    batch: &mut Vec<QueuedFrame>,
) -> Result<(), io::Error> {
    // The budget is released only after the flush.
    let mut budgets = Vec::with_capacity(batch.len());
    for queued in batch.drain(..) {
        with_timeout(frames.feed(queued.bytes)).await?;
        budgets.push(queued.budget);
    }
    with_timeout(SinkExt::<Bytes>::flush(frames)).await
}

/// Fails with `TimedOut` if a write does not complete within [`WRITE_TIMEOUT`].
async fn with_timeout(
    write: impl Future<Output = Result<(), io::Error>>,
) -> Result<(), io::Error> {
    timeout(WRITE_TIMEOUT, write)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
