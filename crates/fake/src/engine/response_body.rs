//! Response bodies in the format of the OpenAI API.

use bytes::Bytes;
use hyper::body::{Body, Frame};
use serde_json::{Value, json};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;

use super::run::RunEvent;
use crate::text::ResponseText;

/// API endpoint that a response belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Api {
    Chat,
    Completions,
}

/// Fields that all parts of one response share.
#[derive(Debug, Clone)]
pub(super) struct ResponseTemplate {
    pub(super) api: Api,
    pub(super) id: String,
    pub(super) model: String,
    pub(super) version: u32,
    pub(super) text: ResponseText,
    pub(super) prompt_tokens: u32,
    /// Tokens of the complete response, including those before a resume offset.
    pub(super) total_tokens: u64,
}

impl ResponseTemplate {
    fn envelope(&self, object_type: &str, choice: &Value) -> Value {
        json!({
            "id": self.id,
            "object": object_type,
            "model": self.model,
            "system_fingerprint": format!("v{}", self.version),
            "choices": [choice],
        })
    }

    fn chunk(&self, text: Option<&str>) -> Value {
        let finish_reason = text.is_none().then_some("length");
        match self.api {
            Api::Chat => {
                let delta = text.map_or(json!({}), |text| json!({"content": text}));
                let choice =
                    json!({"index": 0, "delta": delta, "finish_reason": finish_reason});
                self.envelope("chat.completion.chunk", &choice)
            }
            Api::Completions => {
                let text = text.unwrap_or("");
                let choice =
                    json!({"index": 0, "text": text, "finish_reason": finish_reason});
                self.envelope("text_completion", &choice)
            }
        }
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total_tokens,
            "total_tokens": u64::from(self.prompt_tokens) + self.total_tokens,
        })
    }

    /// Returns the server-sent event of one token.
    fn token_event(&self, index: u64) -> Bytes {
        let chunk = self.chunk(Some(&self.text.token(index)));
        Bytes::from(format!("data: {chunk}\n\n"))
    }

    /// Returns the last chunk, which carries the token counts, and the `[DONE]` event.
    fn final_events(&self) -> Bytes {
        let mut chunk = self.chunk(None);
        chunk["usage"] = self.usage();
        Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
    }

    /// Returns the response as a single document, with the text from token `from` on.
    pub(super) fn single_document(&self, from: u64) -> Value {
        let text = self.text.token_range(from, self.total_tokens);
        let (object_type, choice) = match self.api {
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
        let mut document = self.envelope(object_type, &choice);
        document["usage"] = self.usage();
        document
    }
}

/// Body of a streamed response.
#[derive(Debug)]
pub(super) struct StreamBody {
    pub(super) template: ResponseTemplate,
    pub(super) events: UnboundedReceiver<RunEvent>,
    pub(super) finished: bool,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.finished {
            return Poll::Ready(None);
        }
        let event = std::task::ready!(self.events.poll_recv(context));
        let frame = match event {
            Some(RunEvent::Token(index)) => {
                Ok(Frame::data(self.template.token_event(index)))
            }
            Some(RunEvent::Done) => {
                self.finished = true;
                Ok(Frame::data(self.template.final_events()))
            }
            // Without the error, the body would end cleanly, and the client could
            // take an aborted response for a complete one.
            None => {
                self.finished = true;
                Err(io::Error::other("the run was aborted"))
            }
        };
        Poll::Ready(Some(frame))
    }
}
