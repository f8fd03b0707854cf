//! Claims: a non-idempotent call with a key runs at most once.
//!
//! Before such a call is handed to an upstream, its (caller, key, body) is
//! *claimed* in the platform by a conditional update, so that of two agents
//! which get the same key only one wins. Claims live in [`SHARDS`] objects,
//! named by the hash of caller and key. For each of them [`Claims`] has at most
//! one call to the platform in flight; whatever comes meanwhile joins the next
//! write, so the number of writes follows the platform's answer time and not
//! the number of calls.
//!
//! Invariants:
//!
//! - A call is [`ClaimOutcome::Granted`] only after the platform has shown its nonce
//!   in the shard: by the answer of the write, or by reading it back.
//! - A refused call was not run. If its claim may stand all the same, its
//!   release is kept until the platform shows that it is gone and can't come.
//! - What the platform holds decides. After each read and each write, all that
//!   waits is compared with the shard's content, so that a lost answer and a
//!   received one end the same way.

mod claims;
mod outcome;
mod pending;
mod platform_calls;
mod shard;

pub use claims::{Claims, ClaimsOptions};
pub use outcome::{ClaimAction, ClaimOutcome, ClaimRequest, StoredResponse};
pub use shard::{SHARDS, shard_key, shard_of};
