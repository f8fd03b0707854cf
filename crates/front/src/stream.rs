//! Forwards streams event by event.

use bytes::{Bytes, BytesMut};
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::attempt::UpstreamStream;
use crate::dispatch::{Dispatch, DispatchResult};
use crate::events::{Event, EventSplitter};
use crate::response::{ResponseAborted, ResponseBody};
use crate::state_monitor::log_avoidance_if_changed;

/// Interval at which a waiting stream checks whether its upstream has fallen
/// silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Forwards one stream to its caller, from one upstream or several.
pub(crate) struct StreamForwarder {
    dispatch: Dispatch,
    source: Option<Box<UpstreamStream>>,
    splitter: EventSplitter,
    /// An event arrived after a gap. The events before it are forwarded, then
    /// the stream counts as broken.
    gap_found: bool,
    status: StatusCode,
    headers: HeaderMap,
    finished: bool,
}

/// Result of reading from the upstream.
enum StreamStep {
    /// Complete events.
    Events(Bytes),
    /// The stream is complete.
    Complete,
    /// The stream broke.
    Broken,
    /// The request's deadline has passed, or the process is about to exit and
    /// no part of the response was forwarded.
    OutOfTime,
}

/// Waits for the first event, so that a stream that breaks before it can be
/// handled as if it had never started.
///
/// # Errors
///
/// The stream broke and could not be resumed.
pub(crate) async fn start_stream(
    dispatch: Dispatch,
    source: UpstreamStream,
) -> Result<(Option<Bytes>, StreamForwarder), (Dispatch, DispatchResult)> {
    let mut forwarder = StreamForwarder {
        status: source.status,
        headers: source.headers.clone(),
        dispatch,
        source: Some(Box::new(source)),
        splitter: EventSplitter::default(),
        gap_found: false,
        finished: false,
    };
    match forwarder.next().await {
        Ok(first) => Ok((first, forwarder)),
        Err(end) => Err((forwarder.dispatch, end)),
    }
}

/// Returns the response that forwards a stream. It keeps the head of the first
/// upstream's response.
pub(crate) fn forward(
    first: Option<Bytes>,
    forwarder: StreamForwarder,
) -> Response<ResponseBody> {
    let (status, headers) = (forwarder.status, forwarder.headers.clone());
    let frames = unfold((first, Some(forwarder)), |(first, forwarder)| async {
        let mut forwarder = forwarder?;
        if let Some(bytes) = first {
            return Some((Ok(Frame::data(bytes)), (None, Some(forwarder))));
        }
        match forwarder.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), (None, Some(forwarder)))),
            Ok(None) => None,
            Err(_) => {
                forwarder
                    .dispatch
                    .record_end("broke_off", status_of(&forwarder));
                // On an error the HTTP library closes the connection at once,
                // which would discard forwarded events that are not written
                // yet.
                tokio::task::yield_now().await;
                Some((Err(ResponseAborted), (None, None)))
            }
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn status_of(forwarder: &StreamForwarder) -> u16 {
    forwarder.status.as_u16()
}

impl StreamForwarder {
    /// Returns the next events, or `None` at the end of a complete stream.
    async fn next(&mut self) -> Result<Option<Bytes>, DispatchResult> {
        if self.finished {
            return Ok(None);
        }
        loop {
            match self.step().await {
                StreamStep::Events(bytes) => {
                    self.dispatch.record_first_response();
                    return Ok(Some(bytes));
                }
                StreamStep::Complete => {
                    self.finished = true;
                    if let Some(source) = self.source.take() {
                        source.finished();
                    }
                    self.dispatch.record_end("answered", self.status.as_u16());
                    return Ok(None);
                }
                StreamStep::Broken => self.resume().await?,
                StreamStep::OutOfTime => {
                    self.source = None;
                    return Err(self.dispatch.end_running_stream());
                }
            }
        }
    }

