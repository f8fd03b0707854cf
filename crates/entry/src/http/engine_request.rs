//! Parsing of request bodies for engines, in the format of the OpenAI API.

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::borrow::Cow;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::rejection::Rejection;
use super::request_head::EngineApi;

/// Length of the prompt's start that is hashed, so that requests with the same
/// start can be sent to the same upstream.
const PREFIX_BYTES: usize = 256;

/// Estimated number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// What the entry needs of the body of a request to an engine.
#[derive(Debug)]
pub(crate) struct EngineRequest {
    /// Model or adapter that the caller named.
    pub(crate) model: Option<String>,
    /// Whether the caller wants the response as a stream of events.
    pub(crate) stream: bool,
    /// Largest number of tokens in the answer; 0 if the caller gave none.
    pub(crate) tokens_max: u32,
    /// Estimated number of tokens in the prompt.
    pub(crate) prompt_tokens: u32,
    /// Hash of the prompt's start and the model.
    pub(crate) prefix_hash: u64,
    /// Body to send to the engine.
    pub(crate) body: EngineBody,
}

/// Body to send to an engine.
#[derive(Debug)]
pub(crate) enum EngineBody {
    /// The one that the caller sent.
    Unchanged,
    /// A copy with changes.
    Changed(Vec<u8>),
}

impl EngineRequest {
    /// Returns the body, and the rest of the request.
    pub(crate) fn split_body(mut self) -> (EngineBody, Self) {
        let body = std::mem::replace(&mut self.body, EngineBody::Unchanged);
        (body, self)
    }
}

/// The fields that are parsed. All others are passed on to the engine unread.
#[derive(Debug, Deserialize)]
struct BodyFields<'a> {
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
    #[serde(borrow, default, deserialize_with = "deserialize_present")]
    stream: Option<&'a RawValue>,
}

/// Distinguishes a `null` from a missing field.
fn deserialize_present<'de: 'a, 'a, D>(
    deserializer: D,
) -> Result<Option<&'a RawValue>, D::Error>
where
    D: Deserializer<'de>,
{
    <&RawValue>::deserialize(deserializer).map(Some)
}

/// Parses a body.
///
/// # Errors
///
/// `BadRequest` if the body is not an object with a prompt, or requests several
/// answers.
pub(crate) fn parse_engine_request(
    engine: EngineApi,
    body: &[u8],
) -> Result<EngineRequest, Rejection> {
    let fields: BodyFields<'_> = serde_json::from_slice(body)
        .map_err(|_| Rejection::bad_request("the body is not such a JSON object"))?;
    if fields.n.is_some_and(|n| n != 1) {
        return Err(Rejection::bad_request("`n` must be 1"));
    }
    let prompt = match engine {
        EngineApi::Chat => fields
            .messages
            .ok_or(Rejection::bad_request("`messages` is missing"))?,
        EngineApi::Completion => fields
            .prompt
            .ok_or(Rejection::bad_request("`prompt` is missing"))?,
    };
    let prompt = prompt.get().as_bytes();
    let model = fields.model.as_deref().filter(|name| !name.is_empty());
    let tokens_max = fields.max_tokens.or(fields.max_completion_tokens);
    Ok(EngineRequest {
        stream: parse_stream(fields.stream)?,
        tokens_max: saturating_u32(tokens_max.unwrap_or(0)),
        prompt_tokens: saturating_u32(prompt.len().div_ceil(BYTES_PER_TOKEN) as u64),
        prefix_hash: prefix_hash(model, prompt),
        model: model.map(str::to_owned),
        body: with_streaming(body, fields.stream),
    })
}

/// Hash of method, path and body, by which a repeated request is recognized.
pub(crate) fn request_hash(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for text in [method, path] {
        hash.update(text.as_bytes());
        // Neither method nor path contains a zero byte, so the separator keeps
        // different requests from hashing the same bytes.
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}

fn prefix_hash(model: Option<&str>, prompt: &[u8]) -> u64 {
    let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
    xxh3_64(start) ^ xxh3_64(model.unwrap_or_default().as_bytes()).rotate_left(1)
}

fn parse_stream(value: Option<&RawValue>) -> Result<bool, Rejection> {
    match value.map(RawValue::get) {
        Some("true") => Ok(true),
        None | Some("false" | "null") => Ok(false),
        Some(_) => Err(Rejection::bad_request("`stream` is not true or false")),
    }
}

/// The body with `stream` set to true, and otherwise unchanged byte for byte.
///
/// The engine always streams, so that the number of tokens received so far is
/// known when an upstream is lost.
fn with_streaming(body: &[u8], stream: Option<&RawValue>) -> EngineBody {
    match stream.map(RawValue::get) {
        Some("true") => EngineBody::Unchanged,
        Some(value) => {
            let start = value.as_ptr() as usize - body.as_ptr() as usize;
            replace_range(body, start, start + value.len(), b"true")
        }
        None => {
            // The object has a prompt, so a member follows the opening brace.
            let brace = body.iter().position(|byte| *byte == b'{');
            let inside = brace.map_or(0, |at| at + 1);
            replace_range(body, inside, inside, b"\"stream\":true,")
        }
    }
}

fn replace_range(body: &[u8], from: usize, to: usize, with: &[u8]) -> EngineBody {
    EngineBody::Changed([&body[..from], with, &body[to..]].concat())
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
