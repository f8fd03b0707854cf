//! Deterministic text that the engine stand-in generates and the load generator
//! checks.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of prompt bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Generates the response of one version of a model to one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseText(u64);

impl ResponseText {
    /// Creates the generator for the response of `version` of `model` to `prompt`.
    pub fn new(model: &str, version: u32, prompt: &str) -> Self {
        let seed = xxh3_64(model.as_bytes()) ^ u64::from(version).rotate_left(32);
        Self(xxh3_64_with_seed(prompt.as_bytes(), seed))
    }

    /// Returns the token at `index`, followed by a space.
    pub fn token(self, index: u64) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.0);
        format!("{:05x} ", hash & 0xf_ffff)
    }

    /// Returns the concatenated tokens `from..to`.
    pub fn token_range(self, from: u64, to: u64) -> String {
        (from..to).map(|index| self.token(index)).collect()
    }
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Role of the speaker, such as `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Joins a chat's messages to one prompt.
pub fn chat_prompt(messages: &[Message]) -> String {
    let lines = messages
        .iter()
        .map(|message| format!("{}: {}\n", message.role, message.content));
    lines.collect()
}

/// Returns the number of tokens of a prompt, rounded up.
pub fn count_prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
