//! The deterministic text of an answer.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Identifies the answer to one prompt by one version of one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseText(u64);

impl ResponseText {
    /// The answer of `version` of `model` to `prompt`.
    pub fn new(model: &str, version: u32, prompt: &str) -> Self {
        let seed = xxh3_64(model.as_bytes()) ^ u64::from(version).rotate_left(32);
        Self(xxh3_64_with_seed(prompt.as_bytes(), seed))
    }

    /// The token at a place, with the blank behind it.
    pub fn token(self, index: u64) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.0);
        format!("{:05x} ", hash & 0xf_ffff)
    }

    /// The tokens from one place up to another.
    pub fn token_range(self, from: u64, to: u64) -> String {
        (from..to).map(|index| self.token(index)).collect()
    }
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// The prompt that a chat's messages make.
pub fn chat_prompt(messages: &[Message]) -> String {
    let lines = messages
        .iter()
        .map(|message| format!("{}: {}\n", message.role, message.content));
    lines.collect()
}

/// Number of tokens that a prompt counts as.
pub fn count_prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
