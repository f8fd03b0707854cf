//! Handling of one request of a caller, from its head to its response.

use base::prelude::*;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use inbound::{Activity, BodyError, BodyLimits, discard};
use role::entry::{EntryEvent, IncomingRequest, RequestedResource};
use schema::settings::Limits;
use serde::Serialize;
use std::collections::BTreeSet;
use std::future::poll_fn;
use std::sync::Arc;

use super::buffered::{buffered_engine_response, service_response};
use super::engine_request::{
    EngineBody, EngineRequest, parse_engine_request, request_hash,
};
use super::error::{
    failure_response, json_response, rejection_response, set_request_id,
};
use super::rejection::Rejection;
use super::request_guard::RequestGuard;
use super::request_head::{
    Endpoint, EngineApi, RequestHead, parse_endpoint, parse_headers,
};
use super::response_body::{ResponseBody, StreamBody};
use super::sse::{CompletionInfo, SseWriter};
use crate::active_requests::ActiveRequest;
use crate::driver::Driver;
use crate::response_queue::{ResponseQueue, Unit};

/// Longest time that a caller may take to send its body, if its deadline is not earlier,
/// and longest time in which no part of it comes. A caller that stops in the middle would
/// otherwise hold the body's memory forever.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Handles one request.
pub(crate) async fn handle(
    driver: Arc<Driver>,
    request: Request<Incoming>,
    activity: &Activity,
) -> Response<ResponseBody> {
    let request_id = driver.role().next_request_id();
    let (parts, body) = request.into_parts();
    match respond(&driver, request_id, parts, body, activity).await {
        Ok(response) => response,
        Err(rejection) => {
            driver.metrics().rejected_requests.inc();
            rejection_response(request_id, rejection)
        }
    }
}

/// Handles one request; errors are requests that this process rejects itself.
async fn respond(
    driver: &Arc<Driver>,
    request_id: RequestId,
    parts: Parts,
    body: Incoming,
    activity: &Activity,
) -> Result<Response<ResponseBody>, Rejection> {
    let limits = driver.limits();
    let (endpoint, head) = match parse_head(driver, &parts, &limits) {
        Ok(parsed) => parsed,
        Err(rejection) => {
            if !discard(body).await {
                activity.leave_body_unread();
            }
            return Err(rejection);
        }
    };
    if endpoint == Endpoint::Models {
        return list_models(driver, request_id, &head);
    }
    let read = read_body(driver, body, head.deadline_ms, activity).await;
    let body = read.inspect_err(|_| activity.leave_body_unread())?;
    driver.metrics().received_bytes.inc_by(body.len() as u64);
    let method = parts.method.as_str();
    let max_parts = limits.answer_window_frames as usize;
    match endpoint {
        Endpoint::Engine(engine) => {
            let hash = request_hash(method, parts.uri.path(), &body);
            let engine_request = parse_engine_request(engine, &body)?;
            let path = parts.uri.path();
            let incoming = incoming_engine_request(
                request_id,
                head,
                &engine_request,
                method,
                path,
                hash,
            );
            let queue = ResponseQueue::new(Unit::Token, max_parts);
            let (engine_body, engine_request) = engine_request.split_body();
            let body = hold(driver, engine_body, body)?;
            let guard = submit(driver, ActiveRequest::new(body, queue), incoming);
            Ok(engine_response(driver, guard, engine, engine_request).await)
        }
        Endpoint::Service { name, path } => {
            let hash = request_hash(method, &path, &body);
            let resource = RequestedResource::Service(ServiceId::new(name));
            let incoming = incoming_service_request(
                request_id, head, resource, method, path, hash,
            );
            let queue = ResponseQueue::new(Unit::Byte, max_parts);
            let guard = submit(driver, ActiveRequest::new(body, queue), incoming);
            Ok(service_response(guard).await)
        }
        Endpoint::Models => Err(Rejection::new(ErrorCode::UnknownPath)),
    }
}

/// Parses the head of a request, and checks what can be known without its body.
fn parse_head<'a>(
    driver: &Driver,
    parts: &'a Parts,
    limits: &Limits,
) -> Result<(Endpoint<'a>, RequestHead), Rejection> {
    let endpoint = parse_endpoint(&parts.method, &parts.uri)?;
    let head = parse_headers(&parts.headers, limits.header_max_bytes as usize)?;
    check_key(driver, &head)?;
    Ok((endpoint, head))
}

/// Refuses a caller whose key the configuration doesn't contain, before its body is read.
fn check_key(driver: &Driver, head: &RequestHead) -> Result<(), Rejection> {
    let Some(config) = driver.role().config() else {
        return Ok(());
    };
    let known = config.caller(&head.credential).map(|_| ());
    known.ok_or(Rejection::new(ErrorCode::UnknownCaller))
}

/// Reads a body within the limits in force and the memory that is left.
async fn read_body(
    driver: &Driver,
    body: Incoming,
    deadline_ms: Option<u64>,
    activity: &Activity,
) -> Result<Bytes, Rejection> {
    let deadline = Duration::from_millis(deadline_ms.unwrap_or(u64::MAX));
    let until = tokio::time::Instant::now() + deadline.min(BODY_TIMEOUT);
    let limits = || BodyLimits {
        max_bytes: driver.limits().body_max_bytes as usize,
        idle: BODY_IDLE_TIMEOUT,
        until,
    };
    let clock = || driver.now();
    let _resting = activity.rest_in_body();
    let read =
        inbound::read_body(body, driver.body_memory(), activity, clock, limits).await;
    log_pressure(driver);
    read.map_err(|error| rejection_of(driver, error))
}

