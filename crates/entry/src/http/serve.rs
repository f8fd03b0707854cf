//! One request of a caller, from its head to its answer.

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

use super::ask::{Ask, ask, body_hash};
use super::body::{ReplyBody, StreamBody};
use super::error::{fault_answer, json_answer, name_request, refusal_answer};
use super::fault::Fault;
use super::guard::InProgress;
use super::head::{Engine, Head, Target, head, target};
use super::sse::{Shape, SseWriter};
use super::whole::{engine_answer, service_answer};
use crate::calls::{BodyRoom, Call};
use crate::node::Node;
use crate::reply::{Reply, Unit};

/// Longest time a caller may take to send its body. A caller that stops in the
/// middle would otherwise hold its memory for ever.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers one request.
pub(crate) async fn serve(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let id = node.role().next_request_id();
    match answer(&node, id, request).await {
        Ok(response) => response,
        Err(fault) => {
            node.meters().faults.inc();
            fault_answer(id, fault)
        }
    }
}

async fn answer(
    node: &Arc<Node>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Fault> {
    let limits = node.limits();
    let (parts, body) = request.into_parts();
    let target = target(&parts.method, &parts.uri)?;
    let head = head(&parts.headers, limits.header_max_bytes as usize)?;
    if target == Target::Models {
        return models(node, id, &head);
    }
    let max_bytes = limits.body_max_bytes as usize;
    let (body, room) = read_body(node, body, max_bytes).await?;
    node.meters().received_bytes.inc_by(body.len() as u64);
    let method = parts.method.as_str();
    let window = limits.answer_window_frames as usize;
    match target {
        Target::Engine(engine) => {
            let hash = body_hash(method, parts.uri.path(), &body);
            let ask = ask(engine, &body)?;
            let path = parts.uri.path();
            let arrival = engine_arrival(id, head, &ask, method, path, hash);
            let reply = Reply::new(Unit::Token, window);
            let call = Call::new(ask.body.clone(), room, reply);
            let call = begin(node, call, arrival);
            Ok(give_tokens(node, call, engine, ask).await)
        }
        Target::Service { name, path } => {
            let hash = body_hash(method, &path, &body);
            let resource = RequestedResource::Service(ServiceId::new(name));
            let arrival = service_arrival(id, head, resource, method, path, hash);
            let reply = Reply::new(Unit::Byte, window);
            let call = begin(node, Call::new(body, room, reply), arrival);
            Ok(service_answer(call).await)
        }
        Target::Models => Err(Fault::new(ErrorCode::UnknownPath)),
    }
}

async fn read_body(
    node: &Node,
    body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, BodyRoom), Fault> {
    let too_large = Fault::new(ErrorCode::BodyTooLarge);
    let announced = body.size_hint();
    // What the caller announces is refused without reading it.
    if announced.lower() > max_bytes as u64 {
        return Err(too_large);
    }
    let most = announced
        .upper()
        .map_or(max_bytes, |upper| upper.min(max_bytes as u64) as usize);
    let mut room = node
        .calls()
        .room(most)
        .ok_or(Fault::new(ErrorCode::Overloaded))?;
    let read = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(collected)) => {
            let body = collected.to_bytes();
            room.shrink_to(body.len());
            Ok((body, room))
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large),
        Ok(Err(_)) => Err(Fault::bad_request("the body broke off")),
        Err(_) => Err(Fault::bad_request("the body did not come in time")),
    }
}

/// Takes the request into the table and tells the machine of it.
fn begin(node: &Arc<Node>, call: Call, arrival: IncomingRequest) -> InProgress {
    let call = InProgress::begin(Arc::clone(node), arrival.request, call);
    node.tell(EntryEvent::RequestReceived(Box::new(arrival)));
    call
}

fn engine_arrival(
    request: RequestId,
    head: Head,
    ask: &Ask,
    method: &str,
    path: &str,
    body_hash: u64,
) -> IncomingRequest {
    let model = ask.model.as_deref().map(ModelId::new);
    IncomingRequest {
        prefix_hash: ask.prefix_hash,
        prompt_tokens: ask.prompt_tokens,
        tokens_max: ask.tokens_max,
        ..service_arrival(
            request,
            head,
            RequestedResource::Model(model),
            method,
            path.to_owned(),
            body_hash,
        )
    }
}

fn service_arrival(
    request: RequestId,
    head: Head,
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

async fn give_tokens(
    node: &Node,
    call: InProgress,
    engine: Engine,
    ask: Ask,
) -> Response<ReplyBody> {
    let shape = Shape {
        request: call.request(),
        engine,
        model: ask.model.unwrap_or_default(),
        created_s: node.unix_s(),
        prompt_tokens: ask.prompt_tokens,
        tokens_max: ask.tokens_max,
    };
    if ask.stream {
        stream_answer(call, shape).await
    } else {
        engine_answer(call, &shape).await
    }
}

/// Sends the head with the first part, so that a refusal before it still has
/// its status.
async fn stream_answer(call: InProgress, shape: Shape) -> Response<ReplyBody> {
    let request = call.request();
    poll_fn(|cx| call.reply().poll_begun(cx)).await;
    if let Some(refusal) = call.reply().take_early_refusal() {
        return refusal_answer(request, &refusal);
    }
    let body = StreamBody::new(call, SseWriter::new(shape));
    let mut response = Response::new(ReplyBody::Stream(Box::new(body)));
    name_request(&mut response, request);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelLine<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelLine<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Lists what the profiles name. A caller may use every profile.
fn models(
    node: &Node,
    request: RequestId,
    head: &Head,
) -> Result<Response<ReplyBody>, Fault> {
    let config = node
        .role()
        .config()
        .ok_or(Fault::new(ErrorCode::NotReady))?;
    config
        .caller(&head.credential)
        .ok_or(Fault::new(ErrorCode::UnknownCaller))?;
    let named = config.profiles().flat_map(|profile| &profile.models);
    let names: BTreeSet<&str> = named.map(ModelId::as_str).collect();
    let list = ModelList {
        object: "list",
        data: names.into_iter().map(ModelLine::new).collect(),
    };
    let body = serde_json::to_vec(&list).expect("strings always serialise");
    Ok(json_answer(request, Bytes::from(body)).map(ReplyBody::whole))
}

impl<'a> ModelLine<'a> {
    const fn new(id: &'a str) -> Self {
        Self {
            id,
            object: "model",
            created: 0,
            owned_by: "",
        }
    }
}
