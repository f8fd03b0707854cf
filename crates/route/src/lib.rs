//! Decisions about single requests: where each runs, whether it may wait, run
//! again, or run at all.
//!
//! Everything here is an opinion of one entry over a view that lags. A wrong
//! opinion costs a refusal by an agent's gate or a slower answer; what must
//! never break (memory, at-most-once, "not run") is decided at the agent, so no
//! function here has to be right. They have to be cheap and the same on every
//! run: time is an argument, randomness a generator seeded by the caller, and
//! nothing does I/O.
//!
//! - [`choose_holder`] picks a holder of the model: the same prompt prefix goes to the
//!   same holder by rendezvous hash with bounded load, anything else to the
//!   better of two drawn at random.
//! - [`admit`] predicts whether a request can meet its deadline and refuses at
//!   once if it can't.
//! - [`RetryBudget`] bounds the load that retries add; [`CallerLimits`] bounds
//!   what one caller takes from the others.
//! - [`AdaptiveConcurrencyLimit`] learns how many requests an upstream runs well at once.
//! - [`SuspectRequests`] bounds how many upstreams one request may crash.
//! - [`CircuitBreaker`] stops sending to an upstream that fails, with one
//!   prober for the whole fleet.

mod admit;
mod budget;
mod callers;
mod choose;
mod health;
mod record;
mod rendezvous;
mod step_limit;
mod suspects;

pub use admit::{Admission, AdmissionInput, admit};
pub use budget::RetryBudget;
pub use callers::CallerLimits;
pub use choose::{
    ChosenHolder, Holder, RouteReason, RoutingInput, choose_holder, has_capacity,
};
pub use health::{BreakerState, CircuitBreaker, Permission};
pub use rendezvous::{exclusive_run_owner, probing_entry, rendezvous_weight};
pub use step_limit::AdaptiveConcurrencyLimit;
pub use suspects::{CrashVerdict, EXCLUSIVE_RUN_RETRY_MS, SuspectRequests};
