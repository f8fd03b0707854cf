//! One try of a request at one upstream.

use base::prelude::*;
use bytes::Bytes;
use direct::{AttemptOutcome, SelectedUpstream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode, Version};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::answer::Whole;
use crate::beliefs::tell_doubt;
use crate::crash::look_for_crash;
use crate::headers::strip_connection;
use crate::in_flight::InFlight;
use crate::reach::{place, unreached};
use crate::state::Node;
use crate::state::call::Call;
use crate::state::pool::{Line, SendFault};
use crate::{ResponseHead, UpstreamRequestHead};

/// Largest whole answer that is held; larger ones break off.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Time between two looks at whether an upstream has fallen silent.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Time without an answer after which a request that may be repeated is sent to
/// another upstream, if this one has fallen silent towards all requests.
const PATIENCE_MS: u64 = 700;

/// A stream that an upstream has begun.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) in_flight: InFlight,
    line: Line,
    keep_alive_s: Option<u64>,
}

impl Live {
    /// The stream was read to its end: the connection can be used again.
    pub(crate) fn finished(self) {
        self.in_flight.observe(true);
        let node = Arc::clone(&self.in_flight.node);
        let upstream = Arc::clone(&self.in_flight.upstream);
        drop(self.in_flight);
        node.pool.keep(&upstream, self.line, self.keep_alive_s);
    }

    /// The stream broke: the upstream may have crashed.
    pub(crate) fn broke(self, fingerprint: u64) {
        self.in_flight.observe(false);
        let node = Arc::clone(&self.in_flight.node);
        look_for_crash(&node, fingerprint, self.in_flight.start());
    }
}

/// How a try ended.
#[derive(Debug)]
pub(crate) enum TryEnd {
    /// A stream has begun.
    Live(Box<Live>),
    /// A whole answer that stands.
    Whole(Whole),
    /// No answer that stands; with the upstream's own failure if it gave one.
    Fault(AttemptOutcome, Option<Whole>),
}

/// Sends a request to an upstream and waits for its answer, or for the head of
/// a stream.
pub(crate) async fn try_once(
    node: &Arc<Node>,
    call: &Call,
    picked: &SelectedUpstream,
    last_event: Option<&str>,
) -> TryEnd {
    let Some(place) = place(node, &picked.id) else {
        return TryEnd::Fault(AttemptOutcome::NotSent, None);
    };
    let in_flight = InFlight::begin(node, call, picked, place.born_ms);
    let fresh = !call.route.kind.may_rerun();
    let Ok(line) = node.pool.take(&picked.id, place, fresh).await else {
        unreached(node, &picked.id, place.born_ms);
        return TryEnd::Fault(AttemptOutcome::NotSent, None);
    };
    let left_ms = call.left_ms(node.clock);
    if call.is_over(node.clock) {
        return TryEnd::Fault(AttemptOutcome::NotSent, None);
    }
    let request = request(node, call, &picked.id, left_ms, last_event);
    exchange(node, call, in_flight, line, request).await
}

async fn exchange(
    node: &Arc<Node>,
    call: &Call,
    mut in_flight: InFlight,
    mut line: Line,
    request: Request<Full<Bytes>>,
) -> TryEnd {
    match head(node, call, &in_flight, &mut line, request).await {
        None => TryEnd::Fault(AttemptOutcome::Unknown, None),
        Some(Err(SendFault::NotSent)) => TryEnd::Fault(AttemptOutcome::NotSent, None),
        Some(Err(SendFault::Broken)) => {
            in_flight.observe(false);
            look_for_crash(node, call.fingerprint, in_flight.start());
            TryEnd::Fault(AttemptOutcome::Unknown, None)
        }
        Some(Ok(response)) => {
            in_flight.heard();
            judge(node, call, in_flight, line, response).await
        }
    }
}

/// Waits for the head of an answer; `None` if it is not worth waiting for any
/// more.
async fn head(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    line: &mut Line,
    request: Request<Full<Bytes>>,
) -> Option<Result<Response<Incoming>, SendFault>> {
    let sent_at = node.now();
    let sending = line.send(request);
    tokio::pin!(sending);
    loop {
        let look = LOOK_EVERY.min(left(node, call));
        match timeout(look, &mut sending).await {
            Ok(answered) => return Some(answered),
            Err(_) if call.is_over(node.clock) => return None,
            Err(_) if in_flight.is_over() => return None,
            Err(_) if gives_up_on(node, call, in_flight, sent_at) => return None,
            Err(_) => {}
        }
    }
}

