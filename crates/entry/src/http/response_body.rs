//! Bodies of responses to callers.

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use inbound::IdleGuard;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use super::request_guard::RequestGuard;
use super::sse::SseWriter;
use crate::response_queue::{QueuedPart, ResponseEnd};

/// Body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// A body that is complete when the response starts.
    Buffered(Full<Bytes>),
    /// A body that is sent in parts as they arrive.
    Stream(Box<StreamBody>),
}

impl ResponseBody {
    /// A body of the given bytes.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx),
            Self::Stream(body) => body.poll_chunk(cx).map(|chunk| {
                let chunk = chunk?;
                Some(Ok(Frame::data(chunk)))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Stream(body) => body.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A body with the guard of its connection's activity. The HTTP library drops it once it
/// has read all of it.
#[derive(Debug)]
pub(crate) struct GuardedBody {
    body: ResponseBody,
    _idle_guard: IdleGuard,
}

impl GuardedBody {
    /// The body of a response whose connection is in use until it ends.
    pub(crate) const fn new(body: ResponseBody, idle_guard: IdleGuard) -> Self {
        Self {
            body,
            _idle_guard: idle_guard,
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A response sent as server-sent events.
///
/// hyper drops the body when the caller's connection ends; the guard in it then
/// cancels the request.
#[derive(Debug)]
pub(crate) struct StreamBody {
    guard: RequestGuard,
    sse: SseWriter,
    parts: VecDeque<QueuedPart>,
    out: BytesMut,
    ended: bool,
}

impl StreamBody {
    /// The body of the response to the guarded request.
    pub(crate) fn new(guard: RequestGuard, sse: SseWriter) -> Self {
        Self {
            guard,
            sse,
            parts: VecDeque::new(),
            out: BytesMut::new(),
            ended: false,
        }
    }

    /// Encodes all queued parts as one chunk, so that a burst of tokens costs one
    /// write to the socket.
    fn poll_chunk(&mut self, cx: &Context<'_>) -> Poll<Option<Bytes>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(end) = self.guard.queue().poll_drain(cx, &mut self.parts)
        else {
            return Poll::Pending;
        };
        for part in self.parts.drain(..) {
            let text = String::from_utf8_lossy(part.bytes());
            self.sse.write_part(&text, &mut self.out);
        }
        if let Some(end) = end {
            self.write_end(&end);
        }
        Poll::Ready(Some(self.out.split().freeze()))
    }

    fn write_end(&mut self, end: &ResponseEnd) {
        self.ended = true;
        match end {
            ResponseEnd::Complete { total_units, .. } => {
                self.sse.write_end(*total_units, &mut self.out);
            }
            ResponseEnd::Failed(error) => {
                self.sse.write_error(error, &mut self.out);
            }
        }
    }
}
