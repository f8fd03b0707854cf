//! One attempt of a request at one upstream.

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

use crate::crash::check_for_crash;
use crate::headers::strip_hop_by_hop;
use crate::in_flight::InFlight;
use crate::response::BufferedResponse;
use crate::state::Node;
use crate::state::caller_request::CallerRequest;
use crate::state::connection_pool::{SendError, UpstreamConnection};
use crate::state_monitor::log_avoidance_if_changed;
use crate::upstream_address::{address_of, record_unreachable};
use crate::{ResponseHead, UpstreamRequestHead};

/// Largest response that is buffered; reading a larger one fails.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Interval at which a waiting request checks whether its upstream has fallen
/// silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a response after which a request that may run twice is sent to
/// another upstream, if its upstream has fallen silent for all requests.
const SILENCE_TOLERANCE_MS: u64 = 700;

/// A stream that an upstream has started.
#[derive(Debug)]
pub(crate) struct UpstreamStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) in_flight: InFlight,
    connection: UpstreamConnection,
    keep_alive_s: Option<u64>,
}

impl UpstreamStream {
    /// Records that the stream was read to its end, and keeps the connection
    /// for reuse.
    pub(crate) fn finished(self) {
        self.in_flight.record_result(true);
        let node = Arc::clone(&self.in_flight.node);
        let upstream = Arc::clone(&self.in_flight.upstream);
        drop(self.in_flight);
        node.connections
            .keep(&upstream, self.connection, self.keep_alive_s);
    }

