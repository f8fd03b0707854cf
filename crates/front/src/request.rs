//! Handles a caller's request, from its bytes to the dispatch.

use access::{Credential, Workspace};
use base::prelude::*;
use bytes::Bytes;
use direct::{Config, Route};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode, Uri};
use inbound::{BodyError, BodyLimits, discard};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

use crate::RequestHead;
use crate::caller_timeouts::body_idle_timeout;
use crate::dispatch::{Dispatch, DispatchResult};
use crate::framing::RequestFraming;
use crate::headers::{has_ambiguous_framing, set_connection_close, strip_hop_by_hop};
use crate::quota::charge;
use crate::response::{ResponseBody, error_response};
use crate::state::Node;
use crate::state::caller_request::CallerRequest;
use crate::state::shutdown::ShutdownPhase;
use crate::stream::{forward, start_stream};
use crate::stream_origins;
use crate::stream_shutdown::may_begin_stream;
use crate::suspect_parts::shared_parts;
use crate::taken_request::TakenRequest;

/// When a caller should come back to an entry that has no configuration yet.
const NOT_READY_RETRY_MS: u64 = 300;

/// Longest time for which a request waits for the first configuration of an
/// entry that has just started. It waits for a quarter of its deadline at most.
const CONFIG_WAIT_MAX_MS: u64 = 1_000;

/// Minimum time to wait for the first event of a stream. It is longer if four
/// times the target latency or eight times the longest pause between events is
/// more.
const MIN_FIRST_EVENT_WAIT_MS: u64 = 2_000;

/// Deadline of requests that state none; the route's timeout may be shorter.
pub(crate) const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Time after the deadline of a request for which its body is still read. A request that
/// is late by less is refused like one that was whole before.
const LATE_BODY_MS: u64 = 500;

/// When a caller should come back whose body got no memory, or came too slowly: by then
/// bodies that rest have given way.
const BODY_RETRY_MS: u64 = 1_000;

/// The process exits before it could run the request; another entry can take it
/// at once.
const SHUTTING_DOWN: RequestError =
    RequestError::not_run(ErrorCode::Leaving).retry_after_ms(0);

/// Why a request is refused before its dispatch.
#[derive(Debug)]
struct Refusal {
    error: RequestError,
    /// Why its body was not read to its end, if that is the reason.
    body: Option<BodyError>,
}

impl From<RequestError> for Refusal {
    fn from(error: RequestError) -> Self {
        Self { error, body: None }
    }
}

/// Handles one request. A request with ambiguous framing is refused, and the
/// bytes that follow it on its connection are not read.
pub(crate) async fn serve(
    node: Arc<Node>,
    request: Request<Incoming>,
    framing: &RequestFraming,
) -> Response<ResponseBody> {
    let arrived_at = node.now();
    let phase = node.shutdown.phase();
    let (parts, body) = request.into_parts();
    let head = node.protocol.parse_request_head(&parts.headers);
    let id = head.id.clone();
    let taken = TakenRequest::new(&node, &id);
    if phase == ShutdownPhase::Ended {
        node.log
            .line("taken_after_end", json!({ "id": id.clone() }));
    }
    let is_ambiguous =
        framing.has_ambiguous_length() || has_ambiguous_framing(&parts.headers);
    let built = if is_ambiguous {
        framing.activity().leave_body_unread();
        Err(Refusal::from(RequestError::not_run(ErrorCode::BadRequest)))
    } else {
        let respond_now = node.shutdown.respond_now.clone();
        tokio::select! {
            biased;
            built = build_request(&node, arrived_at, parts, body, head, framing) => built,
            () = respond_now.cancelled() => Err(SHUTTING_DOWN.into()),
        }
    };
    taken.logged_elsewhere();
    let mut response = match built {
        Ok(request) => dispatch_request(Arc::clone(&node), request).await,
        Err(Refusal { error, body }) => {
            node.log.caller_line(
                "refused",
                json!({ "id": id, "code": error.code.number(), "why": error.code.name(),
                    "body": body.map(BodyError::as_str),
                    "setup": node.config().map(|config| config.version) }),
            );
            let route = ["", error.code.name()];
            node.metrics.requests_ended.with_label_values(&route).inc();
            error_response(&*node.protocol, &id, &error)
        }
    };
    if phase > ShutdownPhase::Serving {
        let status = response.status();
        let labels = [phase.as_str(), status.as_str()];
        node.metrics
            .shutdown_responses
            .with_label_values(&labels)
            .inc();
    }
    if node.shutdown.is_stopping() || response.status() == StatusCode::BAD_REQUEST {
        set_connection_close(response.headers_mut());
    }
    response
}

