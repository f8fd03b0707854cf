//! Limits on what a workspace may use or an upstream accepts.

use crate::feed_interval::FEED_INTERVAL_MAX_MS;

/// Limit on tokens or requests: in any time span, at most the rate times the span, and
/// the burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Tokens or requests a second.
    pub rate_per_s: f64,
    /// Tokens or requests that may be used at once after a time without use.
    pub burst: f64,
}

/// Part of a minimal burst that does not depend on the rate, in requests. With 3, a
/// pool that a third of the entries feed can still hold one request.
const BASE_BURST: f64 = 3.0;

impl RateLimit {
    /// Creates a limit on the rate of requests with the smallest burst that allows all
    /// of the rate to be used, however many entries refill it: the tokens refilled
    /// between two feeds must fit into the burst.
    pub fn with_min_burst(rate_per_s: f64) -> Self {
        let feed_interval_s = FEED_INTERVAL_MAX_MS as f64 / 1_000.0;
        Self {
            rate_per_s,
            burst: BASE_BURST + rate_per_s * feed_interval_s,
        }
    }
}

/// How the cost of a request is determined.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestCost {
    /// Each request costs 1.
    Requests,
    /// Each request costs its number of tokens.
    Tokens {
        /// Cost of a request that does not state its number of tokens.
        default_tokens: f64,
    },
}

impl RequestCost {
    /// Cost of a request, given the number of tokens that it states, if any.
    pub fn of(&self, tokens: Option<u64>) -> f64 {
        match (self, tokens) {
            (Self::Requests, _) => 1.0,
            (Self::Tokens { .. }, Some(tokens)) => tokens as f64,
            (Self::Tokens { default_tokens }, None) => *default_tokens,
        }
    }
}

/// Limit on what a workspace may use over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The limit.
    pub limit: RateLimit,
    /// How the cost of a request is determined.
    pub cost: RequestCost,
}
