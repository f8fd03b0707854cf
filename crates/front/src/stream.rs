//! Forwards streams event by event.

use bytes::{Bytes, BytesMut};
use direct::{AttemptOutcome, InFlightDecision, SelectedUpstream};
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

use crate::attempt::{AttemptResult, BodyFrame, UpstreamStream};
use crate::crash::await_if_doubtful;
use crate::dispatch::{Dispatch, DispatchResult};
use crate::events::{Event, EventSplitter};
use crate::response::{ResponseAborted, ResponseBody};
use crate::state::transfer::TransferKind;

/// Interval at which a waiting stream checks whether its upstream has fallen
/// silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of events beyond those that the caller has that an upstream may repeat.
const REPEATED_EVENTS_MARGIN: u64 = 1_000;

/// Forwards one stream to its caller, from one upstream or several.
pub(crate) struct StreamForwarder {
    dispatch: Dispatch,
    source: Option<Box<UpstreamStream>>,
    splitter: EventSplitter,
    /// An event arrived after a gap. The events before it are forwarded, then
    /// the stream counts as broken.
    gap_found: bool,
    /// Number of events in a row that the caller has already.
    repeated: u64,
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
    /// The process is about to exit, and the caller can resume the stream at another
    /// entry.
    HandOver,
    /// The stream broke, and no other upstream may take it over.
    Failed(DispatchResult),
}

