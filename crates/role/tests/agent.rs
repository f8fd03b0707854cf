//! Tests of the agent's state machine against simulated upstreams and a
//! simulated platform.

#[path = "agent/admission.rs"]
mod admission;
#[path = "agent/concurrency_limit.rs"]
mod concurrency_limit;
#[path = "agent/exclusive.rs"]
mod exclusive;
#[path = "agent/fixtures/mod.rs"]
mod fixtures;
#[path = "agent/idempotency_keys.rs"]
mod idempotency_keys;
#[path = "agent/lifecycle.rs"]
mod lifecycle;
#[path = "agent/orders.rs"]
mod orders;
#[path = "agent/predecessors.rs"]
mod predecessors;
#[path = "agent/random/mod.rs"]
mod random;
#[path = "agent/replaced.rs"]
mod replaced;
#[path = "agent/restored_claims.rs"]
mod restored_claims;
