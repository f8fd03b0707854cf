//! Tests of quotas.

mod asked;
mod hot;
mod pools;
mod upstreams;
