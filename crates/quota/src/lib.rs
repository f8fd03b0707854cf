//! Quotas of workspaces and request rates of upstreams, enforced over all entries
//! together.
//!
//! A workspace may use a rate and a burst, whichever entries its requests reach. If
//! each entry enforced a fixed part of the limit by itself, the part of a small
//! workspace at one of hundreds of entries would be less than one request. Instead,
//! every entry refills its share of a workspace's token bucket and moves the tokens to
//! one entry, the workspace's keeper. Tokens are moved but never copied:
//!
//! - Each entry refills an equal share of a workspace's rate: one part in as many as
//!   there are entries ([`TokenPools`]).
//! - A few times a second it sends its tokens to the workspace's keeper, which is
//!   called a feed. All entries choose the keeper by the same hash ([`select_keeper`])
//!   and need not agree on it: two keepers share the tokens, and a keeper that fails
//!   takes only the tokens it has with it. Its successor is fed at once.
//! - A request takes its tokens from the pool of its own entry or asks the keeper. The
//!   keeper remembers its recent answers, so that a repeated request is charged once
//!   ([`RecentAnswers`]).
//!
//! Invariants:
//!
//! - Only time creates tokens. In any time span, all entries together refill a limit by
//!   at most its rate times the span, because their shares sum to at most one whatever
//!   they know of each other. A message moves tokens and is counted once; a lost
//!   message loses its tokens.
//! - The unused tokens in a pool are bounded by the part of the burst that belongs to
//!   the entries that feed it. With the first invariant, the use in any time span is at
//!   most the rate times the span, the burst, the overdraft, and the tokens not yet fed
//!   to a keeper (see [`TokenPools::take`]).
//! - A process starts without tokens. It refills its share once all others count it.
//!
//! Workspaces that are within their quotas may still ask for more than the upstreams of
//! a service can run. [`FairShares`] then says whose requests go first.
//!
//! Everything in this crate is deterministic: time is an argument, and nothing does
//! I/O.

mod fair_share;
mod fair_shares;
mod feed_interval;
mod keeper;
mod rate_limit;
mod recent_answers;
mod token_pool;
mod token_pools;

pub use fair_shares::{
    FairShares, ServiceReport, ShareReport, WorkspaceReport, share_hash,
};
pub use feed_interval::{FEEDER_TIMEOUT_INTERVALS, feed_interval_ms};
pub use keeper::select_keeper;
pub use rate_limit::{Allowance, RateLimit, RequestCost};
pub use recent_answers::RecentAnswers;
pub use token_pools::{Feed, TakeOutcome, TokenPools};
