//! Responses that are sent in one piece, once the answer is complete.

use base::RequestError;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::collections::VecDeque;
use std::future::poll_fn;

use super::error::{failure_response, json_response, set_request_id};
use super::request_guard::RequestGuard;
use super::request_head::EngineApi;
use super::response_body::ResponseBody;
use super::sse::{CompletionInfo, Usage};
use crate::response_queue::{ResponseEnd, response_aborted};

/// Largest answer that is buffered. The answer of a plain service has to be
/// buffered until its end, as its status is only known then.
const BUFFERED_MAX_BYTES: usize = 8 << 20;

/// A complete, buffered answer.
#[derive(Debug)]
struct CompleteAnswer {
    bytes: Vec<u8>,
    status: u16,
    content_type: String,
    total_units: u64,
}

/// Waits for the complete answer of an engine and responds with it as JSON.
pub(crate) async fn buffered_engine_response(
    guard: RequestGuard,
    info: &CompletionInfo,
) -> Response<ResponseBody> {
    match collect_parts(&guard).await {
        Ok(answer) => {
            let json = completion_json(info, &answer);
            json_response(guard.request(), json).map(ResponseBody::buffered)
        }
        Err(error) => failure_response(guard.request(), &error),
    }
}

/// Waits for the complete answer of a plain service and responds with it unchanged.
pub(crate) async fn service_response(guard: RequestGuard) -> Response<ResponseBody> {
    let answer = match collect_parts(&guard).await {
        Ok(answer) => answer,
        Err(error) => return failure_response(guard.request(), &error),
    };
    let mut response = Response::new(ResponseBody::buffered(Bytes::from(answer.bytes)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(content_type) = HeaderValue::try_from(answer.content_type)
        && !content_type.is_empty()
    {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    set_request_id(&mut response, guard.request());
    response
}

/// Collects the parts of an answer until it is complete or has failed.
async fn collect_parts(guard: &RequestGuard) -> Result<CompleteAnswer, RequestError> {
    let mut bytes = Vec::new();
    let mut parts = VecDeque::new();
    loop {
        let end = poll_fn(|cx| guard.queue().poll_drain(cx, &mut parts)).await;
        for part in parts.drain(..) {
            bytes.extend_from_slice(part.bytes());
        }
        // The guard is dropped after the error, which cancels the rest of the answer.
        if bytes.len() > BUFFERED_MAX_BYTES {
            return Err(response_aborted());
        }
        match end {
            None => {}
            Some(ResponseEnd::Failed(error)) => return Err(error),
            Some(ResponseEnd::Complete {
                status,
                content_type,
                total_units,
            }) => {
                return Ok(CompleteAnswer {
                    bytes,
                    status,
                    content_type,
                    total_units,
                });
            }
        }
    }
}

/// Body of an engine's response in one piece, in the format of the OpenAI API.
#[derive(Debug, Serialize)]
struct CompletionBody<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

fn completion_json(info: &CompletionInfo, answer: &CompleteAnswer) -> Bytes {
    let text = String::from_utf8_lossy(&answer.bytes);
    let (object, message, text) = match info.engine {
        EngineApi::Chat => {
            let message = Message {
                role: "assistant",
                content: &text,
            };
            ("chat.completion", Some(message), None)
        }
        EngineApi::Completion => ("text_completion", None, Some(&*text)),
    };
    let body = CompletionBody {
        id: info.id(),
        object,
        created: info.created_s,
        model: &info.model,
        choices: [Choice {
            index: 0,
            message,
            text,
            finish_reason: info.finish_reason(answer.total_units),
        }],
        usage: info.usage(answer.total_units),
    };
    let json = serde_json::to_vec(&body);
    Bytes::from(json.expect("strings and numbers always serialise"))
}
