//! Decisions about single requests: which agent runs a request, and whether it may
//! wait, be retried, or run at all.
//!
//! One entry makes these decisions from its own, lagging view of the fleet. A wrong
//! decision costs a slower response or a refusal by an agent's admission control.
//! Guarantees (memory limits, at-most-once execution, and the statement that a
//! refused request was not run) are enforced by the agents and do not depend on
//! this crate. All functions are cheap and deterministic: time is an argument,
//! randomness comes from a generator seeded by the caller, and there is no I/O.
//!
//! - [`choose_holder`] selects an agent that holds the model. Requests with the
//!   same prompt prefix go to the same holder by rendezvous hashing with bounded
//!   load; others go to the better of two random holders.
//! - [`admit`] predicts whether a request can meet its deadline and refuses it at
//!   once if not.
//! - [`RetryBudget`] bounds the load that retries add, and [`CallerLimits`] the
//!   load of one caller.
//! - [`AdaptiveConcurrencyLimit`] learns how many requests an upstream can run at
//!   once without slowing down.
//! - [`SuspectRequests`] bounds how many upstreams one request may crash, and
//!   [`SuspectParts`] how many the requests that share a part of their prompts may.
//! - [`CircuitBreaker`] stops requests to a failing upstream, with one entry that
//!   probes it for the whole fleet.

mod adaptive_limit;
mod admission;
mod answered_parts;
mod attribution;
mod caller_limits;
mod choose;
mod circuit_breaker;
mod crash_record;
mod part_record;
mod record_digest;
mod rendezvous;
mod retry_budget;
mod suspect_parts;
mod suspects;

pub use adaptive_limit::AdaptiveConcurrencyLimit;
pub use admission::{Admission, AdmissionInput, admit};
pub use attribution::Attribution;
pub use caller_limits::CallerLimits;
pub use choose::{
    ChosenHolder, Holder, RouteReason, RoutingInput, choose_holder, has_capacity,
};
pub use circuit_breaker::{BreakerState, CircuitBreaker, Permission};
pub use part_record::{NoProbe, PartChange, PartCrash};
pub use rendezvous::{
    exclusive_run_owner, is_part_probing_entry, part_probing_rank, probing_entry,
    rendezvous_weight,
};
pub use retry_budget::RetryBudget;
pub use suspect_parts::{
    PartEvidence, PartVerdict, PromptPart, RefusedPart, SuspectParts,
};
pub use suspects::{CrashVerdict, EXCLUSIVE_RUN_RETRY_MS, SuspectRequests};