    /// Records that the stream broke, and checks whether the upstream crashed.
    pub(crate) fn broken(self, fingerprint: u64) {
        self.in_flight.record_result(false);
        let node = Arc::clone(&self.in_flight.node);
        check_for_crash(&node, fingerprint, self.in_flight.incarnation());
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The upstream has started a stream.
    Stream(Box<UpstreamStream>),
    /// A complete response that can be forwarded.
    Response(BufferedResponse),
    /// No response that can be forwarded, with the error response if the
    /// upstream itself sent one.
    Failed(AttemptOutcome, Option<BufferedResponse>),
}

/// Sends a request to an upstream and waits for its response, or for the head
/// of a stream.
pub(crate) async fn attempt(
    node: &Arc<Node>,
    request: &CallerRequest,
    selected: &SelectedUpstream,
    last_event_id: Option<&str>,
) -> AttemptResult {
    let Some(address) = address_of(node, &selected.id) else {
        return AttemptResult::Failed(AttemptOutcome::NotSent, None);
    };
    let in_flight = InFlight::start(node, request, selected, address.started_unix_ms);
    let recently_used = !request.route.kind.may_rerun();
    let Ok(connection) = node
        .connections
        .take(&selected.id, address, recently_used)
        .await
    else {
        record_unreachable(node, &selected.id, address.started_unix_ms);
        return AttemptResult::Failed(AttemptOutcome::NotSent, None);
    };
    let remaining_ms = request.remaining_ms(node.clock);
    if request.is_expired(node.clock) {
        return AttemptResult::Failed(AttemptOutcome::NotSent, None);
    }
    let upstream_request =
        build_request(node, request, &selected.id, remaining_ms, last_event_id);
    exchange(node, request, in_flight, connection, upstream_request).await
}

/// Sends the request on an open connection and evaluates the response.
async fn exchange(
    node: &Arc<Node>,
    request: &CallerRequest,
    mut in_flight: InFlight,
    mut connection: UpstreamConnection,
    upstream_request: Request<Full<Bytes>>,
) -> AttemptResult {
    match response_head(node, request, &in_flight, &mut connection, upstream_request)
        .await
    {
        None => AttemptResult::Failed(AttemptOutcome::Unknown, None),
        Some(Err(SendError::NotSent)) => {
            AttemptResult::Failed(AttemptOutcome::NotSent, None)
        }
        Some(Err(SendError::Broken)) => {
            in_flight.record_result(false);
            check_for_crash(node, request.fingerprint, in_flight.incarnation());
            AttemptResult::Failed(AttemptOutcome::Unknown, None)
        }
        Some(Ok(response)) => {
            in_flight.record_bytes();
            evaluate_response(node, request, in_flight, connection, response).await
        }
    }
}

/// Waits for the head of the response. Returns `None` when waiting any longer
/// is pointless.
async fn response_head(
    node: &Node,
    request: &CallerRequest,
    in_flight: &InFlight,
    connection: &mut UpstreamConnection,
    upstream_request: Request<Full<Bytes>>,
) -> Option<Result<Response<Incoming>, SendError>> {
    let sent_at = node.now();
    let sending = connection.send(upstream_request);
    tokio::pin!(sending);
    loop {
        let check_after = CHECK_INTERVAL.min(remaining(node, request));
        match timeout(check_after, &mut sending).await {
            Ok(result) => return Some(result),
            Err(_) if request.is_expired(node.clock) => return None,
            Err(_) if in_flight.is_superseded() => return None,
            Err(_) if should_give_up(node, request, in_flight, sent_at) => return None,
            Err(_) => {}
        }
    }
}

/// Returns whether the request should be sent to another upstream rather than
/// wait for this one.
fn should_give_up(
    node: &Node,
    request: &CallerRequest,
    in_flight: &InFlight,
    sent_at: Instant,
) -> bool {
    let give_up = request.route.kind.may_rerun()
        && node.now().ms_since(sent_at) > SILENCE_TOLERANCE_MS
        && in_flight.is_silent();
    if give_up {
        log_avoidance_if_changed(node, &in_flight.upstream);
    }
    give_up
}

/// Evaluates a response by its head, and reads the body unless it is a stream.
async fn evaluate_response(
    node: &Arc<Node>,
    request: &CallerRequest,
    in_flight: InFlight,
    connection: UpstreamConnection,
    response: Response<Incoming>,
) -> AttemptResult {
    let (mut parts, body) = response.into_parts();
    let head = node
        .protocol
        .parse_response_head(parts.status, &parts.headers);
    strip_hop_by_hop(&mut parts.headers);
    if head.id.as_ref().is_some_and(|id| *id != request.head.id) {
        // A late response to an earlier request on this connection. Dropping
        // the connection closes it; whether this request has run is unknown.
        return AttemptResult::Failed(AttemptOutcome::Unknown, None);
    }
    in_flight.record_head(&head);
    let success = parts.status.is_success();
    if success && !(head.signed && head.id.is_some()) {
        in_flight.record_result(false);
        return AttemptResult::Failed(AttemptOutcome::Unknown, None);
    }
    if head.wrong_upstream {
        in_flight.record_not_held(request);
    } else if head.not_run {
        in_flight.record_refusal(request);
    } else if success {
        in_flight.record_acceptance(request);
    }
    if success && request.route.kind.is_stream() {
        return AttemptResult::Stream(Box::new(UpstreamStream {
            status: parts.status,
            headers: parts.headers,
            body,
            in_flight,
            connection,
            keep_alive_s: head.keep_alive_s,
        }));
    }
    let Some(body) = read_body(node, request, &in_flight, body).await else {
        in_flight.record_result(false);
        return AttemptResult::Failed(
            if head.not_run {
                AttemptOutcome::Refused
            } else {
                AttemptOutcome::Unknown
            },
            None,
        );
    };
    in_flight.record_result(!parts.status.is_server_error());
    node.connections
        .keep(&in_flight.upstream, connection, head.keep_alive_s);
    let response = BufferedResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    classify(response, &head)
}

/// Decides whether a complete response can be forwarded.
fn classify(response: BufferedResponse, head: &ResponseHead) -> AttemptResult {
    if head.not_run {
        AttemptResult::Failed(AttemptOutcome::Refused, None)
    } else if response.status.is_server_error() {
        let signed_response = head.signed.then_some(response);
        AttemptResult::Failed(AttemptOutcome::Failed, signed_response)
    } else {
        AttemptResult::Response(response)
    }
}

/// Reads a body to its end. Returns `None` if it broke off, missed the
/// deadline, or belongs to an incarnation that has ended.
async fn read_body(
    node: &Node,
    request: &CallerRequest,
    in_flight: &InFlight,
    body: Incoming,
) -> Option<Bytes> {
    let read = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    tokio::pin!(read);
    loop {
        let check_after = CHECK_INTERVAL.min(remaining(node, request));
        match timeout(check_after, &mut read).await {
            Ok(collected) => return Some(collected.ok()?.to_bytes()),
            Err(_) if request.is_expired(node.clock) || in_flight.is_superseded() => {
                return None;
            }
            Err(_) => {}
        }
    }
}

/// Builds the HTTP request to the upstream from the caller's request.
fn build_request(
    node: &Node,
    request: &CallerRequest,
    upstream: &str,
    remaining_ms: u64,
    last_event_id: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut headers = request.headers.clone();
    let last_event_id = last_event_id.or(request.head.last_event_id.as_deref());
    node.protocol.set_upstream_headers(
        &mut headers,
        &UpstreamRequestHead {
            upstream,
            deadline_ms: remaining_ms,
            urgency: urgency(request),
            last_event_id,
            workspace: request.workspace.as_ref().map(|workspace| &*workspace.name),
        },
    );
    let mut upstream_request = Request::new(Full::new(request.body.clone()));
    *upstream_request.method_mut() = request.method.clone();
    *upstream_request.uri_mut() = origin_form(request);
    *upstream_request.version_mut() = Version::HTTP_11;
    *upstream_request.headers_mut() = headers;
    upstream_request
}

/// Returns the path and query as the caller sent them.
fn origin_form(request: &CallerRequest) -> hyper::Uri {
    let path = request.uri.path_and_query().cloned();
    path.map(hyper::Uri::from).unwrap_or_default()
}

/// Returns the value of the urgency header, from 0 to 9, for the request's
/// priority. Engines admit the most urgent requests first.
fn urgency(request: &CallerRequest) -> u32 {
    (request.priority() * 2 + 1).min(9)
}

fn remaining(node: &Node, request: &CallerRequest) -> Duration {
    Duration::from_millis(request.remaining_ms(node.clock))
}