/// What happened first while a second upstream was requested to take over.
enum TakeoverResult {
    /// The first upstream sent something.
    Resumed(BodyFrame),
    /// The attempt at the second upstream ended.
    Attempted(Option<(SelectedUpstream, AttemptResult)>),
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
        repeated: 0,
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
    mut forwarder: StreamForwarder,
) -> Response<ResponseBody> {
    let (status, headers) = (forwarder.status, forwarder.headers.clone());
    forwarder.dispatch.response_status = Some(status.as_u16());
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
                    self.dispatch.record_events_forwarded();
                    return Ok(Some(bytes));
                }
                StreamStep::Complete => {
                    self.finished = true;
                    if let Some(source) = self.source.take() {
                        source.finished();
                    }
                    self.dispatch.record_stream_duration();
                    self.dispatch.record_end("answered", self.status.as_u16());
                    return Ok(None);
                }
                StreamStep::Broken => self.resume().await?,
                StreamStep::Failed(end) => return Err(end),
                StreamStep::OutOfTime => {
                    self.source = None;
                    return Err(self.dispatch.end_running_stream());
                }
                StreamStep::HandOver => {
                    self.source = None;
                    return Err(self.dispatch.end_handed_over(self.status.as_u16()));
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
            if self.dispatch.must_hand_over() {
                return StreamStep::HandOver;
            }
            let check_after = CHECK_INTERVAL.min(Duration::from_millis(remaining_ms));
            let step = match timeout(check_after, source.frame()).await {
                Ok(frame) => self.handle_frame(frame),
                Err(_) => self.check_upstream().await,
            };
            if let Some(step) = step {
                return step;
            }
        }
    }

    /// Adds a part of the response to the buffer. Returns how the response
    /// ended, if it did.
    fn handle_frame(&mut self, frame: BodyFrame) -> Option<StreamStep> {
        let frame = match frame {
            None if self.splitter.has_partial_event() || self.ended_before_answer() => {
                return Some(StreamStep::Broken);
            }
            None => return Some(StreamStep::Complete),
            Some(Err(_)) => return Some(StreamStep::Broken),
            Some(Ok(frame)) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        if let Some(source) = &mut self.source {
            source.in_flight.record_bytes();
            source
                .in_flight
                .count_transfer(TransferKind::UpstreamResponse, data.len());
        }
        if self.splitter.push(&data).is_ok() {
            return None;
        }
        if let Some(source) = &self.source {
            source.in_flight.record_too_large("event");
        }
        Some(StreamStep::Broken)
    }

    /// Returns whether the upstream closed the connection, as the end of the response,
    /// before it had sent anything. That is how a crash as the answer begins may look.
    fn ended_before_answer(&self) -> bool {
        let source = self.source.as_ref();
        let is_empty = source.is_some_and(|source| {
            source.ends_with_connection && !source.in_flight.has_events()
        });
        is_empty && self.dispatch.last_event_id.is_none()
    }

    /// Checks whether the stream should leave its upstream, which has sent
    /// nothing for a while.
    async fn check_upstream(&mut self) -> Option<StreamStep> {
        let source = self.source.as_ref()?;
        if source.in_flight.is_silent() {
            self.dispatch.begin_to_confirm_origin();
        }
        match self.dispatch.decide_in_flight(&source.in_flight, true) {
            InFlightDecision::Wait => None,
            InFlightDecision::Ended => Some(StreamStep::Broken),
            InFlightDecision::TakeOver => self.take_over().await,
        }
    }

    /// Requests the rest of the stream from another upstream. The silent one is
    /// kept until the other has accepted, so that a refusal does not end a
    /// stream that may still go on.
    async fn take_over(&mut self) -> Option<StreamStep> {
        let source = self.source.take()?;
        let silent = Arc::clone(&source.in_flight.upstream);
        // The other attempt may not come back to it.
        self.dispatch
            .record_sent_to(&silent, AttemptOutcome::Unknown);
        let mut kept = Some(source);
        let result = race_takeover(&mut self.dispatch, &mut kept, &silent).await;
        let attempted = match result {
            TakeoverResult::Resumed(frame) => {
                self.dispatch.withdraw_attempt();
                self.source = kept;
                return self.handle_frame(frame);
            }
            TakeoverResult::Attempted(attempted) => attempted,
        };
        match (attempted, kept) {
            (Some((_, AttemptResult::Stream(taken_over))), kept) => {
                if let Some(kept) = kept {
                    kept.broken();
                }
                self.dispatch.record_takeover(&silent);
                self.splitter = EventSplitter::default();
                self.repeated = 0;
                self.source = Some(taken_over);
                None
            }
            (_, Some(kept)) => {
                self.source = Some(kept);
                None
            }
            (Some((selected, result)), None) => {
                self.dispatch.record_takeover(&silent);
                // A complete response to a request for a stream is an error.
                let outcome = result.failure().unwrap_or(AttemptOutcome::Unknown);
                let end = self.dispatch.after_failed_attempt(&selected, outcome, None);
                Some(end.map_or(StreamStep::Broken, StreamStep::Failed))
            }
            (None, None) => {
                let end = self.dispatch.after_stream_break(&silent);
                Some(end.map_or(StreamStep::Broken, StreamStep::Failed))
            }
        }
    }

    /// Takes all complete events from the buffer, joined together.
    fn take_events(&mut self) -> Option<StreamStep> {
        let mut bytes = BytesMut::new();
        let mut events = 0;
        while !self.gap_found {
            let Some(event) = self.splitter.next_event() else {
                break;
            };
            events += 1;
            match self.event_position(&event) {
                EventPosition::Next => {
                    self.repeated = 0;
                    bytes.extend_from_slice(&event.bytes);
                }
                EventPosition::Duplicate => self.gap_found = self.repeats_too_often(),
                EventPosition::Gap => self.gap_found = true,
            }
        }
        if !bytes.is_empty() {
            if let Some(source) = &mut self.source {
                source.in_flight.record_events(events);
                self.dispatch.is_sound |= source.in_flight.is_answering();
                self.dispatch.bind_to(&source.in_flight);
            }
            return Some(StreamStep::Events(bytes.freeze()));
        }
        self.gap_found.then_some(StreamStep::Broken)
    }

    /// Counts an event that the caller has already. An upstream may send all of these
    /// once more; one that sends even more doesn't go on with the stream.
    fn repeats_too_often(&mut self) -> bool {
        self.repeated += 1;
        let sent = self.dispatch.last_event_id.unwrap_or(0);
        let is_too_often = self.repeated > sent.saturating_add(REPEATED_EVENTS_MARGIN);
        if is_too_often && let Some(source) = &self.source {
            source.in_flight.record_too_large("repeated_events");
        }
        is_too_often
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

    /// Resumes the stream at another upstream, after the last complete event.
    async fn resume(&mut self) -> Result<(), DispatchResult> {
        self.splitter = EventSplitter::default();
        self.gap_found = false;
        self.repeated = 0;
        let broken_source = self.source.take();
        if let Some(source) = broken_source {
            let upstream = Arc::clone(&source.in_flight.upstream);
            let was_answering = source.in_flight.is_answering();
            let check = source.broken();
            if !was_answering {
                await_if_doubtful(&self.dispatch, check).await;
            }
            if let Some(end) = self.dispatch.after_stream_break(&upstream) {
                return Err(end);
            }
        }
        self.dispatch.confirm_origin().await;
        match self.dispatch.run_until_response().await {
            DispatchResult::Stream(source) => {
                self.source = Some(source);
                Ok(())
            }
            end => Err(end),
        }
    }
}

/// Attempts the rest of a stream at another upstream until the attempt ends, the
/// silent upstream sends something, or the caller is to get a final response. `kept`
/// becomes `None` if the connection to the silent one breaks.
async fn race_takeover(
    dispatch: &mut Dispatch,
    kept: &mut Option<Box<UpstreamStream>>,
    silent: &Arc<str>,
) -> TakeoverResult {
    let respond_now = dispatch.node.shutdown.respond_now.clone();
    let has_response = dispatch.has_response();
    let remaining_ms = dispatch.request.remaining_ms(dispatch.node.clock);
    let attempt = async {
        let (selected, result) = dispatch.attempt_elsewhere(silent).await?;
        let AttemptResult::Stream(mut stream) = result else {
            return Some((selected, result));
        };
        if stream.has_begun().await {
            return Some((selected, AttemptResult::Stream(stream)));
        }
        // The result of the crash check doesn't matter here.
        drop(stream.broken());
        Some((selected, AttemptResult::left()))
    };
    let time_limit = sleep(Duration::from_millis(remaining_ms));
    tokio::pin!(attempt, time_limit);
    loop {
        tokio::select! {
            biased;
            frame = next_frame(kept) => {
                if !matches!(frame, Some(Err(_))) {
                    return TakeoverResult::Resumed(frame);
                }
            }
            attempted = &mut attempt => return TakeoverResult::Attempted(attempted),
            () = &mut time_limit => return TakeoverResult::Attempted(None),
            () = respond_now.cancelled(), if !has_response => {
                return TakeoverResult::Attempted(None);
            }
        }
        if let Some(source) = kept.take() {
            source.broken();
        }
    }
}

/// Waits for the next part of a response, forever if there is none.
async fn next_frame(source: &mut Option<Box<UpstreamStream>>) -> BodyFrame {
    match source {
        Some(source) => source.frame().await,
        None => std::future::pending().await,
    }
}

enum EventPosition {
    Next,
    Duplicate,
    Gap,
}