    /// Reads from the upstream until there are complete events or the stream
    /// ends.
    async fn step(&mut self) -> StreamStep {
        loop {
            if let Some(step) = self.take_events() {
                return step;
            }
            let Some(source) = &mut self.source else {
                return StreamStep::Broken;
            };
            let remaining_ms =
                self.dispatch.request.remaining_ms(self.dispatch.node.clock);
            if remaining_ms == 0 || self.dispatch.must_end_for_shutdown() {
                return StreamStep::OutOfTime;
            }
            let check_after = CHECK_INTERVAL.min(Duration::from_millis(remaining_ms));
            match timeout(check_after, source.body.frame()).await {
                Err(_) => {
                    if self.should_give_up() {
                        return StreamStep::Broken;
                    }
                }
                Ok(None) if self.splitter.has_partial_event() => {
                    return StreamStep::Broken;
                }
                Ok(None) => return StreamStep::Complete,
                Ok(Some(Err(_))) => return StreamStep::Broken,
                Ok(Some(Ok(frame))) => {
                    source.in_flight.record_bytes();
                    let data = frame.into_data().unwrap_or_default();
                    if self.splitter.push(&data).is_err() {
                        return StreamStep::Broken;
                    }
                }
            }
        }
    }

    /// Takes all complete events from the buffer, joined together.
    fn take_events(&mut self) -> Option<StreamStep> {
        let mut bytes = BytesMut::new();
        while !self.gap_found {
            let Some(event) = self.splitter.next_event() else {
                break;
            };
            match self.event_position(&event) {
                EventPosition::Next => bytes.extend_from_slice(&event.bytes),
                EventPosition::Duplicate => {}
                EventPosition::Gap => self.gap_found = true,
            }
        }
        if !bytes.is_empty() {
            return Some(StreamStep::Events(bytes.freeze()));
        }
        self.gap_found.then_some(StreamStep::Broken)
    }

    /// Returns where an event belongs. Events that the caller already has are
    /// dropped; an event after a gap can't be forwarded.
    fn event_position(&mut self, event: &Event) -> EventPosition {
        let Some(id) = event.id else {
            return EventPosition::Next;
        };
        match self.dispatch.last_event_id {
            Some(last) if id <= last => EventPosition::Duplicate,
            Some(last) if id > last + 1 => EventPosition::Gap,
            _ => {
                self.dispatch.last_event_id = Some(id);
                EventPosition::Next
            }
        }
    }

    /// Returns whether the stream should be resumed elsewhere rather than wait
    /// for this upstream.
    fn should_give_up(&self) -> bool {
        if self
            .source
            .as_ref()
            .is_some_and(|source| source.in_flight.is_superseded())
        {
            return true;
        }
        if !self.dispatch.request.route.kind.may_rerun() {
            return false;
        }
        let source = self.source.as_ref();
        let silent = source.filter(|source| source.in_flight.is_silent());
        let Some(source) = silent else {
            return false;
        };
        let upstream = &source.in_flight.upstream;
        log_avoidance_if_changed(&self.dispatch.node, upstream);
        // Without an alternative, giving up would certainly cut the response
        // off, while an upstream that is only slow still completes it.
        self.dispatch.has_alternative(upstream)
    }

    /// Resumes the stream at another upstream, after the last complete event.
    async fn resume(&mut self) -> Result<(), DispatchResult> {
        self.splitter = EventSplitter::default();
        self.gap_found = false;
        let broken_source = self.source.take();
        let upstream = broken_source.map(|source| {
            let id = Arc::clone(&source.in_flight.upstream);
            source.broken(self.dispatch.request.fingerprint);
            id
        });
        if let Some(end) = upstream.and_then(|id| self.dispatch.after_stream_break(&id))
        {
            return Err(end);
        }
        match self.dispatch.run_until_response().await {
            DispatchResult::Stream(source) => {
                self.source = Some(source);
                Ok(())
            }
            end => Err(end),
        }
    }
}

enum EventPosition {
    Next,
    Duplicate,
    Gap,
}
