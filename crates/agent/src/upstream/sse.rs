//! Server-sent events as an engine writes them.

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Longest line taken; one carries one token.
const LINE_MAX_BYTES: usize = 1 << 20;

/// The engine broke its protocol.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Fault;

/// One event.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// A chunk of the answer.
    Chunk(Chunk),
    /// The end mark.
    End,
}

/// A chunk of an answer.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Chunk {
    /// The text of one token, if it carries one.
    token: Option<String>,
    /// It is the last.
    pub(super) finished: bool,
    /// Tokens of the whole answer, as the last chunk states them.
    pub(super) completion_tokens: Option<u64>,
}

impl Event {
    /// The token that the event carries.
    pub(super) fn token(&mut self) -> Option<String> {
        match self {
            Self::Chunk(chunk) => chunk.token.take(),
            Self::End => None,
        }
    }
}

/// Finds events in the bytes of a body, however these are cut.
#[derive(Debug, Default)]
pub(super) struct Reader {
    held: BytesMut,
    /// Held bytes known to have no line break.
    searched: usize,
}

impl Reader {
    /// A reader that holds nothing.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Adds bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole event.
    ///
    /// # Errors
    ///
    /// A line is too long or is not a chunk, or the engine tells an error.
    pub(super) fn next(&mut self) -> Result<Option<Event>, Fault> {
        loop {
            let unsearched = &self.held[self.searched..];
            let Some(at) = unsearched.iter().position(|byte| *byte == b'\n') else {
                self.searched = self.held.len();
                let fits = self.held.len() <= LINE_MAX_BYTES;
                return if fits { Ok(None) } else { Err(Fault) };
            };
            let line = self.held.split_to(self.searched + at);
            self.held.advance(1);
            self.searched = 0;
            if let Some(event) = event(&line)? {
                return Ok(Some(event));
            }
        }
    }
}

/// The event of a line; other fields than `data` and comments have none.
fn event(line: &[u8]) -> Result<Option<Event>, Fault> {
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(None);
    };
    match data.trim_ascii() {
        b"" => Ok(None),
        b"[DONE]" => Ok(Some(Event::End)),
        json => chunk(json).map(|chunk| Some(Event::Chunk(chunk))),
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

fn chunk(json: &[u8]) -> Result<Chunk, Fault> {
    let chunk: ChunkJson = serde_json::from_slice(json).map_err(|_| Fault)?;
    if chunk.error.is_some() {
        return Err(Fault);
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
    // The chunk that only names the speaker and the last one have an empty text
    // that is no token; any other empty text is one that shows nothing.
    let no_token = finished || choice.delta.role.is_some();
    let text = choice.delta.content.or(choice.text);
    Ok(Chunk {
        token: text.filter(|text| !(no_token && text.is_empty())),
        finished,
        completion_tokens: stated,
    })
}
