//! Tests of token pools, feeds and rate limits.

mod asked;
mod hot;
mod pools;
mod upstreams;