/// Whether a request is better sent to another upstream than waited for.
fn gives_up_on(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    sent_at: Instant,
) -> bool {
    let gives_up = call.route.kind.may_rerun()
        && node.now().ms_since(sent_at) > PATIENCE_MS
        && in_flight.is_silent();
    if gives_up {
        tell_doubt(node, &in_flight.upstream);
    }
    gives_up
}

/// Judges an answer by its head and reads what has to be read of it.
async fn judge(
    node: &Arc<Node>,
    call: &Call,
    in_flight: InFlight,
    line: Line,
    response: Response<Incoming>,
) -> TryEnd {
    let (mut parts, body) = response.into_parts();
    let head = node
        .dialect
        .parse_response_head(parts.status, &parts.headers);
    strip_connection(&mut parts.headers);
    if head.id.as_ref().is_some_and(|id| *id != call.ask.id) {
        // An answer to another request, late on this connection. Dropping the
        // line closes it; whether this request ran, nothing says.
        return TryEnd::Fault(AttemptOutcome::Unknown, None);
    }
    in_flight.answered(&head);
    let good = parts.status.is_success();
    if good && !(head.signed && head.id.is_some()) {
        in_flight.observe(false);
        return TryEnd::Fault(AttemptOutcome::Unknown, None);
    }
    if head.wrong_upstream {
        in_flight.deny(call);
    } else if head.not_run {
        in_flight.refused(call);
    } else if good {
        in_flight.took(call);
    }
    if good && call.route.kind.is_stream() {
        return TryEnd::Live(Box::new(Live {
            status: parts.status,
            headers: parts.headers,
            body,
            in_flight,
            line,
            keep_alive_s: head.keep_alive_s,
        }));
    }
    let Some(body) = read_whole(node, call, &in_flight, body).await else {
        in_flight.observe(false);
        return TryEnd::Fault(
            if head.not_run {
                AttemptOutcome::Refused
            } else {
                AttemptOutcome::Unknown
            },
            None,
        );
    };
    in_flight.observe(!parts.status.is_server_error());
    node.pool.keep(&in_flight.upstream, line, head.keep_alive_s);
    let whole = Whole {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    sort(whole, &head)
}

fn sort(whole: Whole, head: &ResponseHead) -> TryEnd {
    if head.not_run {
        TryEnd::Fault(AttemptOutcome::Refused, None)
    } else if whole.status.is_server_error() {
        let own = head.signed.then_some(whole);
        TryEnd::Fault(AttemptOutcome::Failed, own)
    } else {
        TryEnd::Whole(whole)
    }
}

/// Reads a body to its end; `None` if it broke off, did not come in time or is of
/// a start that has ended.
async fn read_whole(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    body: Incoming,
) -> Option<Bytes> {
    let read = Limited::new(body, ANSWER_MAX_BYTES).collect();
    tokio::pin!(read);
    loop {
        let look = LOOK_EVERY.min(left(node, call));
        match timeout(look, &mut read).await {
            Ok(collected) => return Some(collected.ok()?.to_bytes()),
            Err(_) if call.is_over(node.clock) || in_flight.is_over() => return None,
            Err(_) => {}
        }
    }
}

fn request(
    node: &Node,
    call: &Call,
    upstream: &str,
    left_ms: u64,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut headers = call.headers.clone();
    let last_event = last_event.or(call.ask.last_event_id.as_deref());
    node.dialect.set_upstream_headers(
        &mut headers,
        &UpstreamRequestHead {
            upstream,
            deadline_ms: left_ms,
            urgency: urgency(call),
            last_event_id: last_event,
            workspace: call.workspace.as_ref().map(|workspace| &*workspace.name),
        },
    );
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = origin_form(call);
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    request
}

/// Path and query as the caller sent them.
fn origin_form(call: &Call) -> hyper::Uri {
    let path = call.uri.path_and_query().cloned();
    path.map(hyper::Uri::from).unwrap_or_default()
}

/// The most urgent kind of request is admitted first at engines.
fn urgency(call: &Call) -> u32 {
    (call.priority() * 2 + 1).min(9)
}

fn left(node: &Node, call: &Call) -> Duration {
    Duration::from_millis(call.left_ms(node.clock))
}
