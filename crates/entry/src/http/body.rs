//! Bodies of answers.

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use super::guard::InProgress;
use super::sse::SseWriter;
use crate::reply::{Ending, Part};

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// All of it is there.
    Whole(Full<Bytes>),
    /// It comes part by part.
    Stream(Box<StreamBody>),
}

impl ReplyBody {
    /// A body that is there.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Stream(body) => body.poll_chunk(cx).map(|chunk| {
                let chunk = chunk?;
                Some(Ok(Frame::data(chunk)))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(body) => body.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer as server-sent events.
///
/// hyper drops the body when the caller's connection ends; the guard inside
/// then gives the request up.
#[derive(Debug)]
pub(crate) struct StreamBody {
    call: InProgress,
    writer: SseWriter,
    taken: VecDeque<Part>,
    out: BytesMut,
    ended: bool,
}

impl StreamBody {
    /// A body of a request in progress.
    pub(crate) fn new(call: InProgress, writer: SseWriter) -> Self {
        Self {
            call,
            writer,
            taken: VecDeque::new(),
            out: BytesMut::new(),
            ended: false,
        }
    }

    /// Writes all that has come as one chunk, so that a burst of tokens costs
    /// one write to the socket.
    fn poll_chunk(&mut self, cx: &Context<'_>) -> Poll<Option<Bytes>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(ending) = self.call.reply().poll_take(cx, &mut self.taken)
        else {
            return Poll::Pending;
        };
        for part in self.taken.drain(..) {
            let text = String::from_utf8_lossy(part.bytes());
            self.writer.part(&text, &mut self.out);
        }
        if let Some(ending) = ending {
            self.end(&ending);
        }
        Poll::Ready(Some(self.out.split().freeze()))
    }

    fn end(&mut self, ending: &Ending) {
        self.ended = true;
        match ending {
            Ending::Whole { total_units, .. } => {
                self.writer.whole(*total_units, &mut self.out);
            }
            Ending::Refused(refusal) => self.writer.broken(refusal, &mut self.out),
        }
    }
}
