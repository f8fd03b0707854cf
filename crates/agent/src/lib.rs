//! The process of an agent, which runs beside one upstream.
//!
//! The state machine [`AgentRole`](role::agent::AgentRole) makes the decisions, and
//! this crate is its driver: it accepts links from entries, sends attempts and orders
//! to the upstream, polls the upstream's state, calls the platform, and feeds the
//! results back into the state machine.
//!
//! Invariants:
//!
//! - The state machine is called under a lock, and the frames that it sends are
//!   enqueued under the same lock. Each entry therefore receives them in the order in
//!   which they were decided; an answer would break if a part arrived after its end.
//! - Nothing waits under that lock. Capacity in a link's send queue is reserved before
//!   the state machine handles a part, so a slow entry delays only its own answers.
//! - An attempt is reported as not run only if none of its bytes were written to the
//!   connection to the upstream, or the upstream stated that it did not run it.
//! - Payloads are not passed to the state machine, except for answers that it stores.

mod attempts;
mod driver;
mod link_listener;
mod links;
mod metrics;
mod operator_api;
mod predecessor;
mod start;
mod upstream;

pub use start::{AgentHandle, run, start, start_with_platform};
