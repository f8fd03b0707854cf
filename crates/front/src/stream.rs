//! Streams, given on event by event.

use bytes::{Bytes, BytesMut};
use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::answer::{AnswerBody, BrokenOff};
use crate::beliefs::tell_doubt;
use crate::events::{Event, EventSplitter};
use crate::run::{End, Run};
use crate::tries::Live;

/// Time between two looks at whether an upstream has fallen silent.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// A stream on its way to its caller.
pub(crate) struct Pump {
    run: Run,
    live: Option<Box<Live>>,
    splitter: EventSplitter,
    /// An event came that belongs to nothing: what was before it is given on, and
    /// the stream has broken there.
    misfit: bool,
    status: StatusCode,
    headers: HeaderMap,
    over: bool,
}

/// What the upstream's bytes gave.
enum Step {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    Complete,
    /// It broke.
    Broke,
    /// The caller's time is over.
    Late,
}

/// Waits for the first event, so that a stream that breaks before it can still
/// be answered as if it had never begun.
///
/// # Errors
///
/// The stream broke and could not be continued.
pub(crate) async fn begin(
    run: Run,
    live: Live,
) -> Result<(Option<Bytes>, Pump), (Run, End)> {
    let mut pump = Pump {
        status: live.status,
        headers: live.headers.clone(),
        run,
        live: Some(Box::new(live)),
        splitter: EventSplitter::default(),
        misfit: false,
        over: false,
    };
    match pump.next().await {
        Ok(first) => Ok((first, pump)),
        Err(end) => Err((pump.run, end)),
    }
}

/// The answer that gives a stream on. It keeps the head of the first upstream.
pub(crate) fn pass_on(first: Option<Bytes>, pump: Pump) -> Response<AnswerBody> {
    let (status, headers) = (pump.status, pump.headers.clone());
    let frames = unfold((first, Some(pump)), |(first, pump)| async {
        let mut pump = pump?;
        if let Some(bytes) = first {
            return Some((Ok(Frame::data(bytes)), (None, Some(pump))));
        }
        match pump.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), (None, Some(pump)))),
            Ok(None) => None,
            Err(_) => {
                pump.run.tell("broke_off", status_of(&pump));
                // The library ends the connection at once and would take with it
                // what was given on just before and is not yet written.
                tokio::task::yield_now().await;
                Some((Err(BrokenOff), (None, None)))
            }
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn status_of(pump: &Pump) -> u16 {
    pump.status.as_u16()
}

impl Pump {
    /// The next events; `None` at the end of a complete stream.
    async fn next(&mut self) -> Result<Option<Bytes>, End> {
        if self.over {
            return Ok(None);
        }
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.run.first_answer();
                    return Ok(Some(bytes));
                }
                Step::Complete => {
                    self.over = true;
                    if let Some(live) = self.live.take() {
                        live.finished();
                    }
                    self.run.tell("answered", self.status.as_u16());
                    return Ok(None);
                }
                Step::Broke => self.go_on().await?,
                Step::Late => {
                    self.live = None;
                    return Err(self.run.late());
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        loop {
            if let Some(step) = self.whole_events() {
                return step;
            }
            let Some(live) = &mut self.live else {
                return Step::Broke;
            };
            let left_ms = self.run.call.left_ms(self.run.node.clock);
            if left_ms == 0 || self.run.ends_at_stop() {
                return Step::Late;
            }
            let look = LOOK_EVERY.min(Duration::from_millis(left_ms));
            match timeout(look, live.body.frame()).await {
                Err(_) => {
                    if self.is_given_up() {
                        return Step::Broke;
                    }
                }
                Ok(None) if self.splitter.is_inside() => return Step::Broke,
                Ok(None) => return Step::Complete,
                Ok(Some(Err(_))) => return Step::Broke,
                Ok(Some(Ok(frame))) => {
                    live.in_flight.heard();
                    let data = frame.into_data().unwrap_or_default();
                    if self.splitter.push(&data).is_err() {
                        return Step::Broke;
                    }
                }
            }
        }
    }

    /// Takes whole events out of what came, as one piece.
    fn whole_events(&mut self) -> Option<Step> {
        let mut bytes = BytesMut::new();
        while !self.misfit {
            let Some(event) = self.splitter.next_event() else {
                break;
            };
            match self.place(&event) {
                Place::Next => bytes.extend_from_slice(&event.bytes),
                Place::Known => {}
                Place::Wrong => self.misfit = true,
            }
        }
        if !bytes.is_empty() {
            return Some(Step::Events(bytes.freeze()));
        }
        self.misfit.then_some(Step::Broke)
    }

    /// Where an event belongs. One that the caller has already is left out; one
    /// behind a gap belongs to nothing that can be given on.
    fn place(&mut self, event: &Event) -> Place {
        let Some(id) = event.id else {
            return Place::Next;
        };
        match self.run.last_event {
            Some(last) if id <= last => Place::Known,
            Some(last) if id > last + 1 => Place::Wrong,
            _ => {
                self.run.last_event = Some(id);
                Place::Next
            }
        }
    }

    /// Whether the stream is better continued elsewhere than waited for.
    fn is_given_up(&self) -> bool {
        if self
            .live
            .as_ref()
            .is_some_and(|live| live.in_flight.is_over())
        {
            return true;
        }
        if !self.run.call.route.kind.may_rerun() {
            return false;
        }
        let live = self.live.as_ref();
        let silent = live.filter(|live| live.in_flight.is_silent());
        let Some(live) = silent else {
            return false;
        };
        let upstream = &live.in_flight.upstream;
        tell_doubt(&self.run.node, upstream);
        // With nobody to go on, giving up would break the answer off for certain;
        // an upstream that is only late still ends it.
        self.run.has_another(upstream)
    }

    /// Continues the stream at another upstream, behind the last whole event.
    async fn go_on(&mut self) -> Result<(), End> {
        self.splitter = EventSplitter::default();
        self.misfit = false;
        let broken = self.live.take();
        let upstream = broken.map(|live| {
            let id = Arc::clone(&live.in_flight.upstream);
            live.broke(self.run.call.fingerprint);
            id
        });
        if let Some(end) = upstream.and_then(|id| self.run.after_break(&id)) {
            return Err(end);
        }
        match self.run.until_answer().await {
            End::Live(live) => {
                self.live = Some(live);
                Ok(())
            }
            end => Err(end),
        }
    }
}

enum Place {
    Next,
    Known,
    Wrong,
}
