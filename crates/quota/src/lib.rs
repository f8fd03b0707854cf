//! Quotas of workspaces and rates of upstreams, over all entries together.
//!
//! A workspace may use a rate and a burst, whichever entries its requests reach. A
//! bound that each entry kept by itself would be right in sum only if each had a
//! fixed part, and the part of a small workspace at one of hundreds of entries is less
//! than one request. So the parts are tokens, which are made in small parts
//! everywhere, brought together in one place, and moved but never copied:
//!
//! - Each entry makes its own part of a workspace's rate, one part out of as many as
//!   there are entries ([`TokenPools`]).
//! - A few times a second it hands what it has to the workspace's keeper, which all
//!   entries find by the same hash ([`select_keeper`]). A keeper is nothing that must be
//!   agreed upon. Two of them share what there is; a keeper that is gone takes with
//!   it what it has and nothing else, and the next one is fed at once.
//! - A request takes its tokens from what its own entry has, or asks the keeper
//!   ([`RecentAnswers`]).
//!
//! Invariants:
//!
//! - Tokens come from time alone: what all entries make of a limit in a span is its
//!   rate times the span at most, as their parts sum up to one whatever they know of
//!   one another. A message moves tokens and is counted once; one that is lost takes
//!   its tokens with it.
//! - What lies unused anywhere is bounded by the part of the burst that belongs to
//!   those who feed the place. Together with the first, no span sees more than rate
//!   times span and burst, the overdraft, and what is between an entry and its keeper
//!   (see [`TokenPools::take`] for each).
//! - A process that starts has nothing. It makes its part once all others count it.
//!
//! Everything here is pure: time is an argument, and nothing does I/O.

mod feed_interval;
mod keeper;
mod pool;
mod rate_limit;
mod recent_answers;
mod token_pools;

pub use feed_interval::{FEEDER_TIMEOUT_INTERVALS, feed_interval_ms};
pub use keeper::select_keeper;
pub use rate_limit::{Allowance, RateLimit, RequestCost};
pub use recent_answers::RecentAnswers;
pub use token_pools::{Feed, TakeOutcome, TokenPools};
