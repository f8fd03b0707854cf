//! One attempt of a request at one upstream.

use bytes::Bytes;
use direct::{AttemptOutcome, InFlightDecision, SelectedUpstream};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode, Version};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::crash::{await_if_doubtful, check_for_crash};
use crate::dispatch::Dispatch;
use crate::headers::{ends_with_connection, strip_hop_by_hop};
use crate::in_flight::InFlight;
use crate::response::BufferedResponse;
use crate::response_body::{BodyError, BodyUse, read_body};
use crate::state::Node;
use crate::state::caller_request::CallerRequest;
use crate::state::connection_pool::{SendError, UpstreamConnection};
use crate::state::transfer::{TransferKind, header_bytes};
use crate::takeover::TakeoverSignal;
use crate::upstream_address::{address_of, record_unreachable};
use crate::{ResponseHead, UpstreamRequestHead};

/// Interval at which a waiting request checks whether its upstream has fallen
/// silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a response after which a request may leave its upstream, if that has
/// fallen silent for all requests.
const SILENCE_TOLERANCE_MS: u64 = 700;

/// A stream that an upstream has started.
#[derive(Debug)]
pub(crate) struct UpstreamStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    body: Incoming,
    /// The first part of the body, if it was read to see whether the answer has begun.
    first: Option<Frame<Bytes>>,
    pub(crate) in_flight: InFlight,
    /// Whether its end is the end of the connection.
    pub(crate) ends_with_connection: bool,
    connection: UpstreamConnection,
    keep_alive_s: Option<u64>,
}

/// A part of an upstream's response body; `None` at its end.
pub(crate) type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

impl UpstreamStream {
    /// Returns the next part of the body.
    pub(crate) async fn frame(&mut self) -> BodyFrame {
        match self.first.take() {
            Some(first) => Some(Ok(first)),
            None => self.body.frame().await,
        }
    }

    /// Waits for the first part of the body. Returns whether there is one: an upstream
    /// that has only sent the head may still break off or fall silent.
    pub(crate) async fn has_begun(&mut self) -> bool {
        if self.first.is_none() {
            self.first = self.body.frame().await.and_then(Result::ok);
        }
        self.first.is_some()
    }

    /// Records that the stream was read to its end, and keeps the connection
    /// for reuse.
    pub(crate) fn finished(mut self) {
        self.in_flight.record_result(true);
        self.in_flight.record_answer();
        let node = Arc::clone(&self.in_flight.node);
        let upstream = Arc::clone(&self.in_flight.upstream);
        drop(self.in_flight);
        node.connections
            .keep(&upstream, self.connection, self.keep_alive_s);
    }

