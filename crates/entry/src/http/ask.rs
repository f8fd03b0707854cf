//! Bodies of requests for tokens.

use bytes::Bytes;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::borrow::Cow;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::fault::Fault;
use super::head::Engine;

/// Bytes of the prompt by which requests with the same start are known.
const PREFIX_BYTES: usize = 256;

/// Bytes of prompt that make about one token.
const BYTES_PER_TOKEN: usize = 4;

/// What matters here of the body of a request for tokens.
#[derive(Debug)]
pub(crate) struct Ask {
    /// Model or adapter named.
    pub(crate) model: Option<String>,
    /// The caller wants the answer in parts.
    pub(crate) stream: bool,
    /// Most tokens in the answer; 0 for none said.
    pub(crate) tokens_max: u32,
    /// Estimated tokens in the prompt.
    pub(crate) prompt_tokens: u32,
    /// Hash of the prompt's start and the model.
    pub(crate) prefix_hash: u64,
    /// Body for the engine.
    pub(crate) body: Bytes,
}

/// Fields of the body. The rest is the engine's business and passes unread.
#[derive(Debug, Deserialize)]
struct Fields<'a> {
    #[serde(borrow, default)]
    model: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    n: Option<u64>,
    #[serde(borrow, default, deserialize_with = "present")]
    stream: Option<&'a RawValue>,
}

/// Keeps a `null` apart from a field that is not there.
fn present<'de: 'a, 'a, D>(deserializer: D) -> Result<Option<&'a RawValue>, D::Error>
where
    D: Deserializer<'de>,
{
    <&RawValue>::deserialize(deserializer).map(Some)
}

/// Reads a body.
///
/// # Errors
///
/// `BadRequest` where it is not an object with a prompt, or asks for several
/// answers.
pub(crate) fn ask(engine: Engine, body: &Bytes) -> Result<Ask, Fault> {
    let fields: Fields<'_> = serde_json::from_slice(body)
        .map_err(|_| Fault::bad_request("the body is not such a JSON object"))?;
    if fields.n.is_some_and(|n| n != 1) {
        return Err(Fault::bad_request("`n` must be 1"));
    }
    let prompt = match engine {
        Engine::Chat => fields
            .messages
            .ok_or(Fault::bad_request("`messages` is missing"))?,
        Engine::Completion => fields
            .prompt
            .ok_or(Fault::bad_request("`prompt` is missing"))?,
    };
    let prompt = prompt.get().as_bytes();
    let model = fields.model.as_deref().filter(|name| !name.is_empty());
    let tokens_max = fields.max_tokens.or(fields.max_completion_tokens);
    Ok(Ask {
        stream: stream(fields.stream)?,
        tokens_max: clamp(tokens_max.unwrap_or(0)),
        prompt_tokens: clamp(prompt.len().div_ceil(BYTES_PER_TOKEN) as u64),
        prefix_hash: prefix_hash(model, prompt),
        model: model.map(str::to_owned),
        body: streaming(body, fields.stream),
    })
}

/// Hash of method, path and body, by which a resent request is known.
pub(crate) fn body_hash(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for text in [method, path] {
        hash.update(text.as_bytes());
        // Neither holds a zero byte, so no two requests run into one another.
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}

fn prefix_hash(model: Option<&str>, prompt: &[u8]) -> u64 {
    let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
    xxh3_64(start) ^ xxh3_64(model.unwrap_or_default().as_bytes()).rotate_left(1)
}

fn stream(value: Option<&RawValue>) -> Result<bool, Fault> {
    match value.map(RawValue::get) {
        Some("true") => Ok(true),
        None | Some("false" | "null") => Ok(false),
        Some(_) => Err(Fault::bad_request("`stream` is not true or false")),
    }
}

/// The body with `stream` set, and otherwise byte for byte what was sent.
///
/// The engine always streams: only then are the units known that the caller
/// already has when an upstream is lost.
fn streaming(body: &Bytes, stream: Option<&RawValue>) -> Bytes {
    match stream.map(RawValue::get) {
        Some("true") => body.clone(),
        Some(value) => {
            let start = value.as_ptr() as usize - body.as_ptr() as usize;
            splice(body, start, start + value.len(), b"true")
        }
        None => {
            // The prompt is there, so a member follows the opening brace.
            let brace = body.iter().position(|byte| *byte == b'{');
            let inside = brace.map_or(0, |at| at + 1);
            splice(body, inside, inside, b"\"stream\":true,")
        }
    }
}

fn splice(body: &[u8], from: usize, to: usize, with: &[u8]) -> Bytes {
    Bytes::from([&body[..from], with, &body[to..]].concat())
}

fn clamp(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
