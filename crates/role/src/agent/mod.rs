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

mod alone;
mod answers;
mod attempts;
mod counters;
mod crash;
mod drain;
mod epoch;
mod event;
mod gate;
mod heartbeat;
mod keyed;
mod limit;
mod member;
mod options;
mod orders;
mod past;
mod probe;
mod record;
mod retry;
mod role;
mod runs;
mod settings;
mod status;
mod targets;
mod trace;
mod upstream;

pub use counters::AgentCounters;
pub use event::{
    AgentAction, AgentEvent, Order, OrderAnswer, UpstreamEvent, UpstreamOrder,
    UpstreamOrderState, UpstreamReport, UpstreamResident,
};
pub use limit::ConcurrencyLimit;
pub use options::AgentOptions;
pub use role::AgentRole;
pub use status::{AcceleratorStatus, AgentStatus, OrderStatus};
