//! Tests of the agent's state machine against simulated upstreams and a
//! simulated platform.

#[path = "agent/alone.rs"]
mod alone;
#[path = "agent/fixtures/mod.rs"]
mod fixtures;
#[path = "agent/gate.rs"]
mod gate;
#[path = "agent/keyed.rs"]
mod keyed;
#[path = "agent/life.rs"]
mod life;
#[path = "agent/limit.rs"]
mod limit;
#[path = "agent/orders.rs"]
mod orders;
#[path = "agent/predecessors.rs"]
mod predecessors;
#[path = "agent/random/mod.rs"]
mod random;
#[path = "agent/replaced.rs"]
mod replaced;
