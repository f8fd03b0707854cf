//! Tests of token pools, feeds and rate limits.

mod fair_shares;
mod hot_workspace;
mod recent_answers;
mod token_pools;
mod upstream_rates;
