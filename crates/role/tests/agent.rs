//! The agent's machine against small stand-ins of its upstream and platform.

#[path = "agent/alone.rs"]
mod alone;
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
#[path = "agent/stand/mod.rs"]
mod stand;
