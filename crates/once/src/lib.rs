//! Claims: a non-idempotent request with an idempotency key runs at most once.
//!
//! Before such a request is handed to an upstream, its caller, key and body are
//! *claimed* in the platform's object store by a conditional write, so that
//! only one of two agents that receive the same key wins. Claims are stored in
//! [`SHARDS`] objects, chosen by a hash of caller and key. For each of them
//! [`Claims`] has at most one platform call in flight. Changes that arrive in
//! the meantime share the next write, so the rate of writes depends on the
//! platform's response time and not on the rate of requests.
//!
//! Invariants:
//!
//! - A claim is [`ClaimOutcome::Granted`] only after the platform has confirmed
//!   that the shard contains its nonce: by the response to the write or by a
//!   later read.
//! - A refused request was not run. If its claim may nevertheless be in the
//!   shard, or may still be written, the release stays pending until the
//!   platform shows that the claim is gone and can't appear again.
//! - The end of a response is sent after the claim is stored as done, so a caller
//!   that sends its request again finds the response. Only a platform that is
//!   unavailable, or slower than [`END_WAIT_MAX_MS`], is not waited for.
//! - A platform that was restored from an older copy may lack claims. Until the agents
//!   have had the time to write them again, no key is claimed that the shard doesn't
//!   show.
//! - The platform's content decides. After each read and each write, everything
//!   that is pending is compared with the shard's content, so that a lost
//!   response and a received one have the same result.

mod claims;
mod outcome;
mod pending;
mod platform_calls;
mod restore;
mod shard;

pub use claims::{Claims, ClaimsOptions, END_WAIT_MAX_MS};
pub use outcome::{ClaimAction, ClaimOutcome, ClaimRequest, StoredResponse};
pub use restore::ReportedRun;
pub use shard::{SHARDS, shard_key, shard_of};
