//! Kinds of work.

use serde::{Deserialize, Serialize};

/// One kind of work, as a mix file lists them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workload {
    /// Profile that is named; also the name of the work in the report.
    pub profile: String,
    /// Models that are named; the first ones more often.
    pub models: Vec<String>,
    /// Plain service that is called in place of models.
    pub service: String,
    /// Share of this work among all kinds.
    pub weight: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt's start that requests on one model share.
    pub shared_tokens: u32,
    /// Tokens of the answer.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Expected time to the first token; 0 for none.
    pub first_token_ms: u64,
    /// Expected mean time between tokens; 0 for none.
    pub between_tokens_ms: u64,
    /// Expected time to the end; 0 for none.
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
