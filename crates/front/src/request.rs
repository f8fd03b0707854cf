//! A caller's request, from its bytes to its call.

use access::{Credential, Workspace};
use base::prelude::*;
use bytes::Bytes;
use direct::{Config, Route};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode, Uri};
use serde_json::json;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

use crate::RequestHead;
use crate::answer::{AnswerBody, refusal};
use crate::headers::{ask_close, is_ambiguous, strip_connection};
use crate::quota::charge;
use crate::run::{End, Run};
use crate::state::Node;
use crate::state::call::Call;
use crate::state::stop::Phase;
use crate::stream::{begin, pass_on};

/// Time after which a caller is told to come back to an entry that does not
/// know its configuration yet.
const NOT_READY_RETRY_MS: u64 = 300;

/// Least time that callers wait for the first event of a stream; they wait
/// longer where four times the aim or eight times the longest pause is longer.
const STREAM_PATIENCE_MS: u64 = 2_000;

/// Time that a caller without a deadline is given at most.
const DEADLINE_DEFAULT_MS: u64 = 60_000;

/// The process ends before the request could run; another entry may take it at once.
const LEAVING: Refusal = Refusal::not_run(Code::Leaving).retry_after_ms(0);

/// Answers one request; one with two framings is refused, and what follows it on
/// its connection is not read.
pub(crate) async fn serve(
    node: Arc<Node>,
    request: Request<Incoming>,
    double_framing: bool,
) -> Response<AnswerBody> {
    let arrived = node.now();
    let phase = node.stop.phase();
    let (parts, body) = request.into_parts();
    let ask = node.dialect.parse_request_head(&parts.headers);
    let id = ask.id.clone();
    if phase == Phase::Ended {
        node.log
            .line("taken_after_end", json!({ "id": id.clone() }));
    }
    let called = if double_framing || is_ambiguous(&parts.headers) {
        Err(Refusal::not_run(Code::BadRequest))
    } else {
        let answer_now = node.stop.answer_now.clone();
        tokio::select! {
            biased;
            called = call(&node, arrived, parts, body, ask) => called,
            () = answer_now.cancelled() => Err(LEAVING),
        }
    };
    let mut response = match called {
        Ok(call) => run(Arc::clone(&node), call).await,
        Err(why) => {
            node.log.line(
                "refused",
                json!({ "id": id, "code": why.code.number(), "why": why.code.name(),
                    "setup": node.setup().map(|setup| setup.version) }),
            );
            let route = ["", why.code.name()];
            node.meters.ended.with_label_values(&route).inc();
            refusal(&*node.dialect, &id, &why)
        }
    };
    if phase > Phase::Serving {
        let status = response.status();
        let labels = [phase.as_str(), status.as_str()];
        node.meters.stop_answers.with_label_values(&labels).inc();
    }
    if node.stop.is_stopping() || response.status() == StatusCode::BAD_REQUEST {
        ask_close(response.headers_mut());
    }
    response
}

/// Answers a call by sending it to upstreams.
async fn run(node: Arc<Node>, call: Call) -> Response<AnswerBody> {
    let mut run = Run::begin(node, call);
    match run.until_answer().await {
        End::Live(live) => match begin(run, *live).await {
            Ok((first, pump)) => pass_on(first, pump),
            Err((mut run, end)) => run.finish(end),
        },
        end => run.finish(end),
    }
}

async fn call(
    node: &Arc<Node>,
    arrived: Instant,
    parts: hyper::http::request::Parts,
    body: Incoming,
    ask: RequestHead,
) -> Result<Call, Refusal> {
    // A refusal that leaves a part of the body unread resets the connection under its
    // caller, who may then never read why. So the body comes first, and what depends
    // on the time is asked when it is there.
    let body_max_bytes = node.setup().unwrap_or_default().limits.body_max_bytes;
    let body = read_body(body, body_max_bytes).await?;
    let not_ready = Refusal::not_run(Code::NotReady).retry_after_ms(NOT_READY_RETRY_MS);
    let setup = node.setup().ok_or(not_ready)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = setup.route(host, parts.uri.path()).cloned();
    let Some(route) = route else {
        // What a configuration that may be old does not name may be there.
        let known = node.setup_is_fresh();
        return Err(if known {
            Refusal::not_run(Code::UnknownPath)
        } else {
            not_ready
        });
    };
    if node.stop.is_too_late(node.now(), route.kind.is_stream()) {
        return Err(LEAVING);
    }
    let workspace = workspace(&setup, &route, &ask).map_err(|unknown| {
        let known = node.setup_is_fresh();
        if known { unknown } else { not_ready }
    })?;
    let service = route.service(&ask.id).cloned().ok_or(not_ready)?;
    let charge = match &workspace {
        Some(workspace) => charge(node, &ask.id, workspace, ask.tokens).await?,
        None => None,
    };
    let spec = setup.services.get(&service).cloned().unwrap_or_default();
    let mut headers = parts.headers;
    strip_connection(&mut headers);
    if setup.directory.is_some() {
        node.dialect.strip_credentials(&mut headers);
    }
    let deadline_ms = ask.deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS);
    let give_up_at = arrived.plus_ms(deadline_ms.min(route.timeout_ms));
    Ok(Call {
        arrived,
        give_up_at,
        first_by: give_up_at.min(arrived.plus_ms(first_within_ms(&route))),
        fingerprint: fingerprint(&parts.uri, &body),
        parts: chain(&ask),
        ask,
        service,
        spec,
        setup_version: setup.version,
        workspace,
        charge,
        route,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    })
}

/// The workspace of a caller; none where callers need no key.
///
/// Whose key it is is judged once, when the request is taken: one that is taken away
/// later does not end what runs, its further tries or the continuing of its stream,
/// which would lose work that was owed when it was begun.
///
/// # Errors
///
/// The request has no key that the configuration knows.
fn workspace(
    setup: &Config,
    route: &Route,
    ask: &RequestHead,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    let Some(directory) = &setup.directory else {
        return Ok(None);
    };
    let known = match &ask.credential {
        Credential::Key(key) => directory.workspace(key).cloned(),
        Credential::Absent | Credential::Malformed => None,
    };
    if known.is_none() && !route.is_public {
        return Err(Refusal::not_run(Code::UnknownCaller));
    }
    Ok(known)
}

/// Time after which a caller leaves a stream that has not begun, or a plain
/// request's whole time.
fn first_within_ms(route: &Route) -> u64 {
    if !route.kind.is_stream() {
        return route.timeout_ms;
    }
    let aims = (4 * route.latency_target_ms).max(8 * route.pause_max_ms);
    aims.max(STREAM_PATIENCE_MS)
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    let too_large = Refusal::not_run(Code::BodyTooLarge);
    // What the caller announces is refused without reading it.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(fault) if fault.is::<LengthLimitError>() => Err(too_large),
        Err(_) => Err(Refusal::not_run(Code::BadRequest)),
    }
}

fn fingerprint(uri: &Uri, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(uri.path().as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest()
}

/// Names each prompt part by all parts up to it, for the model and adapter: a
/// part is kept only behind the parts before it.
fn chain(ask: &RequestHead) -> Vec<(u64, u64)> {
    let mut hash = Xxh3::new();
    if let Some((model, adapter)) = &ask.model {
        hash.update(model.as_bytes());
        hash.update(&[0]);
        hash.update(adapter.as_deref().unwrap_or_default().as_bytes());
    }
    let parts = ask.prompt_parts.iter().map(|(name, tokens)| {
        hash.update(&name.to_le_bytes());
        (hash.digest(), *tokens)
    });
    parts.collect()
}
