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
//! - [`choose`] picks a holder of the model: the same prompt prefix goes to the
//!   same holder by rendezvous hash with bounded load, anything else to the
//!   better of two drawn at random.
//! - [`admit`] predicts whether a request can meet its deadline and refuses at
//!   once if it can't.
//! - [`RetryBudget`] bounds the load that retries add; [`CallerLimits`] bounds
//!   what one caller takes from the others.
//! - [`StepLimit`] learns how many requests an upstream runs well at once.
//! - [`Suspects`] bounds how many upstreams one request may crash.
//! - [`UpstreamHealth`] stops sending to an upstream that fails, with one
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

pub use admit::{Admit, AdmitInput, admit};
pub use budget::RetryBudget;
pub use callers::CallerLimits;
pub use choose::{ChooseInput, Chosen, Holder, RouteReason, choose, has_room};
pub use health::{Allow, HealthView, UpstreamHealth};
pub use rendezvous::{alone_owner, prober, rank};
pub use step_limit::StepLimit;
pub use suspects::{ALONE_RETRY_MS, Suspects, Verdict};