/// Logs when memory for bodies becomes short, and when it no longer is.
fn log_pressure(driver: &Driver) {
    let Some(pressure) = driver.body_memory().pressure_change() else {
        return;
    };
    let state = if pressure.is_short {
        "short"
    } else {
        "regained"
    };
    log::warn!(
        "{}: memory for request bodies is {state}: {} of {} bytes in use, {} bodies \
         refused and {} evicted since the start",
        driver.id(),
        pressure.used_bytes,
        pressure.capacity_bytes,
        pressure.refused,
        pressure.evicted
    );
}

/// Holds the body for the engine, which may have been changed.
fn hold(driver: &Driver, body: EngineBody, whole: Bytes) -> Result<Bytes, Rejection> {
    match body {
        EngineBody::Unchanged => Ok(whole),
        EngineBody::Changed(bytes) => {
            inbound::hold(bytes, driver.body_memory(), driver.now())
                .map_err(|error| rejection_of(driver, error))
        }
    }
}

/// Counts a body that could not be held, and returns the rejection of its request.
fn rejection_of(driver: &Driver, error: BodyError) -> Rejection {
    let ended = &driver.metrics().bodies_ended;
    ended.with_label_values(&[error.as_str()]).inc();
    match error {
        BodyError::TooLarge => Rejection::new(ErrorCode::BodyTooLarge),
        BodyError::NoMemory | BodyError::Evicted => Rejection {
            code: ErrorCode::Overloaded,
            message: Some("there is no memory for the body now"),
        },
        BodyError::Idle | BodyError::Deadline => Rejection::new(ErrorCode::BodyTimeout),
        BodyError::Broken => Rejection::bad_request("the body broke off"),
    }
}

/// Adds the request to the table and passes it to the state machine.
fn submit(
    driver: &Arc<Driver>,
    active: ActiveRequest,
    incoming: IncomingRequest,
) -> RequestGuard {
    let guard = RequestGuard::register(Arc::clone(driver), incoming.request, active);
    driver.handle_event(EntryEvent::RequestReceived(Box::new(incoming)));
    guard
}

fn incoming_engine_request(
    request: RequestId,
    head: RequestHead,
    engine_request: &EngineRequest,
    method: &str,
    path: &str,
    body_hash: u64,
) -> IncomingRequest {
    let model = engine_request.model.as_deref().map(ModelId::new);
    IncomingRequest {
        prefix_hash: engine_request.prefix_hash,
        prompt_tokens: engine_request.prompt_tokens,
        tokens_max: engine_request.tokens_max,
        ..incoming_service_request(
            request,
            head,
            RequestedResource::Model(model),
            method,
            path.to_owned(),
            body_hash,
        )
    }
}

fn incoming_service_request(
    request: RequestId,
    head: RequestHead,
    resource: RequestedResource,
    method: &str,
    path: String,
    body_hash: u64,
) -> IncomingRequest {
    IncomingRequest {
        request,
        credential: head.credential,
        profile: head.profile.as_deref().map(ProfileId::new),
        deadline_ms: head.deadline_ms,
        resource,
        idempotency_key: head.idempotency_key,
        method: method.to_owned(),
        path,
        content_type: head.content_type,
        body_hash,
        prefix_hash: 0,
        prompt_tokens: 0,
        tokens_max: 0,
    }
}

/// Responds with the tokens of an engine, as a stream or in one piece.
async fn engine_response(
    driver: &Driver,
    guard: RequestGuard,
    engine: EngineApi,
    engine_request: EngineRequest,
) -> Response<ResponseBody> {
    let info = CompletionInfo {
        request: guard.request(),
        engine,
        model: engine_request.model.unwrap_or_default(),
        created_s: driver.unix_s(),
        prompt_tokens: engine_request.prompt_tokens,
        tokens_max: engine_request.tokens_max,
    };
    if engine_request.stream {
        streamed_response(guard, info).await
    } else {
        buffered_engine_response(guard, &info).await
    }
}

/// Responds with server-sent events. The head is sent with the first part, so
/// that a refusal before it is still sent with its own status.
async fn streamed_response(
    guard: RequestGuard,
    info: CompletionInfo,
) -> Response<ResponseBody> {
    let request = guard.request();
    poll_fn(|cx| guard.queue().poll_started(cx)).await;
    if let Some(error) = guard.queue().take_early_error() {
        return failure_response(request, &error);
    }
    let body = StreamBody::new(guard, SseWriter::new(info));
    let mut response = Response::new(ResponseBody::Stream(Box::new(body)));
    set_request_id(&mut response, request);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Body of the response to `GET /v1/models`, in the format of the OpenAI API.
#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelItem<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelItem<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Lists the models that the profiles name. Every caller may use every profile.
fn list_models(
    driver: &Driver,
    request: RequestId,
    head: &RequestHead,
) -> Result<Response<ResponseBody>, Rejection> {
    let config = driver
        .role()
        .config()
        .ok_or(Rejection::new(ErrorCode::NotReady))?;
    config
        .caller(&head.credential)
        .ok_or(Rejection::new(ErrorCode::UnknownCaller))?;
    let named = config.profiles().flat_map(|profile| &profile.models);
    let names: BTreeSet<&str> = named.map(ModelId::as_str).collect();
    let list = ModelList {
        object: "list",
        data: names.into_iter().map(ModelItem::new).collect(),
    };
    let body = serde_json::to_vec(&list).expect("strings always serialise");
    Ok(json_response(request, Bytes::from(body)).map(ResponseBody::buffered))
}

impl<'a> ModelItem<'a> {
    const fn new(id: &'a str) -> Self {
        Self {
            id,
            object: "model",
            created: 0,
            owned_by: "",
        }
    }
}
