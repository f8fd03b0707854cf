//! Server-sent events in the format of the OpenAI API.

use base::{RequestError, RequestId};
use bytes::{BufMut, BytesMut};
use serde::Serialize;

use super::rejection::error_json;
use super::request_head::EngineApi;

/// What is common to all chunks of a streamed response, and is also needed for a
/// response in one piece.
#[derive(Debug)]
pub(crate) struct CompletionInfo {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// The API that the request is for.
    pub(crate) engine: EngineApi,
    /// Model as the caller named it; empty if it uses the profile's default.
    pub(crate) model: String,
    /// When the request was received, in seconds since the Unix epoch.
    pub(crate) created_s: u64,
    /// Estimated number of tokens in the prompt.
    pub(crate) prompt_tokens: u32,
    /// Largest number of tokens in the answer; 0 if the caller gave none.
    pub(crate) tokens_max: u32,
}

/// Numbers of tokens of a request and its answer.
#[derive(Debug, Serialize)]
pub(crate) struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl CompletionInfo {
    /// Id of the response.
    pub(crate) fn id(&self) -> String {
        match self.engine {
            EngineApi::Chat => format!("chatcmpl-{}", self.request),
            EngineApi::Completion => format!("cmpl-{}", self.request),
        }
    }

    /// Token counts for an answer of `total_units` tokens.
    pub(crate) fn usage(&self, total_units: u64) -> Usage {
        let prompt_tokens = u64::from(self.prompt_tokens);
        Usage {
            prompt_tokens,
            completion_tokens: total_units,
            total_tokens: prompt_tokens + total_units,
        }
    }

    /// Why the answer ended: it reached its largest length, or the model stopped.
    pub(crate) fn finish_reason(&self, total_units: u64) -> &'static str {
        if self.tokens_max > 0 && total_units >= u64::from(self.tokens_max) {
            "length"
        } else {
            "stop"
        }
    }
}

/// Encodes the events of one response.
///
/// The prefix that all chunks share is encoded once, as an entry writes many
/// thousand chunks per second.
#[derive(Debug)]
pub(crate) struct SseWriter {
    info: CompletionInfo,
    chunk_prefix: Vec<u8>,
    role_sent: bool,
}

impl SseWriter {
    /// A writer for a response of which nothing has been written.
    pub(crate) fn new(info: CompletionInfo) -> Self {
        let object = match info.engine {
            EngineApi::Chat => "chat.completion.chunk",
            EngineApi::Completion => "text_completion",
        };
        let mut chunk_prefix = Vec::with_capacity(160);
        chunk_prefix.extend_from_slice(b"data: {\"id\":");
        write_json(&mut chunk_prefix, &info.id());
        chunk_prefix.extend_from_slice(b",\"object\":");
        write_json(&mut chunk_prefix, object);
        chunk_prefix.extend_from_slice(b",\"created\":");
        chunk_prefix.extend_from_slice(info.created_s.to_string().as_bytes());
        chunk_prefix.extend_from_slice(b",\"model\":");
        write_json(&mut chunk_prefix, &info.model);
        chunk_prefix.extend_from_slice(b",\"choices\":[{\"index\":0,");
        Self {
            info,
            chunk_prefix,
            role_sent: false,
        }
    }

    /// Writes a chunk with the text of one or more tokens.
    pub(crate) fn write_part(&mut self, text: &str, out: &mut BytesMut) {
        out.reserve(self.chunk_prefix.len() + text.len() + 64);
        out.put_slice(&self.chunk_prefix);
        match self.info.engine {
            EngineApi::Chat if self.role_sent => {
                out.put_slice(b"\"delta\":{\"content\":");
            }
            EngineApi::Chat => {
                out.put_slice(b"\"delta\":{\"role\":\"assistant\",\"content\":");
            }
            EngineApi::Completion => out.put_slice(b"\"text\":"),
        }
        write_json(&mut out.writer(), text);
        if self.info.engine == EngineApi::Chat {
            out.put_slice(b"}");
        }
        out.put_slice(b",\"finish_reason\":null}]}\n\n");
        self.role_sent = true;
    }

    /// Writes the end of a complete response.
    pub(crate) fn write_end(&self, total_units: u64, out: &mut BytesMut) {
        out.put_slice(&self.chunk_prefix);
        match self.info.engine {
            EngineApi::Chat => out.put_slice(b"\"delta\":{}"),
            EngineApi::Completion => out.put_slice(b"\"text\":\"\""),
        }
        out.put_slice(b",\"finish_reason\":");
        write_json(&mut out.writer(), self.info.finish_reason(total_units));
        out.put_slice(b"}],\"usage\":");
        write_json(&mut out.writer(), &self.info.usage(total_units));
        out.put_slice(b"}\n\ndata: [DONE]\n\n");
    }

    /// Writes the end of a response that failed. It has no `[DONE]`, so that no
    /// client takes the response as complete.
    pub(crate) fn write_error(&self, error: &RequestError, out: &mut BytesMut) {
        out.put_slice(b"event: error\ndata: ");
        out.put_slice(&error_json(self.info.request, error, None));
        out.put_slice(b"\n\n");
    }
}

fn write_json<T: Serialize + ?Sized>(out: &mut impl std::io::Write, value: &T) {
    serde_json::to_writer(out, value).expect("writing to memory does not fail");
}
