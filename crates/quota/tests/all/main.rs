//! Tests of quotas.

mod asked;
mod pools;
