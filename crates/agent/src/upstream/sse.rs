//! Parsing of an engine's answer, a stream of server-sent events.

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Maximum length of a line; each line carries one token.
const LINE_MAX_BYTES: usize = 1 << 20;

/// The engine violated its protocol.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ProtocolError;

/// An event of the stream.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum SseEvent {
    /// A chunk of the answer.
    Chunk(Chunk),
    /// The end marker, `[DONE]`.
    End,
}

/// A chunk of an answer.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Chunk {
    /// Text of the token, if the chunk carries one.
    token: Option<String>,
    /// The chunk is the last one.
    pub(super) finished: bool,
    /// Number of tokens of the whole answer, if the chunk states it.
    pub(super) completion_tokens: Option<u64>,
}

impl SseEvent {
    /// Takes the token that the event carries, if any.
    pub(super) fn take_token(&mut self) -> Option<String> {
        match self {
            Self::Chunk(chunk) => chunk.token.take(),
            Self::End => None,
        }
    }
}

/// Parses events from the bytes of a body, which may be split at any position.
#[derive(Debug, Default)]
pub(super) struct SseParser {
    buffer: BytesMut,
    /// Number of leading bytes in the buffer that contain no line break.
    searched: usize,
}

impl SseParser {
    /// Creates a parser with an empty buffer.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Appends bytes of the body.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next event, or `None` if it has not been received completely.
    ///
    /// # Errors
    ///
    /// Fails if a line is too long or not a valid chunk, or if the engine reports an
    /// error.
    pub(super) fn next(&mut self) -> Result<Option<SseEvent>, ProtocolError> {
        loop {
            let unsearched = &self.buffer[self.searched..];
            let Some(line_end) = unsearched.iter().position(|byte| *byte == b'\n')
            else {
                self.searched = self.buffer.len();
                let fits = self.buffer.len() <= LINE_MAX_BYTES;
                return if fits { Ok(None) } else { Err(ProtocolError) };
            };
            let line = self.buffer.split_to(self.searched + line_end);
            self.buffer.advance(1);
            self.searched = 0;
            if let Some(event) = parse_line(&line)? {
                return Ok(Some(event));
            }
        }
    }
}

/// Parses a line; returns `None` for comments and for fields other than `data`.
fn parse_line(line: &[u8]) -> Result<Option<SseEvent>, ProtocolError> {
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(None);
    };
    match data.trim_ascii() {
        b"" => Ok(None),
        b"[DONE]" => Ok(Some(SseEvent::End)),
        json => parse_chunk(json).map(|chunk| Some(SseEvent::Chunk(chunk))),
    }
}

#[derive(Debug, Deserialize)]
struct ChunkJson {
    #[serde(default)]
    choices: Vec<ChoiceJson>,
    usage: Option<UsageJson>,
    error: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct ChoiceJson {
    #[serde(default)]
    delta: DeltaJson,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct DeltaJson {
    role: Option<IgnoredAny>,
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct UsageJson {
    completion_tokens: Option<u64>,
}

fn parse_chunk(json: &[u8]) -> Result<Chunk, ProtocolError> {
    let chunk: ChunkJson = serde_json::from_slice(json).map_err(|_| ProtocolError)?;
    if chunk.error.is_some() {
        return Err(ProtocolError);
    }
    let stated = chunk.usage.and_then(|usage| usage.completion_tokens);
    let mut choices = chunk.choices.into_iter();
    let Some(choice) = choices.next() else {
        return Ok(Chunk {
            token: None,
            finished: false,
            completion_tokens: stated,
        });
    };
    let finished = choice.finish_reason.is_some();
    // In the chunk that only states the role and in the last chunk, an empty text is
    // not a token. In all other chunks it is a token without visible text.
    let empty_is_no_token = finished || choice.delta.role.is_some();
    let text = choice.delta.content.or(choice.text);
    Ok(Chunk {
        token: text.filter(|text| !(empty_is_no_token && text.is_empty())),
        finished,
        completion_tokens: stated,
    })
}
