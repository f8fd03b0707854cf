//! Streams at an entry that shuts down: which of them begin, and when those that still run
//! are handed over to their callers.

use direct::{
    Route, RouteKind, RunningStream, StreamStart, StreamTiming, handover_start_ms,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::RequestHead;
use crate::dispatch::{Dispatch, DispatchResult};
use crate::state::Node;

/// Outcome of a stream that its caller has to resume at another entry.
const HANDED_OVER: &str = "handed_over";

/// Returns whether a stream may begin now. It always may unless this entry shuts down.
pub(crate) fn may_begin_stream(
    node: &Node,
    route: &Route,
    head: &RequestHead,
    deadline_ms: u64,
) -> bool {
    let Some((signalled_at, exit_at)) = node.shutdown.times() else {
        return true;
    };
    let now = node.now();
    let expected_ms = expected_ms(node, route, head);
    let start = StreamStart {
        since_signal_ms: now.ms_since(signalled_at),
        until_exit_ms: exit_at.ms_since(now),
        expected_ms: expected_ms.map(|ms| ms.min(deadline_ms).min(route.timeout_ms)),
        is_resumable: route.kind == RouteKind::ResumableStream,
        peers: node.peers.readiness(now),
    };
    start.may_begin()
}

/// Returns the time within which a stream is expected to end, if that is known.
fn expected_ms(node: &Node, route: &Route, head: &RequestHead) -> Option<u64> {
    let durations = node.stream_durations.lock();
    durations.expected_ms(node.now(), &route.name, output_tokens(head))
}

/// Returns the time before which a stream hardly ends, if that is known.
fn shortest_ms(node: &Node, route: &Route, head: &RequestHead) -> Option<u64> {
    let durations = node.stream_durations.lock();
    durations.shortest_ms(node.now(), &route.name, output_tokens(head))
}

/// Returns the number of output tokens that a request asks for.
fn output_tokens(head: &RequestHead) -> u64 {
    head.output_tokens_hint.unwrap_or(head.output_tokens_max)
}

impl Dispatch {
    /// Records how long a stream took that has ended whole. One that was taken up lacks
    /// its beginning.
    pub(crate) fn record_stream_duration(&self) {
        let request = &self.request;
        let Some(first_event_ms) = self.first_response_ms() else {
            return;
        };
        if request.origin.is_some() {
            return;
        }
        let now = self.node.now();
        let timing = StreamTiming {
            first_event_ms,
            rest_ms: now.ms_since(request.arrived_at.plus_ms(first_event_ms)),
            output_tokens: output_tokens(&request.head),
        };
        let mut durations = self.node.stream_durations.lock();
        durations.observe(now, &request.route.name, timing);
    }

    /// Returns whether the stream is to end now, between two events, so that its caller
    /// resumes it at another entry.
    pub(crate) fn must_hand_over(&self) -> bool {
        let Some((signalled_at, exit_at)) = self.node.shutdown.times() else {
            return false;
        };
        let now = self.node.now();
        let now_ms = now.ms_since(signalled_at);
        let grace_ms = self.node.options.deployment.shutdown_ms;
        if now_ms < handover_start_ms(grace_ms) {
            return false;
        }
        let request = &self.request;
        let shortest_ms = shortest_ms(&self.node, &request.route, &request.head);
        let running = RunningStream {
            grace_ms,
            exit_ms: exit_at.ms_since(signalled_at),
            arrived_ms: request.arrived_at.ms_since(signalled_at),
            earliest_end_ms: shortest_ms
                .map(|ms| request.arrived_at.plus_ms(ms).ms_since(signalled_at)),
            is_resumable: self.can_be_resumed(),
            is_peer_ready: self.node.peers.has_ready_peer(now),
            spread: xxh3_64(request.head.id.as_bytes()),
        };
        let handover_ms = running.handover_ms();
        handover_ms.is_some_and(|handover_ms| now_ms >= handover_ms)
    }

    /// Returns whether the caller can have the rest of its stream from another entry. It
    /// has to name the last event, and the software version that began the stream has to
    /// be known.
    fn can_be_resumed(&self) -> bool {
        let origin = self.origin.as_ref();
        self.request.route.kind == RouteKind::ResumableStream
            && self.first_response_ms().is_some()
            && self.last_event_id.is_some()
            && origin.is_some_and(|origin| origin.software.is_some())
    }

    /// Ends a stream that is handed over to its caller.
    pub(crate) fn end_handed_over(&mut self, status: u16) -> DispatchResult {
        self.record_end(HANDED_OVER, status);
        self.end_running_stream()
    }
}
