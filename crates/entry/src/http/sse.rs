//! Server-sent events in the shape of the OpenAI API.

use base::{RequestError, RequestId};
use bytes::{BufMut, BytesMut};
use serde::Serialize;

use super::fault::error_json;
use super::head::Engine;

/// What all chunks and the whole answer of one request have in common.
#[derive(Debug)]
pub(crate) struct Shape {
    /// Request.
    pub(crate) request: RequestId,
    /// Which call it is.
    pub(crate) engine: Engine,
    /// Model as the caller named it; empty for the profile's default.
    pub(crate) model: String,
    /// When the request came, in seconds since the Unix epoch.
    pub(crate) created_s: u64,
    /// Estimated tokens in the prompt.
    pub(crate) prompt_tokens: u32,
    /// Most tokens in the answer; 0 for none said.
    pub(crate) tokens_max: u32,
}

/// Tokens of a request and its answer.
#[derive(Debug, Serialize)]
pub(crate) struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl Shape {
    /// The answer's own name.
    pub(crate) fn id(&self) -> String {
        match self.engine {
            Engine::Chat => format!("chatcmpl-{}", self.request),
            Engine::Completion => format!("cmpl-{}", self.request),
        }
    }

    /// Tokens of an answer.
    pub(crate) fn usage(&self, total_units: u64) -> Usage {
        let prompt_tokens = u64::from(self.prompt_tokens);
        Usage {
            prompt_tokens,
            completion_tokens: total_units,
            total_tokens: prompt_tokens + total_units,
        }
    }

    /// Why the answer ended: it is as long as it may be, or the model stopped.
    pub(crate) fn finish_reason(&self, total_units: u64) -> &'static str {
        if self.tokens_max > 0 && total_units >= u64::from(self.tokens_max) {
            "length"
        } else {
            "stop"
        }
    }
}

/// Writes the events of one answer.
///
/// All that is the same in each chunk is made once: an entry writes many
/// thousand chunks a second.
#[derive(Debug)]
pub(crate) struct SseWriter {
    shape: Shape,
    start: Vec<u8>,
    begun: bool,
}

impl SseWriter {
    /// A writer that has written nothing.
    pub(crate) fn new(shape: Shape) -> Self {
        let object = match shape.engine {
            Engine::Chat => "chat.completion.chunk",
            Engine::Completion => "text_completion",
        };
        let mut start = Vec::with_capacity(160);
        start.extend_from_slice(b"data: {\"id\":");
        put_json(&mut start, &shape.id());
        start.extend_from_slice(b",\"object\":");
        put_json(&mut start, object);
        start.extend_from_slice(b",\"created\":");
        start.extend_from_slice(shape.created_s.to_string().as_bytes());
        start.extend_from_slice(b",\"model\":");
        put_json(&mut start, &shape.model);
        start.extend_from_slice(b",\"choices\":[{\"index\":0,");
        Self {
            shape,
            start,
            begun: false,
        }
    }

    /// Writes the text of some tokens.
    pub(crate) fn part(&mut self, text: &str, out: &mut BytesMut) {
        out.reserve(self.start.len() + text.len() + 64);
        out.put_slice(&self.start);
        match self.shape.engine {
            Engine::Chat if self.begun => out.put_slice(b"\"delta\":{\"content\":"),
            Engine::Chat => {
                out.put_slice(b"\"delta\":{\"role\":\"assistant\",\"content\":");
            }
            Engine::Completion => out.put_slice(b"\"text\":"),
        }
        put_json(&mut out.writer(), text);
        if self.shape.engine == Engine::Chat {
            out.put_slice(b"}");
        }
        out.put_slice(b",\"finish_reason\":null}]}\n\n");
        self.begun = true;
    }

    /// Writes the end of a whole answer.
    pub(crate) fn whole(&self, total_units: u64, out: &mut BytesMut) {
        out.put_slice(&self.start);
        match self.shape.engine {
            Engine::Chat => out.put_slice(b"\"delta\":{}"),
            Engine::Completion => out.put_slice(b"\"text\":\"\""),
        }
        out.put_slice(b",\"finish_reason\":");
        put_json(&mut out.writer(), self.shape.finish_reason(total_units));
        out.put_slice(b"}],\"usage\":");
        put_json(&mut out.writer(), &self.shape.usage(total_units));
        out.put_slice(b"}\n\ndata: [DONE]\n\n");
    }

    /// Writes the end of an answer that broke off. There is no `[DONE]`, so
    /// that no client takes it for whole.
    pub(crate) fn broken(&self, refusal: &RequestError, out: &mut BytesMut) {
        out.put_slice(b"event: error\ndata: ");
        out.put_slice(&error_json(self.shape.request, refusal, None));
        out.put_slice(b"\n\n");
    }
}

fn put_json<T: Serialize + ?Sized>(out: &mut impl std::io::Write, value: &T) {
    serde_json::to_writer(out, value).expect("writing to memory does not fail");
}
