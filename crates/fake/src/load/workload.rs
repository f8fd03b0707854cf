//! Kinds of generated requests.

use serde::{Deserialize, Serialize};

/// One kind of requests; a mix file holds an array of these.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workload {
    /// Profile that the requests name; the report groups results by it.
    pub profile: String,
    /// Models that the requests name, in order of descending frequency.
    pub models: Vec<String>,
    /// Plain service that is called instead of a model; empty for none.
    pub service: String,
    /// Relative frequency among all workloads.
    pub weight: u32,
    /// Tokens per prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt prefix that all requests to one model share.
    pub shared_tokens: u32,
    /// Tokens per response.
    pub max_tokens: u64,
    /// Whether responses are streamed.
    pub stream: bool,
    /// Target for the time to the first token; 0 for none.
    pub first_token_ms: u64,
    /// Target for the mean time between tokens; 0 for none.
    pub between_tokens_ms: u64,
    /// Target for the total time; 0 for none.
    pub deadline_ms: u64,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            profile: "default".to_owned(),
            models: Vec::new(),
            service: String::new(),
            weight: 1,
            prompt_tokens: 64,
            shared_tokens: 32,
            max_tokens: 16,
            stream: true,
            first_token_ms: 0,
            between_tokens_ms: 0,
            deadline_ms: 0,
        }
    }
}
