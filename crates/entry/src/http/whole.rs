//! Answers given in one piece.

use base::RequestError;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::collections::VecDeque;
use std::future::poll_fn;

use super::body::ReplyBody;
use super::error::{json_answer, name_request, refusal_answer};
use super::guard::InProgress;
use super::head::Engine;
use super::sse::{Shape, Usage};
use crate::reply::{Ending, answer_broken};

/// Largest answer that is put together here. A service's answer has to be held
/// until its end, since only then its status is known.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// An answer that was put together.
#[derive(Debug)]
struct Collected {
    bytes: Vec<u8>,
    status: u16,
    content_type: String,
    total_units: u64,
}

/// Waits for the whole answer of an engine and gives it as JSON.
pub(crate) async fn engine_answer(
    call: InProgress,
    shape: &Shape,
) -> Response<ReplyBody> {
    match collect(&call).await {
        Ok(answer) => {
            let json = engine_json(shape, &answer);
            json_answer(call.request(), json).map(ReplyBody::whole)
        }
        Err(refusal) => refusal_answer(call.request(), &refusal),
    }
}

/// Waits for the whole answer of a plain service and gives it as it is.
pub(crate) async fn service_answer(call: InProgress) -> Response<ReplyBody> {
    let answer = match collect(&call).await {
        Ok(answer) => answer,
        Err(refusal) => return refusal_answer(call.request(), &refusal),
    };
    let mut response = Response::new(ReplyBody::whole(Bytes::from(answer.bytes)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(content_type) = HeaderValue::try_from(answer.content_type)
        && !content_type.is_empty()
    {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    name_request(&mut response, call.request());
    response
}

async fn collect(call: &InProgress) -> Result<Collected, RequestError> {
    let mut bytes = Vec::new();
    let mut taken = VecDeque::new();
    loop {
        let ending = poll_fn(|cx| call.reply().poll_take(cx, &mut taken)).await;
        for part in taken.drain(..) {
            bytes.extend_from_slice(part.bytes());
        }
        // Dropping the guard on return gives up what is still being made.
        if bytes.len() > ANSWER_MAX_BYTES {
            return Err(answer_broken());
        }
        match ending {
            None => {}
            Some(Ending::Refused(refusal)) => return Err(refusal),
            Some(Ending::Whole {
                status,
                content_type,
                total_units,
            }) => {
                return Ok(Collected {
                    bytes,
                    status,
                    content_type,
                    total_units,
                });
            }
        }
    }
}

#[derive(Debug, Serialize)]
struct Answer<'a> {
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

fn engine_json(shape: &Shape, answer: &Collected) -> Bytes {
    let text = String::from_utf8_lossy(&answer.bytes);
    let (object, message, text) = match shape.engine {
        Engine::Chat => {
            let message = Message {
                role: "assistant",
                content: &text,
            };
            ("chat.completion", Some(message), None)
        }
        Engine::Completion => ("text_completion", None, Some(&*text)),
    };
    let body = Answer {
        id: shape.id(),
        object,
        created: shape.created_s,
        model: &shape.model,
        choices: [Choice {
            index: 0,
            message,
            text,
            finish_reason: shape.finish_reason(answer.total_units),
        }],
        usage: shape.usage(answer.total_units),
    };
    let json = serde_json::to_vec(&body);
    Bytes::from(json.expect("strings and numbers always serialise"))
}
