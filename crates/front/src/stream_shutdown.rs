//! Which streams begin at an entry that shuts down.

use direct::{Route, RouteKind, StreamStart, StreamTiming};

use crate::RequestHead;
use crate::dispatch::Dispatch;
use crate::state::Node;

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
}