/// Responds to a request by dispatching it to upstreams.
async fn dispatch_request(
    node: Arc<Node>,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let mut dispatch = Dispatch::start(node, request);
    match dispatch.run_until_response().await {
        DispatchResult::Stream(stream) => match start_stream(dispatch, *stream).await {
            Ok((first, forwarder)) => forward(first, forwarder),
            Err((mut dispatch, end)) => dispatch.finish(end),
        },
        end => dispatch.finish(end),
    }
}

/// Reads the body, then finds the route, workspace and service of a request and
/// charges the workspace's quota.
async fn build_request(
    node: &Arc<Node>,
    arrived_at: Instant,
    parts: hyper::http::request::Parts,
    body: Incoming,
    head: RequestHead,
    framing: &RequestFraming,
) -> Result<CallerRequest, Refusal> {
    let deadline_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let body_timeout_ms = match check_head(node, &parts, &head) {
        Ok(route_timeout_ms) => deadline_ms.min(route_timeout_ms),
        Err(refusal) => {
            if !discard(body).await {
                framing.activity().leave_body_unread();
            }
            return Err(refusal.into());
        }
    };
    // What the head shows may change while the body comes, and is checked again.
    let body = read_body(node, body, body_timeout_ms, framing).await?;
    let not_ready =
        RequestError::not_run(ErrorCode::NotReady).retry_after_ms(NOT_READY_RETRY_MS);
    let config_wait_ms = (deadline_ms / 4).min(CONFIG_WAIT_MAX_MS);
    let config = node
        .first_config(Duration::from_millis(config_wait_ms))
        .await
        .ok_or(not_ready)?;
    let route = config.route(host_of(&parts), parts.uri.path()).cloned();
    let Some(route) = route else {
        // A route that a possibly outdated configuration doesn't contain may
        // exist by now.
        let is_current = node.config_is_fresh();
        let refusal = if is_current {
            RequestError::not_run(ErrorCode::UnknownPath)
        } else {
            not_ready
        };
        return Err(refusal.into());
    };
    let is_refused_stream =
        route.kind.is_stream() && !may_begin_stream(node, &route, &head, deadline_ms);
    if is_refused_stream || node.shutdown.is_too_late(node.now()) {
        return Err(SHUTTING_DOWN.into());
    }
    let workspace = authenticate(&config, &route, &head).map_err(|refusal| {
        let is_current = node.config_is_fresh();
        if is_current { refusal } else { not_ready }
    })?;
    let origin_wait = Duration::from_millis(deadline_ms / 4);
    let origin = stream_origins::of_request(
        node,
        &route,
        &head,
        workspace.as_deref(),
        origin_wait,
    )
    .await?;
    let service = origin.as_ref().map(|origin| &origin.service);
    let service = service.or_else(|| route.service(&head.id));
    let service = service.cloned().ok_or(not_ready)?;
    let charge = match &workspace {
        Some(workspace) => charge(node, &head.id, workspace, head.tokens).await?,
        None => None,
    };
    let service_spec = config.services.get(&service).cloned().unwrap_or_default();
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    if config.directory.is_some() {
        node.protocol.strip_credentials(&mut headers);
    }
    let deadline = arrived_at.plus_ms(deadline_ms.min(route.timeout_ms));
    Ok(CallerRequest {
        arrived_at,
        deadline,
        first_response_by: deadline
            .min(arrived_at.plus_ms(first_event_timeout_ms(&route))),
        fingerprint: fingerprint(&parts.uri, &body),
        shared_parts: shared_parts(&head, &service),
        prompt_parts: prefix_hashes(&head),
        head,
        urgent_target_ms: config.urgent_target_ms(&service),
        service,
        origin,
        service_spec,
        config_version: config.version,
        workspace,
        charge,
        route,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    })
}

