//! The agent's machine: gate, ledger, claims and orders of one upstream.
//!
//! Only this machine gives its upstream work and orders, so what must always
//! hold is decided here, from what one process knows for certain:
//!
//! - *Gate.* Every refusal comes before the attempt is handed over, so that
//!   `not_run` is true. A revoked attempt leaves a tombstone.
//! - *At most once.* A non-idempotent call with a key is claimed before it is
//!   handed over (crate `once`).
//! - *Memory.* The ledger (crate `mem`) reserves before an order is begun; the
//!   order's intent is recorded under the agent's epoch before it goes out.
//! - *One agent.* An agent that was replaced, or may have been while it was
//!   frozen, gives no order: its conditional write fails, and after a freeze it
//!   reads its record first.
//!
//! Each module has one of these jobs; `role` passes events through them.

mod admission;
mod attempt_history;
mod attempt_lifecycle;
mod attempts;
mod claims;
mod concurrency_limit;
mod config_sync;
mod counters;
mod drain;
mod epoch;
mod epoch_record;
mod event;
mod exclusive;
mod heartbeat;
mod options;
mod orders;
mod platform_client;
mod probe;
mod registration;
mod role;
mod status;
mod targets;
mod timeline;
mod upstream;
mod upstream_events;
mod upstream_health;

pub use concurrency_limit::ConcurrencyLimit;
pub use counters::AgentCounters;
pub use event::{
    AgentAction, AgentEvent, Order, OrderAnswer, UpstreamEvent, UpstreamOrder,
    UpstreamOrderState, UpstreamReport, UpstreamResident,
};
pub use options::AgentOptions;
pub use role::AgentRole;
pub use status::{AcceleratorStatus, AgentStatus, OrderStatus};
