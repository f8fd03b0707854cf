//! What a workspace may use, or an upstream takes.

use crate::feed_interval::FEED_INTERVAL_MAX_MS;

/// Tokens or requests in any span of time: the rate times its length, and the burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Units a second.
    pub rate_per_s: f64,
    /// Units at once, after a time without use.
    pub burst: f64,
}

/// Requests of a rate that lie ready at most. A place that a third of the entries feeds
/// can still give out one.
const MIN_BURST: f64 = 3.0;

impl RateLimit {
    /// A rate of requests with the least burst by which all of it can be used, however
    /// many entries make it: what is made between two feeds has to lie somewhere.
    pub fn with_min_burst(rate_per_s: f64) -> Self {
        let feed_interval_s = FEED_INTERVAL_MAX_MS as f64 / 1_000.0;
        Self {
            rate_per_s,
            burst: MIN_BURST + rate_per_s * feed_interval_s,
        }
    }
}

/// What one request counts as.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestCost {
    /// Each counts as one.
    Requests,
    /// Each counts as its tokens.
    Tokens {
        /// Tokens of a request that does not say how many it has.
        default_tokens: f64,
    },
}

impl RequestCost {
    /// What a request counts as that says its tokens, or does not.
    pub fn of(&self, tokens: Option<u64>) -> f64 {
        match (self, tokens) {
            (Self::Requests, _) => 1.0,
            (Self::Tokens { .. }, Some(tokens)) => tokens as f64,
            (Self::Tokens { default_tokens }, None) => *default_tokens,
        }
    }
}

/// A bound on what a workspace uses over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The bound.
    pub limit: RateLimit,
    /// What requests count as.
    pub cost: RequestCost,
}
