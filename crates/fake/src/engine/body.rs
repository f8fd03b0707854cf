//! Response bodies in the format of the OpenAI API.

use bytes::Bytes;
use hyper::body::{Body, Frame};
use serde_json::{Value, json};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;

use super::run::Event;
use crate::text::ResponseText;

/// API endpoint that a response belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Api {
    Chat,
    Completions,
}

/// Fields that all parts of one response share.
#[derive(Debug, Clone)]
pub(super) struct Shape {
    pub(super) api: Api,
    pub(super) id: String,
    pub(super) model: String,
    pub(super) version: u32,
    pub(super) answer: ResponseText,
    pub(super) prompt_tokens: u32,
    /// Tokens of the complete response, including those before a resume offset.
    pub(super) total: u64,
}

impl Shape {
    fn part(&self, kind: &str, choice: &Value) -> Value {
        json!({
            "id": self.id,
            "object": kind,
            "model": self.model,
            "system_fingerprint": format!("v{}", self.version),
            "choices": [choice],
        })
    }

    fn chunk(&self, text: Option<&str>) -> Value {
        let finish = text.is_none().then_some("length");
        match self.api {
            Api::Chat => {
                let delta = text.map_or(json!({}), |text| json!({"content": text}));
                let choice =
                    json!({"index": 0, "delta": delta, "finish_reason": finish});
                self.part("chat.completion.chunk", &choice)
            }
            Api::Completions => {
                let text = text.unwrap_or("");
                let choice = json!({"index": 0, "text": text, "finish_reason": finish});
                self.part("text_completion", &choice)
            }
        }
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total,
            "total_tokens": u64::from(self.prompt_tokens) + self.total,
        })
    }

    /// Returns the server-sent event of one token.
    fn token(&self, index: u64) -> Bytes {
        let chunk = self.chunk(Some(&self.answer.token(index)));
        Bytes::from(format!("data: {chunk}\n\n"))
    }

    /// Returns the last chunk, which carries the token counts, and the `[DONE]` event.
    fn end(&self) -> Bytes {
        let mut chunk = self.chunk(None);
        chunk["usage"] = self.usage();
        Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
    }

    /// Returns the response as a single document, with the text from token `from` on.
    pub(super) fn whole(&self, from: u64) -> Value {
        let text = self.answer.token_range(from, self.total);
        let (kind, choice) = match self.api {
            Api::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "length",
                }),
            ),
            Api::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "length"}),
            ),
        };
        let mut whole = self.part(kind, &choice);
        whole["usage"] = self.usage();
        whole
    }
}

/// Body of a streamed response.
#[derive(Debug)]
pub(super) struct StreamBody {
    pub(super) shape: Shape,
    pub(super) events: UnboundedReceiver<Event>,
    pub(super) ended: bool,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let event = std::task::ready!(self.events.poll_recv(context));
        let frame = match event {
            Some(Event::Token(index)) => Ok(Frame::data(self.shape.token(index))),
            Some(Event::Done) => {
                self.ended = true;
                Ok(Frame::data(self.shape.end()))
            }
            // Without the error, the body would end cleanly, and the client could
            // take an aborted response for a complete one.
            None => {
                self.ended = true;
                Err(io::Error::other("the run was aborted"))
            }
        };
        Poll::Ready(Some(frame))
    }
}