    /// Records that the stream broke, and checks whether the upstream crashed.
    pub(crate) fn broken(self) -> JoinHandle<()> {
        self.in_flight.record_result(false);
        check_for_crash(&self.in_flight)
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

impl AttemptResult {
    /// The result of an attempt that was left while its upstream was silent.
    pub(crate) const fn left() -> Self {
        Self::Failed(AttemptOutcome::Unknown, None)
    }

    /// Returns how the attempt failed; `None` if its result can be forwarded.
    pub(crate) const fn failure(&self) -> Option<AttemptOutcome> {
        match self {
            Self::Failed(outcome, _) => Some(*outcome),
            Self::Stream(_) | Self::Response(_) => None,
        }
    }
}

/// Sends a request to an upstream and waits for its response, or for the head
/// of a stream.
pub(crate) async fn attempt(
    dispatch: &Dispatch,
    selected: &SelectedUpstream,
    takeover: &TakeoverSignal,
) -> AttemptResult {
    let (node, request) = (&dispatch.node, &dispatch.request);
    let Some(address) = address_of(node, &selected.id) else {
        return AttemptResult::Failed(AttemptOutcome::NotSent, None);
    };
    let mut in_flight = InFlight::start(node, request, selected, &address);
    let recently_used = !request.route.kind.may_rerun();
    let Ok(connection) = node
        .connections
        .take(&selected.id, address, recently_used)
        .await
    else {
        record_unreachable(node, &selected.id, address.started_unix_ms);
        return AttemptResult::Failed(AttemptOutcome::NotSent, None);
    };
    in_flight.connected_at = connection.opened_at();
    let remaining_ms = request.remaining_ms(node.clock);
    if request.is_expired(node.clock) {
        return AttemptResult::Failed(AttemptOutcome::NotSent, None);
    }
    let last_event_id = dispatch.last_event_id.map(|id| id.to_string());
    let upstream_request = build_request(
        node,
        request,
        &selected.id,
        remaining_ms,
        last_event_id.as_deref(),
    );
    node.fair_shares.charge(node.now(), request);
    exchange(dispatch, in_flight, connection, upstream_request, takeover).await
}

/// Sends the request on an open connection and evaluates the response.
async fn exchange(
    dispatch: &Dispatch,
    mut in_flight: InFlight,
    mut connection: UpstreamConnection,
    upstream_request: Request<Full<Bytes>>,
    takeover: &TakeoverSignal,
) -> AttemptResult {
    let head = response_head(
        dispatch,
        &in_flight,
        &mut connection,
        upstream_request,
        takeover,
    );
    let head = head.await;
    let is_head_too_large = connection.is_head_too_large();
    match head {
        HeadResult::Ended => AttemptResult::Failed(AttemptOutcome::Unknown, None),
        HeadResult::Failed(SendError::NotSent) => {
            AttemptResult::Failed(AttemptOutcome::NotSent, None)
        }
        HeadResult::Failed(SendError::Broken) => {
            in_flight.record_result(false);
            if is_head_too_large {
                in_flight.record_too_large("head");
                return AttemptResult::Failed(AttemptOutcome::Unknown, None);
            }
            await_if_doubtful(dispatch, check_for_crash(&in_flight)).await;
            AttemptResult::Failed(AttemptOutcome::Unknown, None)
        }
        HeadResult::Received(response) => {
            in_flight.record_bytes();
            let result =
                evaluate_response(dispatch, in_flight, connection, response).await;
            without_other_version(dispatch, result).await
        }
    }
}

/// Fails an attempt that would go on with a stream at an upstream of another version.
async fn without_other_version(
    dispatch: &Dispatch,
    result: AttemptResult,
) -> AttemptResult {
    match result {
        AttemptResult::Stream(stream)
            if !dispatch.may_continue_at(&stream.in_flight).await =>
        {
            AttemptResult::Failed(AttemptOutcome::Unknown, None)
        }
        other => other,
    }
}

/// How waiting for the head of a response ended.
enum HeadResult {
    Received(Response<Incoming>),
    Failed(SendError),
    /// The request's deadline has passed, or its upstream can't respond any
    /// more.
    Ended,
}

/// Waits for the head of the response. Requests a takeover if the upstream is
/// silent and another one can run the request.
async fn response_head(
    dispatch: &Dispatch,
    in_flight: &InFlight,
    connection: &mut UpstreamConnection,
    upstream_request: Request<Full<Bytes>>,
    takeover: &TakeoverSignal,
) -> HeadResult {
    let (node, request) = (&dispatch.node, &dispatch.request);
    let sent_at = node.now();
    let request_bytes = header_bytes(upstream_request.headers()) + request.body.len();
    in_flight.count_transfer(TransferKind::UpstreamRequest, request_bytes);
    let sending = connection.send(upstream_request);
    tokio::pin!(sending);
    loop {
        let check_after = CHECK_INTERVAL.min(remaining(node, request));
        match timeout(check_after, &mut sending).await {
            Ok(Ok(response)) => return HeadResult::Received(response),
            Ok(Err(error)) => return HeadResult::Failed(error),
            Err(_) if request.is_expired(node.clock) => return HeadResult::Ended,
            Err(_) => {}
        }
        let is_overdue = node.now().ms_since(sent_at) > SILENCE_TOLERANCE_MS;
        let may_leave = is_overdue && !takeover.is_pending();
        match dispatch.decide_in_flight(in_flight, may_leave) {
            InFlightDecision::Wait => {}
            InFlightDecision::Ended => return HeadResult::Ended,
            InFlightDecision::TakeOver => takeover.request(),
        }
    }
}

/// Evaluates a response by its head, and reads the body unless it is a stream.
async fn evaluate_response(
    dispatch: &Dispatch,
    mut in_flight: InFlight,
    connection: UpstreamConnection,
    response: Response<Incoming>,
) -> AttemptResult {
    let (node, request) = (&dispatch.node, &dispatch.request);
    let (mut parts, body) = response.into_parts();
    let head_bytes = header_bytes(&parts.headers);
    in_flight.count_transfer(TransferKind::UpstreamResponse, head_bytes);
    let head = node
        .protocol
        .parse_response_head(parts.status, &parts.headers);
    let ends_with_connection = ends_with_connection(&parts.headers);
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
            first: None,
            in_flight,
            ends_with_connection,
            connection,
            keep_alive_s: head.keep_alive_s,
        }));
    }
    let body_use = BodyUse::of(parts.status, &head);
    let body = read_body(node, request, &in_flight, body, body_use).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            in_flight.record_result(false);
            if head.not_run {
                return AttemptResult::Failed(AttemptOutcome::Refused, None);
            }
            if error == BodyError::Broken {
                await_if_doubtful(dispatch, check_for_crash(&in_flight)).await;
            }
            return AttemptResult::Failed(AttemptOutcome::Unknown, None);
        }
    };
    in_flight.record_result(!parts.status.is_server_error());
    if success {
        in_flight.record_answer();
    }
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
    request
        .priority()
        .saturating_mul(2)
        .saturating_add(1)
        .min(9)
}

fn remaining(node: &Node, request: &CallerRequest) -> Duration {
    Duration::from_millis(request.remaining_ms(node.clock))
}
