//! The agent's state machine: admission control, memory ledger, idempotency
//! claims and load orders of one upstream.
//!
//! An agent process runs beside one upstream and is the only process that hands
//! it requests and load orders. The guarantees below are therefore enforced
//! here, from state that this one process knows for certain:
//!
//! - *Admission.* Every refusal is decided before the attempt is handed to the
//!   upstream, so `not_run` is always true. A revoked attempt leaves a
//!   tombstone that refuses a late `Run`.
//! - *At most once.* A non-idempotent request with an idempotency key is claimed
//!   before it is handed over (crate `once`).
//! - *Memory.* The ledger (crate `mem`) reserves memory before an order is
//!   started, and the order's intent is recorded under the agent's epoch before
//!   the order is sent.
//! - *Single agent.* An agent that was replaced, or may have been replaced
//!   while it was frozen, sends no order: its conditional write fails, and
//!   after a freeze it reads its record before anything else.
//!
//! Each module implements one of these parts; `role` dispatches events to them.

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
mod restored_claims;
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
