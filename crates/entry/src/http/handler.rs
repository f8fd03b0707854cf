//! Handling of one request of a caller, from its head to its response.

use base::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use role::entry::{EntryEvent, IncomingRequest, RequestedResource};
use serde::Serialize;
use std::collections::BTreeSet;
use std::future::poll_fn;
use std::sync::Arc;

use super::buffered::{buffered_engine_response, service_response};
use super::engine_request::{EngineRequest, parse_engine_request, request_hash};
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
use crate::active_requests::{ActiveRequest, BodyMemory};
use crate::driver::Driver;
use crate::response_queue::{ResponseQueue, Unit};

/// Longest time that a caller may take to send its body. A caller that stops in
/// the middle would otherwise hold the body's memory forever.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles one request.
pub(crate) async fn handle(
    driver: Arc<Driver>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let request_id = driver.role().next_request_id();
    match respond(&driver, request_id, request).await {
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
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Rejection> {
    let limits = driver.limits();
    let (parts, body) = request.into_parts();
    let endpoint = parse_endpoint(&parts.method, &parts.uri)?;
    let head = parse_headers(&parts.headers, limits.header_max_bytes as usize)?;
    if endpoint == Endpoint::Models {
        return list_models(driver, request_id, &head);
    }
    let max_bytes = limits.body_max_bytes as usize;
    let (body, memory) = read_body(driver, body, max_bytes).await?;
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
            let active = ActiveRequest::new(engine_request.body.clone(), memory, queue);
            let guard = submit(driver, active, incoming);
            Ok(engine_response(driver, guard, engine, engine_request).await)
        }
        Endpoint::Service { name, path } => {
            let hash = request_hash(method, &path, &body);
            let resource = RequestedResource::Service(ServiceId::new(name));
            let incoming = incoming_service_request(
                request_id, head, resource, method, path, hash,
            );
            let queue = ResponseQueue::new(Unit::Byte, max_parts);
            let guard =
                submit(driver, ActiveRequest::new(body, memory, queue), incoming);
            Ok(service_response(guard).await)
        }
        Endpoint::Models => Err(Rejection::new(ErrorCode::UnknownPath)),
    }
}

/// Reads a body of at most `max_bytes`, and reserves memory for it.
async fn read_body(
    driver: &Driver,
    body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, BodyMemory), Rejection> {
    let too_large = Rejection::new(ErrorCode::BodyTooLarge);
    let announced = body.size_hint();
    // A body whose announced length exceeds the limit is rejected unread.
    if announced.lower() > max_bytes as u64 {
        return Err(too_large);
    }
    let memory_bytes = announced
        .upper()
        .map_or(max_bytes, |upper| upper.min(max_bytes as u64) as usize);
    let mut memory = driver
        .active_requests()
        .reserve_body_memory(memory_bytes)
        .ok_or(Rejection::new(ErrorCode::Overloaded))?;
    let read = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(collected)) => {
            let body = collected.to_bytes();
            memory.shrink_to(body.len());
            Ok((body, memory))
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large),
        Ok(Err(_)) => Err(Rejection::bad_request("the body broke off")),
        Err(_) => Err(Rejection::bad_request("the body did not come in time")),
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
