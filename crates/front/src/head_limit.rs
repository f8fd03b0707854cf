//! Bounds what is read of a connection before the head of a response is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may be read from when a request is sent until the head of its response is
/// there. The HTTP library bounds each interim response, but not their number.
const HEAD_READ_MAX_BYTES: usize = 256 << 10;

/// No limit.
const UNLIMITED: usize = usize::MAX;

/// Limit of the bytes that may be read from a connection.
#[derive(Debug, Clone)]
pub struct HeadLimit {
    remaining_bytes: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Returns a connection that the limit applies to, and the limit, which is off.
    pub fn apply<S>(stream: S) -> (HeadLimited<S>, Self) {
        let limit = Self {
            remaining_bytes: Arc::new(AtomicUsize::new(UNLIMITED)),
        };
        let limited = HeadLimited {
            stream,
            limit: limit.clone(),
        };
        (limited, limit)
    }

    /// Applies from now on: the head of a response is awaited.
    pub fn begin(&self) {
        self.remaining_bytes
            .store(HEAD_READ_MAX_BYTES, Ordering::Relaxed);
    }

    /// Applies no longer: the head is there, or no response is awaited.
    pub fn end(&self) {
        self.remaining_bytes.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Whether the head was given up because too much was read before its end.
    pub fn is_exceeded(&self) -> bool {
        self.remaining_bytes.load(Ordering::Relaxed) == 0
    }

    fn count(&self, bytes: usize) {
        let remaining = self.remaining_bytes.load(Ordering::Relaxed);
        if remaining != UNLIMITED {
            let left = remaining.saturating_sub(bytes);
            self.remaining_bytes.store(left, Ordering::Relaxed);
        }
    }
}

/// A connection with a limit on what is read before the head of a response is complete.
#[derive(Debug)]
pub struct HeadLimited<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.count(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
