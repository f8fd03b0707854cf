//! Tests of claims with a platform that is unavailable, loses calls and
//! responses, and serves a second agent at the same time.

mod agents;
mod restores;
mod shards;
mod test_doubles;
mod writes;