/// Returns the caller's workspace, or `None` where callers need no key.
///
/// The key is checked once, when the request is accepted. A key that is removed
/// later doesn't end a running request, its further attempts or the resumption
/// of its stream: that would discard work that was owed when it started.
///
/// # Errors
///
/// The request has no key that the configuration contains.
fn authenticate(
    config: &Config,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Workspace>>, RequestError> {
    let Some(directory) = &config.directory else {
        return Ok(None);
    };
    let workspace = match &head.credential {
        Credential::Key(key) => directory.by_key(key).cloned(),
        Credential::Absent | Credential::Malformed => None,
    };
    if workspace.is_none() && !route.is_public {
        return Err(RequestError::not_run(ErrorCode::UnknownCaller));
    }
    Ok(workspace)
}

/// Returns how long a caller waits for the first event of a stream. For other
/// requests it is the route's timeout.
fn first_event_timeout_ms(route: &Route) -> u64 {
    if !route.kind.is_stream() {
        return route.timeout_ms;
    }
    let scaled_ms = (4 * route.latency_target_ms).max(8 * route.pause_max_ms);
    scaled_ms.max(MIN_FIRST_EVENT_WAIT_MS)
}

/// Checks what can be known without the body. Returns the route's timeout.
///
/// # Errors
///
/// The request is refused whatever its body.
fn check_head(
    node: &Node,
    parts: &hyper::http::request::Parts,
    head: &RequestHead,
) -> Result<u64, RequestError> {
    let Some(config) = node.config().filter(|_| node.config_is_fresh()) else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    let Some(route) = config.route(host_of(parts), parts.uri.path()) else {
        return Err(RequestError::not_run(ErrorCode::UnknownPath));
    };
    authenticate(&config, route, head)?;
    Ok(route.timeout_ms)
}

fn host_of(parts: &hyper::http::request::Parts) -> &str {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| parts.uri.host()).unwrap_or_default()
}

/// Reads a request's body within the limits in force and the memory that is left.
async fn read_body(
    node: &Node,
    body: Incoming,
    timeout_ms: u64,
    framing: &RequestFraming,
) -> Result<Bytes, Refusal> {
    let until = tokio::time::Instant::now()
        + Duration::from_millis(timeout_ms.saturating_add(LATE_BODY_MS));
    let limits = || BodyLimits {
        max_bytes: node.limits().body_max_bytes,
        idle: body_idle_timeout(node),
        until,
    };
    let resting = framing.activity().rest_in_body();
    let read = inbound::read_body(
        body,
        &node.body_memory,
        framing.activity(),
        || node.now(),
        limits,
    );
    let result = read.await;
    drop(resting);
    result.map_err(|error| {
        framing.activity().leave_body_unread();
        let reason = error.as_str();
        node.metrics.bodies_ended.with_label_values(&[reason]).inc();
        Refusal {
            error: refusal_of(error),
            body: Some(error),
        }
    })
}

/// Returns the refusal of a request whose body was not read to its end.
const fn refusal_of(error: BodyError) -> RequestError {
    match error {
        BodyError::TooLarge => RequestError::not_run(ErrorCode::BodyTooLarge),
        BodyError::NoMemory | BodyError::Evicted => {
            RequestError::not_run(ErrorCode::Overloaded).retry_after_ms(BODY_RETRY_MS)
        }
        BodyError::Idle | BodyError::Deadline => {
            RequestError::not_run(ErrorCode::BodyTimeout).retry_after_ms(BODY_RETRY_MS)
        }
        BodyError::Broken => RequestError::not_run(ErrorCode::BadRequest),
    }
}

/// Returns a hash of the path and the body.
fn fingerprint(uri: &Uri, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(uri.path().as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest()
}

/// Returns for each prompt part a hash of all parts up to and including it, for
/// the model and adapter. An upstream can reuse a cached part only after the
/// parts before it.
fn prefix_hashes(head: &RequestHead) -> Vec<(u64, u64)> {
    let mut hash = Xxh3::new();
    if let Some((model, adapter)) = &head.model {
        hash.update(model.as_bytes());
        hash.update(&[0]);
        hash.update(adapter.as_deref().unwrap_or_default().as_bytes());
    }
    let parts = head.prompt_parts.iter().map(|(part_hash, tokens)| {
        hash.update(&part_hash.to_le_bytes());
        (hash.digest(), *tokens)
    });
    parts.collect()
}
